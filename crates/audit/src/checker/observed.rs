//! What was observed up to a moment of the trace: attempts, placers, jobs, calls, nodes.

use std::collections::{BTreeMap, BTreeSet};

use reedring_constraint::DomainKind;
use reedring_drmaa::native::Native;
use reedring_node_protocol::{AttemptId, DeduplicationScope, Idempotency};
use serde_json::Value;

use super::SLACK_US;
use super::settings::PlacerSettings;
use crate::constraint::Location;

/// What is known of an attempt that is not live any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClosedAs {
    NeverRan,
    /// It ran, or may have, and runs no longer.
    Ended,
}

#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) frame: usize,
    pub(super) job: String,
    pub(super) class: String,
    pub(super) service: String,
    /// What its native specification and its category say.
    pub(super) native: Native,
    pub(super) node: String,
    pub(super) placer: String,
    pub(super) repeat: Idempotency,
    pub(super) group: DeduplicationScope,
    pub(super) window_us: u64,
    pub(super) sent_us: u64,
    /// From then on its node does not start it any more.
    pub(super) expires_us: u64,
    pub(super) accepted: bool,
    /// Its placer was restarted, and its node has not reported it since.
    pub(super) forgotten: bool,
    /// Its node died, whatever its placer knows.
    pub(super) node_died: bool,
    /// Its placer stopped it.
    pub(super) stopped: bool,
    /// Its link was cut before an answer.
    pub(super) unlinked: bool,
    pub(super) closed: Option<ClosedAs>,
    pub(super) closed_us: u64,
}

impl Attempt {
    /// Its placer does not count on it any more.
    pub(super) fn is_given_up(&self) -> bool {
        self.stopped || self.unlinked
    }

    /// What is known of it once it is not live any more: a node's death ends its tasks.
    pub(super) fn closed_as(&self) -> Option<ClosedAs> {
        self.closed.or(self.node_died.then_some(ClosedAs::Ended))
    }
}

/// An offer under an even spread, checked at the end: where attempts were sent and ended around it.
#[derive(Debug)]
pub(super) struct EvenSpreadOffer {
    pub(super) frame: usize,
    pub(super) time_us: u64,
    pub(super) attempt: AttemptId,
    /// The domains over which it is spread.
    pub(super) by: DomainKind,
    pub(super) skew: u32,
    pub(super) clause: String,
    pub(super) locations: BTreeMap<String, Location>,
    /// Nodes that may take it.
    pub(super) candidates: Vec<String>,
}

/// Zone and rack of a node, by the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RackLocation {
    pub(super) zone: String,
    pub(super) rack: String,
}

/// A time in which a placer was made to stand still.
#[derive(Debug)]
pub(super) struct Stall {
    pub(super) from_us: u64,
    pub(super) to_us: u64,
}

#[derive(Debug, Default)]
pub(super) struct Placer {
    pub(super) settings: PlacerSettings,
    /// Of each node that was ever listed.
    pub(super) racks: BTreeMap<String, RackLocation>,
    /// All that the last list says of each node.
    pub(super) locations: BTreeMap<String, Location>,
    /// Nodes that the list marks as voters on configurations; without any of them all nodes vote.
    pub(super) control: BTreeSet<String>,
    /// Since when each node takes nothing new, by the list.
    pub(super) unavailable_by_list: BTreeMap<String, u64>,
    /// Since when an operator drains each node.
    pub(super) drained_by_operator: BTreeMap<String, u64>,
    /// Nodes that were ever listed.
    pub(super) known_nodes: BTreeSet<String>,
    /// When it can answer nobody.
    pub(super) stalls: Vec<Stall>,
}

impl Placer {
    /// The last moment for an answer that is due at `at`: a stall in the slack of that answer prevents it, and grants
    /// the slack again afterwards.
    pub(super) fn last_moment(&self, at: u64) -> u64 {
        let by = at.saturating_add(SLACK_US);
        let over = self
            .stalls
            .iter()
            .filter(|stall| stall.from_us <= by && at < stall.to_us)
            .map(|stall| stall.to_us);
        over.max().map_or(by, |to| to.saturating_add(SLACK_US))
    }

    /// Since when a node takes nothing new, as far as this placer knows.
    pub(super) fn unavailable_since(&self, node: &str) -> Option<u64> {
        let by_list = self.unavailable_by_list.get(node);
        let by_operator = self.drained_by_operator.get(node);
        by_list.into_iter().chain(by_operator).min().copied()
    }
}

/// The outcome that a client got.
#[derive(Debug)]
pub(super) struct ReportedOutcome {
    pub(super) outcome: String,
    pub(super) frame: usize,
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) frame: usize,
    pub(super) placer: String,
    pub(super) session: String,
    /// When its client gives up; `None` while it is on hold or delayed.
    pub(super) deadline_us: Option<u64>,
    pub(super) placed: bool,
    pub(super) reported: Option<ReportedOutcome>,
    pub(super) excused: bool,
}

impl Job {
    pub(super) fn has_outcome(&self) -> bool {
        self.placed || self.reported.is_some()
    }
}

/// A call, by the connection on which it came and its id there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct CallKey {
    pub(super) placer: String,
    pub(super) connection: u64,
    pub(super) id: u64,
}

/// A call that has no response yet.
#[derive(Debug)]
pub(super) struct PendingCall {
    pub(super) frame: usize,
    pub(super) time_us: u64,
    pub(super) method: String,
    pub(super) params: Value,
}

/// An offer that a node read while it was warming up.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReadOffer {
    pub(super) time_us: u64,
    pub(super) frame: usize,
}

/// One run of a node.
#[derive(Debug, Default)]
pub(super) struct NodeRun {
    pub(super) started_us: u64,
    pub(super) warm_up_offers: Vec<ReadOffer>,
    /// Its budget was exceeded, which is reported once.
    pub(super) over_budget: bool,
}
