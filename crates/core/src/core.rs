//! The engine: inputs to the module's events, the module's actions to outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use reedring::{
    Action, AttemptId, Ended, Event, Listing, Micros, Note, Outcome as Fate, Placer, Reason, RequestId, Task,
};
use reedring_drmaa::info::signal_name;
use reedring_drmaa::rpc::{Answer, Call, Response, Stats};
use reedring_drmaa::{End, Result};
use reedring_nodeproto::{self as wire, Held, HeldState, Message, Topic};
use reedring_settings::{Health, NodeList, Settings};

use crate::constrain::{Constrainer, News, Opened, TURNS};
use crate::decide::{self, Known, LateCopy, Loss, Standing, Verdict};
use crate::io::{ConnId, Input, Level, Output};
use crate::jobs::{Attempt, Ending, Job, JobName, JobNo, Ledger, NodeNo, Outcome, Phase};
use crate::links::{Link, Nodes, Relink};
use crate::names::{service_id, task_key};
use crate::sessions::{Answered, Parked, Sessions, ended};
use crate::timers::{Timer, Timers};

/// What a core is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The time of its clock, in microseconds; it never goes back.
    pub now: Micros,
    /// Microseconds since 1970 at that time.
    pub unix_us: u64,
    /// This life of the placer: another number at each start.
    pub life: u64,
    /// Seed of the module's random numbers.
    pub seed: u64,
}

/// The core of one placer. The crate's page shows the loop around it.
pub struct Core {
    pub(crate) settings: Settings,
    pub(crate) start: Start,
    placer: Placer,
    pub(crate) ledger: Ledger,
    pub(crate) nodes: Nodes,
    pub(crate) sessions: Sessions,
    pub(crate) timers: Timers,
    pub(crate) constrain: Constrainer,
    pub(crate) stats: Stats,
    /// Nanoseconds spent in the module.
    pub(crate) module_ns: u64,
    /// Submissions that wait for nodes to say what they hold, and until when they may.
    pub(crate) parked: Vec<Parked>,
    pub(crate) settle_until: Micros,
    probes: BTreeMap<u64, (NodeNo, Micros)>,
    last_probe: u64,
    /// Attempts of other lives that this one has closed: their nodes may tell of them once more.
    retired: BTreeSet<wire::AttemptId>,
    /// Operators' long lists that are asked for. They are made one a flush, after all else, so that who
    /// asks for many of them holds nobody up.
    pub(crate) reads: VecDeque<(ConnId, u64, Call)>,
    events: Vec<Event>,
    outputs: VecDeque<Output>,
    /// Times the module for the stats; decides nothing.
    stopwatch: Option<fn() -> u64>,
}

/// Microseconds before an owner gives up at which the module's time is over: enough to answer on a busy
/// machine, little beside any class's patience.
const ANSWER_MARGIN_US: Micros = 100_000;
/// How often jobs that are over are looked through, as a part of the time for which they are kept.
const SWEEPS: u64 = 8;

impl Core {
    /// A core that knows its settings and nothing else.
    pub fn new(settings: Settings, start: Start) -> Self {
        let mut nodes = Nodes::new(settings.kinds.iter().map(|kind| kind.name.clone()).collect());
        let hall = settings.hall.as_deref().map(|hall| nodes.halls.number(hall));
        let placer = Placer::new(settings.module(hall), start.seed);
        let mut timers = Timers::default();
        timers.set(start.now + settings.limits.settle_us, Timer::Settle);
        if let Some(window) = settings.site.cold_window_us {
            // Cold nodes that were kept back until now are told of.
            timers.set(start.now + window, Timer::Lines);
        }
        Self {
            placer,
            start,
            ledger: Ledger::default(),
            nodes,
            sessions: Sessions::default(),
            timers,
            constrain: Constrainer::default(),
            stats: Stats::default(),
            module_ns: 0,
            parked: Vec::new(),
            settle_until: start.now + settings.limits.settle_us,
            probes: BTreeMap::new(),
            last_probe: 0,
            retired: BTreeSet::new(),
            reads: VecDeque::new(),
            events: Vec::new(),
            outputs: VecDeque::new(),
            stopwatch: None,
            settings,
        }
    }

    /// Times the module with this clock (nanoseconds), for the stats alone.
    pub fn time_module(&mut self, stopwatch: fn() -> u64) {
        self.stopwatch = Some(stopwatch);
    }

    /// The settings that it was started with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// When [`Core::flush`] must be called at the latest, if no input comes before.
    pub fn next_wake(&self) -> Option<Micros> {
        let idle = self.reads.is_empty() && self.constrain.is_idle();
        if idle { self.timers.next() } else { Some(self.start.now) }
    }

    /// The next thing to do.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Takes an input in. What the module has to say to it comes with the next [`Core::flush`].
    pub fn handle(&mut self, now: Micros, input: Input) {
        match input {
            Input::Call { conn, id, call } => {
                if let Some(result) = self.call(now, conn, id, call) {
                    self.reply(conn, Response::new(id, result));
                }
            }
            Input::ClientGone(conn) => {
                self.sessions.client_gone(conn);
                self.parked.retain(|parked| parked.conn != conn);
                self.reads.retain(|(of, ..)| *of != conn);
            }
            Input::Listed(list) => self.listed(now, list),
            Input::LinkUp { node, called, life, up_ms, can_suspend } => {
                self.link_up(now, &node, &called, life, up_ms, can_suspend);
            }
            Input::Message { node, message } => self.message(now, &node, message),
            Input::LinkDown { node, why } => self.link_down(now, &node, &why),
            Input::Tick => {}
        }
    }

    /// Runs the timers that are due and lets the module decide on all that came since the last time.
    pub fn flush(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop(now) {
            self.fire(now, timer);
        }
        let (mut actions, mut turns) = (Vec::new(), 0);
        loop {
            if self.events.is_empty() {
                // Constrained tasks take turns: each is drawn for with the copies of those before it known.
                let opened = self.constrain.next();
                if opened.is_empty() {
                    break;
                }
                turns += 1;
                self.events.extend(opened.into_iter().map(opened_event));
            }
            let events = std::mem::take(&mut self.events);
            let from = self.stopwatch.map(|clock| clock());
            self.placer.step(now, &events, &mut actions);
            if let Some((clock, from)) = self.stopwatch.zip(from) {
                self.module_ns += clock().saturating_sub(from);
            }
            self.stats.module_steps += 1;
            for action in actions.drain(..) {
                self.act(now, action);
            }
            if turns >= TURNS && self.events.is_empty() {
                // The one that is open is closed before anything of the next flush is drawn.
                let closed = self.constrain.close();
                self.events.extend(closed.map(opened_event));
                break;
            }
        }
        self.judge_standing(now);
        if let Some((conn, id, call)) = self.reads.pop_front() {
            let result = self.plain_call(now, call);
            self.reply(conn, Response::new(id, result));
        }
    }

    pub(crate) fn log(&mut self, level: Level, line: impl Into<String>) {
        self.outputs.push_back(Output::Log { level, line: line.into() });
    }

    pub(crate) fn reply(&mut self, conn: ConnId, response: Response) {
        self.outputs.push_back(Output::Reply { conn, response });
    }

    pub(crate) fn send_answer(&mut self, answered: Option<Answered>) {
        answered.into_iter().for_each(|answered| self.reply(answered.conn, answered.response));
    }

    pub(crate) fn send(&mut self, node: NodeNo, message: Message) {
        if let Some(node) = self.nodes.all.get(&node).filter(|node| node.is_up()) {
            self.outputs.push_back(Output::Send { node: node.name.clone(), message });
        }
    }

    pub(crate) fn unix(&self, at: Micros) -> f64 {
        let since = at as f64 - self.start.now as f64;
        (self.start.unix_us as f64 + since) / 1e6
    }

    pub(crate) fn node_name(&self, node: NodeNo) -> String {
        self.nodes.all.get(&node).map(|node| node.name.clone()).unwrap_or_default()
    }

    // ---- The node list and the links ----

    fn listed(&mut self, now: Micros, list: NodeList) {
        let (relinks, clashes) = self.nodes.list(list.nodes);
        self.constrain.listed(&self.nodes);
        for name in clashes {
            let line = format!("node {name}: its name can't be told from another's; rename it");
            self.log(Level::Warn, line);
        }
        for relink in relinks {
            match relink {
                Relink::Connect(number) => self.connect(number),
                Relink::Move(number) => {
                    let name = self.node_name(number);
                    self.link_down(now, &name, "it moved to another address");
                    self.connect(number);
                }
                Relink::Left(number) => self.left(now, number),
            }
        }
        self.tell_lines(now);
    }

    /// Constraints that broke or were mended, told once each.
    fn judge_standing(&mut self, now: Micros) {
        for News { job, breach, mended } in self.constrain.judge(now) {
            let Some(job) = self.ledger.jobs.get(&job) else { continue };
            let line = match mended {
                None => format!("job {}: `{}` no longer holds; {}", job.name, breach.text, breach.mends),
                Some(since) => {
                    let after = now.saturating_sub(since) as f64 / 1e6;
                    format!("job {}: `{}` holds again after {after:.1} s", job.name, breach.text)
                }
            };
            self.log(Level::Warn, line);
        }
    }

    fn tell_lines(&mut self, now: Micros) {
        let news = self.nodes.news(now, self.start.now, &self.settings.site);
        if !news.is_empty() {
            self.events.push(Event::Listed(Listing::Changes(news)));
        }
    }

    fn connect(&mut self, number: NodeNo) {
        // A node that left the list with tasks kept its link; another would void what is sent on it now.
        let down = |node: &&crate::links::Node| matches!(node.link, Link::Fresh | Link::Down);
        if let Some(node) = self.nodes.all.get(&number).filter(down) {
            let (node, address) = (node.name.clone(), node.address);
            self.outputs.push_back(Output::Connect { node, address });
        }
    }

    /// A node left the list: what it holds is awaited on its link, and given up where there is none.
    fn left(&mut self, now: Micros, number: NodeNo) {
        let Some(node) = self.nodes.all.get(&number) else { return };
        let (idle, up) = (node.attempts.is_empty(), node.is_up());
        if idle {
            self.disconnect(number);
        } else if !up {
            self.unanswered(now, number);
        }
    }

    /// The core lets a link go; nothing may be sent on it any more.
    fn disconnect(&mut self, number: NodeNo) {
        if let Some(node) = self.nodes.all.get_mut(&number) {
            node.link = Link::Down;
            self.outputs.push_back(Output::Disconnect { node: node.name.clone() });
        }
    }

    fn tell_line(&mut self, now: Micros, number: NodeNo) {
        if let Some(line) = self.nodes.line(now, self.start.now, number, &self.settings.site) {
            self.events.push(Event::Listed(Listing::Changes(vec![line])));
        }
    }

    fn link_up(&mut self, now: Micros, name: &str, called: &str, life: u64, up_ms: u64, can_suspend: bool) {
        let Some((number, node)) = self.nodes.named(name) else { return };
        if called != name {
            let line =
                format!("node {name}: {} answers as `{called}`; mend the list or the node", node.address);
            self.log(Level::Warn, line);
            self.disconnect(number);
            return self.tell_line(now, number);
        }
        node.links += 1;
        node.link = Link::Greeted(Vec::new());
        node.can_suspend = can_suspend;
        let same = node.met(now, life, up_ms);
        if !same {
            // Attempts of its former life can't be among what it holds now.
            let gone: Vec<AttemptId> = node.attempts.iter().copied().collect();
            for id in gone {
                let known = self.ledger.attempts.get(&id).map(|attempt| attempt.known);
                if let Some(known) = known {
                    let verdict = decide::reconcile(known, None, false);
                    self.judge(now, id, verdict);
                }
            }
            self.constrain.ghosts_gone(number);
        }
        self.tell_line(now, number);
    }

    fn link_down(&mut self, now: Micros, name: &str, why: &str) {
        let (wait, lost) = (self.settings.links.reattach_us, self.settings.links.lost_after_us);
        let Some((number, node)) = self.nodes.named(name) else { return };
        let was_up = !matches!(node.link, Link::Fresh | Link::Down);
        let quiet = node.health() != Health::Ready || matches!(node.link, Link::Down);
        node.link = Link::Down;
        if was_up {
            let link = node.links;
            self.timers.set(now + wait, Timer::Reattach { node: number, link });
            self.timers.set(now + lost, Timer::LinkLost { node: number, link });
        }
        if !quiet {
            self.log(Level::Warn, format!("node {name}: {why}"));
        }
        self.tell_line(now, number);
    }

    /// A link was down for too long: what was unanswered on it may have run, and on a node that is gone
    /// from the list, what was accepted too.
    fn unanswered(&mut self, now: Micros, number: NodeNo) {
        let Some(node) = self.nodes.all.get(&number) else { return };
        let gone = node.health() == Health::Gone;
        if gone {
            self.let_go(now, number, "node gone");
        }
        let Some(node) = self.nodes.all.get(&number) else { return };
        let attempts: Vec<AttemptId> = node.attempts.iter().copied().collect();
        for id in attempts {
            match self.ledger.attempts.get(&id).map(|attempt| attempt.known) {
                Some(Known::Out) => self.unplaced(now, id, Fate::Reset, None, Vec::new(), "link lost"),
                Some(Known::Stopping) => {
                    self.unplaced(now, id, Fate::Stopped, None, Vec::new(), "stopped, no word")
                }
                _ => {}
            }
        }
    }

    /// A node can't be asked what became of the tasks that it accepted: they count as lost, and may run still.
    fn let_go(&mut self, now: Micros, number: NodeNo, word: &'static str) {
        let Some(node) = self.nodes.all.get(&number) else { return };
        let accepted = |id: &AttemptId| {
            self.ledger.attempts.get(id).is_some_and(|attempt| attempt.known == Known::Accepted)
        };
        let lost: Vec<AttemptId> = node.attempts.iter().copied().filter(accepted).collect();
        for id in lost {
            self.lost(now, id, Loss::Unknown, Fate::Reset, None, word);
        }
    }

    fn holds(&mut self, now: Micros, number: NodeNo, page: Vec<Held>, last: bool) {
        let Some(node) = self.nodes.all.get_mut(&number) else { return };
        let Link::Greeted(held) = &mut node.link else { return };
        held.extend(page);
        if !last {
            return;
        }
        let held = std::mem::take(held);
        node.link = Link::Up;
        node.told = true;
        // The ledger's attempts first: what is over makes room for what turns up.
        let mine: Vec<AttemptId> = node.attempts.iter().copied().collect();
        let by_wire: BTreeMap<wire::AttemptId, &Held> =
            held.iter().map(|held| (held.attempt, held)).collect();
        for id in mine {
            let Some(attempt) = self.ledger.attempts.get(&id) else { continue };
            let state = by_wire.get(&attempt.wire).map(|held| &held.state);
            let verdict = decide::reconcile(attempt.known, state, true);
            self.judge(now, id, verdict);
            if let Some(state) = state {
                self.sync_state(now, id, state);
            }
        }
        let told: BTreeSet<wire::AttemptId> = held.iter().map(|held| held.attempt).collect();
        self.constrain.ghosts_told(number, &told);
        for held in held {
            if self.ledger.find(self.start.life, held.attempt).is_none() {
                self.turned_up(now, number, held);
            }
        }
        self.tell_line(now, number);
        self.settle(now);
    }

    fn judge(&mut self, now: Micros, id: AttemptId, verdict: Verdict) {
        match verdict {
            Verdict::Keep => {}
            Verdict::Place => self.accepted(now, id, Vec::new()),
            Verdict::Over { end, ran } => self.over(now, id, end, ran, Vec::new()),
            Verdict::NeverRan => {
                self.unplaced(now, id, Fate::Unsent, None, Vec::new(), "never reached the node")
            }
            Verdict::PerhapsRan => self.unplaced(now, id, Fate::Reset, None, Vec::new(), "node restarted"),
            Verdict::Gone => self.lost(now, id, Loss::Ended, Fate::Reset, None, "node lost it"),
            Verdict::StopAgain => {
                if let Some(attempt) = self.ledger.attempts.get(&id) {
                    let (node, attempt) = (attempt.node, attempt.wire);
                    self.send(node, Message::Stop { attempt });
                }
            }
        }
    }

    /// Notes that were lost with a link.
    fn sync_state(&mut self, now: Micros, id: AttemptId, state: &HeldState) {
        match state {
            HeldState::Running => self.noted(now, id, Topic::Runs, 0.0),
            HeldState::Suspended => self.noted(now, id, Topic::Suspended, 0.0),
            _ => {}
        }
    }

    /// A node tells of a copy that the ledger does not hold.
    fn turned_up(&mut self, now: Micros, number: NodeNo, held: Held) {
        let Held { attempt, task, state } = held;
        if let HeldState::Ended { end, ran } = state {
            return self.ended_unheld(now, number, attempt, &task, end, ran);
        }
        let job = self.job_named(&task.job);
        let standing = match job.and_then(|job| self.ledger.jobs.get(&job)) {
            Some(job) => match job.phase {
                Phase::Asked(_) | Phase::Delayed => Standing::Waiting,
                Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_) => Standing::Elsewhere,
                Phase::Held | Phase::Ending(_) | Phase::Ended(_) => Standing::Over,
            },
            None if attempt.life == self.start.life || self.retired.contains(&attempt) => Standing::Forgotten,
            None => Standing::Unknown,
        };
        let adopted = match decide::late_copy(standing) {
            // A copy still in the node's line of offers is no copy to count on.
            LateCopy::Adopt if state == HeldState::Waiting => false,
            LateCopy::Adopt => self.adopt(now, number, attempt, &task, job, &state),
            LateCopy::Stop => false,
        };
        if !adopted {
            self.stats.late_stopped += 1;
            if attempt.life != self.start.life {
                self.retired.insert(attempt);
            }
            self.send(number, Message::Stop { attempt });
        }
    }

    /// An end that no attempt waits for. A task of a former life whose end nobody was told is a job
    /// that is over; its owner may still ask.
    fn ended_unheld(
        &mut self,
        now: Micros,
        number: NodeNo,
        attempt: wire::AttemptId,
        task: &wire::Task,
        end: wire::End,
        ran: bool,
    ) {
        self.send(number, Message::Ack { attempt });
        let foreign = attempt.life != self.start.life && !self.retired.contains(&attempt);
        let fresh = foreign && self.job_named(&task.job).is_none();
        if fresh
            && ran
            && self.adopt(now, number, attempt, task, None, &HeldState::Running)
            && let Some(id) = self.ledger.find(self.start.life, attempt)
        {
            self.over(now, id, end, ran, Vec::new());
        }
    }

    /// Makes a copy that a node holds the job's own.
    fn adopt(
        &mut self,
        now: Micros,
        number: NodeNo,
        attempt: wire::AttemptId,
        task: &wire::Task,
        job: Option<JobNo>,
        state: &HeldState,
    ) -> bool {
        let job = match job {
            Some(job) => {
                // What the module still tries for it would only make a second copy.
                self.withdraw(job);
                job
            }
            None => match self.job_of_former_life(now, task) {
                Ok(job) => job,
                Err(why) => {
                    let name = self.node_name(number);
                    self.log(
                        Level::Warn,
                        format!("node {name} holds job {}, which can't be taken up: {why}", task.job),
                    );
                    return false;
                }
            },
        };
        let Some(machine) = self.nodes.all.get(&number).map(|node| node.machine) else { return false };
        let request = self.ledger.new_request();
        let id = AttemptId { request, number: 0 };
        let Some(task) = self.module_task(job, request) else { return false };
        self.events.push(Event::Adopted { task, machine });
        let known = Known::Accepted;
        let Some(topics) = self.ledger.jobs.get(&job).map(|job| Arc::clone(&job.ask.topics)) else {
            return false;
        };
        self.constrain.copy_comes(&topics, number);
        let copy =
            Attempt { job, node: number, machine, wire: attempt, sent: now, known, accepted: true, topics };
        self.ledger.open(self.start.life, id, copy);
        if let Some(node) = self.nodes.all.get_mut(&number) {
            node.attempts.insert(id);
        }
        if let Some(entry) = self.ledger.jobs.get_mut(&job) {
            entry.tried(id, number, now);
            entry.fate(id, "adopted");
        }
        self.stats.adopted += 1;
        self.placed(now, job, id);
        self.sync_state(now, id, state);
        true
    }

    /// A job as a node tells of it: its session, its template and its class are in what the node was given.
    fn job_of_former_life(&mut self, now: Micros, task: &wire::Task) -> std::result::Result<JobNo, String> {
        let name = JobName::parse(&task.job).ok_or("its name is no job's")?;
        let spec = serde_json::from_slice(&task.payload).map_err(|error| format!("its template: {error}"))?;
        let mut ask = crate::ask::Ask::new(spec, &self.settings, None).map_err(|error| error.message)?;
        // What it was placed with holds, also where the settings say otherwise by now.
        (ask.cores, ask.memory, ask.service) = (task.cores, task.memory, task.service.clone());
        ask.life_us = (task.life_ms > 0).then(|| task.life_ms.saturating_mul(1_000));
        let limit = self.settings.limits.sessions;
        let session = self.sessions.open(&name.session, now, limit).map_err(|error| error.message)?;
        let job = Job {
            key: reedring::TaskKey(task.key),
            name,
            session,
            ask: Arc::new(ask),
            phase: Phase::Delayed,
            copies: Vec::new(),
            history: Vec::new(),
            outcome: None,
            again: true,
            submitted: now,
            placed: None,
            started: None,
            ended: None,
            broken: None,
        };
        Ok(self.add_job(job))
    }

    // ---- What nodes say ----

    fn message(&mut self, now: Micros, name: &str, message: Message) {
        let Some(number) = self.nodes.number(name) else { return };
        let find = |core: &Self, id| {
            // An attempt is its own node's to speak of.
            let found = core.ledger.find(core.start.life, id);
            found.filter(|id| core.ledger.attempts.get(id).is_some_and(|attempt| attempt.node == number))
        };
        match message {
            Message::Holds { held, last } => self.holds(now, number, held, last),
            Message::Accepted { attempt, report } => match find(self, attempt) {
                Some(id) => self.accepted(now, id, report),
                // Its job went on without it: what it is now comes with the answer to this stop.
                None => self.send(number, Message::Stop { attempt }),
            },
            Message::Refused { attempt, reason, report, .. } => {
                self.constrain.ghost_gone(attempt);
                if let Some(node) = self.nodes.all.get_mut(&number) {
                    *node.refusals.entry(reason).or_default() += 1;
                }
                if let Some(id) = find(self, attempt) {
                    self.refused(now, id, reason, report);
                }
            }
            Message::Note { attempt, topic, amount } => {
                if let Some(id) = find(self, attempt) {
                    self.noted(now, id, topic, amount);
                }
            }
            Message::Ended { attempt, end, ran, report } => {
                self.send(number, Message::Ack { attempt });
                self.constrain.ghost_gone(attempt);
                if let Some(id) = find(self, attempt) {
                    self.over(now, id, end, ran, report);
                }
            }
            Message::Report { nonce, report } => self.probed(now, nonce, Some(report)),
            // The rest is what placers say; the shell reads greetings itself.
            _ => {}
        }
    }

    fn accepted(&mut self, now: Micros, id: AttemptId, report: Vec<f64>) {
        let Some(attempt) = self.ledger.attempts.get_mut(&id) else { return };
        attempt.accepted = true;
        if attempt.known != Known::Out {
            // It crossed the stop on the wire; the answer to the stop says what became of it.
            return;
        }
        attempt.known = Known::Accepted;
        let (job, machine, took_us) = (attempt.job, attempt.machine, now.saturating_sub(attempt.sent));
        self.ledger.requests.remove(&id.request);
        self.constrain.answered(id.request);
        self.events.push(Event::Placed { attempt: id, machine, took_us });
        if !report.is_empty() {
            self.events.push(Event::Probed { machine, answered: true, took_us, report });
        }
        self.placed(now, job, id);
    }

    /// A job has an accepted copy.
    fn placed(&mut self, now: Micros, job: JobNo, id: AttemptId) {
        let running = self.settings.site.yes_when_running;
        let node = self.ledger.attempts.get(&id).map(|attempt| attempt.node);
        let subject = self.ledger.jobs.get(&job).and_then(|job| job.ask.subject());
        if let Some((node, subject)) = node.zip(subject) {
            self.constrain.stands(job, subject, node);
        }
        let Some(entry) = self.ledger.jobs.get_mut(&job) else { return };
        entry.fate(id, "accepted");
        entry.phase = Phase::Placed(id);
        if entry.outcome.is_none() {
            entry.placed = Some(now);
        }
        self.told(job, Outcome::Placed);
        if running {
            self.runs(now, job, id);
        }
    }

    fn runs(&mut self, now: Micros, job: JobNo, id: AttemptId) {
        let Some(entry) = self.ledger.jobs.get_mut(&job) else { return };
        entry.phase = Phase::Running(id);
        entry.started = Some(now);
        let spec = &entry.ask.spec;
        if let Some(limit) = spec.wall_hard.into_iter().chain(spec.run_hard).min() {
            self.timers.set(now.saturating_add(limit.saturating_mul(1_000_000)), Timer::WallLimit(job));
        }
    }

    fn refused(&mut self, now: Micros, id: AttemptId, reason: wire::Reason, report: Vec<f64>) {
        let told = match reason {
            wire::Reason::Untold => None,
            wire::Reason::NoCores => Some(Reason::NoCores),
            wire::Reason::NoMemory => Some(Reason::NoMemory),
            wire::Reason::Crowded => Some(Reason::Crowded),
            wire::Reason::Draining
            | wire::Reason::CopyStands
            | wire::Reason::TooLate
            | wire::Reason::NotHere => Some(Reason::NotHere),
        };
        if self.ledger.attempts.get(&id).is_some_and(|attempt| attempt.known != Known::Accepted) {
            self.unplaced(now, id, Fate::Refused, told, report, reason.word());
        }
    }

    fn noted(&mut self, now: Micros, id: AttemptId, topic: Topic, amount: f64) {
        let Some(attempt) = self.ledger.attempts.get(&id) else { return };
        let (job, machine) = (attempt.job, attempt.machine);
        let phase = self.ledger.jobs.get(&job).map(|job| job.phase.clone());
        let note = match topic {
            Topic::Runs => {
                if matches!(phase, Some(Phase::Placed(_))) {
                    self.runs(now, job, id);
                }
                Note::Runs
            }
            Topic::Suspended | Topic::Resumed => {
                if let (Some(Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_)), Some(entry)) =
                    (phase, self.ledger.jobs.get_mut(&job))
                {
                    let suspended = topic == Topic::Suspended;
                    entry.phase = if suspended { Phase::Suspended(id) } else { Phase::Running(id) };
                }
                return;
            }
            Topic::Cores => Note::Cores(amount),
            Topic::Memory => Note::Memory(amount),
            Topic::Served => Note::Served(amount),
            Topic::Pressure => Note::Pressure(amount),
        };
        self.events.push(Event::Noted { attempt: id, machine, note });
    }

    /// A node says that an attempt is over.
    fn over(&mut self, now: Micros, id: AttemptId, end: wire::End, ran: bool, report: Vec<f64>) {
        let Some(attempt) = self.ledger.attempts.get(&id) else { return };
        let (known, accepted) = (attempt.known, attempt.accepted);
        if known == Known::Out && ran {
            // Its acceptance was lost on the way.
            self.accepted(now, id, Vec::new());
        } else if known == Known::Out || known == Known::Stopping && !accepted {
            let fate = if ran { Fate::Stopped } else { Fate::Unsent };
            let word = if ran { "stopped" } else { "handed back" };
            return self.unplaced(now, id, fate, None, report, word);
        }
        let loss = if ran { Loss::Ended } else { Loss::NeverRan };
        match end {
            wire::End::Exited(status) => {
                self.finished(now, id, Ending::ran(End::Exited { status }), report);
            }
            wire::End::Signaled(signal) => {
                let signal = signal_name(i32::from(signal)).to_owned();
                self.finished(now, id, Ending::ran(End::Signaled { signal, core_dump: false }), report);
            }
            wire::End::Error(text) if ran => {
                self.finished(now, id, Ending::aborted(format!("its node could not run it: {text}")), report);
            }
            wire::End::Evicted => self.lost(now, id, loss, Fate::Reset, Some(Reason::Evicted), "evicted"),
            wire::End::PushedOut => {
                self.lost(now, id, loss, Fate::Reset, Some(Reason::PushedOut), "pushed out")
            }
            wire::End::SentAway => self.lost(now, id, loss, Fate::Reset, Some(Reason::SentAway), "sent away"),
            wire::End::Stopped => self.lost(now, id, loss, Fate::Stopped, None, "stopped"),
            wire::End::Error(_) => self.lost(now, id, loss, Fate::Error, None, "node error"),
            wire::End::Unknown => self.lost(now, id, loss, Fate::Reset, None, "node lost it"),
        }
    }

    // ---- What becomes of attempts and jobs ----

    /// An attempt's end is known, or it is `unknown` whether its copy stands still.
    fn close(&mut self, id: AttemptId, fate: &'static str, unknown: bool) -> Option<Attempt> {
        let attempt = self.ledger.close(id, fate)?;
        if unknown {
            self.constrain.copy_unknown(attempt.wire, Arc::clone(&attempt.topics), attempt.node);
        } else {
            self.constrain.copy_goes(&attempt.topics, attempt.node);
        }
        if attempt.wire.life != self.start.life {
            self.retired.insert(attempt.wire);
        }
        if let Some(node) = self.nodes.all.get_mut(&attempt.node) {
            node.attempts.remove(&id);
            if !node.listed && node.attempts.is_empty() {
                self.disconnect(attempt.node);
            }
        }
        Some(attempt)
    }

    /// Tells the module how an attempt ended.
    fn tell_end(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        outcome: Fate,
        reason: Option<Reason>,
        report: Vec<f64>,
    ) {
        let closed = !self.ledger.requests.contains_key(&id.request);
        if !closed {
            self.constrain.free_again(id.request);
        }
        let machine = attempt.machine;
        self.events.push(Event::Ended(Ended { attempt: id, machine, outcome, reason, closed, report }));
    }

    /// An attempt ended before its node accepted it, or nobody knows whether it did.
    fn unplaced(
        &mut self,
        now: Micros,
        id: AttemptId,
        fate: Fate,
        reason: Option<Reason>,
        report: Vec<f64>,
        word: &'static str,
    ) {
        let unknown = matches!(fate, Fate::Reset | Fate::Stopped | Fate::TimedOut);
        let Some(attempt) = self.close(id, word, unknown) else { return };
        // Where it may be accepted still, its node should not start it for nothing.
        if unknown {
            self.send(attempt.node, Message::Stop { attempt: attempt.wire });
        }
        self.tell_end(id, &attempt, fate, reason, report);
        self.ends_if_ending(now, attempt.job);
    }

    /// An accepted copy ran to its end.
    fn finished(&mut self, now: Micros, id: AttemptId, ending: Ending, report: Vec<f64>) {
        let Some(attempt) = self.close(id, "ended", false) else { return };
        self.tell_end(id, &attempt, Fate::Finished, None, report);
        let phase = self.ledger.jobs.get(&attempt.job).map(|job| &job.phase);
        match phase {
            // It ended by itself before the stop came through: that is how it ended.
            Some(Phase::Ending(_)) | Some(Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_)) => {
                self.end_job(now, attempt.job, ending);
            }
            _ => {}
        }
    }

    /// An accepted copy is no more, and did not run to its end.
    fn lost(
        &mut self,
        now: Micros,
        id: AttemptId,
        loss: Loss,
        fate: Fate,
        reason: Option<Reason>,
        word: &'static str,
    ) {
        let Some(attempt) = self.close(id, word, loss == Loss::Unknown) else { return };
        self.constrain.stands_no_more(attempt.job);
        self.tell_end(id, &attempt, fate, reason, Vec::new());
        let Some(job) = self.ledger.jobs.get(&attempt.job) else { return };
        if job.holder() != Some(id) {
            return self.ends_if_ending(now, attempt.job);
        }
        let class = &self.settings.classes[usize::from(job.ask.class)];
        let (again, wait) = (decide::comes_again(class.comes_again, loss), class.again_after_us);
        let node = self.node_name(attempt.node);
        if again {
            self.log(Level::Info, format!("job {}: {word} at {node}; it is placed again", job.name));
            if let Some(job) = self.ledger.jobs.get_mut(&attempt.job) {
                (job.phase, job.again) = (Phase::Delayed, true);
            }
            self.timers.set(now + wait, Timer::Ask(attempt.job));
        } else {
            let why = match loss {
                Loss::Unknown => "it may run still, and its class forbids a second copy",
                Loss::Ended | Loss::NeverRan => "its class forbids a second start",
            };
            self.end_job(now, attempt.job, Ending::aborted(format!("{word} at {node}; {why}")));
        }
    }

    /// A job that is being ended is over once no copy is left.
    fn ends_if_ending(&mut self, now: Micros, job: JobNo) {
        let Some(entry) = self.ledger.jobs.get(&job) else { return };
        if let (Phase::Ending(ending), true) = (&entry.phase, entry.copies.is_empty()) {
            let ending = ending.clone();
            self.end_job(now, job, ending);
        }
    }

    pub(crate) fn add_job(&mut self, job: Job) -> JobNo {
        let (session, at) = (job.session, (job.name.call, job.name.index));
        let number = self.ledger.add(job);
        if let Some(session) = self.sessions.get_mut(session) {
            session.jobs.insert(at, number);
        }
        self.stats.submitted += 1;
        number
    }

    pub(crate) fn job_named(&self, name: &str) -> Option<JobNo> {
        let name = JobName::parse(name)?;
        let session = self.sessions.get(self.sessions.find(&name.session).ok()?)?;
        session.jobs.get(&(name.call, name.index)).copied()
    }

    pub(crate) fn module_task(&self, job: JobNo, request: RequestId) -> Option<Task> {
        let job = self.ledger.jobs.get(&job)?;
        let class = &self.settings.classes[usize::from(job.ask.class)].name;
        Some(Task {
            request,
            class: job.ask.class,
            tenant: job.ask.tenant,
            key: job.key,
            service: service_id(class, &job.ask.service),
            cores: job.ask.cores,
            memory: job.ask.memory,
            life_us: job.ask.life_us,
            again: job.again,
        })
    }

    /// Hands a job to the module: from here on its owner is owed one answer in time.
    pub(crate) fn ask(&mut self, now: Micros, job: JobNo) {
        let request = self.ledger.new_request();
        let Some(task) = self.module_task(job, request) else { return };
        let Some(entry) = self.ledger.jobs.get_mut(&job) else { return };
        let give_up = self.settings.classes[usize::from(entry.ask.class)].give_up_us;
        let unix = (self.start.unix_us + now.saturating_sub(self.start.now)) as i64;
        let left = entry.ask.spec.deadline.map(|at| at.saturating_mul(1_000_000).saturating_sub(unix).max(0));
        let grace_us = left.map_or(give_up, |left| give_up.min(left as u64));
        if grace_us == 0 {
            self.told(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted("its drmaa_deadline_time is over"));
        }
        let subject = entry.ask.subject();
        if let Some(never) = subject.as_ref().and_then(|subject| self.constrain.never(subject)) {
            self.told(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted(format!("refused: {never}")));
        }
        entry.phase = Phase::Asked(request);
        self.ledger.requests.insert(request, (job, 0));
        // The answer must be with the owner before it gives up, so the module gets a little less time.
        let margin = ANSWER_MARGIN_US.min(grace_us / 4);
        self.timers.set(now + grace_us - margin / 2, Timer::GiveUp { job, request: request.0 });
        self.events.push(Event::Arrived { task, grace_us: grace_us - margin });
        let opened = subject.map(|subject| self.constrain.asked(request, subject));
        self.events.extend(opened.map(opened_event));
    }

    /// The module is told that nobody wants this job placed any more; it stops what is out.
    fn withdraw(&mut self, job: JobNo) {
        if let Some(Phase::Asked(request)) = self.ledger.jobs.get(&job).map(|job| job.phase.clone()) {
            self.take_back(request);
        }
    }

    pub(crate) fn take_back(&mut self, request: RequestId) {
        self.ledger.requests.remove(&request);
        self.constrain.answered(request);
        self.events.push(Event::Withdrawn(request));
    }

    /// A job's owner has its answer: the first one stands, and is counted.
    pub(crate) fn told(&mut self, job: JobNo, outcome: Outcome) {
        let Some(entry) = self.ledger.jobs.get_mut(&job).filter(|entry| entry.outcome.is_none()) else {
            return;
        };
        entry.outcome = Some(outcome);
        *match outcome {
            Outcome::Placed => &mut self.stats.placed,
            Outcome::Refused => &mut self.stats.refused,
            Outcome::Failed => &mut self.stats.failed,
            Outcome::Terminated => &mut self.stats.terminated,
        } += 1;
    }

    /// Ends a job at its user's word or by its limit: its copies are stopped first.
    pub(crate) fn terminate(&mut self, now: Micros, job: JobNo, ending: Ending) {
        self.withdraw(job);
        let Some(entry) = self.ledger.jobs.get_mut(&job) else { return };
        if matches!(entry.phase, Phase::Ending(_) | Phase::Ended(_)) {
            return;
        }
        let copies = entry.copies.clone();
        entry.phase = Phase::Ending(ending);
        self.told(job, Outcome::Terminated);
        for id in copies {
            self.stop(now, id);
        }
        self.ends_if_ending(now, job);
    }

    pub(crate) fn end_job(&mut self, now: Micros, job: JobNo, ending: Ending) {
        let Some(entry) = self.ledger.jobs.get_mut(&job).filter(|entry| !entry.is_over()) else { return };
        let broken: Vec<String> = self.constrain.broken(job).into_iter().map(|(text, _)| text).collect();
        entry.broken = (!broken.is_empty()).then(|| broken.join("; "));
        self.constrain.stands_no_more(job);
        entry.phase = Phase::Ended(ending);
        entry.ended = Some(now);
        let (number, at) = (entry.session, (entry.name.call, entry.name.index));
        self.ledger.live = self.ledger.live.saturating_sub(1);
        let Some(session) = self.sessions.get_mut(number) else { return };
        if session.over.is_empty() {
            let keep = self.settings.limits.keep_ended_us;
            self.timers.set(now + (keep / SWEEPS).max(1_000_000), Timer::Sweep);
        }
        let Some(session) = self.sessions.get_mut(number) else { return };
        session.over.insert(job);
        let woken = session.ends_waits(job);
        if let Some(call) = woken.takes {
            let result = ended(self.job_info(job));
            session_reap(&mut self.sessions, number, at, job);
            self.ledger.jobs.remove(&job);
            let answered = self.sessions.answer(number, call, result);
            self.send_answer(answered);
            for call in woken.too_late {
                let answered = self.sessions.answer(number, call, Err(self.taken()));
                self.send_answer(answered);
            }
        }
        for call in woken.complete {
            self.synchronized(number, call);
        }
    }

    pub(crate) fn job_info(&self, job: JobNo) -> Option<reedring_drmaa::JobInfo> {
        let job = self.ledger.jobs.get(&job)?;
        let node = job.history.last().map(|trial| self.node_name(trial.node));
        job.info(node.as_deref(), |at| self.unix(at))
    }

    /// Forgets a job whose end its owner was told.
    pub(crate) fn reap(&mut self, job: JobNo) {
        if let Some(entry) = self.ledger.jobs.remove(&job) {
            session_reap(&mut self.sessions, entry.session, (entry.name.call, entry.name.index), job);
        }
    }

    // ---- What the module wants ----

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer { request, machine, within_us } => self.offer(now, request, machine, within_us),
            Action::Stop(id) => self.stop(now, id),
            Action::Refuse { request, stay_away_us } => {
                self.answer(now, request, Outcome::Refused, stay_away_us)
            }
            Action::Fail(request) => self.answer(now, request, Outcome::Failed, None),
            Action::Move(request) => {
                let placed = self.ledger.attempts.keys().find(|id| id.request == request).copied();
                placed.into_iter().for_each(|id| self.stop(now, id));
            }
            Action::Probe(machine) => self.probe(now, machine),
            Action::Timer { token, after_us } => self.timers.set(now + after_us, Timer::Module(token)),
            Action::Log(line) => self.log(Level::Info, line),
            // Links stay open, nobody listens, and the list comes without being asked for.
            Action::CloseIdle(_) | Action::Tell { .. } | Action::Watch(_) | Action::Fetch => {}
        }
    }

    fn offer(
        &mut self,
        now: Micros,
        request: RequestId,
        machine: reedring::MachineId,
        within_us: Option<Micros>,
    ) {
        let Some((job, number)) = self.ledger.requests.get_mut(&request) else { return };
        let (job, id) = (*job, AttemptId { request, number: *number });
        *number += 1;
        let Some(node) = self.nodes.of_machine(machine) else { return };
        let wire = wire::AttemptId { life: self.start.life, request: request.0, number: id.number };
        let task = self.wire_task(job);
        let Some(entry) = self.ledger.jobs.get_mut(&job) else { return };
        entry.tried(id, node, now);
        let topics = Arc::clone(&entry.ask.topics);
        self.constrain.copy_comes(&topics, node);
        let known = Known::Out;
        let attempt = Attempt { job, node, machine, wire, sent: now, known, accepted: false, topics };
        let closed = self.constrain.offered(request);
        self.events.extend(closed.map(opened_event));
        self.ledger.open(self.start.life, id, attempt);
        let Some(entry) = self.nodes.all.get_mut(&node) else { return };
        entry.attempts.insert(id);
        let up = entry.is_up();
        match task {
            Some(task) if up => {
                let within = within_us.unwrap_or(0);
                if within > 0 {
                    self.timers.set(now + within, Timer::Attempt(id));
                }
                // Rounded down, and 1 at least: 0 would mean no bound.
                let within_ms = u32::try_from(within / 1_000).unwrap_or(u32::MAX);
                let within_ms = if within > 0 { within_ms.max(1) } else { 0 };
                self.stats.offers += 1;
                self.send(node, Message::Offer { attempt: wire, task: Box::new(task), within_ms });
            }
            _ => self.unplaced(now, id, Fate::Unconnected, None, Vec::new(), "no link"),
        }
    }

    fn wire_task(&self, job: JobNo) -> Option<wire::Task> {
        let job = self.ledger.jobs.get(&job)?;
        let class = &self.settings.classes[usize::from(job.ask.class)];
        Some(wire::Task {
            session: job.name.session.to_string(),
            job: job.name.to_string(),
            class: class.name.clone(),
            tenant: self.settings.tenants[usize::from(job.ask.tenant)].clone(),
            service: job.ask.service.clone(),
            repeat: match class.effect {
                reedring::Effect::Safe => wire::Repeat::Safe,
                reedring::Effect::Keyed => wire::Repeat::Keyed,
                reedring::Effect::Unsafe => wire::Repeat::Unsafe,
            },
            group: match class.group {
                reedring::Group::All => wire::Group::All,
                reedring::Group::Zone => wire::Group::Hall,
                reedring::Group::Cell => wire::Group::Rack,
            },
            window_ms: u32::try_from(class.window_us.unwrap_or(0) / 1_000).unwrap_or(u32::MAX),
            key: job.key.0,
            cores: job.ask.cores,
            memory: job.ask.memory,
            life_ms: job.ask.life_us.unwrap_or(0) / 1_000,
            payload: serde_json::to_vec(&job.ask.spec.at_index(job.name.index)).unwrap_or_default(),
        })
    }

    /// Gives an attempt up: its node is asked to stop it, and its word awaited for a while.
    fn stop(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.ledger.attempts.get_mut(&id) else { return };
        let (node, wire, was) = (attempt.node, attempt.wire, attempt.known);
        attempt.known = Known::Stopping;
        if was != Known::Stopping {
            self.timers.set(now + self.settings.links.stop_wait_us, Timer::StopWait(id));
            self.send(node, Message::Stop { attempt: wire });
        }
    }

    /// The module's final answer to a request.
    fn answer(&mut self, now: Micros, request: RequestId, outcome: Outcome, stay_away_us: Option<Micros>) {
        let Some((job, _)) = self.ledger.requests.remove(&request) else { return };
        let mut reason = self.why_not(job, request);
        if let Some(constraint) = self.constrain.why_not(request) {
            reason = format!("{reason}; {constraint}");
        }
        self.constrain.answered(request);
        self.told(job, outcome);
        let reason = match outcome {
            Outcome::Refused => format!("refused: {reason}"),
            _ => format!("failed: {reason}; it may have run"),
        };
        self.end_job(now, job, Ending { end: End::Aborted, reason: Some(reason), stay_away_us });
    }

    /// What became of a request's attempts, in words.
    fn why_not(&self, job: JobNo, request: RequestId) -> String {
        let Some(job) = self.ledger.jobs.get(&job) else { return String::new() };
        let mut fates: BTreeMap<&str, (u32, BTreeSet<NodeNo>)> = BTreeMap::new();
        for trial in job.history.iter().filter(|trial| trial.attempt.request == request) {
            let (count, nodes) = fates.entry(trial.fate).or_default();
            *count += 1;
            nodes.insert(trial.node);
        }
        if fates.is_empty() {
            return "no node may take it".to_owned();
        }
        let words = fates.iter().map(|(fate, (count, nodes))| {
            let nodes: Vec<String> = nodes.iter().map(|node| self.node_name(*node)).collect();
            format!("{count} {fate} ({})", nodes.join(", "))
        });
        words.collect::<Vec<_>>().join(", ")
    }

    fn probe(&mut self, now: Micros, machine: reedring::MachineId) {
        let Some(number) = self.nodes.of_machine(machine) else { return };
        self.last_probe += 1;
        let nonce = self.last_probe;
        self.probes.insert(nonce, (number, now));
        if self.nodes.all.get(&number).is_some_and(|node| node.is_up()) {
            self.timers.set(now + self.settings.links.probe_us, Timer::Probe(nonce));
            self.send(number, Message::Probe { nonce });
        } else {
            self.probed(now, nonce, None);
        }
    }

    fn probed(&mut self, now: Micros, nonce: u64, report: Option<Vec<f64>>) {
        let Some((node, sent)) = self.probes.remove(&nonce) else { return };
        let Some(machine) = self.nodes.all.get(&node).map(|node| node.machine) else { return };
        let (answered, took_us) = (report.is_some(), now.saturating_sub(sent));
        self.events.push(Event::Probed { machine, answered, took_us, report: report.unwrap_or_default() });
    }

    // ---- Time ----

    fn fire(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Module(token) => {
                self.constrain.rotate();
                self.events.push(Event::Woken(token));
            }
            Timer::Attempt(id) => {
                let out = self.ledger.attempts.get(&id).is_some_and(|attempt| attempt.known == Known::Out);
                if out {
                    self.unplaced(now, id, Fate::TimedOut, None, Vec::new(), "no answer in time");
                }
            }
            Timer::StopWait(id) => {
                let waits = self.ledger.attempts.get(&id).filter(|attempt| attempt.known == Known::Stopping);
                match waits.map(|attempt| attempt.accepted) {
                    Some(false) => {
                        self.unplaced(now, id, Fate::Stopped, None, Vec::new(), "stopped, no word")
                    }
                    Some(true) => self.lost(now, id, Loss::Unknown, Fate::Stopped, None, "stopped, no word"),
                    None => {}
                }
            }
            Timer::Reattach { node, link } => {
                let down = self.nodes.all.get(&node).is_some_and(|n| n.links == link && !n.is_up());
                if down {
                    self.unanswered(now, node);
                }
            }
            Timer::LinkLost { node, link } => {
                let down = self.nodes.all.get(&node).is_some_and(|n| n.links == link && !n.is_up());
                if down {
                    self.let_go(now, node, "node unreachable");
                }
            }
            Timer::Lines => self.tell_lines(now),
            Timer::Probe(nonce) => self.probed(now, nonce, None),
            Timer::Ask(job) => {
                let waits = self.ledger.jobs.get(&job).is_some_and(|job| matches!(job.phase, Phase::Delayed));
                if waits {
                    self.ask(now, job);
                }
            }
            Timer::GiveUp { job, request } => self.overdue(now, job, RequestId(request)),
            Timer::WallLimit(job) => {
                let runs = self.ledger.jobs.get(&job);
                if runs.is_some_and(|job| matches!(job.phase, Phase::Running(_) | Phase::Suspended(_))) {
                    let end = End::Signaled { signal: "SIGXCPU".to_owned(), core_dump: false };
                    let reason = Some("it ran for as long as its template allows".to_owned());
                    self.terminate(now, job, Ending { end, reason, stay_away_us: None });
                }
            }
            Timer::Wait { session, call } => self.waited(session, call),
            Timer::Settle => self.settle(now),
            Timer::Sweep => self.sweep(now),
        }
    }

    /// Rule 1's last guard: the module answers in time; if it ever does not, the owner gets no promise.
    fn overdue(&mut self, now: Micros, job: JobNo, request: RequestId) {
        if !self.events.is_empty() {
            // After a standstill the module may not have seen yet what came with this timer.
            return self.timers.set(now + 1_000, Timer::GiveUp { job, request: request.0 });
        }
        if self.ledger.requests.get(&request).is_some_and(|(of, _)| *of == job) {
            self.log(Level::Warn, format!("request {} had no answer in time; its job is failed", request.0));
            self.withdraw(job);
            self.ledger.requests.insert(request, (job, 0));
            self.answer(now, request, Outcome::Failed, None);
        }
    }

    fn sweep(&mut self, now: Micros) {
        let keep = self.settings.limits.keep_ended_us;
        let before = now.saturating_sub(keep);
        let old = |(_, job): &(u32, JobNo)| {
            self.ledger.jobs.get(job).and_then(|job| job.ended).is_some_and(|ended| ended < before)
        };
        let jobs: Vec<(u32, JobNo)> = self.sessions.over().filter(old).collect();
        for (_, job) in jobs {
            self.reap(job);
        }
        self.sessions.sweep(before);
        if self.sessions.over().next().is_some() {
            self.timers.set(now + (keep / SWEEPS).max(1_000_000), Timer::Sweep);
        }
    }

    // ---- The operator ----

    pub(crate) fn drain(&mut self, now: Micros, name: &str, drain: bool) -> Result<Answer> {
        let Some((number, node)) = self.nodes.named(name) else {
            return Err(self.no_node(name));
        };
        node.drained = drain;
        self.constrain.listed(&self.nodes);
        self.tell_line(now, number);
        let word = if drain { "drained" } else { "no longer drained" };
        self.log(Level::Info, format!("node {name}: {word} by an operator"));
        Ok(Answer::Done)
    }
}

fn opened_event((request, machines): Opened) -> Event {
    Event::Opened { request, machines }
}

fn session_reap(sessions: &mut Sessions, number: u32, at: (u64, u64), job: JobNo) {
    if let Some(session) = sessions.get_mut(number) {
        session.reap(at, job);
    }
}

/// The number of the key that a job's repeats share.
pub(crate) fn job_key(class: &str, key: Option<&str>, name: &JobName, bulk: bool) -> reedring::TaskKey {
    match key {
        Some(key) if bulk => task_key(class, &format!("{key}\n{}", name.index)),
        Some(key) => task_key(class, key),
        None => task_key(class, &format!("\n{name}")),
    }
}
