//! Which nodes of the node list vote on configurations, and which only learn of them.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;

/// The number by which a placer knows a node of its list.
pub type NodeNumber = u32;

/// The role of a listed node in the agreement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// An acceptor: it votes, persists configurations, and its answers renew the lease.
    Voter,
    /// It learns of configurations from the version stamps on what placers send it.
    Learner,
}

/// The voters of a node list.
///
/// | nodes that the list marks `control = true` | voters |
/// | --- | --- |
/// | none | every node |
/// | some | those, also where none of them is up |
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// Every node votes.
    #[default]
    AllNodes,
    /// Only these nodes vote.
    ControlNodes(BTreeSet<NodeNumber>),
}

impl Membership {
    /// The membership of a list that marks these nodes as control machines.
    pub fn from_control_nodes(control: BTreeSet<NodeNumber>) -> Self {
        if control.is_empty() {
            Self::AllNodes
        } else {
            Self::ControlNodes(control)
        }
    }

    /// The role of this node.
    pub fn role(&self, node: NodeNumber) -> MemberRole {
        match self {
            Self::ControlNodes(voters) if !voters.contains(&node) => MemberRole::Learner,
            _ => MemberRole::Voter,
        }
    }
}
