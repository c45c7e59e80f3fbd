//! Encoders and decoders for the platform's protocols, without I/O: binary messages of clients ([`client`]), JSON lines of
//! hosts ([`host`]), watch events of discovery ([`discovery`]) and the configuration of a placer ([`config`]).
//!
//! The readers of clients' and hosts' input are incremental: bytes are pushed as they are received. They reject a message of
//! more than [`MAX`] bytes.
//!
//! To add a message, change in this order:
//!
//! 1. the variant: `FromHost` or `ToHost` in `host/mod.rs`, `FromClient` or `ToClient` in `client/mod.rs`. A message to or
//!    from clients also needs its type in `client::kind`, and each new parameter its code in `client::code`;
//! 2. the codec: `host/decode.rs` or `host/encode.rs` (with the value of the member `type`), `client/decode.rs` or
//!    `client/encode.rs`. If the type is decoded as `Ignored` so far, remove it from that match arm;
//! 3. `host/error.rs` or `client/error.rs`, if decoding can fail in a new way;
//! 4. `tests/messages.rs`, and a new case in `tests/golden.rs`, whose existing cases must not change;
//! 5. the package `reedring-platform`: `message_log.rs`, and `hosts/messages.rs` or `clients/mod.rs` for a message that is
//!    received.
#![forbid(unsafe_code)]

pub mod client;
pub mod config;
pub mod discovery;
pub mod host;

/// Maximum size of a message in bytes, including its length field or line feed.
pub const MAX: usize = 16 * 1024;

// Causes of releases and failures. Any byte is a valid cause; a placer knows the following ones.

/// The meaning depends on the sender:
///
/// - from a placer to a host: the attempt is given up, also if the host accepted it too late;
/// - from a host to a placer, about a running task: the task finished. The placer passes it on to the task's client.
///
/// It is also the default for a client's release without a cause.
pub const GIVEN_UP: u8 = 16;
/// From a placer to a host: stop this running task, because its client cancelled it or it is moved. From a host to a
/// placer: a running task was stopped.
pub const CANCELLED: u8 = 31;
/// From a host to a placer: the host refused the attempt. To a client: its request is refused, and nothing of it ran.
pub const REFUSED: u8 = 34;
/// To a client: its request failed or its task was lost; the task may have run. From a host, it is treated like any cause
/// that has no constant here: it is unknown whether the attempt ran, or the running task was lost.
pub const FAILED: u8 = 41;
/// From a host to a placer: the attempt failed with an error. To a client: its message is rejected.
pub const ERROR: u8 = 47;
/// From a host to a placer: the attempt never started, as if it had not been sent.
pub const NOT_STARTED: u8 = 102;

/// Parses an id, key or seed of exactly 16 hexadecimal digits; `None` for any other text.
pub fn hex(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    digits.then(|| u64::from_str_radix(text, 16).ok()).flatten()
}

/// Input that was received but not decoded yet.
#[derive(Debug, Default)]
struct InputBuffer {
    bytes: Vec<u8>,
    /// Length of the prefix of `bytes` that was consumed already; it is removed at the next push.
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
            // Frees the memory: an idle connection keeps no buffer.
            (self.bytes, self.start) = (Vec::new(), 0);
        }
    }
}
