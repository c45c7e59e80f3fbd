//! What is known at a moment of the trace: attempts, placers, jobs, calls, nodes.

use std::collections::{BTreeMap, BTreeSet};

use reedring_constraint::Place;
use reedring_drmaa::native::Native;
use reedring_node_protocol::{AttemptId, Group, Repeat};
use serde_json::Value;

use super::SLACK_US;
use super::told::Told;
use crate::constraint::Spot;

/// What is known of an attempt that is not live any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closed {
    NeverRan,
    /// It ran, or may have, and no copy is left.
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
    pub(super) repeat: Repeat,
    pub(super) group: Group,
    pub(super) window_us: u64,
    pub(super) sent_us: u64,
    pub(super) late_us: u64,
    pub(super) accepted: bool,
    /// Its placer was started anew and was not told of it since.
    pub(super) forgotten: bool,
    /// Its node died, whatever its placer knows.
    pub(super) dead: bool,
    /// Its placer stopped it.
    pub(super) stopped: bool,
    /// Its link was cut before an answer.
    pub(super) unlinked: bool,
    pub(super) closed: Option<Closed>,
    pub(super) closed_us: u64,
}

/// An offer under an even spread, judged at the end: the places of what was sent and what ended around it.
#[derive(Debug)]
pub(super) struct Even {
    pub(super) frame: usize,
    pub(super) time_us: u64,
    pub(super) attempt: AttemptId,
    pub(super) by: Place,
    pub(super) skew: u32,
    pub(super) clause: String,
    pub(super) spots: BTreeMap<String, Spot>,
    pub(super) open: Vec<String>,
}

impl Attempt {
    /// Its placer does not count on it any more.
    pub(super) fn given_up(&self) -> bool {
        self.stopped || self.unlinked
    }

    /// What is known of it once it is not live any more: a node's death takes its tasks with it.
    pub(super) fn how_closed(&self) -> Option<Closed> {
        self.closed.or(self.dead.then_some(Closed::Ended))
    }
}

#[derive(Debug, Default)]
pub(super) struct Placer {
    pub(super) told: Told,
    /// Rack and hall of each listed node.
    pub(super) places: BTreeMap<String, (String, String)>,
    /// All that the list says of each.
    pub(super) spots: BTreeMap<String, Spot>,
    /// Nodes that the list marks as voters on plans; with none of them all are.
    pub(super) control: BTreeSet<String>,
    /// Since when each node takes nothing new: by the list, and by an operator.
    pub(super) closed_by_list: BTreeMap<String, u64>,
    pub(super) closed_by_hand: BTreeMap<String, u64>,
    pub(super) known: BTreeSet<String>,
    /// When it stood still, from and to: it can answer nobody then.
    pub(super) stalls: Vec<(u64, u64)>,
}

impl Placer {
    /// The last moment for an answer that is due at `at`: what stands still in the time that an answer has for its
    /// way can't send it, and has that time again afterwards.
    pub(super) fn due(&self, at: u64) -> u64 {
        let by = at.saturating_add(SLACK_US);
        let over = self
            .stalls
            .iter()
            .filter(|(from, to)| *from <= by && at < *to)
            .map(|(_, to)| *to);
        over.max().map_or(by, |to| to.saturating_add(SLACK_US))
    }

    pub(super) fn closed_since(&self, node: &str) -> Option<u64> {
        let (list, hand) = (self.closed_by_list.get(node), self.closed_by_hand.get(node));
        list.into_iter().chain(hand).min().copied()
    }
}

#[derive(Debug)]
pub(super) struct Job {
    pub(super) frame: usize,
    pub(super) placer: String,
    pub(super) session: String,
    /// When its owner gives up; `None` while it is held back.
    pub(super) gives_up_us: Option<u64>,
    pub(super) placed: bool,
    pub(super) told: Option<(String, usize)>,
    pub(super) ended: bool,
    pub(super) excused: bool,
}

#[derive(Debug)]
pub(super) struct Pending {
    pub(super) frame: usize,
    pub(super) time_us: u64,
    pub(super) method: String,
    pub(super) params: Value,
}

#[derive(Debug, Default)]
pub(super) struct NodeLife {
    pub(super) started_us: u64,
    pub(super) offers: Vec<(u64, usize)>,
    pub(super) over: bool,
}
