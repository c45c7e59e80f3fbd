//! The cluster as one placer sees it: the last report of each listed node, and what these reports prove together.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use reedring_node_protocol::{AcceptorReport, Ballot, ConfigVersion};

use crate::membership::{MemberRole, Membership, NodeNumber};

/// What a placer knows of one listed node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing: there was no handshake yet.
    #[default]
    Unknown,
    /// It speaks version 1 of the node protocol and persists no configurations.
    Legacy,
    /// Its last report.
    Reported(AcceptorReport),
}

impl PeerState {
    /// Its last report.
    pub fn report(&self) -> Option<&AcceptorReport> {
        match self {
            Self::Reported(report) => Some(report),
            Self::Unknown | Self::Legacy => None,
        }
    }
}

/// Every listed node, by the number that its placer gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Revision of the node list.
    pub list_revision: u64,
    /// Which of the nodes vote.
    pub membership: Membership,
    /// The nodes.
    pub nodes: BTreeMap<NodeNumber, PeerState>,
}

impl ClusterView {
    /// The role of a node.
    pub fn role(&self, node: NodeNumber) -> MemberRole {
        self.membership.role(node)
    }

    /// Whether a node votes.
    pub fn is_voter(&self, node: NodeNumber) -> bool {
        self.role(node) == MemberRole::Voter
    }

    /// The listed nodes that vote.
    pub fn voters(&self) -> impl Iterator<Item = (NodeNumber, &PeerState)> {
        let nodes = self.nodes.iter().map(|(node, peer)| (*node, peer));
        nodes.filter(|(node, _)| self.is_voter(*node))
    }

    /// How many voters are a majority of all voters, reachable or not.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters that satisfy a condition are a majority of all voters.
    pub fn has_quorum(&self, condition: impl Fn(NodeNumber) -> bool) -> bool {
        let count = self.voters().filter(|(node, _)| condition(*node)).count();
        count >= self.quorum_size()
    }

    /// The reports of all nodes that persist configurations, whether they vote by this list or not.
    pub fn acceptors(&self) -> impl Iterator<Item = (NodeNumber, &AcceptorReport)> {
        let reports = self
            .nodes
            .iter()
            .filter_map(|(node, peer)| Some((*node, peer.report()?)));
        reports.filter(|(_, report)| !report.is_learner)
    }

    /// The reports of the voters that persist configurations.
    pub fn voting_acceptors(&self) -> impl Iterator<Item = (NodeNumber, &AcceptorReport)> {
        self.acceptors().filter(|(node, _)| self.is_voter(*node))
    }

    /// A majority of the voters persists nothing: configurations can't be agreed on yet.
    pub fn has_legacy_quorum(&self) -> bool {
        let legacy = self
            .voters()
            .filter(|(_, peer)| **peer == PeerState::Legacy);
        legacy.count() >= self.quorum_size()
    }

    /// The newest configuration that any acceptor reports as committed. One report proves it, as only a placer that had
    /// counted a majority sends a commit.
    pub fn committed(&self) -> ConfigVersion {
        let committed = self.acceptors().map(|(_, report)| report.committed);
        committed.max().unwrap_or_default()
    }

    /// The newest configuration that learners know of. Some placer acted by it, so it was chosen.
    pub fn newest_learned(&self) -> ConfigVersion {
        let reports = self.nodes.values().filter_map(PeerState::report);
        let learned = reports.filter(|report| report.is_learner);
        let versions = learned.filter_map(|report| Some(report.accepted?.version));
        versions.max().unwrap_or_default()
    }

    /// The configuration that is chosen to follow this one.
    ///
    /// | reports of nodes that have committed `follows` | chosen |
    /// | --- | --- |
    /// | one acceptor has entered the joint phase | yes: only a placer that had counted a majority tells it to |
    /// | a majority of the voters accepted it with one and the same ballot | yes |
    /// | a majority accepted it with several ballots | no: an older one may have been preempted on the way |
    /// | fewer | no |
    ///
    /// A vote that could not be persisted does not count.
    pub fn chosen(&self, follows: ConfigVersion) -> Option<ConfigVersion> {
        let mut votes: BTreeMap<(Ballot, ConfigVersion), usize> = BTreeMap::new();
        let reports = self
            .acceptors()
            .filter(|(_, report)| report.committed == follows);
        for (node, report) in reports {
            let Some(accepted) = report.accepted else {
                continue;
            };
            if accepted.joint {
                return Some(accepted.version);
            }
            let is_vote = self.is_voter(node) && !report.cannot_persist;
            *votes
                .entry((accepted.ballot, accepted.version))
                .or_default() += usize::from(is_vote);
        }
        let quorum = self.quorum_size();
        let chosen = votes.into_iter().find(|(_, count)| *count >= quorum);
        chosen.map(|((_, version), _)| version)
    }

    /// How many voters have persisted that this configuration is in its joint phase, committed, or replaced by a later
    /// one.
    pub fn joint_count(&self, version: ConfigVersion) -> usize {
        let is_joint = |report: &AcceptorReport| {
            let accepted = report.accepted;
            accepted.is_some_and(|accepted| accepted.joint && accepted.version == version)
                || report.committed.number >= version.number
        };
        self.voting_acceptors()
            .filter(|(_, report)| !report.cannot_persist && is_joint(report))
            .count()
    }

    /// The most placers that any one node reports as connected to it.
    pub fn connected_placers(&self) -> u32 {
        let reports = self.nodes.values().filter_map(PeerState::report);
        let connected = reports.map(|report| u32::from(report.connected_placers));
        connected.max().unwrap_or(0)
    }
}
