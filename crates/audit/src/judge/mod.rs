//! The audit: the five rules, judged from a trace.
//!
//! What the judge goes by: frames at the placers' sockets say what a placer knew and did, frames at the
//! nodes' sockets say what reached a node, and the settings and lists in the trace say what was told.
//! Where a rule speaks of time, [`SLACK_US`] is allowed for the way from the decision to the socket.

mod clients;
mod cold;
mod drains;
mod known;
mod nodes;
mod outcome;
mod second;
mod spread;
mod told;
mod versions;

use std::collections::{BTreeMap, BTreeSet};

use reedring_drmaa::framing;
use reedring_node_protocol::{AttemptId, Message, decode};
use serde_json::Value;

use self::known::{Attempt, Closed, Even, Job, NodeLife, Pending, Placer};
use crate::trace::{Event, Frame};

/// Microseconds between a decision and its frame on a busy machine.
const SLACK_US: u64 = 250_000;
/// Microseconds around an offer in which copies elsewhere may or may not have been known to its placer: an even
/// spread depends on all of them, and what a busy placer has read and not yet taken in, no socket tells.
const EVEN_SLACK_US: u64 = 2_000_000;

/// One of the five rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Each task taken gets exactly one outcome before its owner gives up.
    OneOutcome = 1,
    /// No second live attempt; sent again only as its class allows.
    NoSecondRun = 2,
    /// Nothing new to a node after its drain was told.
    DrainsKept = 3,
    /// No cold node is pushed over.
    ColdNodes = 4,
    /// Services stay spread.
    Spread = 5,
    /// Beside the five: nobody acts by a plan that is not the fleet's.
    Versions = 6,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
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
    /// Frames that can't be read: noise on the sockets, or a fault of a peer.
    pub unreadable: usize,
    /// Jobs taken by placers.
    pub taken: usize,
    /// Jobs accepted by a node.
    pub placed: usize,
    /// Jobs of which a client was told that they were refused.
    pub refused: usize,
    /// Jobs of which a client was told that they failed.
    pub failed: usize,
    /// Jobs ended by their users before they were placed.
    pub terminated: usize,
    /// Jobs whose placer was killed before it had an answer: their owners ask again.
    pub excused: usize,
    /// Offers that placers sent.
    pub offers: usize,
    /// Offers to nodes that were cold.
    pub cold_offers: usize,
    /// What became of each plan, and by what each placer acted, in lines.
    pub plans: Vec<String>,
}

#[derive(Default)]
struct Judge {
    report: Report,
    placers: BTreeMap<String, Placer>,
    lives: BTreeMap<u64, String>,
    /// Offers of unsafe tasks as nodes read them, and their jobs.
    unsafe_read: BTreeMap<AttemptId, String>,
    attempts: BTreeMap<AttemptId, Attempt>,
    by_job: BTreeMap<String, Vec<AttemptId>>,
    by_node: BTreeMap<(String, String), BTreeSet<AttemptId>>,
    node_life: BTreeMap<(String, String), u64>,
    holds: BTreeMap<(String, String), BTreeSet<AttemptId>>,
    /// Since when a placer has no link to a node.
    unlinked: BTreeMap<(String, String), u64>,
    nodes: BTreeMap<String, NodeLife>,
    jobs: BTreeMap<String, Job>,
    calls: BTreeMap<(String, u64, u64), Pending>,
    /// Unsafe jobs that a node took: the attempt, and the frame.
    ran: BTreeMap<String, Vec<(AttemptId, usize)>>,
    last_us: u64,
    even: Vec<Even>,
    versions: versions::Versions,
    /// Every attempt of a placer's service, for spreads.
    of_service: BTreeMap<(String, String, String), Vec<AttemptId>>,
}

/// Judges a trace.
pub fn audit(frames: &[Frame]) -> Report {
    let mut judge = Judge::default();
    for frame in frames {
        judge.last_us = frame.time_us;
        judge.frame(frame);
    }
    judge.at_the_end();
    judge.plans_at_the_end();
    judge.report
}

impl Judge {
    fn breach(&mut self, rule: Rule, frames: Vec<usize>, text: String) {
        self.report.breaches.push(Breach { rule, frames, text });
    }

    fn frame(&mut self, frame: &Frame) {
        match frame.event {
            Event::PlacerStarted => {
                let text = String::from_utf8_lossy(&frame.bytes);
                let placer = self.placers.entry(frame.place.clone()).or_default();
                *placer = Placer {
                    told: toml::from_str(&text).unwrap_or_default(),
                    ..Placer::default()
                };
                self.lives.insert(frame.link, frame.place.clone());
                self.versions.began(&frame.place);
                let mine = self
                    .attempts
                    .values_mut()
                    .filter(|attempt| attempt.placer == frame.place);
                mine.for_each(|attempt| attempt.forgotten = true);
            }
            Event::PlacerEnded => self.placer_ended(&frame.place),
            Event::Listed => self.listed(frame),
            Event::FromClient => self.client_calls(frame),
            Event::ToClient => self.client_hears(frame),
            Event::ClientGone => {
                let of = |key: &(String, u64, u64)| key.0 == frame.place && key.1 == frame.link;
                self.calls.retain(|key, _| !of(key));
            }
            Event::ToNode => self.message(frame, Self::node_hears),
            Event::FromNode => self.message(frame, Self::node_says),
            Event::LinkDown => {
                let pair = (frame.place.clone(), frame.peer.clone());
                self.unlinked.entry(pair).or_insert(frame.time_us);
                for id in self.at(&frame.place, &frame.peer) {
                    if let Some(attempt) = self.attempts.get_mut(&id) {
                        attempt.unlinked |= !attempt.accepted;
                    }
                }
            }
            Event::NodeStarted => {
                let life = NodeLife {
                    started_us: frame.time_us,
                    ..NodeLife::default()
                };
                self.nodes.insert(frame.place.clone(), life);
            }
            Event::NodeEnded => {
                let there = self
                    .by_node
                    .iter()
                    .filter(|((_, node), _)| *node == frame.place);
                for id in there.flat_map(|(_, attempts)| attempts) {
                    if let Some(attempt) = self.attempts.get_mut(id) {
                        attempt.dead = true;
                    }
                }
            }
            Event::NodeRead => self.message(frame, Self::node_read),
            Event::NodeWrote => self.message(frame, Self::node_wrote),
            Event::PlacerStalled => {
                let stall = (frame.time_us, frame.time_us + frame.link + SLACK_US);
                self.placers
                    .entry(frame.place.clone())
                    .or_default()
                    .stalls
                    .push(stall);
            }
            Event::Script | Event::Clock => {}
        }
    }

    fn message(&mut self, frame: &Frame, judge: fn(&mut Self, &Frame, Message)) {
        match decode(&frame.bytes) {
            Ok(message) => judge(self, frame, message),
            Err(_) => self.report.unreadable += 1,
        }
    }

    fn at(&self, placer: &str, node: &str) -> Vec<AttemptId> {
        let at = self.by_node.get(&(placer.to_owned(), node.to_owned()));
        at.into_iter().flatten().copied().collect()
    }

    fn close(&mut self, id: AttemptId, how: Closed) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt
            .closed
            .replace(attempt.closed.unwrap_or(how))
            .is_none()
        {
            attempt.closed_us = self.last_us;
        }
        let (placer, node) = (attempt.placer.clone(), attempt.node.clone());
        if let Some(at) = self.by_node.get_mut(&(placer, node)) {
            at.remove(&id);
        }
    }
}

fn json(bytes: &[u8]) -> Option<Value> {
    let frame = framing::frame(bytes, bytes.len()).ok().flatten()?;
    serde_json::from_slice(bytes.get(frame.header..frame.header + frame.body)?).ok()
}
