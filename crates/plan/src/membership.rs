//! Which nodes of the node list vote on configurations, and which are learners.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

/// The number that a placer gives a node of its node list.
pub type NodeNumber = u32;

/// The role of a listed node in the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// The node votes and persists configurations, and its answers renew the read lease.
    Voter,
    /// The node does not vote: it takes the newest configuration from the version stamps of the placers' messages.
    Learner,
}

/// The voters of a node list.
///
/// | nodes that the list marks `control = true` | voters |
/// | --- | --- |
/// | none | every node |
/// | some | the marked nodes, even if none of them is reachable |
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// Every node votes.
    #[default]
    AllNodes,
    /// Only these nodes vote.
    ControlNodes(BTreeSet<NodeNumber>),
}

impl Membership {
    /// The membership of a node list that marks these nodes as control machines; without any, every node votes.
    pub fn from_control_nodes(control: BTreeSet<NodeNumber>) -> Self {
        if control.is_empty() {
            Self::AllNodes
        } else {
            Self::ControlNodes(control)
        }
    }

    /// The role of a node.
    pub fn role(&self, node: NodeNumber) -> MemberRole {
        match self {
            Self::ControlNodes(voters) if !voters.contains(&node) => MemberRole::Learner,
            _ => MemberRole::Voter,
        }
    }
}
