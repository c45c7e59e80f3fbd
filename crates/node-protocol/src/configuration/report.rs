//! What a node reports of its acceptor.

use super::version::{Ballot, ConfigVersion, version_level};

/// A configuration that a node has accepted and that is not committed there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedVersion {
    /// The ballot with which it was accepted.
    pub ballot: Ballot,
    /// The configuration.
    pub version: ConfigVersion,
    /// Whether it is in its joint phase: offers by the older configuration alone are rejected.
    pub joint: bool,
}

/// The state of a node's acceptor, as placers see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptorReport {
    /// The committed configuration; number 0 where there is none.
    pub committed: ConfigVersion,
    /// The accepted one that is to follow it.
    pub accepted: Option<AcceptedVersion>,
    /// The greatest ballot that the node has answered.
    pub promised: Ballot,
    /// The greatest revision of a node list that the node has seen.
    pub list_revision: u64,
    /// Milliseconds since the node's floor last rose.
    pub floor_age_ms: u64,
    /// Placers that are connected to the node.
    pub connected_placers: u16,
    /// Those among them whose last stamp is under the node's floor.
    pub lagging_placers: u16,
    /// Whether the node can't persist its state; it votes for nothing new then.
    pub cannot_persist: bool,
    /// Whether the node is a learner: it stores no configuration and does not vote, and reports as accepted and joint
    /// the configuration that its floor comes from.
    pub is_learner: bool,
    /// Whether the node reads deltas between configurations, which is version 3 of the protocol.
    pub reads_deltas: bool,
}

impl AcceptorReport {
    /// The node rejects offers under this [`version_level`].
    pub fn floor(&self) -> u64 {
        match &self.accepted {
            Some(accepted) if accepted.joint => version_level(accepted.version, true),
            _ => version_level(self.committed, false),
        }
    }
}
