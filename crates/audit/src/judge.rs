//! The audit: the five rules, judged from a trace.
//!
//! What the judge goes by: frames at the placers' sockets say what a placer knew and did, frames at the
//! nodes' sockets say what reached a node, and the settings and lists in the trace say what was told.
//! Where a rule speaks of time, [`SLACK_US`] is allowed for the way from the decision to the socket.

use std::collections::{BTreeMap, BTreeSet};

use reedring_constraint::{self as constraint, Attr, Constraint, Place, Strength};
use reedring_drmaa::framing;
use reedring_drmaa::native::{Native, duration_us};
use reedring_nodeproto::{AttemptId, End, Group, HeldState, Message, Repeat, decode};
use serde::Deserialize;
use serde_json::Value;

use crate::constraint::{Copy, Scene, Spot, place};
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
}

// ---- What was told ----

#[derive(Clone, Debug, Default, Deserialize)]
struct Told {
    #[serde(default)]
    site: Site,
    #[serde(default)]
    links: Links,
    #[serde(default)]
    class: Vec<Class>,
    #[serde(default)]
    category: Vec<Category>,
    #[serde(default)]
    constraint: Vec<Named>,
    /// It keeps what it promised over restarts.
    state: Option<toml::Value>,
}

#[derive(Clone, Debug, Deserialize)]
struct Named {
    name: String,
    text: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Site {
    drain_grace: Option<String>,
    warm_after: Option<String>,
    cold_window: Option<String>,
    cold_offers: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct Links {
    lost_after: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
struct Class {
    name: String,
    repeat: String,
    give_up: String,
    comes_again: Option<String>,
    spread: Option<Spread>,
    group: Option<String>,
    window: Option<String>,
}

impl Class {
    /// What the settings say of repeats: what an offer says of itself is not taken at its word.
    fn repeat(&self) -> Repeat {
        match self.repeat.as_str() {
            "safe" => Repeat::Safe,
            "keyed" => Repeat::Keyed,
            _ => Repeat::Unsafe,
        }
    }

    fn group(&self) -> Group {
        match self.group.as_deref() {
            Some("all") => Group::All,
            Some("hall") => Group::Hall,
            _ => Group::Rack,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
struct Spread {
    over: String,
    most: usize,
}

#[derive(Clone, Debug, Deserialize)]
struct Category {
    name: String,
    native: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
struct NodeFile {
    #[serde(default)]
    node: Vec<NodeLine>,
}

#[derive(Clone, Debug, Deserialize)]
struct NodeLine {
    name: String,
    #[serde(default)]
    rack: String,
    #[serde(default)]
    hall: String,
    #[serde(default)]
    health: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    attrs: BTreeMap<String, toml::Value>,
}

impl NodeLine {
    fn spot(&self) -> Spot {
        let attr = |value: &toml::Value| match value {
            toml::Value::String(text) => Some(Attr::text(text)),
            toml::Value::Integer(number) => Some(Attr::Number(*number as f64)),
            toml::Value::Float(number) => Some(Attr::Number(*number)),
            toml::Value::Boolean(yes) => Some(Attr::Text(yes.to_string())),
            toml::Value::Array(all) => {
                Some(Attr::Set(all.iter().filter_map(|one| one.as_str().map(str::to_owned)).collect()))
            }
            _ => None,
        };
        Spot {
            name: self.name.clone(),
            kind: self.kind.clone(),
            rack: self.rack.clone(),
            hall: self.hall.clone(),
            attrs: self.attrs.iter().filter_map(|(name, value)| Some((name.clone(), attr(value)?))).collect(),
            ready: self.health.is_empty() || self.health == "ready",
        }
    }
}

fn time(text: Option<&String>) -> Option<u64> {
    duration_us(text?)
}

impl Told {
    fn class(&self, name: &str) -> Option<&Class> {
        self.class.iter().find(|class| class.name == name)
    }

    /// Whether a lost task of the class may come again: after its end, and where its end is not known.
    fn comes_again(&self, class: &str) -> (bool, bool) {
        let Some(class) = self.class(class) else { return (false, false) };
        match (class.comes_again.as_deref(), class.repeat.as_str()) {
            (Some("always"), _) | (None, "safe") => (true, true),
            (Some("ended"), _) | (None, "keyed") => (true, false),
            _ => (false, false),
        }
    }

    /// What an offered spec says of labels and constraint, itself or by its category.
    fn native(&self, payload: &[u8]) -> Native {
        let spec: Value = serde_json::from_slice(payload).unwrap_or_default();
        let word = |key: &str| spec.get(key).and_then(Value::as_str).unwrap_or_default();
        let own = Native::parse(word("native")).unwrap_or_default();
        let category = self.category.iter().find(|category| category.name == word("category"));
        match category.and_then(|category| Native::parse(&category.native).ok()) {
            Some(category) => own.or(&category),
            None => own,
        }
    }

    /// The class that a submitted spec names, itself or by its category.
    fn class_of(&self, spec: &Value) -> Option<&Class> {
        let word = |key: &str| spec.get(key).and_then(Value::as_str).unwrap_or_default();
        let own = Native::parse(word("native")).ok()?.class;
        let category = || {
            let category = self.category.iter().find(|category| category.name == word("category"))?;
            Native::parse(&category.native).ok()?.class
        };
        match own.or_else(category) {
            Some(name) => self.class(&name),
            None => self.class.first(),
        }
    }
}

// ---- What is known at a moment ----

/// What is known of an attempt that is not live any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Closed {
    NeverRan,
    /// It ran, or may have, and no copy is left.
    Ended,
}

#[derive(Clone, Debug)]
struct Attempt {
    frame: usize,
    job: String,
    class: String,
    service: String,
    /// What its native specification and its category say.
    native: Native,
    node: String,
    placer: String,
    repeat: Repeat,
    group: Group,
    window_us: u64,
    sent_us: u64,
    late_us: u64,
    accepted: bool,
    /// Its placer was started anew and was not told of it since.
    forgotten: bool,
    /// Its node died, whatever its placer knows.
    dead: bool,
    /// Its placer stopped it.
    stopped: bool,
    /// Its link was cut before an answer.
    unlinked: bool,
    closed: Option<Closed>,
    closed_us: u64,
}

/// An offer under an even spread, judged at the end: the places of what was sent and what ended around it.
#[derive(Debug)]
struct Even {
    frame: usize,
    time_us: u64,
    attempt: AttemptId,
    by: Place,
    skew: u32,
    clause: String,
    spots: BTreeMap<String, Spot>,
    open: Vec<String>,
}

impl Attempt {
    /// Its placer does not count on it any more.
    fn given_up(&self) -> bool {
        self.stopped || self.unlinked
    }

    /// What is known of it once it is not live any more: a node's death takes its tasks with it.
    fn how_closed(&self) -> Option<Closed> {
        self.closed.or(self.dead.then_some(Closed::Ended))
    }
}

#[derive(Debug, Default)]
struct Placer {
    told: Told,
    /// Rack and hall of each listed node.
    places: BTreeMap<String, (String, String)>,
    /// All that the list says of each.
    spots: BTreeMap<String, Spot>,
    /// Since when each node takes nothing new: by the list, and by an operator.
    closed_by_list: BTreeMap<String, u64>,
    closed_by_hand: BTreeMap<String, u64>,
    known: BTreeSet<String>,
    /// When it stood still, from and to: it can answer nobody then.
    stalls: Vec<(u64, u64)>,
}

impl Placer {
    /// The last moment for an answer that is due at `at`.
    fn due(&self, at: u64) -> u64 {
        let over = self.stalls.iter().filter(|(from, to)| (*from..*to).contains(&at)).map(|(_, to)| *to);
        over.max().unwrap_or(at).saturating_add(SLACK_US)
    }

    fn closed_since(&self, node: &str) -> Option<u64> {
        let (list, hand) = (self.closed_by_list.get(node), self.closed_by_hand.get(node));
        list.into_iter().chain(hand).min().copied()
    }
}

#[derive(Debug)]
struct Job {
    frame: usize,
    placer: String,
    session: String,
    /// When its owner gives up; `None` while it is held back.
    gives_up_us: Option<u64>,
    placed: bool,
    told: Option<(String, usize)>,
    ended: bool,
    excused: bool,
}

#[derive(Debug)]
struct Pending {
    frame: usize,
    time_us: u64,
    method: String,
    params: Value,
}

#[derive(Debug, Default)]
struct NodeLife {
    started_us: u64,
    offers: Vec<(u64, usize)>,
    over: bool,
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
                *placer = Placer { told: toml::from_str(&text).unwrap_or_default(), ..Placer::default() };
                self.lives.insert(frame.link, frame.place.clone());
                let mine = self.attempts.values_mut().filter(|attempt| attempt.placer == frame.place);
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
                let life = NodeLife { started_us: frame.time_us, ..NodeLife::default() };
                self.nodes.insert(frame.place.clone(), life);
            }
            Event::NodeEnded => {
                let there = self.by_node.iter().filter(|((_, node), _)| *node == frame.place);
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
                self.placers.entry(frame.place.clone()).or_default().stalls.push(stall);
            }
            Event::Script => {}
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
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.closed.replace(attempt.closed.unwrap_or(how)).is_none() {
            attempt.closed_us = self.last_us;
        }
        let (placer, node) = (attempt.placer.clone(), attempt.node.clone());
        if let Some(at) = self.by_node.get_mut(&(placer, node)) {
            at.remove(&id);
        }
    }

    // ---- Placers ----

    fn placer_ended(&mut self, name: &str) {
        let keeps = self.placers.get(name).is_some_and(|placer| placer.told.state.is_some());
        for job in
            self.jobs.values_mut().filter(|job| job.placer == name && !job.placed && job.told.is_none())
        {
            // What a placer held when it was killed is for its owner to ask again, unless it keeps its promises.
            job.excused = !keeps;
        }
        self.calls.retain(|key, _| key.0 != name);
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.placer == name) {
            attempt.unlinked |= !attempt.accepted;
        }
    }

    fn listed(&mut self, frame: &Frame) {
        let text = String::from_utf8_lossy(&frame.bytes);
        let list: NodeFile = toml::from_str(&text).unwrap_or_default();
        let placer = self.placers.entry(frame.place.clone()).or_default();
        let mut open = BTreeSet::new();
        placer.spots = list.node.iter().map(|line| (line.name.clone(), line.spot())).collect();
        for line in list.node {
            placer.known.insert(line.name.clone());
            placer.places.insert(line.name.clone(), (line.rack, line.hall));
            if line.health.is_empty() || line.health == "ready" {
                open.insert(line.name);
            }
        }
        for node in &placer.known {
            if open.contains(node) {
                placer.closed_by_list.remove(node);
            } else {
                placer.closed_by_list.entry(node.clone()).or_insert(frame.time_us);
            }
        }
    }

    // ---- Clients ----

    fn client_calls(&mut self, frame: &Frame) {
        let Some(body) = json(&frame.bytes) else {
            self.report.unreadable += 1;
            return;
        };
        let Some(id) = body.get("id").and_then(Value::as_u64) else { return };
        let method = body.get("method").and_then(Value::as_str).unwrap_or_default().to_owned();
        let params = body.get("params").cloned().unwrap_or_default();
        if method == "reedring_drain" {
            let node = params.get("node").and_then(Value::as_str).unwrap_or_default().to_owned();
            let drain = params.get("drain").and_then(Value::as_bool).unwrap_or(false);
            if let Some(placer) = self.placers.get_mut(&frame.place) {
                if drain {
                    placer.closed_by_hand.entry(node).or_insert(frame.time_us);
                } else {
                    placer.closed_by_hand.remove(&node);
                }
            }
        }
        let pending = Pending { frame: frame.number, time_us: frame.time_us, method, params };
        self.calls.insert((frame.place.clone(), frame.link, id), pending);
    }

    fn client_hears(&mut self, frame: &Frame) {
        let Some(body) = json(&frame.bytes) else {
            self.report.unreadable += 1;
            return;
        };
        let Some(id) = body.get("id").and_then(Value::as_u64) else { return };
        let Some(call) = self.calls.remove(&(frame.place.clone(), frame.link, id)) else { return };
        let Some(result) = body.get("result") else { return };
        if let Some(jobs) = result.get("submitted").and_then(|s| s.get("jobs")).and_then(Value::as_array) {
            jobs.iter().filter_map(Value::as_str).for_each(|job| self.taken(frame, &call, job));
        }
        if let Some(ended) = result.get("ended") {
            self.told_end(frame, &call, ended);
        }
    }

    fn taken(&mut self, frame: &Frame, call: &Pending, name: &str) {
        if let Some(job) = self.jobs.get_mut(name) {
            // The same submission, answered again: by the successor of a placer that died, perhaps.
            job.excused = false;
            if job.placer != frame.place || job.told.is_none() && !job.placed {
                job.placer.clone_from(&frame.place);
                if let Some(at) = job.gives_up_us.as_mut() {
                    *at = (*at).max(call.time_us + Self::patience(&self.placers, &frame.place, &call.params));
                }
            }
            return;
        }
        let spec = call.params.get("job").cloned().unwrap_or_default();
        let held = spec.get("hold").and_then(Value::as_bool).unwrap_or(false) || spec.get("start").is_some();
        let patience = Self::patience(&self.placers, &frame.place, &call.params);
        let session = call.params.pointer("/key/session").and_then(Value::as_str).unwrap_or_default();
        self.report.taken += 1;
        let placed = self.by_job.get(name).is_some_and(|all| all.iter().any(|id| self.attempts[id].accepted));
        let job = Job {
            frame: call.frame,
            placer: frame.place.clone(),
            session: session.to_owned(),
            gives_up_us: (!held).then(|| call.time_us + patience),
            placed,
            told: None,
            ended: false,
            excused: false,
        };
        self.report.placed += usize::from(placed);
        self.jobs.insert(name.to_owned(), job);
    }

    fn patience(placers: &BTreeMap<String, Placer>, placer: &str, params: &Value) -> u64 {
        let spec = params.get("job").cloned().unwrap_or_default();
        let told = placers.get(placer).map(|placer| &placer.told);
        let class = told.and_then(|told| told.class_of(&spec));
        class.and_then(|class| duration_us(&class.give_up)).unwrap_or(u64::MAX / 4)
    }

    fn told_end(&mut self, frame: &Frame, call: &Pending, ended: &Value) {
        let name = ended.get("job").and_then(Value::as_str).unwrap_or_default().to_owned();
        let usage = ended.get("usage").and_then(Value::as_array).cloned().unwrap_or_default();
        let value = |key: &str| {
            let pair = usage.iter().find(|pair| pair.get(0).and_then(Value::as_str) == Some(key))?;
            pair.get(1).and_then(Value::as_str).map(str::to_owned)
        };
        let outcome = value("reedring.outcome").unwrap_or_default();
        let Some(job) = self.jobs.get_mut(&name) else { return };
        job.ended = true;
        let (taken, gives_up, placed) = (job.frame, job.gives_up_us, job.placed);
        match &job.told {
            Some((before, at)) if *before != outcome => {
                let (frames, text) =
                    (vec![taken, *at, frame.number], format!("job {name} was told {before}, then {outcome}"));
                return self.breach(Rule::OneOutcome, frames, text);
            }
            Some(_) => return,
            None => job.told = Some((outcome.clone(), frame.number)),
        }
        match outcome.as_str() {
            "placed" if !placed => {
                let text = format!("job {name} was told placed, and no node had accepted it");
                self.breach(Rule::OneOutcome, vec![taken, frame.number], text);
            }
            "refused" | "failed" => {
                // A node may have accepted it in the moment in which its time was over; it was stopped there.
                self.report.placed -= usize::from(placed);
                if outcome == "refused" {
                    self.report.refused += 1;
                    self.refusal(&name, frame.number);
                } else {
                    self.report.failed += 1;
                }
                // Who asks late is answered late.
                let due = |at: u64| self.placers.get(&frame.place).map_or(at, |placer| placer.due(at));
                let by = gives_up.map(|at| due(at.max(call.time_us)));
                if by.is_some_and(|by| frame.time_us > by) {
                    let late = frame.time_us - gives_up.unwrap_or(0);
                    let text = format!("job {name} was told {outcome} {late} us after its owner gave up");
                    self.breach(Rule::OneOutcome, vec![taken, frame.number], text);
                }
            }
            "terminated" => self.report.terminated += 1,
            _ => {}
        }
    }

    /// Rule 2: a refusal promises that asking again is harmless.
    fn refusal(&mut self, job: &str, at: usize) {
        let attempts = self.by_job.get(job).cloned().unwrap_or_default();
        for id in attempts {
            let attempt = &self.attempts[&id];
            let harmless = match attempt.repeat {
                Repeat::Safe => true,
                Repeat::Keyed => attempt.group == Group::All || attempt.closed == Some(Closed::NeverRan),
                Repeat::Unsafe => attempt.closed == Some(Closed::NeverRan),
            };
            if !harmless {
                let text =
                    format!("job {job} was refused though its attempt on {} may have run", attempt.node);
                let frames = vec![attempt.frame, at];
                self.breach(Rule::NoSecondRun, frames, text);
            }
        }
    }

    // ---- Placers and nodes ----

    fn node_hears(&mut self, frame: &Frame, message: Message) {
        match message {
            Message::Offer { attempt: id, task, within_ms } => {
                self.report.offers += 1;
                let late_us = match within_ms {
                    0 => u64::MAX,
                    ms => frame.time_us + u64::from(ms) * 1_000,
                };
                let told =
                    self.placers.get(&frame.place).map(|placer| placer.told.clone()).unwrap_or_default();
                let class = told.class(&task.class);
                let attempt = Attempt {
                    frame: frame.number,
                    job: task.job.clone(),
                    class: task.class.clone(),
                    service: task.service.clone(),
                    native: told.native(&task.payload),
                    node: frame.peer.clone(),
                    placer: frame.place.clone(),
                    repeat: class.map_or(task.repeat, Class::repeat),
                    group: class.map_or(task.group, Class::group),
                    window_us: class.map_or(0, |class| time(class.window.as_ref()).unwrap_or(0)),
                    sent_us: frame.time_us,
                    late_us,
                    accepted: false,
                    forgotten: false,
                    dead: false,
                    stopped: false,
                    unlinked: false,
                    closed: None,
                    closed_us: u64::MAX,
                };
                self.sent(frame, id, &attempt);
                self.spread(frame, &attempt);
                self.constraint(frame, id, &attempt);
                self.drain(frame, &frame.place.clone(), &frame.peer.clone(), Some(attempt.frame));
                self.by_job.entry(task.job).or_default().push(id);
                self.by_node.entry((frame.place.clone(), frame.peer.clone())).or_default().insert(id);
                let service = (frame.place.clone(), task.class, task.service);
                self.of_service.entry(service).or_default().push(id);
                self.attempts.insert(id, attempt);
            }
            Message::Stop { attempt } => {
                if let Some(attempt) = self.attempts.get_mut(&attempt) {
                    attempt.stopped = true;
                }
            }
            _ => {}
        }
    }

    /// Rule 2 for one offer: what is known of each attempt of the job before it.
    fn sent(&mut self, frame: &Frame, id: AttemptId, new: &Attempt) {
        let before = self.by_job.get(&new.job).cloned().unwrap_or_default();
        // An earlier request of the same life was placed and lost: its end is known, and a class's window is
        // that of the tries of one placing.
        let placed_before = |old_id: &AttemptId, old: &Attempt| {
            old.accepted && (old_id.request, old_id.life) != (id.request, id.life)
        };
        let first = before.iter().map(|old| (old, &self.attempts[old])).filter(|(old_id, old)| {
            old.closed != Some(Closed::NeverRan)
                && !(placed_before(old_id, old) && old.how_closed() == Some(Closed::Ended))
        });
        let first_us = first.map(|(_, old)| old.sent_us).min();
        let told = self.placers.get(&new.placer).map(|placer| placer.told.clone()).unwrap_or_default();
        let (after_end, after_unknown) = told.comes_again(&new.class);
        let lost_after = time(told.links.lost_after.as_ref()).unwrap_or(60_000_000);
        let place = |node: &str| {
            let placer = self.placers.get(&new.placer);
            placer.and_then(|placer| placer.places.get(node)).cloned().unwrap_or_default()
        };
        let mut breaches = Vec::new();
        for old_id in before {
            let old = &self.attempts[&old_id];
            let unknown = old.given_up() || frame.time_us >= old.late_us;
            let grouped = match new.group {
                Group::All => true,
                Group::Hall => place(&old.node).1 == place(&new.node).1,
                Group::Rack => place(&old.node) == place(&new.node),
            };
            let in_window = first_us.is_none_or(|first| frame.time_us < first + new.window_us);
            let keyed = new.repeat == Repeat::Keyed && grouped && in_window;
            let lost = placed_before(&old_id, old);
            let closed = old.how_closed();
            let wrong = match closed {
                Some(Closed::NeverRan) => None,
                Some(Closed::Ended) if lost => (!after_end).then_some("its class forbids a second start"),
                Some(Closed::Ended) => {
                    let may = new.repeat == Repeat::Safe || keyed;
                    (!may).then_some("it may have run, and its class forbids to send it again")
                }
                None if old.accepted => {
                    // A copy that nobody has seen end: only a node that is gone lets go of it.
                    let gone = self.placers.get(&new.placer);
                    let gone = gone.is_some_and(|placer| placer.closed_by_list.contains_key(&old.node));
                    let down = self.unlinked.get(&(new.placer.clone(), old.node.clone()));
                    let gone = gone || down.is_some_and(|since| frame.time_us >= since + lost_after);
                    let let_go =
                        gone && after_unknown || old.given_up() && (new.repeat == Repeat::Safe || keyed);
                    (!let_go).then_some("its copy there lives")
                }
                None if !unknown => Some("its attempt there is out"),
                None => {
                    let may = new.repeat == Repeat::Safe || keyed;
                    (!may).then_some(
                        "nobody knows whether it runs there, and its class forbids to send it again",
                    )
                }
            };
            if let Some(why) = wrong {
                let text = format!("job {} was sent to {} after {}: {why}", new.job, new.node, old.node);
                breaches.push((vec![old.frame, frame.number], text));
            }
        }
        for (frames, text) in breaches {
            self.breach(Rule::NoSecondRun, frames, text);
        }
    }

    fn spread(&mut self, frame: &Frame, new: &Attempt) {
        let Some(placer) = self.placers.get(&new.placer) else { return };
        let Some(spread) = placer.told.class(&new.class).and_then(|class| class.spread.clone()) else {
            return;
        };
        let place = |node: &str| {
            let (rack, hall) = placer.places.get(node).cloned().unwrap_or_default();
            match spread.over.as_str() {
                "hall" => hall,
                "rack" => format!("{hall}\n{rack}"),
                _ => node.to_owned(),
            }
        };
        let service = (new.placer.clone(), new.class.clone(), new.service.clone());
        let all = self.of_service.get(&service).into_iter().flatten().map(|id| &self.attempts[id]);
        let here = all.filter(|old| old.closed.is_none()).filter(|old| !old.given_up() || old.accepted);
        let frames: Vec<usize> =
            here.filter(|old| place(&old.node) == place(&new.node)).map(|old| old.frame).collect();
        if frames.len() + 1 > spread.most {
            let text = format!(
                "job {} makes {} of service {} in one {}, at most {} may stand",
                new.job,
                frames.len() + 1,
                new.service,
                spread.over,
                spread.most
            );
            let frames = frames.into_iter().chain([frame.number]).collect();
            self.breach(Rule::Spread, frames, text);
        }
    }

    /// Rule 5 for one offer with a constraint: the copies of its placer that are known to stand, or may.
    fn constraint(&mut self, frame: &Frame, id: AttemptId, new: &Attempt) {
        let Some(text) = &new.native.constraint else { return };
        let Some(placer) = self.placers.get(&new.placer) else { return };
        let named =
            |name: &str| placer.told.constraint.iter().find(|c| c.name == name).map(|c| c.text.as_str());
        let Ok(constraint) = Constraint::parse_with(text, named) else { return };
        let mine = self.by_node.iter().filter(|((of, _), _)| *of == new.placer).flat_map(|(_, ids)| ids);
        // What was given up may stand until its node tells: it counts.
        let live = mine.map(|id| &self.attempts[id]).filter(|old| !old.forgotten);
        let copy = |old: &Attempt| Copy {
            node: old.node.clone(),
            class: old.class.clone(),
            service: old.service.clone(),
            labels: old.native.labels.clone().unwrap_or_default(),
        };
        let copies: Vec<Copy> = live.map(copy).collect();
        let mut spots = placer.spots.clone();
        for (name, spot) in &mut spots {
            spot.ready &= !placer.closed_by_hand.contains_key(name);
        }
        let scene = Scene { spots: &spots, copies: &copies, class: &new.class, service: &new.service };
        let open = scene.open(&constraint);
        for clause in &constraint.clauses {
            if let (
                Strength::Require,
                constraint::Rule::Spread { by, how: constraint::Spread::Within(skew) },
            ) = (clause.strength, &clause.rule)
            {
                self.even.push(Even {
                    frame: frame.number,
                    time_us: frame.time_us,
                    attempt: id,
                    by: *by,
                    skew: *skew,
                    clause: clause.to_string(),
                    spots: spots.clone(),
                    open: open.clone(),
                });
            }
        }
        for clause in scene.breaks(&constraint, &new.node) {
            let text =
                format!("job {} was sent to {}, and `{clause}` does not hold there", new.job, new.node);
            self.breach(Rule::Spread, vec![frame.number], text);
        }
    }

    /// Rule 3 for one offer, where it left its placer or where it reached its node.
    fn drain(&mut self, frame: &Frame, placer: &str, node: &str, offer: Option<usize>) {
        let Some(told) = self.placers.get(placer) else { return };
        let grace = time(told.told.site.drain_grace.as_ref()).unwrap_or(500_000);
        let Some(since) = told.closed_since(node).filter(|since| frame.time_us > since + grace) else {
            return;
        };
        let late = (frame.time_us - since) / 1_000;
        let text = format!("placer {placer} was told {late} ms before that {node} takes nothing new");
        let frames = offer.into_iter().chain([frame.number]).collect::<BTreeSet<usize>>();
        self.breach(Rule::DrainsKept, frames.into_iter().collect(), text);
    }

    fn node_says(&mut self, frame: &Frame, message: Message) {
        let pair = (frame.place.clone(), frame.peer.clone());
        match message {
            Message::Welcome { life, .. } => {
                if self.node_life.insert(pair.clone(), life).is_some_and(|before| before != life) {
                    for id in self.at(&pair.0, &pair.1) {
                        self.close(id, Closed::Ended);
                    }
                }
                self.unlinked.remove(&pair);
                self.holds.insert(pair, BTreeSet::new());
            }
            Message::Holds { held, last } => {
                for one in held {
                    self.holds.entry(pair.clone()).or_default().insert(one.attempt);
                    if let Some(attempt) = self.attempts.get_mut(&one.attempt) {
                        attempt.unlinked = false;
                        attempt.forgotten = false;
                    }
                    match one.state {
                        HeldState::Waiting => {}
                        HeldState::Ended { end, ran } => {
                            if ran {
                                // Accepted, and told of only now: its placer was away.
                                self.accepted(frame, one.attempt, Some(&one.task.job));
                            }
                            self.over(one.attempt, &end, ran);
                        }
                        _ => self.accepted(frame, one.attempt, Some(&one.task.job)),
                    }
                }
                if last {
                    let held = self.holds.remove(&pair).unwrap_or_default();
                    for id in self.at(&pair.0, &pair.1) {
                        let accepted = self.attempts[&id].accepted;
                        if !held.contains(&id) {
                            self.close(id, if accepted { Closed::Ended } else { Closed::NeverRan });
                        }
                    }
                }
            }
            Message::Accepted { attempt, .. } => self.accepted(frame, attempt, None),
            Message::Refused { attempt, .. } => self.close(attempt, Closed::NeverRan),
            Message::Ended { attempt, end, ran, .. } => self.over(attempt, &end, ran),
            _ => {}
        }
    }

    fn over(&mut self, id: AttemptId, end: &End, ran: bool) {
        let never = !ran || *end == End::Unknown && !self.attempts.get(&id).is_some_and(|a| a.accepted);
        self.close(id, if never { Closed::NeverRan } else { Closed::Ended });
    }

    fn accepted(&mut self, frame: &Frame, id: AttemptId, job: Option<&str>) {
        let told_held = job.is_some();
        let stopped = self.attempts.get(&id).is_some_and(|attempt| attempt.stopped);
        let name = match self.attempts.get_mut(&id) {
            Some(attempt) => {
                attempt.accepted = true;
                attempt.job.clone()
            }
            None => job.unwrap_or_default().to_owned(),
        };
        let Some(job) = self.jobs.get_mut(&name) else { return };
        if job.placed {
            return;
        }
        if stopped && !told_held {
            // What was stopped before the yes came is no place; its placer may take up what is held still.
            return;
        }
        job.placed = true;
        let (taken, gives_up) = (job.frame, job.gives_up_us);
        self.report.placed += 1;
        let due = |at: u64| self.placers.get(&frame.place).map_or(at, |placer| placer.due(at));
        let late = gives_up.is_some_and(|at| frame.time_us > due(at));
        if late && !told_held {
            let text = format!("job {name} was accepted after its owner gave up");
            self.breach(Rule::OneOutcome, vec![taken, frame.number], text);
        }
    }

    // ---- Nodes ----

    fn node_read(&mut self, frame: &Frame, message: Message) {
        let Message::Offer { attempt, task, .. } = message else { return };
        if task.repeat == Repeat::Unsafe {
            self.unsafe_read.insert(attempt, task.job);
        }
        if let Some(placer) = self.lives.get(&attempt.life).cloned() {
            let sent = self.attempts.get(&attempt).map(|attempt| attempt.frame);
            self.drain(frame, &placer, &frame.place.clone(), sent);
            self.cold(frame, &placer);
        }
    }

    /// Rule 4: offers to one cold node by all placers.
    fn cold(&mut self, frame: &Frame, placer: &str) {
        let site = self.placers.get(placer).map(|placer| placer.told.site.clone()).unwrap_or_default();
        let told = time(site.warm_after.as_ref()).zip(time(site.cold_window.as_ref())).zip(site.cold_offers);
        let Some(((warm, window), most)) = told else { return };
        let Some(life) = self.nodes.get_mut(&frame.place) else { return };
        if frame.time_us >= life.started_us + warm {
            return;
        }
        self.report.cold_offers += 1;
        life.offers.push((frame.time_us, frame.number));
        let young: Vec<usize> = life
            .offers
            .iter()
            .filter(|(at, _)| at + window > frame.time_us)
            .map(|(_, number)| *number)
            .collect();
        if young.len() as f64 > most && !life.over {
            life.over = true;
            let text = format!("{} offers reached {} in its window while cold", young.len(), frame.place);
            self.breach(Rule::ColdNodes, young, text);
        }
    }

    /// Rule 2 where it counts: an unsafe task that two nodes, or one twice, took and ran.
    fn node_wrote(&mut self, frame: &Frame, message: Message) {
        match message {
            Message::Accepted { attempt, .. } => {
                let sent = self.attempts.get(&attempt);
                // A placer in a process of its own may have left no trace: then the offer says what it was.
                let job = match sent {
                    Some(sent) => (sent.repeat == Repeat::Unsafe).then(|| sent.job.clone()),
                    None => self.unsafe_read.get(&attempt).cloned(),
                };
                let Some(job) = job else { return };
                let placer = sent.and_then(|sent| Some((self.placers.get(&sent.placer)?, &sent.class)));
                let may_again = placer.is_some_and(|(placer, class)| placer.told.comes_again(class).0);
                let runs = self.ran.entry(job.clone()).or_default();
                if runs.iter().all(|(id, _)| *id != attempt) {
                    runs.push((attempt, frame.number));
                }
                if runs.len() > 1 && !may_again {
                    let frames = runs.iter().map(|(_, number)| *number).collect();
                    self.breach(Rule::NoSecondRun, frames, format!("unsafe job {job} was taken twice"));
                }
            }
            Message::Ended { attempt, ran: false, .. } => {
                self.ran.values_mut().for_each(|runs| runs.retain(|(id, _)| *id != attempt));
            }
            _ => {}
        }
    }

    // ---- The end ----

    fn at_the_end(&mut self) {
        let waits = |call: &Pending, session: &str, name: &str| {
            let waits = ["drmaa_wait", "drmaa_synchronize"].contains(&call.method.as_str());
            let mine = call.params.pointer("/key/session").and_then(Value::as_str) == Some(session);
            let job = call.params.get("job").and_then(Value::as_str);
            waits && mine && job.is_none_or(|job| job == name)
        };
        let mut found = Vec::new();
        for (name, job) in &self.jobs {
            self.report.excused += usize::from(job.excused);
            let late = job.gives_up_us.is_some_and(|at| self.last_us > at.saturating_add(SLACK_US));
            if job.placed || job.told.is_some() || job.excused || !late {
                continue;
            }
            // Nothing crossed to its owner: a breach where the owner stood and waited.
            let call =
                self.calls.iter().find(|(key, call)| key.0 == job.placer && waits(call, &job.session, name));
            if let Some((_, call)) = call {
                let text = format!("job {name} has no outcome, its owner gave up waiting");
                found.push((vec![job.frame, call.frame], text));
            }
        }
        for (frames, text) in found {
            self.breach(Rule::OneOutcome, frames, text);
        }
        for even in std::mem::take(&mut self.even) {
            self.evenly(&even);
        }
    }

    /// Rule 5 for one offer under an even spread. A copy that comes or goes elsewhere changes what is
    /// allowed, and frames are written a little after they are decided: so copies around that moment count for
    /// the emptiest place, and only those that stood for sure count for the offer's own.
    fn evenly(&mut self, even: &Even) {
        let new = &self.attempts[&even.attempt];
        let service = (new.placer.clone(), new.class.clone(), new.service.clone());
        let all: Vec<&Attempt> =
            self.of_service.get(&service).into_iter().flatten().map(|id| &self.attempts[id]).collect();
        let at = |node: &str| even.spots.get(node).and_then(|spot| place(spot, even.by));
        let Some(here) = at(&new.node) else { return };
        let sure = |old: &&&Attempt| {
            old.frame < even.frame && old.closed_us > even.time_us && at(&old.node).as_ref() == Some(&here)
        };
        let stood = all.iter().filter(sure).count() as u32;
        let around = |old: &&&Attempt| {
            old.frame != even.frame
                && old.sent_us <= even.time_us + EVEN_SLACK_US
                && old.closed_us.saturating_add(EVEN_SLACK_US) >= even.time_us
        };
        let near: Vec<_> = all.iter().filter(around).filter_map(|old| at(&old.node)).collect();
        let places = even.open.iter().filter_map(|node| at(node));
        let fewest =
            places.map(|place| near.iter().filter(|other| **other == place).count()).min().unwrap_or(0);
        if stood >= fewest as u32 + even.skew {
            let text = format!(
                "job {} was sent to {}, and `{}` does not hold there",
                new.job, new.node, even.clause
            );
            self.breach(Rule::Spread, vec![even.frame], text);
        }
    }
}

fn json(bytes: &[u8]) -> Option<Value> {
    let frame = framing::frame(bytes, bytes.len()).ok().flatten()?;
    serde_json::from_slice(bytes.get(frame.header..frame.header + frame.body)?).ok()
}
