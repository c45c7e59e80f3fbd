//! The protocol between a placer and its nodes: messages, their bytes, and frames with a checksum.
//!
//! What this crate is not: it opens no socket and decides nothing. [`encode`] makes the bytes of a
//! frame, [`Reader`] cuts incoming bytes into frames and reads them; both ends use both.
//! `docs/node-protocol.md` describes the bytes for whoever writes a node in another language.
//!
//! A garbled frame is never taken for another: each frame ends in a CRC-32C, each answer names the
//! attempt it is about, and an attempt's id names the life of the placer that made it.
#![forbid(unsafe_code)]

mod codec;
mod delta;
mod frame;
mod message;
mod traffic;
mod versions;

pub use codec::decode;
pub use delta::{Delta, Edit, SectionKey, Table};
pub use frame::{FrameError, Reader, encode};
pub use message::{AttemptId, End, Group, Held, HeldState, Message, Reason, Repeat, Task, Topic};
pub use traffic::{Count, Counts, MessageKind, PeerTraffic, Traffic};
pub use versions::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigRequest, ConfigVersion, DeltaStep,
    VersionStamp, version_level,
};

/// The newest version of the protocol that this crate speaks. A frame has version 1 unless it says what only
/// version 2 can, so that who tells nothing of plans is read by every node; version 3 adds what changed between two
/// plans.
pub const VERSION: u8 = 3;
/// Bytes of a frame's body at most.
pub const MAX_BODY: usize = 64 * 1024;
/// Bytes of a name at most: placers, nodes, jobs, classes, tenants, services, sessions.
pub const MAX_NAME: usize = 256;
/// Bytes of a text at most: reasons for the staff.
pub const MAX_TEXT: usize = 1024;
/// Bytes of a plan's text at most.
pub const MAX_PLAN: usize = 48 * 1024;
/// Bytes of a task's payload at most.
pub const MAX_PAYLOAD: usize = 32 * 1024;
/// Values of a load report at most.
pub const MAX_REPORT: usize = 8;
