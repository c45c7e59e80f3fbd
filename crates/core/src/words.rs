//! What the node list and the nodes say, and what it means for the ledger.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::{AttemptId, Event as ModuleEvent, Listing, Micros, Note, Outcome as Fate, Reason};
use reedring_drmaa::End;
use reedring_drmaa::info::signal_name;
use reedring_node_protocol::{self as wire, AcceptorReport, Held, HeldState, Message, Topic};
use reedring_settings::{Health, NodeList};

use crate::constrain::News;
use crate::core::Core;
use crate::decide::{self, Known, LateCopy, Loss, Standing, Verdict};
use crate::event::Event;
use crate::io::Output;
use crate::jobs::{Attempt, Ending, Job, JobName, JobNo, NodeNo, Outcome, Phase};
use crate::links::{Link, Relink};
use crate::timers::Timer;

impl Core {
    // ---- The node list and the links ----

    pub(crate) fn listed(&mut self, now: Micros, list: NodeList) {
        if list.revision < self.list_revision {
            return self.log(Event::NodeListOutdated {
                revision: list.revision,
                known_revision: self.list_revision,
            });
        }
        self.list_revision = list.revision;
        let (relinks, clashes) = self.nodes.list(list.nodes);
        self.constrain.listed(&self.nodes);
        self.holds_listed();
        self.recheck_waiting(now);
        for node in clashes {
            self.log(Event::NodeNameCollision { node });
        }
        for relink in relinks {
            match relink {
                Relink::Connect(number) => self.connect(number),
                Relink::Move(number) => {
                    let name = self.node_name(number);
                    self.link_down(now, &name, "it moved to another address");
                    self.connect(number);
                }
                Relink::MoveZone(number) => self.move_zone(number),
                Relink::Left(number) => self.left(now, number),
            }
        }
        self.tell_lines(now);
        self.plans_changed();
    }

    /// Constraints that broke or were mended, told once each.
    pub(crate) fn judge_standing(&mut self, now: Micros) {
        for News {
            job,
            breach,
            mended,
        } in self.constrain.judge(now)
        {
            let Some(job) = self.ledger.jobs.get(&job) else {
                continue;
            };
            let (job, clause) = (job.name.to_string(), breach.text);
            self.log(match mended {
                None => Event::ConstraintViolated {
                    job,
                    clause,
                    remedy: breach.mends,
                },
                Some(since) => {
                    let violated_us = now.saturating_sub(since);
                    Event::ConstraintRestored {
                        job,
                        clause,
                        violated_us,
                    }
                }
            });
        }
    }

    pub(crate) fn tell_lines(&mut self, now: Micros) {
        let news = self.nodes.news(now, self.born(), &self.settings.site);
        if !news.is_empty() {
            let told: Vec<_> = news
                .iter()
                .filter_map(|line| self.nodes.of_machine(line.id))
                .collect();
            self.events
                .push(ModuleEvent::Listed(Listing::Changes(news)));
            told.into_iter().for_each(|number| self.recall(number));
        }
    }

    pub(crate) fn connect(&mut self, number: NodeNo) {
        // A node that left the list with tasks kept its link; another would void what is sent on it now.
        let down = |node: &&crate::links::Node| matches!(node.link, Link::Fresh | Link::Down);
        if let Some(node) = self.nodes.all.get(&number).filter(down) {
            let (zone, address) = (node.entry.hall.clone(), node.address);
            self.outputs.push_back(Output::Connect {
                node: node.name.clone(),
                address,
                zone,
            });
        }
    }

    /// The list names another zone for a node.
    fn move_zone(&mut self, number: NodeNo) {
        if let Some(node) = self.nodes.all.get(&number) {
            let (node, zone) = (node.name.clone(), node.entry.hall.clone());
            self.outputs.push_back(Output::MoveZone { node, zone });
        }
    }

    /// A node left the list: what it holds is awaited on its link, and given up where there is none.
    pub(crate) fn left(&mut self, now: Micros, number: NodeNo) {
        let Some(node) = self.nodes.all.get(&number) else {
            return;
        };
        let (idle, up) = (node.attempts.is_empty(), node.is_up());
        if idle {
            self.disconnect(number);
        } else if !up {
            self.unanswered(now, number);
        }
    }

    /// The core lets a link go; nothing may be sent on it any more.
    pub(crate) fn disconnect(&mut self, number: NodeNo) {
        if let Some(node) = self.nodes.all.get_mut(&number) {
            node.link = Link::Down;
            self.outputs.push_back(Output::Disconnect {
                node: node.name.clone(),
            });
        }
    }

    pub(crate) fn tell_line(&mut self, now: Micros, number: NodeNo) {
        if let Some(line) = self
            .nodes
            .line(now, self.born(), number, &self.settings.site)
        {
            self.events
                .push(ModuleEvent::Listed(Listing::Changes(vec![line])));
        }
        self.recall(number);
    }

    #[allow(clippy::too_many_arguments)]
    pub(crate) fn link_up(
        &mut self,
        now: Micros,
        name: &str,
        called: &str,
        life: u64,
        up_ms: u64,
        can_suspend: bool,
        record: Option<AcceptorReport>,
    ) {
        let Some((number, node)) = self.nodes.named(name) else {
            return;
        };
        if called != name {
            let event = Event::NodeNameMismatch {
                node: name.to_owned(),
                address: node.address,
                reported: called.to_owned(),
            };
            self.log(event);
            self.disconnect(number);
            return self.tell_line(now, number);
        }
        self.keep.link_changed(number);
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
        self.node_greets(now, number, record);
        self.tell_line(now, number);
    }

    pub(crate) fn link_down(&mut self, now: Micros, name: &str, why: &str) {
        let (wait, lost) = (
            self.settings.links.reattach_us,
            self.settings.links.lost_after_us,
        );
        let Some((number, node)) = self.nodes.named(name) else {
            return;
        };
        let was_up = !matches!(node.link, Link::Fresh | Link::Down);
        self.keep.link_changed(number);
        let quiet = node.health() != Health::Ready || matches!(node.link, Link::Down);
        node.link = Link::Down;
        if was_up {
            let link = node.links;
            self.timers
                .set(now + wait, Timer::Reattach { node: number, link });
            self.timers
                .set(now + lost, Timer::LinkLost { node: number, link });
        }
        if !quiet {
            self.log(Event::NodeDisconnected {
                node: name.to_owned(),
                reason: why.to_owned(),
            });
        }
        self.tell_line(now, number);
    }

    /// A link was down for too long: what was unanswered on it may have run, and on a node that is gone
    /// from the list, what was accepted too.
    pub(crate) fn unanswered(&mut self, now: Micros, number: NodeNo) {
        let Some(node) = self.nodes.all.get(&number) else {
            return;
        };
        let gone = node.health() == Health::Gone;
        if gone {
            self.let_go(now, number, "node gone");
        }
        let Some(node) = self.nodes.all.get(&number) else {
            return;
        };
        let attempts: Vec<AttemptId> = node.attempts.iter().copied().collect();
        for id in attempts {
            match self.ledger.attempts.get(&id).map(|attempt| attempt.known) {
                Some(Known::Out) => {
                    self.unplaced(now, id, Fate::Reset, None, Vec::new(), "link lost")
                }
                Some(Known::Stopping) => {
                    self.unplaced(now, id, Fate::Stopped, None, Vec::new(), "stopped, no word")
                }
                _ => {}
            }
        }
    }

    /// A node can't be asked what became of the tasks that it accepted: they count as lost, and may run still.
    pub(crate) fn let_go(&mut self, now: Micros, number: NodeNo, word: &'static str) {
        let Some(node) = self.nodes.all.get(&number) else {
            return;
        };
        let accepted = |id: &AttemptId| {
            self.ledger
                .attempts
                .get(id)
                .is_some_and(|attempt| attempt.known == Known::Accepted)
        };
        let lost: Vec<AttemptId> = node.attempts.iter().copied().filter(accepted).collect();
        for id in lost {
            self.lost(now, id, Loss::Unknown, Fate::Reset, None, word);
        }
    }

    pub(crate) fn holds(&mut self, now: Micros, number: NodeNo, page: Vec<Held>, last: bool) {
        let Some(node) = self.nodes.all.get_mut(&number) else {
            return;
        };
        let Link::Greeted(held) = &mut node.link else {
            return;
        };
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
            let Some(attempt) = self.ledger.attempts.get(&id) else {
                continue;
            };
            let state = by_wire.get(&attempt.wire).map(|held| &held.state);
            let verdict = decide::reconcile(attempt.known, state, true);
            self.judge(now, id, verdict);
            if let Some(state) = state {
                self.sync_state(now, id, state);
            }
        }
        let told: BTreeSet<wire::AttemptId> = held.iter().map(|held| held.attempt).collect();
        self.constrain.ghosts_told(number, &told);
        self.answered_at(now, number, now);
        for held in held {
            if self.ledger.find(self.start.life, held.attempt).is_none() {
                self.turned_up(now, number, held);
            }
        }
        self.tell_line(now, number);
        self.settle(now);
    }

    pub(crate) fn judge(&mut self, now: Micros, id: AttemptId, verdict: Verdict) {
        match verdict {
            Verdict::Keep => {}
            Verdict::Place => self.accepted(now, id, Vec::new()),
            Verdict::Over { end, ran } => self.over(now, id, end, ran, Vec::new()),
            Verdict::NeverRan => self.unplaced(
                now,
                id,
                Fate::Unsent,
                None,
                Vec::new(),
                "never reached the node",
            ),
            Verdict::PerhapsRan => {
                self.unplaced(now, id, Fate::Reset, None, Vec::new(), "node restarted")
            }
            Verdict::Gone => self.lost(now, id, Loss::Ended, Fate::Reset, None, "node lost it"),
            Verdict::StopAgain => {
                if let Some(attempt) = self.ledger.attempts.get(&id) {
                    let (node, attempt) = (attempt.node, attempt.wire);
                    self.stage_send(now, node, Message::Stop { attempt });
                }
            }
        }
    }

    /// Notes that were lost with a link.
    pub(crate) fn sync_state(&mut self, now: Micros, id: AttemptId, state: &HeldState) {
        match state {
            HeldState::Running => self.noted(now, id, Topic::Runs, 0.0),
            HeldState::Suspended => self.noted(now, id, Topic::Suspended, 0.0),
            _ => {}
        }
    }

    /// A node tells of a copy that the ledger does not hold.
    pub(crate) fn turned_up(&mut self, now: Micros, number: NodeNo, held: Held) {
        let Held {
            attempt,
            task,
            state,
        } = held;
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
            None if attempt.life == self.start.life || self.retired.contains(&attempt) => {
                Standing::Forgotten
            }
            None if self.was_told(attempt, &task.job) => Standing::Forgotten,
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
            self.stage_send(now, number, Message::Stop { attempt });
        }
    }

    /// An end that no attempt waits for. A task of a former life whose end nobody was told is a job
    /// that is over; its owner may still ask.
    pub(crate) fn ended_unheld(
        &mut self,
        now: Micros,
        number: NodeNo,
        attempt: wire::AttemptId,
        task: &wire::Task,
        end: wire::End,
        ran: bool,
    ) {
        self.stage_send(now, number, Message::Ack { attempt });
        let foreign = attempt.life != self.start.life && !self.retired.contains(&attempt);
        // A job of the ledger whose offer left unwritten ran all the same.
        let job = self.job_named(&task.job);
        let recovering =
            job.filter(|job| self.ledger.jobs.get(job).is_some_and(|job| job.recovering));
        let fresh = foreign
            && (recovering.is_some() || job.is_none() && !self.was_told(attempt, &task.job));
        if fresh
            && ran
            && self.adopt(now, number, attempt, task, recovering, &HeldState::Running)
            && let Some(id) = self.ledger.find(self.start.life, attempt)
        {
            self.over(now, id, end, ran, Vec::new());
        }
    }

    /// Makes a copy that a node holds the job's own.
    pub(crate) fn adopt(
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
                // What is still tried for it would only make a second copy.
                self.withdraw(job);
                self.recovered(job);
                let copies = self
                    .ledger
                    .jobs
                    .get(&job)
                    .map(|job| job.copies.clone())
                    .unwrap_or_default();
                copies.into_iter().for_each(|id| self.stop(now, id));
                job
            }
            None => match self.job_of_former_life(now, task) {
                Ok(job) => job,
                Err(reason) => {
                    let (node, job) = (self.node_name(number), task.job.clone());
                    self.log(Event::AttemptNotAdopted {
                        node,
                        job,
                        attempt,
                        reason,
                    });
                    return false;
                }
            },
        };
        let Some(machine) = self.nodes.all.get(&number).map(|node| node.machine) else {
            return false;
        };
        let request = self.ledger.new_request();
        let id = AttemptId { request, number: 0 };
        let Some(task) = self.module_task(job, request) else {
            return false;
        };
        self.events.push(ModuleEvent::Adopted { task, machine });
        let known = Known::Accepted;
        let Some(topics) = self
            .ledger
            .jobs
            .get(&job)
            .map(|job| Arc::clone(&job.ask.topics))
        else {
            return false;
        };
        self.constrain.copy_comes(&topics, number);
        let node_life = self.nodes.all.get(&number).and_then(|node| node.life);
        let (accepted, told, wire, sent) = (true, true, attempt, now);
        let copy = Attempt {
            job,
            node: number,
            machine,
            wire,
            sent,
            known,
            accepted,
            told,
            node_life,
            topics,
        };
        self.ledger.open(self.start.life, id, copy);
        if let Some(node) = self.nodes.all.get_mut(&number) {
            node.attempts.insert(id);
        }
        if let Some(entry) = self.ledger.job_mut(job) {
            entry.tried(id, number, now);
            entry.fate(id, "adopted");
        }
        self.stats.adopted += 1;
        self.placed(now, job, id);
        self.sync_state(now, id, state);
        true
    }

    /// A job as a node tells of it: its session, its template and its class are in what the node was given.
    pub(crate) fn job_of_former_life(
        &mut self,
        now: Micros,
        task: &wire::Task,
    ) -> std::result::Result<JobNo, String> {
        let name = JobName::parse(&task.job).ok_or("its name is no job's")?;
        let spec = serde_json::from_slice(&task.payload)
            .map_err(|error| format!("its template: {error}"))?;
        let mut ask =
            crate::ask::Ask::new(spec, &self.settings, None).map_err(|error| error.message)?;
        // What it was placed with holds, also where the settings say otherwise by now.
        (ask.cores, ask.memory, ask.service) = (task.cores, task.memory, task.service.clone());
        ask.life_us = (task.life_ms > 0).then(|| task.life_ms.saturating_mul(1_000));
        let limit = self.settings.limits.sessions;
        let session = self
            .sessions
            .open(&name.session, now, limit)
            .map_err(|error| error.message)?;
        let new = Job::new(
            name,
            session,
            Arc::new(ask),
            reedring::TaskKey(task.key),
            now,
        );
        let job = Job { again: true, ..new };
        Ok(self.add_job(job))
    }

    // ---- What nodes say ----

    pub(crate) fn message(&mut self, now: Micros, name: &str, message: Message) {
        let Some(number) = self.nodes.number(name) else {
            return;
        };
        let find = |core: &Self, id| {
            // An attempt is its own node's to speak of.
            let found = core.ledger.find(core.start.life, id);
            found.filter(|id| {
                core.ledger
                    .attempts
                    .get(id)
                    .is_some_and(|attempt| attempt.node == number)
            })
        };
        match message {
            Message::Holds { held, last } => self.holds(now, number, held, last),
            Message::Accepted { attempt, report } => match find(self, attempt) {
                Some(id) => self.accepted(now, id, report),
                // Its job went on without it: what it is now comes with the answer to this stop.
                None => self.stage_send(now, number, Message::Stop { attempt }),
            },
            Message::Refused {
                attempt,
                reason,
                report,
                ..
            } => {
                self.ghost_gone(now, attempt);
                if let Some(node) = self.nodes.all.get_mut(&number) {
                    *node.refusals.entry(reason).or_default() += 1;
                }
                if let Some(id) = find(self, attempt) {
                    self.refused(now, id, reason, report);
                }
            }
            Message::Note {
                attempt,
                topic,
                amount,
            } => {
                if let Some(id) = find(self, attempt) {
                    self.noted(now, id, topic, amount);
                }
            }
            Message::Ended {
                attempt,
                end,
                ran,
                report,
            } => {
                self.stage_send(now, number, Message::Ack { attempt });
                self.ghost_gone(now, attempt);
                if let Some(id) = find(self, attempt) {
                    self.over(now, id, end, ran, report);
                }
            }
            Message::Report { nonce, report } => self.probed(now, nonce, Some(report)),
            Message::AcceptorReport(record) => self.node_records(now, number, record),
            Message::ConfigText { version, text } => self.plan_text(number, version, &text),
            Message::ConfigDelta(delta) => self.plan_delta(number, &delta),
            // The rest is what placers say; the shell reads greetings itself.
            _ => {}
        }
    }

    pub(crate) fn accepted(&mut self, now: Micros, id: AttemptId, report: Vec<f64>) {
        let Some(attempt) = self.ledger.attempt_mut(id) else {
            return;
        };
        attempt.accepted = true;
        if attempt.known != Known::Out {
            // It crossed the stop on the wire; the answer to the stop says what became of it.
            return;
        }
        attempt.known = Known::Accepted;
        let told = std::mem::replace(&mut attempt.told, true);
        let (job, machine, took_us) = (
            attempt.job,
            attempt.machine,
            now.saturating_sub(attempt.sent),
        );
        let (node, sent) = (attempt.node, attempt.sent);
        self.answered_at(now, node, sent);
        self.ledger.requests.remove(&id.request);
        self.constrain.answered(id.request);
        self.holds.answered(id.request);
        if told {
            self.events.push(ModuleEvent::Placed {
                attempt: id,
                machine,
                took_us,
            });
        } else if let Some(task) = self.module_task(job, id.request) {
            // A former life offered it.
            self.events.push(ModuleEvent::Adopted { task, machine });
        }
        self.recovered(job);
        if !report.is_empty() {
            self.events.push(ModuleEvent::Probed {
                machine,
                answered: true,
                took_us,
                report,
            });
        }
        self.placed(now, job, id);
    }

    /// A job has an accepted copy.
    pub(crate) fn placed(&mut self, now: Micros, job: JobNo, id: AttemptId) {
        let running = self.settings.site.yes_when_running;
        let node = self.ledger.attempts.get(&id).map(|attempt| attempt.node);
        let subject = self.ledger.jobs.get(&job).and_then(|job| job.ask.subject());
        if let Some((node, subject)) = node.zip(subject) {
            self.constrain.stands(job, subject, node);
        }
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
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

    pub(crate) fn runs(&mut self, now: Micros, job: JobNo, id: AttemptId) {
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        entry.phase = Phase::Running(id);
        entry.started = Some(now);
        self.limit_run(job);
    }

    /// A job runs for as long as its template allows.
    pub(crate) fn limit_run(&mut self, job: JobNo) {
        let Some((entry, started)) = self
            .ledger
            .jobs
            .get(&job)
            .and_then(|job| Some((job, job.started?)))
        else {
            return;
        };
        let spec = &entry.ask.spec;
        if let Some(limit) = spec.wall_hard.into_iter().chain(spec.run_hard).min() {
            self.timers.set(
                started.saturating_add(limit.saturating_mul(1_000_000)),
                Timer::WallLimit(job),
            );
        }
    }

    pub(crate) fn refused(
        &mut self,
        now: Micros,
        id: AttemptId,
        reason: wire::Reason,
        report: Vec<f64>,
    ) {
        let told = match reason {
            wire::Reason::Untold => None,
            wire::Reason::NoCores => Some(Reason::NoCores),
            wire::Reason::NoMemory => Some(Reason::NoMemory),
            wire::Reason::Crowded => Some(Reason::Crowded),
            wire::Reason::Draining
            | wire::Reason::CopyStands
            | wire::Reason::TooLate
            | wire::Reason::NotHere => Some(Reason::NotHere),
            // It was never looked at: the node has told what it keeps, and is held back until that is caught up with.
            wire::Reason::Superseded => {
                return self.unplaced(now, id, Fate::Unsent, None, report, reason.word());
            }
        };
        if self
            .ledger
            .attempts
            .get(&id)
            .is_some_and(|attempt| attempt.known != Known::Accepted)
        {
            self.unplaced(now, id, Fate::Refused, told, report, reason.word());
        }
    }

    pub(crate) fn noted(&mut self, now: Micros, id: AttemptId, topic: Topic, amount: f64) {
        let Some(attempt) = self.ledger.attempts.get(&id) else {
            return;
        };
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
                if let (
                    Some(Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_)),
                    Some(entry),
                ) = (phase, self.ledger.job_mut(job))
                {
                    let suspended = topic == Topic::Suspended;
                    entry.phase = if suspended {
                        Phase::Suspended(id)
                    } else {
                        Phase::Running(id)
                    };
                }
                return;
            }
            Topic::Cores => Note::Cores(amount),
            Topic::Memory => Note::Memory(amount),
            Topic::Served => Note::Served(amount),
            Topic::Pressure => Note::Pressure(amount),
        };
        self.events.push(ModuleEvent::TaskSignal {
            attempt: id,
            machine,
            note,
        });
    }

    /// A node says that an attempt is over.
    pub(crate) fn over(
        &mut self,
        now: Micros,
        id: AttemptId,
        end: wire::End,
        ran: bool,
        report: Vec<f64>,
    ) {
        let Some(attempt) = self.ledger.attempts.get(&id) else {
            return;
        };
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
                self.finished(
                    now,
                    id,
                    Ending::ran(End::Signaled {
                        signal,
                        core_dump: false,
                    }),
                    report,
                );
            }
            wire::End::Error(text) if ran => {
                self.finished(
                    now,
                    id,
                    Ending::aborted(format!("its node could not run it: {text}")),
                    report,
                );
            }
            wire::End::Evicted => {
                self.lost(now, id, loss, Fate::Reset, Some(Reason::Evicted), "evicted")
            }
            wire::End::PushedOut => self.lost(
                now,
                id,
                loss,
                Fate::Reset,
                Some(Reason::PushedOut),
                "pushed out",
            ),
            wire::End::SentAway => self.lost(
                now,
                id,
                loss,
                Fate::Reset,
                Some(Reason::SentAway),
                "sent away",
            ),
            wire::End::Stopped => self.lost(now, id, loss, Fate::Stopped, None, "stopped"),
            wire::End::Error(_) => self.lost(now, id, loss, Fate::Error, None, "node error"),
            wire::End::Unknown => self.lost(now, id, loss, Fate::Reset, None, "node lost it"),
        }
    }
}
