//! The cluster as one placer sees it: the last report of each listed node, and what these reports prove together.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use reedring_node_protocol::{AcceptorReport, Ballot, ConfigVersion};

use crate::membership::{MemberRole, Membership, NodeNumber};

/// What a placer knows about one listed node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing yet: there was no handshake with the node.
    #[default]
    Unknown,
    /// The node speaks version 1 of the node protocol and persists no configurations.
    Legacy,
    /// The last report that the node sent.
    Reported(AcceptorReport),
}

impl PeerState {
    /// The last report that the node sent; `None` if it has sent none.
    pub fn report(&self) -> Option<&AcceptorReport> {
        match self {
            Self::Reported(report) => Some(report),
            Self::Unknown | Self::Legacy => None,
        }
    }
}

/// The listed nodes as one placer sees them, by the number that the placer gives each node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Revision of the placer's node list.
    pub list_revision: u64,
    /// Which of the nodes vote.
    pub membership: Membership,
    /// What is known about each listed node.
    pub nodes: BTreeMap<NodeNumber, PeerState>,
}

impl ClusterView {
    /// Whether a node is a voter or a learner according to the node list.
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

    /// The size of a majority of all voters, reachable or not.
    pub fn quorum_size(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether a majority of all voters satisfies a condition.
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

    /// Whether a majority of the voters persists no configurations, so that none can be agreed on yet.
    pub fn has_legacy_quorum(&self) -> bool {
        let legacy = self
            .voters()
            .filter(|(_, peer)| **peer == PeerState::Legacy);
        legacy.count() >= self.quorum_size()
    }

    /// The newest configuration that any acceptor reports as committed; number 0 where there is none. One report is
    /// proof, because a placer sends a commit only after a majority of the voters entered the joint phase.
    pub fn committed(&self) -> ConfigVersion {
        let committed = self.acceptors().map(|(_, report)| report.committed);
        committed.max().unwrap_or_default()
    }

    /// The newest configuration that any learner reports; number 0 where there is none. Learners take it from the stamp
    /// of a placer that applied it, so it was chosen.
    pub fn newest_learned(&self) -> ConfigVersion {
        let reports = self.nodes.values().filter_map(PeerState::report);
        let learned = reports.filter(|report| report.is_learner);
        let versions = learned.filter_map(|report| Some(report.accepted?.version));
        versions.max().unwrap_or_default()
    }

    /// The configuration that is chosen as the successor of `follows`, if the reports prove one.
    ///
    /// | reports of nodes that have committed `follows` | chosen |
    /// | --- | --- |
    /// | one acceptor has entered the joint phase | yes: a placer requests that only after it counted a majority |
    /// | a majority of the voters accepted it with one and the same ballot | yes |
    /// | a majority accepted it, but with different ballots | no: a vote with an older ballot may have been preempted |
    /// | fewer | no |
    ///
    /// The vote of an acceptor that can't persist its state does not count.
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

    /// How many voters have persisted this configuration as joint or committed, or a later one as committed.
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

    /// The largest number of connected placers that any single node reports; 0 without reports.
    pub fn connected_placers(&self) -> u32 {
        let reports = self.nodes.values().filter_map(PeerState::report);
        let connected = reports.map(|report| u32::from(report.connected_placers));
        connected.max().unwrap_or(0)
    }
}
