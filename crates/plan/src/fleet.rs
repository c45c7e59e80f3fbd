//! What all nodes told, taken together: which plan is in force, which one is decided, what a majority keeps.

use std::collections::BTreeMap;

use reedring_node_protocol::{AcceptorReport, ConfigVersion};

use crate::membership::{MemberRole, Membership};

/// What is known of one listed node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PeerState {
    /// Nothing: it was never met.
    #[default]
    Unmet,
    /// It speaks version 1 of the node protocol, and keeps nothing.
    Old,
    /// What it told last.
    Told(AcceptorReport),
}

impl PeerState {
    /// What it told.
    pub fn record(&self) -> Option<&AcceptorReport> {
        match self {
            Self::Told(record) => Some(record),
            _ => None,
        }
    }
}

/// Every node of the list, by the number that its placer gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClusterView {
    /// Revision of the list.
    pub list: u64,
    /// Which of the nodes vote.
    pub membership: Membership,
    /// The nodes.
    pub nodes: BTreeMap<u32, PeerState>,
}

impl ClusterView {
    /// What a node is to the agreement on plans.
    pub fn member(&self, node: u32) -> MemberRole {
        self.membership.member(node)
    }

    /// The listed nodes that vote.
    pub fn voters(&self) -> impl Iterator<Item = (u32, &PeerState)> {
        let voter = |(node, _): &(u32, &PeerState)| self.member(*node) == MemberRole::Voter;
        self.nodes
            .iter()
            .map(|(node, kin)| (*node, kin))
            .filter(voter)
    }

    /// How many nodes are a majority of the voters.
    pub fn majority(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Whether the voters that are heard are a majority: so long the lease runs.
    pub fn quorum(&self, heard: impl Fn(u32) -> bool) -> bool {
        self.voters().filter(|(node, _)| heard(*node)).count() >= self.majority()
    }

    /// What nodes told that keep plans, whether they vote by this list or not.
    pub fn keepers(&self) -> impl Iterator<Item = (u32, &AcceptorReport)> {
        let kept = self
            .nodes
            .iter()
            .filter_map(|(node, kin)| Some((*node, kin.record()?)));
        kept.filter(|(_, record)| !record.learns)
    }

    /// What voters told that keep plans.
    pub fn votes(&self) -> impl Iterator<Item = (u32, &AcceptorReport)> {
        self.keepers()
            .filter(|(node, _)| self.member(*node) == MemberRole::Voter)
    }

    /// Most voters keep nothing: plans can't be agreed on yet.
    pub fn is_old(&self) -> bool {
        self.voters()
            .filter(|(_, kin)| **kin == PeerState::Old)
            .count()
            >= self.majority()
    }

    /// The newest plan in force that any node told of. One node's word is enough: it was told by somebody who had
    /// counted a majority.
    pub fn force(&self) -> ConfigVersion {
        self.keepers()
            .map(|(_, record)| record.force)
            .max()
            .unwrap_or_default()
    }

    /// The newest plan that learners know of: some placer acted by it, joint or alone, so it was decided.
    pub fn learned(&self) -> ConfigVersion {
        let learners = self
            .nodes
            .values()
            .filter_map(PeerState::record)
            .filter(|record| record.learns);
        learners
            .filter_map(|record| record.next)
            .map(|next| next.version)
            .max()
            .unwrap_or_default()
    }

    /// The plan that is to follow this one, once that can't change any more.
    ///
    /// | what nodes told | decided |
    /// | --- | --- |
    /// | one that keeps plans has it as joint | yes: it was told by somebody who had counted |
    /// | a majority of the voters kept it with one and the same ballot | yes |
    /// | a majority kept it, with several ballots | no: an older one may have been outbid on the way |
    /// | fewer | no |
    pub fn decided(&self, follows: ConfigVersion) -> Option<ConfigVersion> {
        let mut votes = BTreeMap::new();
        for (node, record) in self.keepers().filter(|(_, record)| record.force == follows) {
            let Some(next) = record.next else { continue };
            if next.joint {
                return Some(next.version);
            }
            // What could not be written is no vote.
            let votes_here = self.member(node) == MemberRole::Voter && !record.stuck;
            *votes.entry((next.ballot, next.version)).or_insert(0_usize) += usize::from(votes_here);
        }
        let most = votes
            .into_iter()
            .find(|(_, count)| *count >= self.majority());
        most.map(|((_, version), _)| version)
    }

    /// Voters that have kept that placers act by the stricter of this plan and the one before, or by it alone, or by a
    /// later one.
    pub fn joint_at(&self, version: ConfigVersion) -> usize {
        let joint = |record: &AcceptorReport| {
            record
                .next
                .is_some_and(|next| next.joint && next.version == version)
                || record.force.number >= version.number
        };
        self.votes()
            .filter(|(_, record)| !record.stuck && joint(record))
            .count()
    }

    /// Placers that have a link to some node, as far as any one node knows.
    pub fn linked(&self) -> u32 {
        self.nodes
            .values()
            .filter_map(PeerState::record)
            .map(|record| u32::from(record.linked))
            .max()
            .unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedring_node_protocol::{AcceptedVersion, Ballot, ConfigDigest};

    fn version(number: u64, name: u8) -> ConfigVersion {
        ConfigVersion {
            number,
            digest: ConfigDigest([name; 16]),
        }
    }

    /// Five nodes: what each told to have kept after plan 1, with which round, joint or not, stuck or not.
    fn fleet(told: &[Option<(u8, u64, bool, bool)>; 5]) -> ClusterView {
        let kin = |told: &Option<(u8, u64, bool, bool)>| {
            let (mut record, mut stuck) = (
                AcceptorReport {
                    force: version(1, 1),
                    ..AcceptorReport::default()
                },
                false,
            );
            if let Some((name, round, joint, can_not)) = told {
                let ballot = Ballot {
                    round: *round,
                    by: 1,
                };
                record.next = Some(AcceptedVersion {
                    ballot,
                    version: version(2, *name),
                    joint: *joint,
                });
                stuck = *can_not;
            }
            PeerState::Told(AcceptorReport { stuck, ..record })
        };
        let nodes = told
            .iter()
            .enumerate()
            .map(|(n, told)| (n as u32, kin(told)))
            .collect();
        ClusterView {
            nodes,
            ..ClusterView::default()
        }
    }

    #[test]
    fn a_plan_is_decided_by_a_majority_with_one_ballot_or_by_one_that_is_joint() {
        let kept = |name, round| Some((name, round, false, false));
        let (a, a2, b, stuck) = (
            kept(7, 1),
            kept(7, 2),
            kept(8, 2),
            Some((7, 1, false, true)),
        );
        let joint = Some((8, 1, true, false));
        for (told, decided) in [
            ([None; 5], None),
            ([a, a, None, None, None], None),
            ([a, a, a, None, None], Some(7)),
            ([a, a, a2, a2, None], None),
            ([a, a, b, b, b], Some(8)),
            ([a, a, stuck, None, None], None),
            ([a, a, joint, None, None], Some(8)),
        ] {
            let want = decided.map(|name| version(2, name));
            assert_eq!(fleet(&told).decided(version(1, 1)), want, "{told:?}");
            assert_eq!(
                fleet(&told).decided(version(3, 3)),
                None,
                "after another plan it says nothing"
            );
        }
    }

    #[test]
    fn only_nodes_that_have_kept_it_count_as_joint_and_later_plans_count_too() {
        let (joint, stuck) = (Some((7, 1, true, false)), Some((7, 1, true, true)));
        let mut fleet = fleet(&[joint, joint, stuck, Some((7, 1, false, false)), None]);
        assert_eq!(fleet.joint_at(version(2, 7)), 2);
        fleet.nodes.insert(
            4,
            PeerState::Told(AcceptorReport {
                force: version(3, 3),
                ..AcceptorReport::default()
            }),
        );
        assert_eq!(fleet.joint_at(version(2, 7)), 3);
        assert_eq!((fleet.majority(), fleet.force()), (3, version(3, 3)));
    }

    /// Voters 0 to 2 of nodes 0 to 4.
    fn control(mut fleet: ClusterView) -> ClusterView {
        fleet.membership = Membership::of([0, 1, 2].into());
        fleet
    }

    #[test]
    fn a_majority_is_one_of_the_voters_alone() {
        let (kept, joint) = (Some((7, 1, false, false)), Some((7, 1, true, false)));
        for (told, decided) in [
            ([kept, None, None, kept, kept], None),
            ([None, None, None, kept, kept], None),
            ([kept, kept, None, None, None], Some(7)),
            // A node that does not vote, and was told by somebody who had counted.
            ([None, None, None, joint, None], Some(7)),
        ] {
            let fleet = control(fleet(&told));
            let want = decided.map(|name| version(2, name));
            assert_eq!(
                (fleet.majority(), fleet.decided(version(1, 1))),
                (2, want),
                "{told:?}"
            );
        }
        let fleet = control(fleet(&[joint, None, None, joint, joint]));
        assert_eq!(fleet.joint_at(version(2, 7)), 1);
    }

    #[test]
    fn the_lease_is_renewed_by_a_majority_of_the_voters_and_by_nothing_else() {
        let all = fleet(&[None; 5]);
        for (heard, by_all, by_control) in [
            (vec![0, 1], false, true),
            (vec![0, 3, 4], true, false),
            (vec![3, 4], false, false),
            (vec![0, 1, 2], true, true),
            (vec![0, 1, 2, 3, 4], true, true),
        ] {
            let hears = |node: u32| heard.contains(&node);
            assert_eq!(all.quorum(hears), by_all, "{heard:?}");
            assert_eq!(control(all.clone()).quorum(hears), by_control, "{heard:?}");
        }
        // Control machines that are all gone leave no majority, and not all other nodes as one.
        let mut gone = control(all);
        gone.nodes.retain(|node, _| *node > 2);
        assert!(!gone.quorum(|_| true));
    }

    #[test]
    fn what_learners_tell_is_no_vote_and_says_only_what_was_decided() {
        let mut fleet = control(fleet(&[None; 5]));
        let next = AcceptedVersion {
            ballot: Ballot::default(),
            version: version(9, 9),
            joint: true,
        };
        let learner = AcceptorReport {
            next: Some(next),
            learns: true,
            ..AcceptorReport::default()
        };
        for node in 1..5 {
            fleet.nodes.insert(node, PeerState::Told(learner));
        }
        assert_eq!(
            (fleet.force(), fleet.learned()),
            (version(1, 1), version(9, 9))
        );
        assert_eq!(
            (
                fleet.decided(ConfigVersion::default()),
                fleet.joint_at(version(9, 9))
            ),
            (None, 0)
        );
        // A control machine that learns by mistake is one voter less, and stays in the count.
        assert_eq!((fleet.majority(), fleet.votes().count()), (2, 1));
    }

    #[test]
    fn most_voters_of_version_1_agree_on_nothing_whatever_the_others_keep() {
        let mut fleet = control(fleet(&[None; 5]));
        fleet.nodes.insert(3, PeerState::Old);
        fleet.nodes.insert(4, PeerState::Old);
        fleet.nodes.insert(0, PeerState::Old);
        assert!(!fleet.is_old(), "one voter of three");
        fleet.nodes.insert(1, PeerState::Old);
        assert!(fleet.is_old());
    }
}
