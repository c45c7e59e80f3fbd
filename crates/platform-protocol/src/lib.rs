//! The platform's protocols, with no I/O: binary messages of clients ([`client`]), JSON lines of hosts ([`host`]), watch
//! events of discovery ([`discovery`]) and the configuration ([`config`]).
//!
//! Readers are incremental and bounded: bytes are pushed as they are received, and no message of more than [`MAX`] bytes
//! is ever kept.
#![forbid(unsafe_code)]

pub mod client;
pub mod config;
pub mod discovery;
pub mod host;

/// Bytes of a message, its length field and line feed included.
pub const MAX: usize = 16 * 1024;

/// Cause of an attempt that is given up, and of a task that finished.
pub const GIVEN_UP: u8 = 16;
/// Cause of a task that was moved, or stopped by its client.
pub const CANCELLED: u8 = 31;
/// Cause of a refusal.
pub const FULL: u8 = 34;
/// Cause of a task or attempt that was lost.
pub const CUT: u8 = 41;
/// Cause of an error.
pub const ERROR: u8 = 47;
/// Cause of an attempt that was never sent.
pub const MOOT: u8 = 102;

/// A 16-digit hexadecimal name, as tasks and messages carry it.
pub fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Input that was received and not read as messages yet.
#[derive(Debug, Default)]
struct InputBuffer {
    bytes: Vec<u8>,
    /// Bytes of `bytes` that were read.
    start: usize,
}

impl InputBuffer {
    fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.extend_from_slice(bytes);
    }

    fn unread(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            // An idle connection keeps no buffer.
            (self.bytes, self.start) = (Vec::new(), 0);
        }
    }
}
