//! The platform's protocol, with no I/O: owners' binary messages ([`owner`]), hosts' JSON lines ([`host`]),
//! events of the notice board ([`board`]) and the configuration ([`config`]).
//!
//! Readers are incremental and bounded: bytes are pushed as they come, and no message of more than
//! [`MAX`] bytes is ever kept.
#![forbid(unsafe_code)]

pub mod client;
pub mod config;
pub mod discovery;
pub mod host;

/// Bytes of a message, its length field and line feed included.
pub const MAX: usize = 16 * 1024;

/// Cause of a set-up that is given up, and of a task that came to its end.
pub const GIVEN_UP: u8 = 16;
/// Cause of a task that was moved, or ended by its owner.
pub const CANCELLED: u8 = 31;
/// Cause of a refusal.
pub const FULL: u8 = 34;
/// Cause of what was cut or lost.
pub const CUT: u8 = 41;
/// Cause of an error.
pub const ERROR: u8 = 47;
/// Cause of a set-up that never left.
pub const MOOT: u8 = 102;

/// A 16-digit hexadecimal name, as tasks and messages carry it.
pub fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Bytes that came and were not read as messages yet.
#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    at: usize,
}

impl Pending {
    fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.at);
        self.at = 0;
        self.bytes.extend_from_slice(bytes);
    }

    fn rest(&self) -> &[u8] {
        &self.bytes[self.at..]
    }

    fn take(&mut self, count: usize) {
        self.at += count;
        if self.at == self.bytes.len() {
            // An idle connection keeps no buffer.
            (self.bytes, self.at) = (Vec::new(), 0);
        }
    }
}
