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
