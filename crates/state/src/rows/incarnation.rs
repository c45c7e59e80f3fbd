//! The runs of a placer that wrote to the ledger.

use serde::{Deserialize, Serialize};

/// One run of a placer, from its start to its last write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// The incarnation number, as nodes and clients know it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Microseconds since 1970 of its last write.
    #[serde(rename = "until")]
    pub last_write_at: u64,
}
