//! What becomes of attempts and jobs.

use std::sync::Arc;

use reedring::names::service_id;
use reedring::{
    AttemptId, Ended, Event as ModuleEvent, Micros, Outcome as Fate, Reason, RequestId, Task,
};
use reedring_node_protocol::{self as wire, Message};

use crate::core::{Core, SWEEPS, opened_event};
use crate::decide::{self, Loss};
use crate::event::Event;
use crate::jobs::{Attempt, Ending, Job, JobName, JobNo, Outcome, Phase};
use crate::sessions::{Sessions, ended};
use crate::timers::Timer;

impl Core {
    /// An attempt's end is known, or it is `unknown` whether its copy stands still.
    pub(crate) fn close(
        &mut self,
        id: AttemptId,
        fate: &'static str,
        unknown: bool,
    ) -> Option<Attempt> {
        let attempt = self.ledger.close(id, fate)?;
        if unknown {
            self.constrain
                .copy_unknown(attempt.wire, Arc::clone(&attempt.topics), attempt.node);
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
    pub(crate) fn tell_end(
        &mut self,
        id: AttemptId,
        attempt: &Attempt,
        outcome: Fate,
        reason: Option<Reason>,
        report: Vec<f64>,
    ) {
        if !attempt.told {
            return;
        }
        let closed = !self.ledger.requests.contains_key(&id.request);
        if !closed {
            self.constrain.free_again(id.request);
        }
        let machine = attempt.machine;
        self.events.push(ModuleEvent::Ended(Ended {
            attempt: id,
            machine,
            outcome,
            reason,
            closed,
            report,
        }));
    }

    /// An attempt ended before its node accepted it, or nobody knows whether it did.
    pub(crate) fn unplaced(
        &mut self,
        now: Micros,
        id: AttemptId,
        fate: Fate,
        reason: Option<Reason>,
        report: Vec<f64>,
        word: &'static str,
    ) {
        let unanswered = matches!(fate, Fate::Reset | Fate::Stopped | Fate::TimedOut);
        let (fate, word) = if unanswered && self.unsend(id) {
            (Fate::Unsent, "never sent")
        } else {
            (fate, word)
        };
        let unknown = unanswered && fate != Fate::Unsent;
        let Some(attempt) = self.close(id, word, unknown) else {
            return;
        };
        if fate != Fate::Unsent {
            self.answered_at(now, attempt.node, attempt.sent);
        }
        if (unknown || fate == Fate::Error)
            && let Some(job) = self.ledger.job_mut(attempt.job)
        {
            job.may_have_run = true;
        }
        // Where it may be accepted still, its node should not start it for nothing.
        if unknown {
            self.stage_send(
                now,
                attempt.node,
                Message::Stop {
                    attempt: attempt.wire,
                },
            );
        }
        self.tell_end(id, &attempt, fate, reason, report);
        self.ends_if_ending(now, attempt.job);
        self.recover(now, attempt.job, false);
    }

    /// Offers that their link never wrote: no copy of them stands, and each may be placed elsewhere.
    pub(crate) fn unwritten(&mut self, now: Micros, attempts: &[wire::AttemptId]) {
        for attempt in attempts {
            if let Some(node) = self.constrain.ghost_gone(*attempt) {
                self.tend_cold(now, node);
            }
            if let Some(id) = self.ledger.find(self.start.life, *attempt) {
                self.unplaced(now, id, Fate::Unsent, None, Vec::new(), "never sent");
            }
        }
    }

    /// An accepted copy ran to its end.
    pub(crate) fn finished(
        &mut self,
        now: Micros,
        id: AttemptId,
        ending: Ending,
        report: Vec<f64>,
    ) {
        let Some(attempt) = self.close(id, "ended", false) else {
            return;
        };
        self.tell_end(id, &attempt, Fate::Finished, None, report);
        let phase = self.ledger.jobs.get(&attempt.job).map(|job| &job.phase);
        match phase {
            // It ended by itself before the stop came through: that is how it ended.
            Some(Phase::Ending(_))
            | Some(Phase::Placed(_) | Phase::Running(_) | Phase::Suspended(_)) => {
                self.end_job(now, attempt.job, ending);
            }
            _ => {}
        }
    }

    /// An accepted copy is no more, and did not run to its end.
    pub(crate) fn lost(
        &mut self,
        now: Micros,
        id: AttemptId,
        loss: Loss,
        fate: Fate,
        reason: Option<Reason>,
        word: &'static str,
    ) {
        let Some(attempt) = self.close(id, word, loss == Loss::Unknown) else {
            return;
        };
        self.constrain.stands_no_more(attempt.job);
        self.tell_end(id, &attempt, fate, reason, Vec::new());
        let Some(job) = self.ledger.jobs.get(&attempt.job) else {
            return;
        };
        if job.holder() != Some(id) {
            return self.ends_if_ending(now, attempt.job);
        }
        let class = &self.settings.classes[usize::from(job.ask.class)];
        let (again, wait) = (
            decide::comes_again(class.comes_again, loss),
            class.again_after_us,
        );
        let node = self.node_name(attempt.node);
        if again {
            let (job, reason) = (job.name.to_string(), word);
            self.log(Event::JobRequeued {
                job,
                node,
                attempt: attempt.wire,
                reason,
            });
            if let Some(job) = self.ledger.job_mut(attempt.job) {
                (job.phase, job.again, job.until) = (Phase::Delayed, true, now + wait);
            }
            self.timers.set(now + wait, Timer::Ask(attempt.job));
        } else {
            let why = match loss {
                Loss::Unknown => "it may run still, and its class forbids a second copy",
                Loss::Ended | Loss::NeverRan => "its class forbids a second start",
            };
            self.end_job(
                now,
                attempt.job,
                Ending::aborted(format!("{word} at {node}; {why}")),
            );
        }
    }

    /// A job that is being ended is over once no copy is left.
    pub(crate) fn ends_if_ending(&mut self, now: Micros, job: JobNo) {
        let Some(entry) = self.ledger.jobs.get(&job) else {
            return;
        };
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

    /// A former life made this attempt, its job was in the ledger, and its owner was told how it ended.
    pub(crate) fn was_told(&self, attempt: wire::AttemptId, name: &str) -> bool {
        if !self.covered.contains(&attempt.life) {
            return false;
        }
        let told = JobName::parse(name).and_then(|name| {
            let session = self.sessions.get(self.sessions.find(&name.session).ok()?)?;
            Some(session.knows(name.call) && !session.jobs.contains_key(&(name.call, name.index)))
        });
        told.unwrap_or(false)
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
        self.ask_until(now, job, None);
    }

    /// The same, where the owner gives up earlier than its class says.
    pub(crate) fn ask_until(&mut self, now: Micros, job: JobNo, until: Option<Micros>) {
        let request = self.ledger.new_request();
        let Some(task) = self.module_task(job, request) else {
            return;
        };
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        let give_up = self.settings.classes[usize::from(entry.ask.class)].give_up_us;
        let give_up = until.map_or(give_up, |until| give_up.min(until.saturating_sub(now)));
        let unix = (self.start.unix_us + now.saturating_sub(self.start.now)) as i64;
        let left = entry
            .ask
            .spec
            .deadline
            .map(|at| at.saturating_mul(1_000_000).saturating_sub(unix).max(0));
        let grace_us = left.map_or(give_up, |left| give_up.min(left as u64));
        if grace_us == 0 {
            self.told(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted("its drmaa_deadline_time is over"));
        }
        let subject = entry.ask.subject();
        if let Some(never) = subject
            .as_ref()
            .and_then(|subject| self.constrain.never(subject))
        {
            self.told(job, Outcome::Refused);
            return self.end_job(now, job, Ending::aborted(format!("refused: {never}")));
        }
        (entry.phase, entry.until, entry.may_have_run) =
            (Phase::Asked(request), now + grace_us, false);
        self.ledger.requests.insert(request, (job, 0));
        // The answer must be with the owner before it gives up, so the module gets a little less time.
        let margin = decide::answer_margin(grace_us, self.lag.at(now));
        self.timers.set(
            now + grace_us - margin / 2,
            Timer::GiveUp {
                job,
                request: request.0,
            },
        );
        self.events.push(ModuleEvent::Arrived {
            task,
            grace_us: grace_us - margin,
        });
        match subject {
            Some(subject) => {
                let opened = self.constrain.asked(request, subject);
                self.events.push(opened_event(opened));
            }
            None => self.narrow(request),
        }
    }

    /// The module is told that nobody wants this job placed any more; it stops what is out.
    pub(crate) fn withdraw(&mut self, job: JobNo) {
        if let Some(Phase::Asked(request)) = self.ledger.jobs.get(&job).map(|job| job.phase.clone())
        {
            self.take_back(request);
        }
    }

    pub(crate) fn take_back(&mut self, request: RequestId) {
        self.ledger.requests.remove(&request);
        self.constrain.answered(request);
        self.holds.answered(request);
        self.events.push(ModuleEvent::Withdrawn(request));
    }

    /// A job's owner has its answer: the first one stands, and is counted.
    pub(crate) fn told(&mut self, job: JobNo, outcome: Outcome) {
        let Some(entry) = self
            .ledger
            .job_mut(job)
            .filter(|entry| entry.outcome.is_none())
        else {
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
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
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
        let Some(entry) = self.ledger.job_mut(job).filter(|entry| !entry.is_over()) else {
            return;
        };
        let broken: Vec<String> = self
            .constrain
            .broken(job)
            .into_iter()
            .map(|(text, _)| text)
            .collect();
        entry.broken = (!broken.is_empty()).then(|| broken.join("; "));
        self.constrain.stands_no_more(job);
        entry.phase = Phase::Ended(ending);
        entry.ended = Some(now);
        let (number, at) = (entry.session, (entry.name.call, entry.name.index));
        self.ledger.live = self.ledger.live.saturating_sub(1);
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        if session.over.is_empty() {
            let keep = self.settings.limits.keep_ended_us;
            self.timers
                .set(now + (keep / SWEEPS).max(1_000_000), Timer::Sweep);
        }
        let Some(session) = self.sessions.get_mut(number) else {
            return;
        };
        session.over.insert(job);
        let woken = session.ends_waits(job);
        if let Some(call) = woken.takes {
            let result = ended(self.job_info(job));
            session_reap(&mut self.sessions, number, at, job);
            self.ledger.forget(job);
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
        if let Some(entry) = self.ledger.forget(job) {
            session_reap(
                &mut self.sessions,
                entry.session,
                (entry.name.call, entry.name.index),
                job,
            );
        }
    }
}

fn session_reap(sessions: &mut Sessions, number: u32, at: (u64, u64), job: JobNo) {
    if let Some(session) = sessions.get_mut(number) {
        session.reap(at, job);
    }
}
