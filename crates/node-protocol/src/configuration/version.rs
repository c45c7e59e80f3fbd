//! Identifiers of configurations, ballots, and the version stamps of placers.

use std::fmt;

/// The first 16 bytes of the SHA-256 digest of a configuration's canonical text. Printed as its first 4 bytes in
/// hexadecimal.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigDigest(pub [u8; 16]);

impl fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0
            .iter()
            .take(4)
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for ConfigDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// Identifies a configuration by its number and the digest of its text. Number 0 means no configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion {
    /// The number; a later configuration has a greater one.
    pub number: u64,
    /// The digest of the text.
    pub digest: ConfigDigest,
}

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.number, self.digest)
    }
}

/// A ballot in the agreement on the next configuration. A greater ballot preempts a smaller one. Each ballot is used by
/// only one incarnation of one placer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// The round, which is compared before the proposer.
    pub round: u64,
    /// The incarnation of the proposing placer.
    pub proposer: u64,
}

/// The configuration, node list and build by which a placer decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionStamp {
    /// The configuration; if `joint`, the one that is being introduced.
    pub version: ConfigVersion,
    /// Whether the configuration is in its joint phase: for each bound, the placer applies the stricter one of this
    /// configuration and the previous one.
    pub joint: bool,
    /// The revision of the placer's node list; 0 if the list has none.
    pub list_revision: u64,
    /// The CRC-32C checksum of the build name that the placer sends in its [`Message::Hello`](crate::Message::Hello).
    pub build: u32,
}

/// A number that orders configurations and the joint phases between them: twice the configuration's number, minus one
/// while it is joint with the previous configuration.
pub fn version_level(version: ConfigVersion, joint: bool) -> u64 {
    version
        .number
        .saturating_mul(2)
        .saturating_sub(u64::from(joint))
}

impl VersionStamp {
    /// The [`version_level`] of the configuration. A node rejects offers whose level is below its floor.
    pub fn level(&self) -> u64 {
        version_level(self.version, self.joint)
    }
}
