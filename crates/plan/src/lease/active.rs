//! The configuration by which a placer acts.

use reedring_node_protocol::{ConfigVersion, version_level};

/// The configuration by which a placer acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The committed configuration; number 0 where the first one is only chosen.
    pub committed: ConfigVersion,
    /// The configuration that is chosen to follow: the placer acts by the stricter of both.
    pub next: Option<ConfigVersion>,
    /// A later configuration of its own settings file that is not chosen yet, within whose bounds it stays as well.
    pub local_ahead: Option<ConfigVersion>,
}

/// The version that a placer puts on its offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ActiveVersion {
    /// The configuration.
    pub version: ConfigVersion,
    /// The placer acts by the stricter of it and the one before.
    pub joint: bool,
}

impl ActiveVersion {
    /// Its version level.
    pub fn level(&self) -> u64 {
        version_level(self.version, self.joint)
    }
}

impl ActiveConfig {
    /// The version that its offers name.
    pub fn version(&self) -> ActiveVersion {
        ActiveVersion {
            version: self.next.unwrap_or(self.committed),
            joint: self.next.is_some(),
        }
    }

    /// The version level of its offers.
    pub fn level(&self) -> u64 {
        self.version().level()
    }
}
