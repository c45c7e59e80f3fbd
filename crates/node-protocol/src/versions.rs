//! What placers and nodes tell each other of plans: versions, what a node keeps of them, and orders to it.

use crate::delta::Delta;

/// The first half of the SHA-256 of a plan's canonical text.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigDigest(pub [u8; 16]);

impl std::fmt::Display for ConfigDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0
            .iter()
            .take(4)
            .try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl std::fmt::Debug for ConfigDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{self}")
    }
}

/// A plan: its number and the digest of its text. Number 0 is no plan.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion {
    /// The number; a later plan has a greater one.
    pub number: u64,
    /// The digest.
    pub digest: ConfigDigest,
}

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.number, self.digest)
    }
}

/// A try to bring a plan in: a greater ballot outbids a smaller one. Each is used by one life of one placer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// The round.
    pub round: u64,
    /// The life of the placer that makes it.
    pub by: u64,
}

/// By what a placer decided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct VersionStamp {
    /// The plan. Where `joint`, the one that is being introduced.
    pub version: ConfigVersion,
    /// It acts by the stricter bound of that plan and the one before, in each respect.
    pub joint: bool,
    /// Revision of the node list; 0 where the list has none.
    pub list: u64,
    /// CRC-32C of the placer's build, as its greeting names it.
    pub build: u32,
}

/// Where between two plans something stands: twice the number, and one less where it is joint with the one before.
pub fn version_level(version: ConfigVersion, joint: bool) -> u64 {
    version
        .number
        .saturating_mul(2)
        .saturating_sub(u64::from(joint))
}

impl VersionStamp {
    /// Its level: offers under a node's own are refused there.
    pub fn level(&self) -> u64 {
        version_level(self.version, self.joint)
    }
}

/// A plan that a node keeps and does not admit yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedVersion {
    /// With which ballot it was kept.
    pub ballot: Ballot,
    /// The plan.
    pub version: ConfigVersion,
    /// Placers act by the stricter of both; offers by the older plan alone are refused.
    pub joint: bool,
}

/// What a node keeps of plans, in few words.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AcceptorReport {
    /// The plan in force; number 0 where there is none.
    pub force: ConfigVersion,
    /// The one that is being introduced.
    pub next: Option<AcceptedVersion>,
    /// The greatest ballot that it has answered.
    pub promised: Ballot,
    /// The greatest revision of the node list that it was told.
    pub list: u64,
    /// Milliseconds for which its floor has stood as it does.
    pub floor_ms: u64,
    /// Placers that have a link to it.
    pub linked: u16,
    /// Those among them whose last stamp is under its floor.
    pub behind: u16,
    /// It could not write what it should keep: it votes for nothing new.
    pub stuck: bool,
    /// It is a learner: it keeps no plan and casts no vote, and tells as joint the plan by which its floor stands.
    /// On the wire a flag of the frame's header, which ends of the former version pass by.
    pub learns: bool,
    /// It reads deltas between plans: version 3 of the node protocol.
    pub deltas: bool,
}

impl AcceptorReport {
    /// Offers under this level are refused.
    pub fn floor(&self) -> u64 {
        match &self.next {
            Some(next) if next.joint => version_level(next.version, true),
            _ => version_level(self.force, false),
        }
    }
}

/// Which order a delta stands in for a text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DeltaStep {
    /// [`ConfigRequest::Accept`].
    Accept {
        /// The ballot.
        ballot: Ballot,
    },
    /// [`ConfigRequest::EnterJoint`].
    EnterJoint,
    /// [`ConfigRequest::Commit`].
    Commit,
}

/// What a placer asks of a node's memory. `list` is the revision of the sender's node list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigRequest {
    /// Tell what you keep, and know by what the sender acts.
    Query {
        /// By what.
        stamp: VersionStamp,
    },
    /// Tell the text of this plan.
    Fetch {
        /// The plan.
        version: ConfigVersion,
        /// A plan whose text the sender has: what changed since will do. From version 3 on.
        have: Option<ConfigVersion>,
    },
    /// Answer no smaller ballot any more, and tell what you have kept.
    Prepare {
        /// The plan in force, as the sender knows it.
        follows: ConfigVersion,
        /// The ballot.
        ballot: Ballot,
        /// The list.
        list: u64,
    },
    /// Keep this plan as the one to introduce.
    Accept {
        /// The plan in force, as the sender knows it.
        follows: ConfigVersion,
        /// The ballot.
        ballot: Ballot,
        /// The plan.
        version: ConfigVersion,
        /// Its text.
        text: String,
        /// The list.
        list: u64,
    },
    /// From version 3 on: an order about the plan that comes of this delta, which follows the delta's base.
    ByDelta {
        /// Which order.
        step: DeltaStep,
        /// What changed from the plan in force, as the sender knows it.
        delta: Delta,
        /// The list.
        list: u64,
    },
    /// A majority of the voters has kept this plan with one ballot: it is the next one.
    EnterJoint {
        /// The plan that it follows.
        follows: ConfigVersion,
        /// The plan.
        version: ConfigVersion,
        /// Its text; empty for a node that was seen to keep it and reads version 3.
        text: String,
        /// The list.
        list: u64,
    },
    /// A majority of the voters is joint, or further: this plan is in force.
    Commit {
        /// The plan.
        version: ConfigVersion,
        /// Its text; empty for a node that was seen to keep it and reads version 3.
        text: String,
        /// The list.
        list: u64,
    },
    /// To a learner, from a placer that acts by this stamp: raise your floor to the joint form of its plan.
    RaiseFloor {
        /// By what the sender acts.
        stamp: VersionStamp,
    },
}
