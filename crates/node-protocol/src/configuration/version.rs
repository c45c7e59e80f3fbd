//! Which configuration: versions, ballots and stamps.

use std::fmt;

/// The first half of the SHA-256 of a configuration's canonical text.
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

/// A configuration: its number and the digest of its text. Number 0 means none.
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

/// A ballot of the agreement on the next configuration. The greater one preempts the smaller one, and each is used by
/// one incarnation of one placer only.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The incarnation of the placer that proposes.
    pub proposer: u64,
}

/// By which configuration, node list and build a placer decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionStamp {
    /// The configuration; where `joint`, the one that is being introduced.
    pub version: ConfigVersion,
    /// Whether the placer obeys the stricter bound of that configuration and the one before, in each respect.
    pub joint: bool,
    /// The revision of its node list; 0 where the list has none.
    pub list_revision: u64,
    /// The CRC-32C of its build's name, as its hello gives it.
    pub build: u32,
}

/// Orders configurations and the joint phases between them: twice the number, and one less while it is joint with the
/// one before.
pub fn version_level(version: ConfigVersion, joint: bool) -> u64 {
    version
        .number
        .saturating_mul(2)
        .saturating_sub(u64::from(joint))
}

impl VersionStamp {
    /// Its [`version_level`]. A node rejects offers whose level is under its floor.
    pub fn level(&self) -> u64 {
        version_level(self.version, self.joint)
    }
}
