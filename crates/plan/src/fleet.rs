//! What all nodes told, taken together: which plan is in force, which one is decided, what a majority keeps.

use std::collections::BTreeMap;

use reedring_nodeproto::{Record, Version};

/// What is known of one listed node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Kin {
    /// Nothing: it was never met.
    #[default]
    Unmet,
    /// It speaks version 1 of the node protocol, and keeps nothing.
    Old,
    /// What it told last.
    Told(Record),
}

impl Kin {
    /// What it told.
    pub fn record(&self) -> Option<&Record> {
        match self {
            Self::Told(record) => Some(record),
            _ => None,
        }
    }
}

/// Every node of the list, by the number that its placer gives it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fleet {
    /// Revision of the list.
    pub list: u64,
    /// The nodes.
    pub nodes: BTreeMap<u32, Kin>,
}

impl Fleet {
    /// How many nodes are a majority of the list.
    pub fn majority(&self) -> usize {
        self.nodes.len() / 2 + 1
    }

    fn records(&self) -> impl Iterator<Item = &Record> {
        self.nodes.values().filter_map(Kin::record)
    }

    /// Most of the list keeps nothing: plans can't be agreed on yet.
    pub fn is_old(&self) -> bool {
        self.nodes.values().filter(|kin| **kin == Kin::Old).count() >= self.majority()
    }

    /// The newest plan in force that any node told of. One node's word is enough: it was told by somebody who had
    /// counted a majority.
    pub fn force(&self) -> Version {
        self.records().map(|record| record.force).max().unwrap_or_default()
    }

    /// The plan that is to follow this one, once that can't change any more.
    ///
    /// | what nodes told | decided |
    /// | --- | --- |
    /// | one has it as joint | yes: it was told by somebody who had counted |
    /// | a majority of the list kept it with one and the same ballot | yes |
    /// | a majority kept it, with several ballots | no: an older one may have been outbid on the way |
    /// | fewer | no |
    pub fn decided(&self, follows: Version) -> Option<Version> {
        let mut votes = BTreeMap::new();
        for record in self.records().filter(|record| record.force == follows) {
            let Some(next) = record.next else { continue };
            if next.joint {
                return Some(next.version);
            }
            // What could not be written is no vote.
            *votes.entry((next.ballot, next.version)).or_insert(0_usize) += usize::from(!record.stuck);
        }
        let most = votes.into_iter().find(|(_, count)| *count >= self.majority());
        most.map(|((_, version), _)| version)
    }

    /// Nodes that have kept that placers act by the stricter of this plan and the one before, or by it alone, or by a later one.
    pub fn joint_at(&self, version: Version) -> usize {
        let joint = |record: &&Record| {
            record.next.is_some_and(|next| next.joint && next.version == version)
                || record.force.number >= version.number
        };
        self.records().filter(|record| !record.stuck).filter(joint).count()
    }

    /// Placers that have a link to some node, as far as any one node knows.
    pub fn linked(&self) -> u32 {
        self.records().map(|record| u32::from(record.linked)).max().unwrap_or(0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedring_nodeproto::{Ballot, Digest, Introduced};

    fn version(number: u64, name: u8) -> Version {
        Version { number, digest: Digest([name; 16]) }
    }

    /// Five nodes: what each told to have kept after plan 1, with which round, joint or not, stuck or not.
    fn fleet(told: &[Option<(u8, u64, bool, bool)>; 5]) -> Fleet {
        let kin = |told: &Option<(u8, u64, bool, bool)>| {
            let (mut record, mut stuck) = (Record { force: version(1, 1), ..Record::default() }, false);
            if let Some((name, round, joint, can_not)) = told {
                let ballot = Ballot { round: *round, by: 1 };
                record.next = Some(Introduced { ballot, version: version(2, *name), joint: *joint });
                stuck = *can_not;
            }
            Kin::Told(Record { stuck, ..record })
        };
        Fleet { list: 0, nodes: told.iter().enumerate().map(|(n, told)| (n as u32, kin(told))).collect() }
    }

    #[test]
    fn a_plan_is_decided_by_a_majority_with_one_ballot_or_by_one_that_is_joint() {
        let kept = |name, round| Some((name, round, false, false));
        let (a, a2, b, stuck) = (kept(7, 1), kept(7, 2), kept(8, 2), Some((7, 1, false, true)));
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
            assert_eq!(fleet(&told).decided(version(3, 3)), None, "after another plan it says nothing");
        }
    }

    #[test]
    fn only_nodes_that_have_kept_it_count_as_joint_and_later_plans_count_too() {
        let (joint, stuck) = (Some((7, 1, true, false)), Some((7, 1, true, true)));
        let mut fleet = fleet(&[joint, joint, stuck, Some((7, 1, false, false)), None]);
        assert_eq!(fleet.joint_at(version(2, 7)), 2);
        fleet.nodes.insert(4, Kin::Told(Record { force: version(3, 3), ..Record::default() }));
        assert_eq!(fleet.joint_at(version(2, 7)), 3);
        assert_eq!((fleet.majority(), fleet.force()), (3, version(3, 3)));
    }
}
