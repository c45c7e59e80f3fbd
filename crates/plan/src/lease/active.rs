//! The configuration that a placer applies, and the version on its offers.

use reedring_node_protocol::{ConfigVersion, version_level};

/// The configuration that a placer applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The committed configuration; number 0 if none is committed and the first one is only chosen.
    pub committed: ConfigVersion,
    /// The chosen successor of the committed configuration: the placer applies the stricter bound of the two.
    pub next: Option<ConfigVersion>,
    /// A later configuration in the placer's own settings file that is not chosen yet. The placer stays within its
    /// bounds as well.
    pub local_ahead: Option<ConfigVersion>,
}

/// The version with which a placer stamps its offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ActiveVersion {
    /// The newest configuration that the placer applies.
    pub version: ConfigVersion,
    /// Whether the placer applies the stricter bound of this configuration and its predecessor.
    pub joint: bool,
}

impl ActiveVersion {
    /// The version level: twice the number, and one less if joint.
    pub fn level(&self) -> u64 {
        version_level(self.version, self.joint)
    }
}

impl ActiveConfig {
    /// The version with which the placer stamps its offers.
    pub fn version(&self) -> ActiveVersion {
        ActiveVersion {
            version: self.next.unwrap_or(self.committed),
            joint: self.next.is_some(),
        }
    }

    /// The version level of the placer's offers.
    pub fn level(&self) -> u64 {
        self.version().level()
    }
}
