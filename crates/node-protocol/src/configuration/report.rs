//! The report of a node about the state of its acceptor.

use super::version::{Ballot, ConfigVersion, version_level};

/// A configuration that a node has accepted but not committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedVersion {
    /// The ballot with which it was accepted.
    pub ballot: Ballot,
    /// The accepted configuration.
    pub version: ConfigVersion,
    /// Whether the configuration is in its joint phase, in which the node rejects offers that were decided by the older
    /// configuration alone.
    pub joint: bool,
}

/// The state of a node's acceptor, as reported to placers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptorReport {
    /// The committed configuration; number 0 if there is none.
    pub committed: ConfigVersion,
    /// The configuration that is accepted as the successor of the committed one; `None` if there is none.
    pub accepted: Option<AcceptedVersion>,
    /// The greatest ballot that the node has promised, for the successor of the committed configuration.
    pub promised: Ballot,
    /// The greatest node list revision that the node has received from a placer.
    pub list_revision: u64,
    /// Milliseconds since the node's floor last rose.
    pub floor_age_ms: u64,
    /// Number of placers that are connected to the node and have sent a version stamp.
    pub connected_placers: u16,
    /// Number of those placers whose last version stamp is below the node's floor.
    pub lagging_placers: u16,
    /// Whether the node is unable to persist its state. It then casts no new votes.
    pub cannot_persist: bool,
    /// Whether the node is a learner, which persists no configuration and does not vote. It reports the configuration
    /// that determines its floor as accepted and joint.
    pub is_learner: bool,
    /// Whether the node can decode deltas between configurations, which requires protocol version 3.
    pub reads_deltas: bool,
}

impl AcceptorReport {
    /// The node's floor: the lowest [`version_level`] of offers that the node considers; it rejects those below.
    pub fn floor(&self) -> u64 {
        match &self.accepted {
            Some(accepted) if accepted.joint => version_level(accepted.version, true),
            _ => version_level(self.committed, false),
        }
    }
}
