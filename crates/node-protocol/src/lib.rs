//! The protocol between placers and nodes: messages, their encoding, and framing.
//!
//! This crate only encodes and decodes. It opens no socket, reads no clock, and does not check the order of messages.
//! `docs/node-protocol.md` specifies what placers and nodes guarantee to each other, and the format of each message,
//! which is needed to implement a node in another language.
//!
//! The main items are [`Message`], an enum of all messages; [`encode`], which encodes a message as a frame; and
//! [`FrameDecoder`], which splits the byte stream of a connection into frames and decodes them.
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
//! both. After a [`FrameError`] the connection must be closed, because the position of the next frame is unknown. The
//! checksum detects corrupted frames. Messages about an attempt contain its id, which includes the incarnation of the
//! placer that made the attempt, so that a restarted placer can recognize the attempts of its predecessor.
//!
//! # Versions
//!
//! A message is sent in the lowest version in which it can be encoded, so that every node can decode the messages of a
//! placer that does not use configuration agreement. Version 2 added agreement on configurations, version 3 deltas
//! between them. The decoder accepts every version from 1 to [`VERSION`]; the version determines which fields a body
//! has. Unknown flags in the header are ignored, so that a later version can add flags.
//!
//! # How to add a message kind
//!
//! 1. Add the variant to [`Message`] (`message/mod.rs`). Document its fields, who sends it, and when.
//! 2. Assign a kind number in `codec/tags.rs`: up to 64 if placers send it, from 65 on if nodes do. Never reuse a
//!    number.
//! 3. Implement the encoding of the body: `impl Wire` for new types in the matching submodule of `codec`, and one arm
//!    each in `kind_of`, `encode_body` and `decode_body` (`codec/mod.rs`). The compiler reports a missing arm in the
//!    first two; the round-trip test fails if the arm in `decode_body` is missing.
//! 4. If earlier versions can't decode the message, raise [`VERSION`] and return the new version for it in
//!    `required_version`.
//! 5. Add the message to [`MessageKind`] (`traffic/message_kind.rs`), which adds its counter.
//! 6. Add a strategy to `tests/frames.rs`, values to `tests/golden.rs`, frames to `tests/golden/frames.txt` (existing
//!    lines must not change), and a row to `docs/node-protocol.md`.
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

/// The newest protocol version that this crate supports.
pub const VERSION: u8 = 3;
/// Maximum length of a frame's body, in bytes.
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum length of a name, in bytes: of a placer, node, build, session, job, class, tenant, service or configuration
/// section.
pub const MAX_NAME: usize = 256;
/// Maximum length of the explanation in a rejection or in a task's end, in bytes.
pub const MAX_TEXT: usize = 1024;
/// Maximum length of the text of a configuration, in bytes.
pub const MAX_PLAN: usize = 48 * 1024;
/// Maximum length of a task's payload, in bytes.
pub const MAX_PAYLOAD: usize = 32 * 1024;
/// Maximum number of values in a load report.
pub const MAX_REPORT: usize = 8;
