//! Framing: a frame consists of header, body and checksum. All numbers are big-endian.

use crate::codec::{self, Field, Header};
use crate::message::Message;
use crate::{MAX_BODY, VERSION};

/// Length of the header in bytes: body length (4), version (1), kind (1), flags (1), and a byte that is written as 0
/// and ignored by the decoder (1).
const HEADER_LENGTH: usize = 8;
/// Length of the CRC-32C checksum of header and body, which follows the body, in bytes.
const CHECKSUM_LENGTH: usize = 4;

/// The reason why received bytes can't be decoded as a frame. After such an error the connection can't be read further,
/// because the position of the next frame is unknown.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The body length in the header exceeds [`MAX_BODY`].
    #[error("frame: a body of {0} bytes, at most {MAX_BODY} fit")]
    BodyTooLong(u32),
    /// The protocol version in the header is not supported.
    #[error("frame: version {0}, this end speaks 1 to {VERSION}")]
    UnsupportedVersion(u8),
    /// The frame was corrupted in transit: its checksum is not that of its header and body.
    #[error("frame: the checksum does not match")]
    ChecksumMismatch,
    /// The frame's protocol version has no message of this kind.
    #[error("frame: kind {0} is no message of this version")]
    UnknownKind(u8),
    /// A field of the body is truncated or has an invalid value.
    #[error("frame: kind {kind}: {field} can't be read at byte {offset} of the body")]
    InvalidField {
        /// The message kind in the header.
        kind: u8,
        /// The field that can't be decoded.
        field: Field,
        /// Offset in the body at which the field begins, in bytes.
        offset: usize,
    },
    /// The body continues after its last field.
    #[error("frame: kind {kind}: {count} bytes follow the last field")]
    TrailingBytes {
        /// The message kind in the header.
        kind: u8,
        /// Number of bytes after the last field.
        count: usize,
    },
    /// The frame is incomplete; the value is the number of bytes given. Only [`decode`] returns this error;
    /// [`FrameDecoder`] waits for more bytes.
    #[error("frame: cut short after {0} bytes")]
    Truncated(usize),
}

/// Encodes a message as a frame.
///
/// Names, texts, payloads and load reports that exceed their limits are truncated. Callers must reject such values from
/// users beforehand.
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

/// Decodes a complete frame, such as one from a recorded trace.
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

/// Splits the byte stream of a connection into frames and decodes them.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    /// Offset in `buffer` of the first frame that has not been returned yet.
    position: usize,
}

impl FrameDecoder {
    /// Appends received bytes to the buffer, and discards frames that were returned before once the buffer holds
    /// nothing else or more than [`MAX_BODY`] bytes of them.
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

    /// Returns the next message and the bytes of its frame, or `None` if no complete frame has been received yet.
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
