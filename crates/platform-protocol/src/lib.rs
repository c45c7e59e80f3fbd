//! The platform's protocols, with no I/O: binary messages of clients ([`client`]), JSON lines of hosts ([`host`]), watch
//! events of discovery ([`discovery`]) and the configuration ([`config`]).
//!
//! Readers are incremental and bounded: bytes are pushed as they are received, and no message of more than [`MAX`] bytes
//! is ever kept.
//!
//! To add a message, change in this order:
//!
//! 1. the variant: `FromHost` or `ToHost` in `host/mod.rs`, `FromClient` or `ToClient` in `client/mod.rs`. A client's
//!    message also needs its type in `client::kind` there, and new parameters their codes in `client::code`;
//! 2. the codec: `host/decode.rs` or `host/encode.rs` with the word of the type on the wire, `client/decode.rs` or
//!    `client/encode.rs`. A type that is listed as ignored leaves that list;
//! 3. `host/error.rs` or `client/error.rs`, if it can be wrong in a new way;
//! 4. `tests/messages.rs`, and a new case in `tests/golden.rs`; what stands there stays as it is;
//! 5. the platform: `message_log.rs`, and `hosts/messages.rs` or `clients/mod.rs` for a message that comes in.
#![forbid(unsafe_code)]

pub mod client;
pub mod config;
pub mod discovery;
pub mod host;

/// Bytes of a message, its length field and line feed included.
pub const MAX: usize = 16 * 1024;

// Causes of releases and failures. Any byte is a valid cause; these are the ones that a placer knows.

/// 16 has two meanings, by who sends it:
///
/// - a placer to a host: the attempt is given up, also where the host accepted it too late;
/// - a host to a placer, about a running task: the task finished. The placer passes it on to the task's client.
///
/// It also stands in for the cause that a client's release lacks.
pub const GIVEN_UP: u8 = 16;
/// A placer to a host: stop this running task, as its client cancelled it or it is moved. A host to a placer: a running
/// task was stopped.
pub const CANCELLED: u8 = 31;
/// A refusal: of an attempt by a host, and of a request to its client, which promises that nothing ran.
pub const FULL: u8 = 34;
/// To a client: its request failed or its task was lost. It promises nothing: the task may have run. From a host it means
/// what any cause means that is not named here: whether the attempt ran is unknown, or the task was lost.
pub const CUT: u8 = 41;
/// A host to a placer: the attempt failed with an error. To a client: its message is rejected.
pub const ERROR: u8 = 47;
/// A host to a placer: the attempt never started, as if it had not been sent.
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
