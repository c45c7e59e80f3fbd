//! The engine: inputs to the module's events, the module's actions to outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use reedring::names::task_key;
use reedring::timers::Timers;
use reedring::{
    Action, AttemptId, Event as ModuleEvent, Micros, Outcome as Fate, Placer, RequestId,
};
use reedring_drmaa::rpc::{Answer, Call, Response, Stats};
use reedring_drmaa::{End, Result};
use reedring_node_protocol::{self as wire, Message};
use reedring_settings::Settings;
use reedring_state::Change;

use crate::constrain::{Constrainer, EligibilityChange, TURNS};
use crate::decide::{self, Known, Loss};
use crate::event::Event;
use crate::holds::Holds;
use crate::io::{ConnId, Input, Output};
use crate::jobs::{Attempt, Ending, JobName, JobNo, Ledger, NodeNo, Outcome, Phase};
use crate::keep::Keep;
use crate::links::{Born, Nodes};
use crate::sessions::{Answered, Parked, Sessions};
use crate::timers::Timer;
use crate::versions::Versions;

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
    pub(crate) placer: Placer,
    pub(crate) ledger: Ledger,
    pub(crate) nodes: Nodes,
    pub(crate) sessions: Sessions,
    pub(crate) timers: Timers<Timer>,
    pub(crate) constrain: Constrainer,
    pub(crate) holds: Holds,
    /// What is known of plans; none where the file has no `[plan]`.
    pub(crate) versions: Option<Versions>,
    /// Own tables that the settings file has otherwise than at the start.
    pub(crate) own_changes: Vec<&'static str>,
    /// Revision of the node list; 0 where it has none.
    pub(crate) list_revision: u64,
    /// How far behind the loop and the disk were lately.
    pub(crate) lag: decide::Lag,
    pub(crate) stats: Stats,
    /// Nanoseconds spent in the module.
    pub(crate) module_ns: u64,
    /// Submissions that wait for nodes to say what they hold, and until when they may.
    pub(crate) parked: Vec<Parked>,
    pub(crate) settle_until: Micros,
    pub(crate) probes: BTreeMap<u64, (NodeNo, Micros)>,
    last_probe: u64,
    /// Attempts of other lives that this one has closed: their nodes may tell of them once more.
    pub(crate) retired: BTreeSet<wire::AttemptId>,
    /// Operators' long lists that are asked for. They are made one a flush, after all else, so that who
    /// asks for many of them holds nobody up.
    pub(crate) reads: VecDeque<(ConnId, u64, Call)>,
    pub(crate) events: Vec<ModuleEvent>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) keep: Keep,
    /// Lives of this placer whose promises are all known.
    pub(crate) covered: BTreeSet<u64>,
    /// Every offer of the former life to a cold node is known.
    pub(crate) budgets_known: bool,
    /// What a former life learned of nodes that are not met yet.
    pub(crate) recall: BTreeMap<String, reedring_state::NodeBeliefs>,
    /// Copies of a former life whose constraints are judged once nodes have told.
    pub(crate) restored_copies: Vec<(JobNo, AttemptId)>,
    /// A sweep is due.
    pub(crate) sweeping: bool,
    /// Times the module for the stats; decides nothing.
    stopwatch: Option<fn() -> u64>,
}

/// How often jobs that are over are looked through, as a part of the time for which they are kept.
pub(crate) const SWEEPS: u64 = 8;

impl Core {
    /// A core that knows its settings and nothing else.
    pub fn new(settings: Settings, start: Start) -> Self {
        let mut nodes = Nodes::new(
            settings
                .kinds
                .iter()
                .map(|kind| kind.name.clone())
                .collect(),
        );
        let hall = settings
            .hall
            .as_deref()
            .map(|hall| nodes.halls.number(hall));
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
            holds: Holds::default(),
            versions: Versions::new(&settings, start.life),
            own_changes: Vec::new(),
            list_revision: 0,
            lag: decide::Lag::default(),
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
            keep: Keep::default(),
            covered: BTreeSet::new(),
            budgets_known: false,
            recall: BTreeMap::new(),
            restored_copies: Vec::new(),
            sweeping: false,
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
        if idle {
            self.timers.next()
        } else {
            Some(self.start.now)
        }
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
                self.keep.client_gone(conn);
                self.parked.retain(|parked| parked.conn != conn);
                self.reads.retain(|(of, ..)| *of != conn);
            }
            Input::Listed(list) => self.listed(now, list),
            Input::SettingsChanged(settings) => self.settings_changed(&settings),
            Input::LinkUp {
                node,
                called,
                life,
                up_ms,
                can_suspend,
                record,
            } => {
                self.link_up(now, &node, &called, life, up_ms, can_suspend, record);
            }
            Input::Message { node, message } => self.message(now, &node, message),
            Input::LinkDown { node, why } => self.link_down(now, &node, &why),
            Input::Unwritten(attempts) => self.unwritten(now, &attempts),
            Input::Durable(seq) => self.durable(now, seq),
            Input::StateLost { why, marked } => self.state_lost(now, why, marked),
            Input::StateBack => self.state_back(),
            Input::Tick => {}
        }
    }

    /// Runs the timers that are due and lets the module decide on all that came since the last time.
    pub fn flush(&mut self, now: Micros) {
        while let Some(due) = self.timers.next().filter(|due| *due <= now) {
            // Before anything else: answers that this turn gives go by how far behind it is.
            self.lag.note(now, now - due);
            if let Some(timer) = self.timers.pop(now) {
                self.fire(now, timer);
            }
        }
        self.plans_due(now);
        self.tell_holds();
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
        self.cut(now);
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.outputs.push_back(Output::Event(event));
    }

    pub(crate) fn reply(&mut self, conn: ConnId, response: Response) {
        self.stage_reply(conn, Output::Reply { conn, response });
    }

    pub(crate) fn send_answer(&mut self, answered: Option<Answered>) {
        answered
            .into_iter()
            .for_each(|answered| self.reply(answered.conn, answered.response));
    }

    pub(crate) fn unix_us(&self, at: Micros) -> u64 {
        self.start
            .unix_us
            .saturating_add(at)
            .saturating_sub(self.start.now)
    }

    /// The core's time of a moment, also of one long before its start where its clock began late enough.
    pub(crate) fn at_unix(&self, unix_us: u64) -> Micros {
        self.start
            .now
            .saturating_add(unix_us)
            .saturating_sub(self.start.unix_us)
    }

    pub(crate) fn born(&self) -> Born {
        Born {
            at: self.start.now,
            budgets_known: self.budgets_known,
        }
    }

    pub(crate) fn unix(&self, at: Micros) -> f64 {
        let since = at as f64 - self.start.now as f64;
        (self.start.unix_us as f64 + since) / 1e6
    }

    pub(crate) fn node_name(&self, node: NodeNo) -> String {
        self.nodes
            .all
            .get(&node)
            .map(|node| node.name.clone())
            .unwrap_or_default()
    }

    // ---- What the module wants ----

    fn act(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer {
                request,
                machine,
                within_us,
            } => self.offer(now, request, machine, within_us),
            Action::Stop(id) => self.stop(now, id),
            Action::Refuse {
                request,
                stay_away_us,
            } => self.answer(now, request, Outcome::Refused, stay_away_us),
            Action::Fail(request) => self.answer(now, request, Outcome::Failed, None),
            Action::Move(request) => {
                let placed = self
                    .ledger
                    .attempts
                    .keys()
                    .find(|id| id.request == request)
                    .copied();
                placed.into_iter().for_each(|id| self.stop(now, id));
            }
            Action::Probe(machine) => self.probe(now, machine),
            Action::Timer { token, after_us } => {
                self.timers.set(now + after_us, Timer::Module(token))
            }
            Action::Log(text) => self.log(Event::ModuleMessage { text }),
            // Links stay open, nobody listens, and the list comes without being asked for.
            Action::CloseIdle(_) | Action::Tell { .. } | Action::Watch(_) | Action::Fetch => {}
        }
    }

    pub(crate) fn offer(
        &mut self,
        now: Micros,
        request: RequestId,
        machine: reedring::MachineId,
        within_us: Option<Micros>,
    ) {
        let Some((job, number)) = self.ledger.requests.get_mut(&request) else {
            return;
        };
        let (job, id) = (
            *job,
            AttemptId {
                request,
                number: *number,
            },
        );
        *number += 1;
        let Some(node) = self.nodes.of_machine(machine) else {
            return;
        };
        let held = self.holds.has(machine);
        let wire = wire::AttemptId {
            life: self.start.life,
            request: request.0,
            number: id.number,
        };
        let task = self.wire_task(job);
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        entry.tried(id, node, now);
        let topics = Arc::clone(&entry.ask.topics);
        self.constrain.copy_comes(&topics, node);
        let known = Known::Out;
        let node_life = self.nodes.all.get(&node).and_then(|node| node.life);
        let (accepted, told) = (false, true);
        let attempt = Attempt {
            job,
            node,
            machine,
            wire,
            sent: now,
            known,
            accepted,
            told,
            node_life,
            topics,
        };
        let closed = self.constrain.offered(request);
        self.events.extend(closed.map(opened_event));
        self.ledger.open(self.start.life, id, attempt);
        let Some(entry) = self.nodes.all.get_mut(&node) else {
            return;
        };
        entry.attempts.insert(id);
        let up = entry.is_up();
        if held {
            // It was held back after the module had drawn.
            return self.unplaced(now, id, Fate::Unsent, None, Vec::new(), "held back");
        }
        let effect = self
            .ledger
            .jobs
            .get(&job)
            .map_or(reedring::Effect::Unsafe, |job| self.effect(job));
        if !self.may_leave(effect) {
            return self.cannot_leave(now, id);
        }
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
                let stamp = self.stamp_for(node);
                self.offered_to(now, node);
                self.stage_send(
                    now,
                    node,
                    Message::Offer {
                        attempt: wire,
                        task: Box::new(task),
                        within_ms,
                        stamp,
                    },
                );
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
            group: match class.drops {
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
    pub(crate) fn stop(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.ledger.attempt_mut(id) else {
            return;
        };
        let (node, wire, was) = (attempt.node, attempt.wire, attempt.known);
        attempt.known = Known::Stopping;
        if was == Known::Out && self.unsend(id) {
            return self.unplaced(now, id, Fate::Unsent, None, Vec::new(), "never sent");
        }
        if was != Known::Stopping {
            self.timers
                .set(now + self.settings.links.stop_wait_us, Timer::StopWait(id));
            self.stage_send(now, node, Message::Stop { attempt: wire });
        }
    }

    /// The module's final answer to a request.
    fn answer(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        stay_away_us: Option<Micros>,
    ) {
        let Some((job, _)) = self.ledger.requests.remove(&request) else {
            return;
        };
        let mut reason = self.why_not(job, request);
        let held = self.holds.words();
        if !held.is_empty() {
            reason = format!("{reason}; {held}");
        }
        if let Some(constraint) = self.constrain.why_not(request) {
            reason = format!("{reason}; {constraint}");
        }
        self.constrain.answered(request);
        self.holds.answered(request);
        self.told(job, outcome);
        let reason = match outcome {
            Outcome::Refused => format!("refused: {reason}"),
            _ => format!("failed: {reason}; it may have run"),
        };
        self.end_job(
            now,
            job,
            Ending {
                end: End::Aborted,
                reason: Some(reason),
                retry_after_us: stay_away_us,
            },
        );
    }

    /// What became of a request's attempts, in words.
    fn why_not(&self, job: JobNo, request: RequestId) -> String {
        let Some(job) = self.ledger.jobs.get(&job) else {
            return String::new();
        };
        let mut fates: BTreeMap<&str, (u32, BTreeSet<NodeNo>)> = BTreeMap::new();
        for trial in job
            .history
            .iter()
            .filter(|trial| trial.attempt.request == request)
        {
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
        let Some(number) = self.nodes.of_machine(machine) else {
            return;
        };
        self.last_probe += 1;
        let nonce = self.last_probe;
        self.probes.insert(nonce, (number, now));
        if self.nodes.all.get(&number).is_some_and(|node| node.is_up()) {
            self.timers
                .set(now + self.settings.links.probe_us, Timer::Probe(nonce));
            self.stage_send(now, number, Message::Probe { nonce });
        } else {
            self.probed(now, nonce, None);
        }
    }

    pub(crate) fn probed(&mut self, now: Micros, nonce: u64, report: Option<Vec<f64>>) {
        let Some((node, sent)) = self.probes.remove(&nonce) else {
            return;
        };
        let Some(machine) = self.nodes.all.get(&node).map(|node| node.machine) else {
            return;
        };
        let (answered, took_us) = (report.is_some(), now.saturating_sub(sent));
        self.events.push(ModuleEvent::Probed {
            machine,
            answered,
            took_us,
            report: report.unwrap_or_default(),
        });
    }

    // ---- Time ----

    pub(crate) fn fire(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Module(token) => {
                self.constrain.rotate();
                self.events.push(ModuleEvent::Woken(token));
            }
            Timer::Attempt(id) => {
                let out = self
                    .ledger
                    .attempts
                    .get(&id)
                    .is_some_and(|attempt| attempt.known == Known::Out);
                if out {
                    self.unplaced(
                        now,
                        id,
                        Fate::TimedOut,
                        None,
                        Vec::new(),
                        "no answer in time",
                    );
                }
            }
            Timer::StopWait(id) => {
                let waits = self
                    .ledger
                    .attempts
                    .get(&id)
                    .filter(|attempt| attempt.known == Known::Stopping);
                match waits.map(|attempt| attempt.accepted) {
                    Some(false) => {
                        self.unplaced(now, id, Fate::Stopped, None, Vec::new(), "stopped, no word")
                    }
                    Some(true) => self.lost(
                        now,
                        id,
                        Loss::Unknown,
                        Fate::Stopped,
                        None,
                        "stopped, no word",
                    ),
                    None => {}
                }
            }
            Timer::Reattach { node, link } => {
                let down = self
                    .nodes
                    .all
                    .get(&node)
                    .is_some_and(|n| n.links == link && !n.is_up());
                if down {
                    self.unanswered(now, node);
                }
            }
            Timer::LinkLost { node, link } => {
                let down = self
                    .nodes
                    .all
                    .get(&node)
                    .is_some_and(|n| n.links == link && !n.is_up());
                if down {
                    self.let_go(now, node, "node unreachable");
                }
            }
            Timer::Lines => self.tell_lines(now),
            Timer::Plans => self.plans_due(now),
            Timer::Cold(node) => self.tend_cold(now, node),
            Timer::Probe(nonce) => self.probed(now, nonce, None),
            Timer::Ask(job) => {
                let waits = self
                    .ledger
                    .jobs
                    .get(&job)
                    .is_some_and(|job| matches!(job.phase, Phase::Delayed));
                if waits {
                    self.ask(now, job);
                }
            }
            Timer::GiveUp { job, request } => self.overdue(now, job, RequestId(request)),
            Timer::WallLimit(job) => {
                let runs = self.ledger.jobs.get(&job);
                if runs
                    .is_some_and(|job| matches!(job.phase, Phase::Running(_) | Phase::Suspended(_)))
                {
                    let end = End::Signaled {
                        signal: "SIGXCPU".to_owned(),
                        core_dump: false,
                    };
                    let reason = Some("it ran for as long as its template allows".to_owned());
                    self.terminate(
                        now,
                        job,
                        Ending {
                            end,
                            reason,
                            retry_after_us: None,
                        },
                    );
                }
            }
            Timer::Wait { session, call } => self.waited(session, call),
            Timer::Settle => self.settle(now),
            Timer::Sweep => self.sweep(now),
            Timer::Learn => self.learn(now),
            Timer::Recover { job, last } => self.recover(now, job, last),
        }
    }

    /// Rule 1's last guard: the module answers in time; if it ever does not, the owner gets no promise.
    fn overdue(&mut self, now: Micros, job: JobNo, request: RequestId) {
        if !self.events.is_empty() {
            // After a standstill the module may not have seen yet what came with this timer.
            return self.timers.set(
                now + 1_000,
                Timer::GiveUp {
                    job,
                    request: request.0,
                },
            );
        }
        if self
            .ledger
            .requests
            .get(&request)
            .is_some_and(|(of, _)| *of == job)
        {
            let job_name = self.ledger.jobs.get(&job).map(|job| job.name.to_string());
            self.log(Event::RequestOverdue {
                request: request.0,
                job: job_name.unwrap_or_default(),
            });
            self.withdraw(job);
            self.ledger.requests.insert(request, (job, 0));
            self.answer(now, request, Outcome::Failed, None);
        }
    }

    fn sweep(&mut self, now: Micros) {
        let keep = self.settings.limits.keep_ended_us;
        let before = now.saturating_sub(keep);
        let old = |(_, job): &(u32, JobNo)| {
            self.ledger
                .jobs
                .get(job)
                .and_then(|job| job.ended)
                .is_some_and(|ended| ended < before)
        };
        let jobs: Vec<(u32, JobNo)> = self.sessions.over().filter(old).collect();
        for (_, job) in jobs {
            self.reap(job);
        }
        self.sessions.sweep(before);
        if self.sessions.over().next().is_some() {
            self.timers
                .set(now + (keep / SWEEPS).max(1_000_000), Timer::Sweep);
        }
    }

    // ---- The operator ----

    pub(crate) fn drain(&mut self, now: Micros, name: &str, drain: bool) -> Result<Answer> {
        let Some((number, node)) = self.nodes.named(name) else {
            return Err(self.no_node(name));
        };
        node.drained = drain;
        self.keep.change(Change::Drain {
            node: name.to_owned(),
            draining: drain,
        });
        self.recheck_waiting(now);
        self.constrain.listed(&self.nodes);
        self.tell_line(now, number);
        let node = name.to_owned();
        self.log(if drain {
            Event::NodeDrained { node }
        } else {
            Event::NodeUndrained { node }
        });
        Ok(Answer::Done)
    }
}

pub(crate) fn opened_event((request, machines): EligibilityChange) -> ModuleEvent {
    ModuleEvent::EligibilityChanged { request, machines }
}

/// The number of the key that a job's repeats share.
pub(crate) fn job_key(
    class: &str,
    key: Option<&str>,
    name: &JobName,
    bulk: bool,
) -> reedring::TaskKey {
    match key {
        Some(key) if bulk => task_key(class, &format!("{key}\n{}", name.index)),
        Some(key) => task_key(class, key),
        None => task_key(class, &format!("\n{name}")),
    }
}
