//! Frames: length, version, kind, body, checksum; all numbers big-endian.

use crate::codec::{self, Head};
use crate::message::Message;
use crate::{MAX_BODY, VERSION};

/// Bytes before the body: length (4), version (1), kind (1), flags (1), a zero.
const HEADER: usize = 8;
/// Bytes after it: CRC-32C of all before.
const TRAILER: usize = 4;

/// Why bytes are no frame. A link is not read on after one.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The length is over the limit.
    #[error("frame: a body of {0} bytes, at most {MAX_BODY} fit")]
    Long(u32),
    /// Another version.
    #[error("frame: version {0}, this end speaks 1 to {VERSION}")]
    ConfigVersion(u8),
    /// The checksum does not fit.
    #[error("frame: the checksum does not fit")]
    Checksum,
    /// No such message.
    #[error("frame: kind {0} is no message")]
    Kind(u8),
    /// The body does not hold the message's fields.
    #[error("frame: kind {kind}: {field}")]
    Field {
        /// The kind.
        kind: u8,
        /// The field and what is wrong with it.
        field: String,
    },
}

/// The bytes of a message's frame.
///
/// Names, texts and payloads over their limits are cut to them; the core refuses such at the door.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut out = vec![0; HEADER];
    let head = codec::write(message, &mut out);
    let length = (out.len() - HEADER) as u32;
    out[..4].copy_from_slice(&length.to_be_bytes());
    (out[4], out[5], out[6]) = (head.version, head.kind, head.flags);
    let sum = crc32c::crc32c(&out);
    out.extend_from_slice(&sum.to_be_bytes());
    out
}

/// Cuts the bytes of a link into messages.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    at: usize,
}

impl Reader {
    /// Takes bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.at > 0 && self.at == self.buffer.len() {
            self.buffer.clear();
            self.at = 0;
        } else if self.at > MAX_BODY {
            self.buffer.drain(..self.at);
            self.at = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole message with its frame's bytes, if there is one.
    ///
    /// # Errors
    /// See [`FrameError`].
    pub fn next_message(&mut self) -> Result<Option<(Message, &[u8])>, FrameError> {
        let rest = &self.buffer[self.at..];
        let Some(header) = rest.first_chunk::<HEADER>() else {
            return Ok(None);
        };
        let [a, b, c, d, version, kind, flags, _] = *header;
        let length = u32::from_be_bytes([a, b, c, d]);
        if length as usize > MAX_BODY {
            return Err(FrameError::Long(length));
        }
        if !(1..=VERSION).contains(&version) {
            return Err(FrameError::ConfigVersion(version));
        }
        let body = HEADER + length as usize;
        if rest.len() < body + TRAILER {
            return Ok(None);
        }
        let sum = crc32c::crc32c(&rest[..body]).to_be_bytes();
        if rest[body..body + TRAILER] != sum {
            return Err(FrameError::Checksum);
        }
        let message = codec::read(
            Head {
                version,
                kind,
                flags,
            },
            &rest[HEADER..body],
        )?;
        let from = self.at;
        self.at += body + TRAILER;
        Ok(Some((message, &self.buffer[from..self.at])))
    }
}
