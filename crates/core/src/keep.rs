//! What the core keeps: rows of what changed, and the outputs that wait for them.
//!
//! Everything that came between two flushes becomes one batch. What a client is told waits for it, and so do
//! acknowledged ends, which nodes forget, and offers that a successor must know of: the first of each job,
//! those of tasks that must not start twice, and those to cold nodes. All else leaves at once.

use std::collections::{BTreeSet, VecDeque};

use reedring::{AttemptId, Effect, Micros, Outcome as Fate};
use reedring_drmaa::rpc::Answer;
use reedring_node_protocol::{self as wire, Message};
use reedring_settings::{DISK_WAIT_US, Health, WhenLost};
use reedring_state::{
    self as state, AgedBeliefs, Batch, BatchSequence, BeliefSnapshot, Change, DurabilityBarrier,
    LedgerSnapshot, NodeIdentity, Released,
};

use crate::core::Core;
use crate::decide::Known;
use crate::event::Event;
use crate::io::{ConnId, Output};
use crate::jobs::{Ending, Job, JobNo, NodeNo, Outcome, Phase, SessionNo};
use crate::timers::Timer;

/// What a core is given of its folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// What was promised.
    pub image: LedgerSnapshot,
    /// What was learned, aged to this moment.
    pub learned: AgedBeliefs,
    /// Why the folder can't be written, if that is so from the start.
    pub lost: Option<String>,
}

/// To whom an output goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Dest {
    Conn(ConnId),
    Node(NodeNo),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Waits {
    No,
    /// For what this flush changes.
    Now,
    For(u64),
}

/// An output of this flush.
#[derive(Debug)]
struct Staged {
    to: Dest,
    /// The batch that it tells of, or must not outrun.
    waits: Waits,
    output: Output,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Mode {
    /// No folder is told.
    #[default]
    Off,
    On,
    /// The folder can't be written.
    Lost {
        why: String,
        marked: bool,
    },
}

/// What is kept and what waits for it.
#[derive(Debug, Default)]
pub(crate) struct Keep {
    mode: Mode,
    /// The number of the last batch.
    seq: u64,
    changes: Vec<Change>,
    staged: Vec<Staged>,
    gate: DurabilityBarrier<Dest, (Micros, Output)>,
    /// Calls whose templates are kept.
    asks: BTreeSet<(SessionNo, u64)>,
    /// Acknowledgements that are owed until what they acknowledge is durable.
    owed: BTreeSet<(NodeNo, wire::AttemptId)>,
    /// The next batch holds every row.
    whole: bool,
    /// The last batch that did.
    whole_seq: u64,
    /// When each batch that is not durable yet was made.
    cuts: VecDeque<(u64, Micros)>,
}

impl Keep {
    pub fn is_on(&self) -> bool {
        self.mode != Mode::Off
    }

    pub fn change(&mut self, change: Change) {
        if self.mode == Mode::On {
            self.changes.push(change);
        }
    }

    /// Why nothing is durable now, where something should be.
    pub fn lost(&self) -> Option<&str> {
        match &self.mode {
            Mode::Lost { why, .. } => Some(why),
            _ => None,
        }
    }

    /// A link ended or began: what waits for it is void.
    pub fn link_changed(&mut self, node: NodeNo) {
        self.gate.remove_destination(&Dest::Node(node));
        self.staged.retain(|staged| {
            staged.to != Dest::Node(node) || !matches!(staged.output, Output::Send { .. })
        });
    }

    pub fn client_gone(&mut self, conn: ConnId) {
        self.gate.remove_destination(&Dest::Conn(conn));
    }

    /// Turns an offer back that has not left.
    fn unsend(&mut self, node: NodeNo, attempt: wire::AttemptId) -> bool {
        let wanted = |output: &Output| offered(output) == Some(attempt);
        if self
            .gate
            .remove_first(&Dest::Node(node), |(_, output)| wanted(output))
            .is_some()
        {
            return true;
        }
        let at = self
            .staged
            .iter()
            .rposition(|staged| wanted(&staged.output));
        at.map(|at| self.staged.remove(at)).is_some()
    }
}

/// The attempt that an output offers.
fn offered(output: &Output) -> Option<wire::AttemptId> {
    match output {
        Output::Send {
            message: Message::Offer { attempt, .. },
            ..
        } => Some(*attempt),
        _ => None,
    }
}

impl Core {
    /// Starts to keep; `covered` holds the lives whose promises are all known.
    pub(crate) fn start_keeping(&mut self, lost: Option<String>) {
        self.keep.mode = match lost {
            Some(why) => {
                self.log(Event::StateUnavailable {
                    reason: why.clone(),
                });
                Mode::Lost { why, marked: false }
            }
            None => Mode::On,
        };
        self.keep
            .change(Change::IncarnationStarted(self.start.life));
        let every = self.settings.state.as_ref().map(|state| state.learn_us);
        every
            .into_iter()
            .for_each(|every| self.timers.set(self.start.now + every, Timer::Learn));
    }

    // ---- Outputs ----

    pub(crate) fn stage_reply(&mut self, conn: ConnId, output: Output) {
        self.keep.staged.push(Staged {
            to: Dest::Conn(conn),
            waits: Waits::Now,
            output,
        });
    }

    /// Tells an end that batch `seq` has. That it was told need not be durable: a successor that does not know
    /// tells the same end again. A client that waits for one job after the other would otherwise get no more
    /// of them than the disk has syncs, and many too late.
    pub(crate) fn stage_end(&mut self, conn: ConnId, output: Output, seq: u64) {
        self.keep.staged.push(Staged {
            to: Dest::Conn(conn),
            waits: Waits::For(seq),
            output,
        });
    }

    /// Sends on a node's link, in order.
    pub(crate) fn stage_send(&mut self, now: Micros, number: NodeNo, message: Message) {
        let Some(node) = self.nodes.all.get(&number).filter(|node| node.is_up()) else {
            return;
        };
        let name = node.name.clone();
        let waits = match &message {
            Message::Offer { task, .. } => {
                let cold = self.nodes.is_cold(number, now, &self.settings.site);
                if cold {
                    self.keep.change(Change::WarmUpOffer(name.clone()));
                }
                let row = self
                    .job_named(&task.job)
                    .and_then(|job| self.ledger.jobs.get(&job)?.kept);
                match row {
                    Some(seq) if !cold && task.repeat == wire::Repeat::Safe => Waits::For(seq),
                    _ => Waits::Now,
                }
            }
            Message::Ack { attempt } => {
                if !self.may_acknowledge(*attempt) {
                    self.keep.owed.insert((number, *attempt));
                    return;
                }
                Waits::Now
            }
            _ => Waits::No,
        };
        let output = Output::Send {
            node: name,
            message,
        };
        self.keep.staged.push(Staged {
            to: Dest::Node(number),
            waits,
            output,
        });
    }

    /// A node forgets what is acknowledged. While nothing is durable that would make the ledger lie: it holds
    /// the attempt as out, and the node no longer knows of it.
    fn may_acknowledge(&self, attempt: wire::AttemptId) -> bool {
        if self.keep.lost().is_none() {
            return true;
        }
        let found = self.ledger.find(self.start.life, attempt);
        let job = found
            .and_then(|id| self.ledger.attempts.get(&id))
            .map(|attempt| attempt.job);
        let job = job.and_then(|job| self.ledger.jobs.get(&job));
        job.is_some_and(|job| job.kept.is_none() && self.effect(job) == Effect::Safe)
    }

    pub(crate) fn effect(&self, job: &Job) -> Effect {
        self.settings.classes[usize::from(job.ask.class)].effect
    }

    /// Whether a task of this class may leave though its offer can't be made durable.
    pub(crate) fn may_leave(&self, effect: Effect) -> bool {
        let warn = self
            .settings
            .state
            .as_ref()
            .is_none_or(|state| state.when_lost == WhenLost::Warn);
        match &self.keep.mode {
            Mode::Off | Mode::On => true,
            // A successor that does not know that promises are missing would start them again.
            Mode::Lost { marked, .. } => effect == Effect::Safe || *marked && warn,
        }
    }

    /// An attempt's offer, if it has not left, never will.
    pub(crate) fn unsend(&mut self, id: AttemptId) -> bool {
        let attempt = self
            .ledger
            .attempts
            .get(&id)
            .map(|attempt| (attempt.node, attempt.wire));
        self.keep.is_on() && attempt.is_some_and(|(node, wire)| self.keep.unsend(node, wire))
    }

    /// Offers that wait for the disk don't leave for nodes that may get nothing any more.
    pub(crate) fn recheck_waiting(&mut self, now: Micros) {
        let nodes = &self.nodes;
        let closed = |output: &Output| match output {
            Output::Send {
                node,
                message: Message::Offer { .. },
            } => nodes
                .health_of(node)
                .is_none_or(|health| health != Health::Ready),
            _ => false,
        };
        let closed = self.keep.gate.remove_matching(|(_, output)| closed(output));
        for Released {
            output: (_, output),
            ..
        } in closed
        {
            self.never_left(now, &output, "its node drains");
        }
    }

    fn never_left(&mut self, now: Micros, output: &Output, word: &'static str) {
        let id = offered(output).and_then(|wire| self.ledger.find(self.start.life, wire));
        if let Some(id) = id {
            self.unplaced(now, id, Fate::Unsent, None, Vec::new(), word);
        }
    }

    /// Before the module decides: what waits for nothing that this turn changes leaves, as a turn may be long.
    pub fn release(&mut self, now: Micros) {
        let on = self.keep.mode == Mode::On;
        let (mut kept, mut behind) = (Vec::new(), BTreeSet::new());
        for staged in std::mem::take(&mut self.keep.staged) {
            let needs = match staged.waits {
                Waits::No => Some(0),
                Waits::For(seq) => Some(if on { seq } else { 0 }),
                Waits::Now => None,
            };
            // Each destination keeps its order.
            match needs.filter(|_| !behind.contains(&staged.to)) {
                Some(needs) => {
                    let passed =
                        self.keep
                            .gate
                            .admit(staged.to, BatchSequence(needs), (now, staged.output));
                    self.outputs.extend(passed.map(|(_, output)| output));
                }
                None => {
                    behind.insert(staged.to);
                    kept.push(staged);
                }
            }
        }
        self.keep.staged = kept;
    }

    /// The end of a flush: its changes become a batch, its outputs leave or wait for it.
    pub(crate) fn cut(&mut self, now: Micros) {
        match self.keep.mode {
            Mode::On if self.keep.whole => self.cut_whole(now),
            Mode::On => self.cut_changes(now),
            Mode::Off | Mode::Lost { .. } => {
                self.sessions.changes();
                self.ledger.changed.clear();
                self.ledger.forgotten.clear();
            }
        }
        let (seq, on) = (self.keep.seq, self.keep.mode == Mode::On);
        for Staged { to, waits, output } in std::mem::take(&mut self.keep.staged) {
            let needs = match waits {
                Waits::Now if on => seq,
                Waits::For(seq) if on => seq,
                _ => 0,
            };
            if let Some((_, output)) = self
                .keep
                .gate
                .admit(to, BatchSequence(needs), (now, output))
            {
                self.outputs.push_back(output);
            }
        }
    }

    fn cut_changes(&mut self, now: Micros) {
        let mut changes = std::mem::take(&mut self.keep.changes);
        changes.append(&mut self.sessions.changes());
        for number in std::mem::take(&mut self.ledger.changed) {
            self.job_rows(number, &mut changes);
        }
        for (session, call) in std::mem::take(&mut self.ledger.forgotten) {
            let left = self
                .sessions
                .get(session)
                .is_some_and(|s| s.jobs.range((call, 0)..=(call, u64::MAX)).next().is_some());
            if !left && self.keep.asks.remove(&(session, call)) {
                changes.push(Change::Template(session, call, None));
            }
        }
        self.keep_batch(now, changes, false);
    }

    /// A ledger that is written anew gets every row.
    fn cut_whole(&mut self, now: Micros) {
        (self.keep.whole, self.keep.whole_seq) = (false, self.keep.seq + 1);
        self.keep.asks.clear();
        self.ledger.changed.clear();
        self.ledger.forgotten.clear();
        self.keep.changes.clear();
        let mut changes = vec![Change::IncarnationStarted(self.start.life)];
        let covered = self
            .covered
            .iter()
            .map(|life| Change::IncarnationStarted(*life));
        changes.splice(0..0, covered);
        changes.append(&mut self.sessions.rows());
        let numbers: Vec<JobNo> = self.ledger.jobs.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| self.job_rows(number, &mut changes));
        let drained = self.nodes.all.values().filter(|node| node.drained);
        changes.extend(drained.map(|node| Change::Drain {
            node: node.name.clone(),
            draining: true,
        }));
        self.keep_batch(now, changes, true);
    }

    fn keep_batch(&mut self, now: Micros, changes: Vec<Change>, whole: bool) {
        if !changes.is_empty() {
            self.keep.seq += 1;
            self.keep.cuts.push_back((self.keep.seq, now));
            let batch = Batch {
                sequence: BatchSequence(self.keep.seq),
                at: self.unix_us(now),
                changes,
            };
            self.outputs.push_back(Output::Keep { batch, whole });
        }
    }

    fn job_rows(&mut self, number: JobNo, changes: &mut Vec<Change>) {
        let next = self.keep.seq + 1;
        let Some(job) = self.ledger.jobs.get(&number) else {
            return changes.push(Change::Job(number, None));
        };
        let call = (job.session, job.name.call);
        if self.keep.asks.insert(call) {
            changes.push(Change::Template(call.0, call.1, Some(self.ask_row(job))));
        }
        changes.push(Change::Job(number, Some(Box::new(self.job_row(job)))));
        if let Some(job) = self.ledger.jobs.get_mut(&number) {
            job.kept.get_or_insert(next);
            if job.is_over() {
                job.end_kept.get_or_insert(next);
            }
        }
    }

    fn ask_row(&self, job: &Job) -> state::JobTemplate {
        let ask = &job.ask;
        state::JobTemplate {
            template_json: serde_json::to_string(&ask.spec).unwrap_or_default(),
            class: self.settings.classes[usize::from(ask.class)].name.clone(),
            tenant: self.settings.tenants[usize::from(ask.tenant)].clone(),
            service: ask.service.clone(),
            cores: ask.cores,
            memory: ask.memory,
            run_time_us: ask.life_us,
        }
    }

    fn job_row(&self, job: &Job) -> state::Job {
        let unix = |at: Micros| self.unix_us(at);
        let attempt = |id: &AttemptId| {
            let attempt = self.ledger.attempts.get(id)?;
            Some(state::Attempt {
                incarnation: attempt.wire.life,
                request: attempt.wire.request,
                number: attempt.wire.number,
                node: self.node_name(attempt.node),
                node_incarnation: attempt.node_life,
                sent_at: unix(attempt.sent),
                state: match attempt.known {
                    Known::Out => state::AttemptState::Offered,
                    Known::Accepted => state::AttemptState::Accepted,
                    Known::Stopping => state::AttemptState::Stopping,
                },
                accepted: attempt.accepted,
            })
        };
        state::Job {
            session: job.session,
            call: job.name.call,
            index: job.name.index,
            idempotency_key: job.key.0,
            phase: match &job.phase {
                Phase::Held => state::Phase::Held,
                Phase::Delayed if job.recovering => state::Phase::Pending {
                    deadline: unix(job.until),
                },
                Phase::Delayed => state::Phase::Delayed {
                    until: unix(job.until),
                },
                Phase::Asked(_) => state::Phase::Pending {
                    deadline: unix(job.until),
                },
                Phase::Placed(_) => state::Phase::Placed,
                Phase::Running(_) => state::Phase::Running,
                Phase::Suspended(_) => state::Phase::Suspended,
                Phase::Ending(ending) => state::Phase::Ending(ending.clone()),
                Phase::Ended(ending) => state::Phase::Ended(ending.clone()),
            },
            outcome: job.outcome,
            lost_before: job.again,
            may_have_run: job.may_have_run,
            submitted_at: unix(job.submitted),
            placed_at: job.placed.map(unix),
            started_at: job.started.map(unix),
            ended_at: job.ended.map(unix),
            attempt_count: job.tries,
            last_node: job.history.last().map(|trial| self.node_name(trial.node)),
            open_attempts: job.copies.iter().filter_map(attempt).collect(),
            violated_clauses: job.broken.clone(),
        }
    }

    // ---- What the disk says ----

    pub(crate) fn durable(&mut self, now: Micros, seq: u64) {
        let done = self
            .keep
            .cuts
            .iter()
            .take_while(|(cut, _)| *cut <= seq)
            .count();
        for (_, cut) in self.keep.cuts.drain(..done) {
            self.lag.note(now, now.saturating_sub(cut));
        }
        for Released {
            destination: to,
            output: (since, output),
        } in self.keep.gate.advance(BatchSequence(seq))
        {
            if let (Dest::Node(number), Some(wire)) = (to, offered(&output)) {
                let ready = self
                    .nodes
                    .all
                    .get(&number)
                    .is_some_and(|node| node.health() == Health::Ready);
                let late = now.saturating_sub(since) > DISK_WAIT_US
                    && self.nodes.is_cold(number, now, &self.settings.site);
                if !ready || late || self.ledger.find(self.start.life, wire).is_none() {
                    self.never_left(now, &output, "the disk was slow");
                    continue;
                }
            }
            self.outputs.push_back(output);
        }
        // What was owed while nothing was durable is in the first whole batch after.
        if self.keep.mode == Mode::On && !self.keep.whole && seq >= self.keep.whole_seq {
            for (node, attempt) in std::mem::take(&mut self.keep.owed) {
                self.stage_send(now, node, Message::Ack { attempt });
            }
        }
    }

    /// The folder can't be written: nothing that waits can wait for it.
    pub(crate) fn state_lost(&mut self, now: Micros, why: String, marked: bool) {
        let new = Mode::Lost {
            why: why.clone(),
            marked,
        };
        if self.keep.mode == new || self.keep.mode == Mode::Off {
            return;
        }
        self.keep.whole = false;
        self.keep.cuts.clear();
        self.keep.changes.clear();
        if self.keep.mode == Mode::On {
            self.log(Event::StateWriteFailed { reason: why });
        }
        self.keep.mode = new;
        for Released {
            destination: to,
            output: (_, mut output),
        } in self.keep.gate.remove_matching(|_| true)
        {
            if let Output::Reply { response, .. } = &mut output
                && let Some(Answer::Submitted(submitted)) = &mut response.result
            {
                submitted.warning = self.not_kept();
            }
            let unsafe_offer = match &output {
                Output::Send {
                    message: Message::Offer { task, .. },
                    ..
                } => task.repeat != wire::Repeat::Safe,
                _ => false,
            };
            if unsafe_offer && !self.may_leave(Effect::Unsafe) {
                let id = offered(&output).and_then(|wire| self.ledger.find(self.start.life, wire));
                id.into_iter().for_each(|id| self.cannot_leave(now, id));
                continue;
            }
            match (to, &output) {
                (
                    Dest::Node(node),
                    Output::Send {
                        message: Message::Ack { attempt },
                        ..
                    },
                ) if !self.may_acknowledge(*attempt) => {
                    self.keep.owed.insert((node, *attempt));
                }
                _ => self.outputs.push_back(output),
            }
        }
    }

    /// The folder takes a new ledger: the next batch has every row.
    pub(crate) fn state_back(&mut self) {
        if self.keep.lost().is_some() {
            (self.keep.mode, self.keep.whole) = (Mode::On, true);
            self.log(Event::StateWriteRestored);
        }
    }

    /// A task that must not start twice can't leave: its owner has its answer.
    pub(crate) fn cannot_leave(&mut self, now: Micros, id: AttemptId) {
        let Some(job) = self.ledger.attempts.get(&id).map(|attempt| attempt.job) else {
            return;
        };
        if let Some(Phase::Asked(request)) = self.ledger.jobs.get(&job).map(|job| job.phase.clone())
        {
            self.take_back(request);
        }
        self.unplaced(now, id, Fate::Unsent, None, Vec::new(), "not sent");
        let why = self.keep.lost().unwrap_or_default().to_owned();
        let ran = self
            .ledger
            .jobs
            .get(&job)
            .is_some_and(|job| job.may_have_run);
        let (outcome, word) = if ran {
            (Outcome::Failed, "failed")
        } else {
            (Outcome::Refused, "refused")
        };
        self.told(job, outcome);
        let reason = format!(
            "{word}: its start can't be kept over a restart ({why}), and it must not start twice"
        );
        self.end_job(now, job, Ending::aborted(reason));
    }

    /// What was learned is kept, and will be again.
    pub(crate) fn learn(&mut self, now: Micros) {
        if let Some(every) = self.settings.state.as_ref().map(|state| state.learn_us) {
            self.timers.set(now + every, Timer::Learn);
        }
        self.farewell(now);
    }

    /// Asks for what was learned to be kept, as for a placer that ends in order.
    pub fn farewell(&mut self, now: Micros) {
        if self.keep.mode == Mode::Off {
            return;
        }
        let beliefs = self.placer.beliefs(now);
        let named = |machine| {
            let node = self.nodes.all.get(&self.nodes.of_machine(machine)?)?;
            Some(NodeIdentity {
                name: node.name.clone(),
                incarnation: node.life,
            })
        };
        let learned = BeliefSnapshot::new(self.unix_us(now), beliefs, named);
        self.outputs.push_back(Output::Learn(Box::new(learned)));
    }
}
