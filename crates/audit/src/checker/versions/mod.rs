//! The check of configuration versions, beside the five rules, from reports, stamps and texts alone.
//!
//! - No node accepts an offer below its floor; that of a learner rises with the offers that it reads.
//! - No configuration is committed without a majority of the voters.
//! - No placer sends a node that is warming up more than its part by the stricter of two joint configurations.

mod bounds;
mod messages;
mod summary;

use std::collections::{BTreeMap, BTreeSet};

use reedring_node_protocol::{
    AcceptorReport, AttemptId, ConfigVersion, VersionStamp, version_level,
};

use self::bounds::SlowStartBounds;
use super::observed::ReadOffer;

/// What one node reported of itself last.
#[derive(Debug, Default)]
struct Node {
    report: Option<AcceptorReport>,
    /// The floor of a learner, by its report and by the offers that it read since; none where the node is an acceptor.
    learner_floor: Option<u64>,
    /// The first configuration that it reported as committed.
    first_committed: Option<ConfigVersion>,
    /// Configurations that it reported as accepted in the joint phase.
    joint: BTreeSet<ConfigVersion>,
}

impl Node {
    /// It rejects offers below this level.
    fn floor(&self) -> u64 {
        let reported = self.report.map(|report| report.floor());
        self.learner_floor.or(reported).unwrap_or(0)
    }

    /// An offer by this stamp raises a learner's floor to the joint form of its configuration.
    fn read_offer(&mut self, stamp: &VersionStamp) {
        let raised = version_level(stamp.version, true);
        self.learner_floor = self.learner_floor.map(|floor| floor.max(raised));
    }

    /// Whether it has reported another configuration as committed than the first, or a learner has a floor.
    fn requires_stamp(&self, floor: u64) -> bool {
        let moved_on = self.report.is_some_and(|report| {
            let first = self.first_committed;
            first.is_some_and(|first| report.committed != first)
        });
        moved_on || self.learner_floor.is_some() && floor > 0
    }
}

/// By which configuration a placer acted, from some time on.
#[derive(Debug)]
struct ActedBy {
    time_us: u64,
    stamp: VersionStamp,
}

#[derive(Debug, Default)]
struct Placer {
    /// It was restarted, and has acted by no configuration since.
    restarted: bool,
    acted_by: Vec<ActedBy>,
    /// Offers that nodes rejected as superseded.
    superseded: usize,
    /// Offers to nodes that were warming up, by node, in the last window.
    warm_up_offers: BTreeMap<String, Vec<ReadOffer>>,
}

/// When a configuration was first proposed, joint anywhere, and committed anywhere.
#[derive(Clone, Copy, Debug, Default)]
struct History {
    proposed_us: Option<u64>,
    joint_us: Option<u64>,
    committed_us: Option<u64>,
}

/// An offer as a node read it.
#[derive(Clone, Copy, Debug)]
struct OfferRead {
    stamp: Option<VersionStamp>,
    /// The node's floor at that moment.
    floor: u64,
    frame: usize,
}

/// What was observed of configuration versions.
#[derive(Debug, Default)]
pub(super) struct Versions {
    nodes: BTreeMap<String, Node>,
    placers: BTreeMap<String, Placer>,
    bounds: BTreeMap<ConfigVersion, SlowStartBounds>,
    history: BTreeMap<ConfigVersion, History>,
    offers_read: BTreeMap<AttemptId, OfferRead>,
}

impl Versions {
    fn history_of(&mut self, version: ConfigVersion) -> Option<&mut History> {
        // Number 0 is no configuration.
        (version.number > 0).then(|| self.history.entry(version).or_default())
    }

    fn proposed(&mut self, version: ConfigVersion, time_us: u64) {
        if let Some(history) = self.history_of(version) {
            history.proposed_us.get_or_insert(time_us);
        }
    }

    fn joint(&mut self, version: ConfigVersion, time_us: u64) {
        if let Some(history) = self.history_of(version) {
            history.joint_us.get_or_insert(time_us);
        }
    }

    fn committed(&mut self, version: ConfigVersion, time_us: u64) {
        if let Some(history) = self.history_of(version) {
            history.committed_us.get_or_insert(time_us);
        }
    }

    fn is_committed(&self, version: ConfigVersion) -> bool {
        let history = self.history.get(&version);
        history.is_some_and(|history| history.committed_us.is_some())
    }

    /// A placer was restarted: it may act by an older configuration than before.
    pub(super) fn placer_started(&mut self, placer: &str) {
        let placer = self.placers.entry(placer.to_owned()).or_default();
        placer.restarted = true;
    }

    /// A placer acts by a stamp. Links write independently, so what was decided earlier may be written later: only an
    /// advance counts.
    fn acts_by(&mut self, placer: &str, time_us: u64, stamp: &VersionStamp) {
        let placer = self.placers.entry(placer.to_owned()).or_default();
        let last = placer.acted_by.last();
        let last = last.map_or(0, |acted| acted.stamp.level());
        if std::mem::take(&mut placer.restarted) || stamp.level() > last {
            placer.acted_by.push(ActedBy {
                time_us,
                stamp: *stamp,
            });
        }
    }

    /// Whether a node rejects an offer by this stamp since it is below its floor.
    pub(super) fn is_rejected(&self, node: &str, stamp: Option<&VersionStamp>) -> bool {
        let floor = self.nodes.get(node).map_or(0, Node::floor);
        stamp.is_some_and(|stamp| stamp.level() < floor)
    }
}
