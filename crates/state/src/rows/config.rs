//! The configuration by which a placer decides.

use serde::{Deserialize, Serialize};

/// The configuration by which a placer decided from some time on.
///
/// Rows are keyed by that time: with the time of an attempt they tell by which configuration it was decided.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveConfigRow {
    /// The number of the configuration's version.
    #[serde(rename = "plan")]
    pub version_number: u64,
    /// The first bytes of its digest in hexadecimal, as log lines have them.
    pub digest: String,
    /// The joint phase: the stricter of this configuration and the one before applies.
    pub joint: bool,
    /// Revision of the node list.
    #[serde(rename = "list")]
    pub node_list_revision: u64,
}
