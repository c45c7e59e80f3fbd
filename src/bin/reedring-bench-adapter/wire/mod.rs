//! The simulator's wire format: decodes batches to records and encodes actions to replies.
//!
//! A batch is a header ([`BatchHeader`]), records of [`EVENT_BYTES`] each, and a tail with their texts
//! and lists. A reply is a header, actions of [`ACTION_BYTES`] each, and a tail. Numbers are
//! big-endian.

mod codes;
mod cursor;
mod decode;
mod encode;
mod error;

pub use self::decode::{BatchHeader, decode_records};
pub use self::encode::Reply;
pub use self::error::WireError;
use reedring::{Event, Machine};

/// Size of the header of a batch, in bytes.
pub const HEADER_BYTES: usize = 16;
/// Size of a record of a batch, in bytes.
const EVENT_BYTES: usize = 56;
/// Size of an action of a reply, in bytes.
const ACTION_BYTES: usize = 24;
/// Size of an entry of a machine list in the tail, in bytes.
const MACHINE_BYTES: usize = 33;

/// A record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The records after this one belong to the instance with this number.
    At(u16),
    /// Starts the instance, or replaces a running one. Has its seed and its settings as JSON.
    Init(u64, String),
    /// Removes the instance, as if its process was killed.
    Exit,
    /// A machine list and its number, which refers to this list until another one has the same number.
    List(u16, Vec<Machine>),
    /// An update of the instance's machine list, and the number of the list that has the entries.
    Update(ListUpdate, u16),
    /// An event that is passed to the placer unchanged.
    Event(Event),
}

/// The content of an update of the machine list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListUpdate {
    /// The entries that changed.
    Delta,
    /// The entries of all machines.
    Full,
    /// The entries of all machines, from before a restart.
    Cached,
    /// Nothing: the request failed.
    Failed,
}
