//! Record of the configurations by which a placer decided.

use serde::{Deserialize, Serialize};

/// The configuration by which a placer decided from a given time on.
///
/// The key of a row is that time, so that the configuration behind an attempt can be looked up by the attempt's time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ActiveConfigRow {
    /// Version number of the configuration.
    #[serde(rename = "plan")]
    pub version_number: u64,
    /// First bytes of the configuration's digest in hexadecimal, the same as in log lines.
    pub digest: String,
    /// Whether the change to this configuration is in its joint phase, in which the stricter of this and the preceding
    /// configuration applies.
    pub joint: bool,
    /// Revision of the node list in use.
    #[serde(rename = "list")]
    pub node_list_revision: u64,
}
