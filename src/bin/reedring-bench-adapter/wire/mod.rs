//! The simulator's wire format: frames to records and back, without state.
//!
//! A batch is a header ([`BatchHeader`]), records of [`EVENT_BYTES`] each, and a tail that holds
//! their texts and lists. A reply is a header, actions of [`ACTION_BYTES`] each, and a tail.
//! Numbers are big-endian.

mod codes;
mod cursor;
mod decode;
mod encode;
mod error;

pub use self::decode::{BatchHeader, decode_records};
pub use self::encode::Reply;
pub use self::error::WireError;
use reedring::{Event, Machine};

/// Bytes of a batch header.
pub const HEADER_BYTES: usize = 16;
/// Bytes of one record of a batch.
const EVENT_BYTES: usize = 56;
/// Bytes of one action of a reply.
const ACTION_BYTES: usize = 24;
/// Bytes of one entry of a machine list, in the tail.
const MACHINE_BYTES: usize = 33;

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The records after this belong to this instance.
    At(u16),
    /// A fresh instance: its seed and its settings as JSON.
    Init(u64, String),
    /// The instance is killed.
    Exit,
    /// A machine list, under a number that is valid until it is used again.
    List(u16, Vec<Machine>),
    /// The machine list of this instance changed: how, and the number of the list.
    Update(ListUpdate, u16),
    /// Any other event, as the library knows it.
    Event(Event),
}

/// What an update of the machine list holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListUpdate {
    /// The entries that changed.
    Delta,
    /// A snapshot.
    Full,
    /// A snapshot, as it was before a restart.
    Cached,
    /// Nothing: the request failed.
    Failed,
}
