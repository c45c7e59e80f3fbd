//! The protocol between placers and nodes: its messages, their bytes, and the frames that carry them.
//!
//! What this crate is not: it opens no socket, reads no clock and decides nothing. Which message follows which is up to
//! the two ends; `docs/node-protocol.md` states what each of them promises and describes the bytes for whoever writes a
//! node in another language.
//!
//! A reader needs three names: [`Message`] is everything that the ends can say to each other, [`encode`] returns the
//! bytes of a message's frame, and [`FrameDecoder`] cuts the bytes of a connection into frames and decodes them.
//!
//! ```
//! use reedring_node_protocol::{FrameDecoder, Message, encode};
//!
//! let bytes = encode(&Message::Probe { nonce: 7 });
//! let mut decoder = FrameDecoder::default();
//! decoder.push(&bytes);
//! let received = decoder.next_message()?.map(|(message, _frame)| message);
//! assert_eq!(received, Some(Message::Probe { nonce: 7 }));
//! # Ok::<(), reedring_node_protocol::FrameError>(())
//! ```
//!
//! # Frames
//!
//! A frame is an 8-byte header (length of the body, protocol version, message kind, flags), the body, and a CRC-32C of
//! both. After a [`FrameError`] the connection has to be closed: where the next frame begins is not known. A corrupted
//! frame is never taken for another one, and an answer names the attempt that it is about, whose id holds the
//! incarnation of the placer that made it.
//!
//! # Versions
//!
//! A message is sent in the lowest version that can express it, so that a placer without configuration agreement is
//! understood by every node. Version 2 added agreement on configurations, version 3 deltas between them. The
//! decoder accepts every version up to [`VERSION`]; the version decides which fields a body has. Flags of the header that are
//! not known are ignored, so that a later version can add them.
//!
//! # How to add a message kind
//!
//! 1. Add the variant to [`Message`] (`message/mod.rs`), with its fields and who sends it when.
//! 2. Give it a number in `codec/tags.rs`: up to 64 for placers, from 65 for nodes. Numbers are never reused.
//! 3. Write its body: `impl Wire` for new types in the module of their group (`codec/handshake.rs`,
//!    `codec/task.rs`, `codec/outcome.rs`, `codec/configuration.rs`, `codec/request.rs`, `codec/delta.rs`), and one arm each in `kind_of`, `encode_body` and
//!    `decode_body` (`codec/mod.rs`). The compiler asks for the first two; a round trip fails
//!    without the third.
//! 4. If former ends can't read it, raise [`VERSION`] and give the kind that version in `required_version`.
//! 5. Add its counter to [`MessageKind`] (`traffic/message_kind.rs`).
//! 6. Add a strategy to `tests/frames.rs`, its values and its frame to `tests/golden.rs` and `tests/golden/frames.txt`
//!    (lines that are there never change), and a row to `docs/node-protocol.md`.
#![forbid(unsafe_code)]

mod codec;
mod configuration;
mod frame;
mod message;
mod traffic;

pub use codec::Field;
pub use configuration::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigRequest, ConfigVersion, Delta,
    DeltaStep, Edit, SectionKey, Table, VersionStamp, version_level,
};
pub use frame::{FrameDecoder, FrameError, decode, encode};
pub use message::{
    AttemptId, DeduplicationScope, Idempotency, InFlightState, InFlightTask, Message,
    RejectionReason, Task, TaskEnd, TaskSignalKind, VersionInfo,
};
pub use traffic::{Count, Counts, MessageKind, PeerCounters, PeerTraffic, Traffic, TrafficCounts};

/// The newest version of the protocol that this crate speaks.
pub const VERSION: u8 = 3;
/// The longest body of a frame, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// The longest name (of a placer, node, job, class, tenant, service or session), in bytes.
pub const MAX_NAME: usize = 256;
/// The longest explanation for operators, in bytes.
pub const MAX_TEXT: usize = 1024;
/// The longest text of a configuration, in bytes.
pub const MAX_PLAN: usize = 48 * 1024;
/// The longest payload of a task, in bytes.
pub const MAX_PAYLOAD: usize = 32 * 1024;
/// The most values of a load report.
pub const MAX_REPORT: usize = 8;
