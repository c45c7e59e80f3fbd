//! Which listed nodes vote on plans, and which only learn.

use std::collections::BTreeSet;

/// What a listed node is to the agreement on plans.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MemberRole {
    /// It votes on plans and keeps them, and the lease is renewed by hearing it.
    Voter,
    /// It learns by the stamps of what placers send it.
    Learner,
}

/// Which nodes of a list are voters.
///
/// | nodes that the list marks as control machines | voters |
/// | --- | --- |
/// | none | every node |
/// | some | those, also where none of them is up |
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Membership {
    /// Every node votes.
    #[default]
    All,
    /// These nodes vote, by the numbers that their placer gives them.
    Control(BTreeSet<u32>),
}

impl Membership {
    /// Of a list that marks these nodes as control machines.
    pub fn of(control: BTreeSet<u32>) -> Self {
        if control.is_empty() {
            Self::All
        } else {
            Self::Control(control)
        }
    }

    /// What this node is.
    pub fn member(&self, node: u32) -> MemberRole {
        match self {
            Self::Control(voters) if !voters.contains(&node) => MemberRole::Learner,
            _ => MemberRole::Voter,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_node_votes_unless_the_list_marks_control_machines() {
        let all = Membership::of(BTreeSet::new());
        assert_eq!(
            (all.member(0), all.member(9)),
            (MemberRole::Voter, MemberRole::Voter)
        );
        let control = Membership::of(BTreeSet::from([1, 3]));
        let members = [0, 1, 2, 3].map(|node| control.member(node));
        assert_eq!(
            members,
            [
                MemberRole::Learner,
                MemberRole::Voter,
                MemberRole::Learner,
                MemberRole::Voter
            ]
        );
    }
}
