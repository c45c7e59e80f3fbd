//! Frames: header, body and checksum. All numbers are big-endian.

use crate::codec::{self, Field, Header};
use crate::message::Message;
use crate::{MAX_BODY, VERSION};

/// Bytes before the body: length (4), version (1), kind (1), flags (1), a zero.
const HEADER_LENGTH: usize = 8;
/// Bytes after the body: the CRC-32C of header and body.
const CHECKSUM_LENGTH: usize = 4;

/// Why received bytes are no frame. The connection can't be read any further after one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The header announces a body over [`MAX_BODY`].
    #[error("frame: a body of {0} bytes, at most {MAX_BODY} fit")]
    BodyTooLong(u32),
    /// The frame has a version that this end does not speak.
    #[error("frame: version {0}, this end speaks 1 to {VERSION}")]
    UnsupportedVersion(u8),
    /// Bytes changed on their way.
    #[error("frame: the checksum does not match")]
    ChecksumMismatch,
    /// No message of the frame's version has this kind.
    #[error("frame: kind {0} is no message of this version")]
    UnknownKind(u8),
    /// A field of the body is cut short or has a value that it can't have.
    #[error("frame: kind {kind}: {field} can't be read at byte {offset} of the body")]
    InvalidField {
        /// The message's kind.
        kind: u8,
        /// The field.
        field: Field,
        /// Where in the body the field begins.
        offset: usize,
    },
    /// The body goes on after its last field.
    #[error("frame: kind {kind}: {count} bytes follow the last field")]
    TrailingBytes {
        /// The message's kind.
        kind: u8,
        /// How many bytes follow.
        count: usize,
    },
    /// The bytes end before the frame does. Only [`decode`] reports this; [`FrameDecoder`] waits for more.
    #[error("frame: cut short after {0} bytes")]
    Truncated(usize),
}

/// Returns the bytes of a message's frame.
///
/// Names, texts and payloads over their limits are cut to them; whoever takes them from users rejects such before.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut frame = vec![0; HEADER_LENGTH];
    let header = codec::encode(message, &mut frame);
    let body_length = (frame.len() - HEADER_LENGTH) as u32;
    frame[..4].copy_from_slice(&body_length.to_be_bytes());
    frame[4] = header.version;
    frame[5] = header.kind;
    frame[6] = header.flags;
    let checksum = crc32c::crc32c(&frame);
    frame.extend_from_slice(&checksum.to_be_bytes());
    frame
}

/// Decodes one whole frame, such as a trace holds.
///
/// # Errors
/// See [`FrameError`].
pub fn decode(frame: &[u8]) -> Result<Message, FrameError> {
    let mut reader = FrameDecoder::default();
    reader.push(frame);
    match reader.next_message()? {
        Some((message, _)) => Ok(message),
        None => Err(FrameError::Truncated(frame.len())),
    }
}

/// Cuts the bytes of a connection into frames and decodes them.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Where the first frame that was not returned yet begins.
    position: usize,
}

impl FrameDecoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.position > 0 && self.position == self.buffer.len() {
            self.buffer.clear();
            self.position = 0;
        } else if self.position > MAX_BODY {
            self.buffer.drain(..self.position);
            self.position = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message with its frame's bytes, or `None` until a whole frame has been received.
    ///
    /// # Errors
    /// See [`FrameError`].
    pub fn next_message(&mut self) -> Result<Option<(Message, &[u8])>, FrameError> {
        let unread = &self.buffer[self.position..];
        let Some(header) = unread.first_chunk::<HEADER_LENGTH>() else {
            return Ok(None);
        };
        let [length @ .., version, kind, flags, _] = *header;
        let length = u32::from_be_bytes(length);
        if length as usize > MAX_BODY {
            return Err(FrameError::BodyTooLong(length));
        }
        if !(1..=VERSION).contains(&version) {
            return Err(FrameError::UnsupportedVersion(version));
        }
        let body_end = HEADER_LENGTH + length as usize;
        let frame_end = body_end + CHECKSUM_LENGTH;
        if unread.len() < frame_end {
            return Ok(None);
        }
        let checksum = crc32c::crc32c(&unread[..body_end]).to_be_bytes();
        if unread[body_end..frame_end] != checksum {
            return Err(FrameError::ChecksumMismatch);
        }
        let header = Header {
            version,
            kind,
            flags,
        };
        let message = codec::decode(header, &unread[HEADER_LENGTH..body_end])?;
        let start = self.position;
        self.position += frame_end;
        Ok(Some((message, &self.buffer[start..self.position])))
    }
}
