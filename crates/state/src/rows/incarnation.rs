//! Record of the incarnations of a placer that wrote to the ledger.

use serde::{Deserialize, Serialize};

/// One incarnation of a placer, from its start to its last write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct IncarnationRecord {
    /// Incarnation number, the same as on the wire to nodes and clients.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of its last write, in microseconds since 1970.
    #[serde(rename = "until")]
    pub last_write_at: u64,
}
