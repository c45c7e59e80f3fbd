//! Traces of what crossed the sockets of placers and nodes. The format is a line of magic, then records, each with its
//! length and a CRC-32C:
//!
//! ```text
//! record  = length u32, body, crc32c(body) u32          (big-endian)
//! body    = kind u8, time u64 (microseconds since the trace began), link u64,
//!           place (u16 length, UTF-8), peer (u16 length, UTF-8), bytes (the rest)
//! ```

//! Values are stable: a trace is read by later versions of this program.

mod merge;
mod read;
mod record;
mod recorder;
#[cfg(test)]
mod tests;

pub use self::merge::merge;
pub use self::read::{RecordProblem, TraceError, read};
pub use self::record::{Event, Frame};
pub use self::recorder::Recorder;

/// The first line of a trace.
const MAGIC: &[u8] = b"reedring trace 1\n";
/// Bytes of one record at most: the largest response to a client, and a little.
const MAX_RECORD_BYTES: usize = 80 << 20;
