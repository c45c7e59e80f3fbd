//! The checker: the five rules, and the check of configurations beside them, from a trace alone.
//!
//! Frames at the sockets of placers say what a placer knew and did, frames at the sockets of nodes say what reached a
//! node, and the settings and node lists in the trace say what placers had to go by. [`Checker`] takes frame by frame:
//! `client_calls` and `node_messages` keep what was observed up to date, and ask the rules, each in its own module.
//! Where a rule speaks of time, [`SLACK_US`] is allowed from the decision to the socket.

mod client_calls;
mod drains;
mod duplicates;
mod node_messages;
mod observed;
mod outcome;
mod settings;
mod slow_start;
mod spread;
mod versions;

use std::collections::{BTreeMap, BTreeSet};

use reedring_drmaa::framing;
use reedring_node_protocol::{AttemptId, Message, decode};
use serde_json::Value;

use self::observed::{
    Attempt, CallKey, ClosedAs, EvenSpreadOffer, Job, NodeRun, PendingCall, Placer, Stall,
};
use self::versions::Versions;
use crate::trace::{Event, Frame};

/// Microseconds between a decision and its frame on a busy machine.
const SLACK_US: u64 = 250_000;
/// Microseconds around an offer in which attempts elsewhere may or may not have been known to its placer: an even
/// spread depends on all of them, and no socket tells what a busy placer has read and not yet handled.
const EVEN_SPREAD_SLACK_US: u64 = 2_000_000;

/// A rule that a trace is checked against.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each accepted job gets exactly one outcome before its client gives up.
    OneOutcome = 1,
    /// No second live attempt of a job; a duplicate only as its class allows.
    NoSecondRun = 2,
    /// No new task for a node after its drain was reported to the placer.
    DrainsKept = 3,
    /// No node that is warming up gets more offers than its budget.
    ColdNodes = 4,
    /// Services stay spread.
    Spread = 5,
    /// Beside the five: no node or placer acts by a configuration that is not the committed one.
    Versions = 6,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// The frames that show it, by number.
    pub frames: Vec<usize>,
    /// What happened.
    pub text: String,
}

/// What the audit found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Broken rules, in the order in which they show.
    pub breaches: Vec<Breach>,
    /// Frames that can't be decoded: noise on the sockets, or a fault of a peer.
    pub unreadable: usize,
    /// Jobs that placers accepted from clients.
    pub taken: usize,
    /// Jobs accepted by a node.
    pub placed: usize,
    /// Jobs whose client got the outcome refused.
    pub refused: usize,
    /// Jobs whose client got the outcome failed.
    pub failed: usize,
    /// Jobs ended by their users before they were placed.
    pub terminated: usize,
    /// Jobs without an outcome because their placer was killed and stores nothing: their clients submit them again.
    pub excused: usize,
    /// Offers that placers sent.
    pub offers: usize,
    /// Offers to nodes that were warming up.
    pub cold_offers: usize,
    /// The history of each configuration, and by which each placer acted, in lines.
    pub plans: Vec<String>,
}

/// A placer and a node, by name.
type LinkKey = (String, String);

/// What was observed up to a frame, and what it breaks.
#[derive(Default)]
struct Checker {
    report: Report,
    placers: BTreeMap<String, Placer>,
    /// The placer of each incarnation.
    incarnations: BTreeMap<u64, String>,
    /// The jobs of offers of non-idempotent tasks, as nodes read them.
    non_idempotent_offers: BTreeMap<AttemptId, String>,
    attempts: BTreeMap<AttemptId, Attempt>,
    attempts_by_job: BTreeMap<String, Vec<AttemptId>>,
    /// Attempts that are not closed.
    open_attempts: BTreeMap<LinkKey, BTreeSet<AttemptId>>,
    /// Every attempt, by placer, class and service.
    attempts_by_service: BTreeMap<(String, String, String), Vec<AttemptId>>,
    /// The incarnation of a node that a placer knows.
    node_incarnations: BTreeMap<LinkKey, u64>,
    /// What a node has reported to run since its handshake, until it has reported all.
    reported_running: BTreeMap<LinkKey, BTreeSet<AttemptId>>,
    /// Since when a placer has no link to a node.
    unlinked_since: BTreeMap<LinkKey, u64>,
    nodes: BTreeMap<String, NodeRun>,
    jobs: BTreeMap<String, Job>,
    calls: BTreeMap<CallKey, PendingCall>,
    /// Non-idempotent jobs that a node accepted: the attempt, and the frame.
    accepted_non_idempotent: BTreeMap<String, Vec<(AttemptId, usize)>>,
    /// The time of the last frame.
    now_us: u64,
    /// Offers under an even spread, checked at the end.
    even_spread_offers: Vec<EvenSpreadOffer>,
    versions: Versions,
}

/// Checks a trace against the rules.
pub fn audit(frames: &[Frame]) -> Report {
    let mut checker = Checker::default();
    for frame in frames {
        checker.now_us = frame.time_us;
        checker.frame(frame);
    }
    checker.check_missing_outcomes();
    checker.check_even_spreads();
    checker.finish_versions();
    checker.report
}

impl Checker {
    fn breach(&mut self, rule: Rule, frames: Vec<usize>, text: String) {
        self.report.breaches.push(Breach { rule, frames, text });
    }

    fn frame(&mut self, frame: &Frame) {
        match frame.event {
            Event::PlacerStarted => self.placer_started(frame),
            Event::PlacerEnded => self.placer_ended(&frame.place),
            Event::PlacerStalled => self.placer_stalled(frame),
            Event::Listed => self.node_list(frame),
            Event::FromClient => self.request_from_client(frame),
            Event::ToClient => self.response_to_client(frame),
            Event::ClientGone => self.client_disconnected(frame),
            Event::ToNode => self.message(frame, Self::message_to_node),
            Event::FromNode => self.message(frame, Self::message_from_node),
            Event::LinkDown => self.link_down(frame),
            Event::NodeStarted => self.node_started(frame),
            Event::NodeEnded => self.node_ended(&frame.place),
            Event::NodeRead => self.message(frame, Self::message_read_by_node),
            Event::NodeWrote => self.message(frame, Self::message_written_by_node),
            Event::Script | Event::Clock => {}
        }
    }

    fn message(&mut self, frame: &Frame, handle: fn(&mut Self, &Frame, Message)) {
        match decode(&frame.bytes) {
            Ok(message) => handle(self, frame, message),
            Err(_) => self.report.unreadable += 1,
        }
    }

    fn placer_started(&mut self, frame: &Frame) {
        let text = String::from_utf8_lossy(&frame.bytes);
        let placer = Placer {
            settings: toml::from_str(&text).unwrap_or_default(),
            ..Placer::default()
        };
        self.placers.insert(frame.place.clone(), placer);
        self.incarnations.insert(frame.link, frame.place.clone());
        self.versions.placer_started(&frame.place);
        for attempt in self.attempts.values_mut() {
            attempt.forgotten |= attempt.placer == frame.place;
        }
    }

    fn placer_stalled(&mut self, frame: &Frame) {
        let placer = self.placers.entry(frame.place.clone()).or_default();
        placer.stalls.push(Stall {
            from_us: frame.time_us,
            to_us: frame.time_us + frame.link + SLACK_US,
        });
    }

    fn client_disconnected(&mut self, frame: &Frame) {
        self.calls
            .retain(|key, _| key.placer != frame.place || key.connection != frame.link);
    }

    fn link_down(&mut self, frame: &Frame) {
        let link = (frame.place.clone(), frame.peer.clone());
        let open = self.open_attempts_on(&link);
        self.unlinked_since.entry(link).or_insert(frame.time_us);
        for id in open {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.unlinked |= !attempt.accepted;
            }
        }
    }

    fn node_started(&mut self, frame: &Frame) {
        let run = NodeRun {
            started_us: frame.time_us,
            ..NodeRun::default()
        };
        self.nodes.insert(frame.place.clone(), run);
    }

    fn node_ended(&mut self, node: &str) {
        let open = self.open_attempts.iter();
        let open = open.filter(|((_, of), _)| of == node);
        for id in open.flat_map(|(_, attempts)| attempts) {
            if let Some(attempt) = self.attempts.get_mut(id) {
                attempt.node_died = true;
            }
        }
    }

    fn open_attempts_on(&self, link: &LinkKey) -> Vec<AttemptId> {
        let open = self.open_attempts.get(link);
        open.into_iter().flatten().copied().collect()
    }

    fn close(&mut self, id: AttemptId, closed_as: ClosedAs) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.closed.is_none() {
            attempt.closed = Some(closed_as);
            attempt.closed_us = self.now_us;
        }
        let link = (attempt.placer.clone(), attempt.node.clone());
        if let Some(open) = self.open_attempts.get_mut(&link) {
            open.remove(&id);
        }
    }
}

/// The JSON of a client's frame.
fn client_frame(bytes: &[u8]) -> Option<Value> {
    let frame = framing::frame(bytes, bytes.len()).ok().flatten()?;
    serde_json::from_slice(bytes.get(frame.header..frame.header + frame.body)?).ok()
}

fn text_at<'a>(value: &'a Value, key: &str) -> &'a str {
    value.get(key).and_then(Value::as_str).unwrap_or_default()
}
