//! The DRMAA calls and the operators', each answered from the ledger.

use std::collections::BTreeSet;
use std::sync::Arc;

use reedring::Micros;
use reedring_constraint::{Mistake, Own, Schema};
use reedring_drmaa::rpc::{
    Answer, Call, CallKey, Jobs, JobsPage, Range, Response, Stats, Submitted,
};
use reedring_drmaa::template::nearest;
use reedring_drmaa::{Control, Error, ErrorCode, JobSpec, Result, VERSION};
use reedring_node_protocol::Message;

use crate::ask::Ask;
use crate::constrain::{Bound, Subject};
use crate::core::{Core, job_key};
use crate::decide::{self, Repeat, Resubmission};
use crate::io::{ConnId, Output};
use crate::jobs::{Ending, Job, JobName, JobNo, Outcome, Phase, SessionNo};
use crate::sessions::{Parked, Record, Waiter, Waits, ended};
use crate::timers::Timer;
use crate::versions::Versions;

/// Lines of one page of jobs at most.
const PAGE: usize = 1_000;

fn error(code: ErrorCode, text: impl Into<String>) -> Error {
    Error::new(code, text)
}

impl Core {
    /// Carries a call out. `None` where its answer comes later.
    pub(crate) fn call(
        &mut self,
        now: Micros,
        conn: ConnId,
        id: u64,
        call: Call,
    ) -> Option<Result<Answer>> {
        let key = match &call {
            Call::Exit { key }
            | Call::RunJob { key, .. }
            | Call::RunBulkJobs { key, .. }
            | Call::Control { key, .. }
            | Call::Synchronize { key, .. }
            | Call::Wait { key, .. } => key.clone(),
            Call::ListJobs { .. } => {
                self.reads.push_back((conn, id, call));
                return None;
            }
            _ => return Some(self.plain_call(now, call)),
        };
        let number = match self.sessions.find(&key.session) {
            Ok(number) => number,
            Err(error) => return Some(Err(error)),
        };
        let session = self.sessions.get_mut(number)?;
        session.touched = now;
        session.settle(key.settled);
        match session.recorded(key.call) {
            Err(error) => return Some(Err(error)),
            Ok(Some(Record::Answer(result))) => return Some(result.clone()),
            Ok(Some(Record::Submission(range))) => {
                return Some(Ok(submitted(&key, *range, self.not_kept())));
            }
            Ok(None) => {}
        }
        let result = match call {
            Call::RunJob { job, .. } => {
                let one = Range {
                    first: 1,
                    last: 1,
                    step: 1,
                };
                return self.submit(now, number, key, *job, one, false, (conn, id));
            }
            Call::RunBulkJobs { job, range, .. } => {
                return self.submit(now, number, key, *job, range, true, (conn, id));
            }
            Call::Exit { .. } => self.exit(number),
            Call::Control { jobs, action, .. } => self.control(now, number, &jobs, action),
            Call::Synchronize {
                jobs,
                timeout_s,
                dispose,
                ..
            } => self.synchronize(now, number, key.call, &jobs, timeout_s, dispose, (conn, id))?,
            Call::Wait { job, timeout_s, .. } => {
                let (result, kept) =
                    self.wait(now, number, key.call, job.as_deref(), timeout_s, (conn, id))?;
                if let Some(seq) = kept {
                    let session = self.sessions.get_mut(number)?;
                    session.record(key.call, Record::Answer(result.clone()));
                    let response = Response::new(id, result);
                    self.stage_end(conn, Output::Reply { conn, response }, seq);
                    return None;
                }
                result
            }
            _ => return None,
        };
        let session = self.sessions.get_mut(number)?;
        session.record(key.call, Record::Answer(result.clone()));
        Some(result)
    }

    /// Calls that change nothing in a session, or may be made twice.
    pub(crate) fn plain_call(&mut self, now: Micros, call: Call) -> Result<Answer> {
        match call {
            Call::Init { session } => {
                let number = self
                    .sessions
                    .open(&session, now, self.settings.limits.sessions)?;
                if let Some(session) = self.sessions.get_mut(number) {
                    session.touched = now;
                }
                Ok(Answer::Session {
                    life: self.start.life,
                })
            }
            Call::JobPs { session, job } => {
                let number = self.sessions.find(&session)?;
                let found = self.job_of(number, &job)?;
                Ok(Answer::State(self.ledger.jobs[&found].state()))
            }
            Call::Version {} => Ok(Answer::Version(VERSION.0, VERSION.1)),
            Call::DrmSystem {} => Ok(Answer::Text(format!(
                "reedring {}",
                env!("CARGO_PKG_VERSION")
            ))),
            Call::ListJobs { after, limit } => Ok(Answer::Jobs(self.jobs_page(now, after, limit))),
            Call::ShowJob { job } => self.show_job(now, &job),
            Call::ListNodes {} => Ok(Answer::Nodes(self.node_lines())),
            Call::Drain { node, drain } => self.drain(now, &node, drain),
            Call::Explain { text } => self.explain_text(&text),
            Call::Stats {} => {
                let (live, jobs) = (self.ledger.live as u64, self.ledger.jobs.len() as u64);
                let module_us = self.module_ns / 1_000;
                let stats = Stats {
                    live,
                    jobs,
                    module_us,
                    ..self.stats.clone()
                };
                Ok(Answer::Stats(Box::new(stats)))
            }
            _ => Err(error(
                ErrorCode::InternalError,
                "the call has no answer here",
            )),
        }
    }

    pub(crate) fn no_node(&self, name: &str) -> Error {
        let known: Vec<&str> = self
            .nodes
            .all
            .values()
            .map(|node| node.name.as_str())
            .collect();
        let near = nearest(name, &known)
            .map(|near| format!("; did you mean `{near}`?"))
            .unwrap_or_default();
        error(
            ErrorCode::InvalidArgument,
            format!("the list has no node `{name}`{near}"),
        )
    }

    /// What a wait gets whose job another wait took.
    pub(crate) fn taken(&self) -> Error {
        error(
            ErrorCode::InvalidJob,
            "the job's end was told to another wait",
        )
    }

    fn job_of(&self, session: SessionNo, name: &str) -> Result<JobNo> {
        let found = JobName::parse(name).and_then(|parsed| {
            let session = self
                .sessions
                .get(session)
                .filter(|session| session.name == parsed.session)?;
            session.jobs.get(&(parsed.call, parsed.index)).copied()
        });
        found.ok_or_else(|| {
            error(
                ErrorCode::InvalidJob,
                format!("`{name}` is no job of this session, or its end was told"),
            )
        })
    }

    // ---- Submission ----

    #[allow(clippy::too_many_arguments)]
    fn submit(
        &mut self,
        now: Micros,
        session: SessionNo,
        key: CallKey,
        spec: JobSpec,
        range: Range,
        bulk: bool,
        (conn, id): (ConnId, u64),
    ) -> Option<Result<Answer>> {
        let most = self.settings.limits.bulk;
        let Some(indices) = range.indices(most) else {
            let text = format!(
                "{} to {} by {} is no range of 1 to {most} indices from 1",
                range.first, range.last, range.step
            );
            return Some(Err(error(ErrorCode::InvalidArgument, text)));
        };
        let schema = self.schema();
        let ask = match Ask::new(spec.clone(), &self.settings, schema.as_ref()) {
            Ok(ask) => Arc::new(ask),
            Err(error) => return Some(Err(error)),
        };
        // A submission that was first sent to a placer of an earlier life may have been carried out there.
        let (earlier, covered) = (
            key.sent_to != self.start.life,
            self.covered.contains(&key.sent_to),
        );
        let class = &self.settings.classes[usize::from(ask.class)];
        if let Some(why) = self.versions.as_ref().and_then(Versions::shut_out) {
            return Some(Err(error(
                ErrorCode::TryLater,
                format!("this placer takes nothing new: {why}; ask another"),
            )));
        }
        if class.closed {
            let name = &class.name;
            let text =
                format!("class `{name}` takes nothing new: it is not in the plan that is acted by");
            return Some(Err(error(ErrorCode::TryLater, text)));
        }
        if let Some(why) = self.keep.lost().filter(|_| !self.may_leave(class.effect)) {
            let name = &class.name;
            let text = format!(
                "class `{name}` must not start twice, and what is promised can't be kept now: {why}"
            );
            return Some(Err(error(ErrorCode::TryLater, text)));
        }
        let mut plan = Vec::new();
        for index in indices {
            let there = self
                .sessions
                .get(session)
                .and_then(|s| s.jobs.get(&(key.call, index)).copied());
            let repeat = match there {
                Some(_) => Repeat::Held,
                None if self.all_told(now) => Repeat::NotHeld,
                None => Repeat::Untold,
            };
            let step = match (earlier, there) {
                (false, None) => Resubmission::Start,
                _ => decide::resubmission(class.effect, repeat, now < self.settle_until, covered),
            };
            if step == Resubmission::Wait {
                let call = if bulk {
                    Call::RunBulkJobs {
                        key,
                        job: Box::new(spec),
                        range,
                    }
                } else {
                    Call::RunJob {
                        key,
                        job: Box::new(spec),
                    }
                };
                self.timers.set(self.settle_until, Timer::Settle);
                self.parked.push(Parked { conn, id, call });
                return None;
            }
            plan.push((index, step));
        }
        let starts = plan
            .iter()
            .filter(|(_, step)| *step == Resubmission::Start)
            .count();
        let (live, limit) = (self.ledger.live, self.settings.limits.jobs);
        if starts > 0 && live + starts > limit {
            let text = format!("{live} jobs are not over and at most {limit} fit; try later");
            return Some(Err(error(ErrorCode::TryLater, text)));
        }
        let name = self.sessions.get(session)?.name.clone();
        let class = self.settings.classes[usize::from(ask.class)].name.clone();
        for (index, step) in plan {
            if step == Resubmission::TakeUp {
                continue;
            }
            let name = JobName {
                session: Arc::clone(&name),
                call: key.call,
                index,
            };
            let key = job_key(&class, ask.key.as_deref(), &name, bulk);
            let new = Job::new(name, session, Arc::clone(&ask), key, now);
            let job = self.add_job(Job {
                again: earlier,
                ..new
            });
            match step {
                Resubmission::Start => self.begin(now, job),
                _ => {
                    if let Some(entry) = self.ledger.job_mut(job) {
                        entry.phase = Phase::Ending(Ending::aborted(
                            "failed: the placer was started anew since it was submitted, no node holds it, and \
                             it may have run to its end",
                        ));
                    }
                    self.told(job, Outcome::Failed);
                    self.end_if_idle(now, job);
                }
            }
        }
        if let Some(session) = self.sessions.get_mut(session) {
            session.record(key.call, Record::Submission(range));
        }
        Some(Ok(submitted(&key, range, self.not_kept())))
    }

    /// What a submitter is told while nothing is durable.
    pub(crate) fn not_kept(&self) -> Option<String> {
        self.keep
            .lost()
            .map(|why| format!("the jobs would not outlive a restart of the placer: {why}"))
    }

    /// A new job waits for its user, for its time, or for the module.
    fn begin(&mut self, now: Micros, job: JobNo) {
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        let spec = &entry.ask.spec;
        if spec.hold {
            entry.phase = Phase::Held;
            return;
        }
        let start = spec
            .start
            .map(|at| at.saturating_mul(1_000_000).max(0) as u64);
        let start = start.map(|at| self.start.now + at.saturating_sub(self.start.unix_us));
        match start.filter(|at| *at > now) {
            Some(at) => {
                (entry.phase, entry.until) = (Phase::Delayed, at);
                self.timers.set(at, Timer::Ask(job));
            }
            None => self.ask(now, job),
        }
    }

    fn end_if_idle(&mut self, now: Micros, job: JobNo) {
        let ending = match self.ledger.jobs.get(&job).map(|job| &job.phase) {
            Some(Phase::Ending(ending)) => ending.clone(),
            _ => return,
        };
        self.end_job(now, job, ending);
    }

    /// Submissions that waited for nodes are looked at again once all have told, or the wait is over.
    pub(crate) fn settle(&mut self, now: Micros) {
        if !self.all_told(now) {
            return;
        }
        self.constrain.settle();
        self.recover_all(now);
        for Parked { conn, id, call } in std::mem::take(&mut self.parked) {
            if let Some(result) = self.call(now, conn, id, call) {
                self.reply(conn, reedring_drmaa::rpc::Response::new(id, result));
            }
        }
    }

    fn exit(&mut self, session: SessionNo) -> Result<Answer> {
        let waiting: Vec<u64> = match self.sessions.get(session) {
            Some(session) => session.waiters.keys().copied().collect(),
            None => Vec::new(),
        };
        for call in waiting {
            let closed = error(ErrorCode::NoActiveSession, "the session was closed");
            let answered = self.sessions.answer(session, call, Err(closed));
            self.send_answer(answered);
        }
        Ok(Answer::Done)
    }

    // ---- Control ----

    fn named(&self, session: SessionNo, jobs: &Jobs) -> Result<Vec<JobNo>> {
        match jobs {
            Jobs::All => {
                let session = self.sessions.get(session);
                Ok(session
                    .map(|s| s.jobs.values().copied().collect())
                    .unwrap_or_default())
            }
            Jobs::These(names) => names
                .iter()
                .map(|name| self.job_of(session, name))
                .collect(),
        }
    }

    /// Acts on each job that it can; with all of a session, jobs that are over are passed by.
    fn control(
        &mut self,
        now: Micros,
        session: SessionNo,
        jobs: &Jobs,
        action: Control,
    ) -> Result<Answer> {
        let numbers = self.named(session, jobs)?;
        let mut first = None;
        for job in numbers {
            let over = self.ledger.jobs.get(&job).is_none_or(Job::is_over);
            if *jobs == Jobs::All && over {
                continue;
            }
            if let Err(error) = self.control_one(now, job, action) {
                first.get_or_insert(error);
            }
        }
        first.map_or(Ok(Answer::Done), Err)
    }

    fn control_one(&mut self, now: Micros, number: JobNo, action: Control) -> Result<()> {
        let Some(job) = self.ledger.jobs.get(&number) else {
            return Err(error(ErrorCode::InvalidJob, "the job is forgotten"));
        };
        let name = job.name.to_string();
        match action {
            Control::Terminate => {
                if !job.is_over() {
                    let end = match job.phase {
                        Phase::Running(_) | Phase::Suspended(_) => reedring_drmaa::End::Signaled {
                            signal: "SIGKILL".to_owned(),
                            core_dump: false,
                        },
                        _ => reedring_drmaa::End::Aborted,
                    };
                    let reason = Some("terminated by its user".to_owned());
                    self.terminate(
                        now,
                        number,
                        Ending {
                            end,
                            reason,
                            retry_after_us: None,
                        },
                    );
                }
                Ok(())
            }
            Control::Hold => match job.phase {
                // Only what no node was asked to take can still be held back.
                Phase::Asked(request) if job.copies.is_empty() && job.history.is_empty() => {
                    self.take_back(request);
                    self.set_phase(number, Phase::Held);
                    Ok(())
                }
                Phase::Delayed if !job.again && !job.recovering => {
                    self.set_phase(number, Phase::Held);
                    Ok(())
                }
                _ => {
                    let text =
                        format!("job {name} was offered to a node, is held already, or is over");
                    Err(error(ErrorCode::HoldInconsistentState, text))
                }
            },
            Control::Release => match job.phase {
                Phase::Held => {
                    let start = job.ask.spec.start.map(|at| at as f64);
                    match start.filter(|at| *at > self.unix(now)) {
                        Some(at) => {
                            let at = now + ((at - self.unix(now)) * 1e6) as Micros;
                            self.set_phase(number, Phase::Delayed);
                            if let Some(job) = self.ledger.job_mut(number) {
                                job.until = at;
                            }
                            self.timers.set(at, Timer::Ask(number));
                        }
                        None => self.ask(now, number),
                    }
                    Ok(())
                }
                _ => Err(error(
                    ErrorCode::ReleaseInconsistentState,
                    format!("job {name} is not on hold"),
                )),
            },
            Control::Suspend => match job.phase {
                Phase::Running(id) => self.tell_holder(now, id, true),
                _ => Err(error(
                    ErrorCode::SuspendInconsistentState,
                    format!("job {name} does not run"),
                )),
            },
            Control::Resume => match job.phase {
                Phase::Suspended(id) => self.tell_holder(now, id, false),
                _ => Err(error(
                    ErrorCode::ResumeInconsistentState,
                    format!("job {name} is not suspended"),
                )),
            },
        }
    }

    fn set_phase(&mut self, job: JobNo, phase: Phase) {
        if let Some(job) = self.ledger.job_mut(job) {
            job.phase = phase;
        }
    }

    /// Asks a job's node to suspend it or let it go on; the job's state changes when the node says so.
    fn tell_holder(&mut self, now: Micros, id: reedring::AttemptId, suspend: bool) -> Result<()> {
        let Some(attempt) = self.ledger.attempts.get(&id) else {
            return Err(error(
                ErrorCode::InternalError,
                "the job's copy is not known",
            ));
        };
        let (number, attempt) = (attempt.node, attempt.wire);
        let node = self.nodes.all.get(&number);
        match node.map(|node| (node.can_suspend, node.is_up(), node.name.clone())) {
            Some((false, ..)) | None => Err(error(
                ErrorCode::DeniedByDrm,
                "the job's node can't suspend tasks",
            )),
            Some((_, false, name)) => {
                let text = format!("node {name} can't be reached; try later");
                Err(error(ErrorCode::TryLater, text))
            }
            _ if suspend => {
                self.stage_send(now, number, Message::Suspend { attempt });
                Ok(())
            }
            _ => {
                self.stage_send(now, number, Message::Resume { attempt });
                Ok(())
            }
        }
    }

    // ---- Waiting ----

    fn wait(
        &mut self,
        now: Micros,
        session: SessionNo,
        call: u64,
        job: Option<&str>,
        timeout_s: i64,
        (conn, id): (ConnId, u64),
    ) -> Option<(Result<Answer>, Option<u64>)> {
        let (found, waits) = match job {
            Some(name) => match self.job_of(session, name) {
                Ok(job) => (
                    self.ledger
                        .jobs
                        .get(&job)
                        .is_some_and(Job::is_over)
                        .then_some(job),
                    Waits::Job(job),
                ),
                Err(error) => return Some((Err(error), None)),
            },
            None => {
                let open = self.sessions.get(session)?;
                if open.jobs.is_empty() {
                    let none = error(ErrorCode::InvalidJob, "the session has no job to wait for");
                    return Some((Err(none), None));
                }
                (open.over.first().copied(), Waits::Any)
            }
        };
        if let Some(job) = found {
            let result = ended(self.job_info(job));
            let kept = self.ledger.jobs.get(&job).and_then(|job| job.end_kept);
            self.reap(job);
            return Some((result, kept));
        }
        let late = self.wait_for(now, session, call, Waiter { conn, id, waits }, timeout_s)?;
        Some((late, None))
    }

    fn wait_for(
        &mut self,
        now: Micros,
        session: SessionNo,
        call: u64,
        waiter: Waiter,
        timeout_s: i64,
    ) -> Option<Result<Answer>> {
        match u64::try_from(timeout_s) {
            Ok(0) => return Some(Err(error(ErrorCode::ExitTimeout, "not yet over"))),
            Ok(seconds) => {
                let at = now.saturating_add(seconds.saturating_mul(1_000_000));
                self.timers.set(at, Timer::Wait { session, call });
            }
            Err(_) => {}
        }
        self.sessions.wait(session, call, waiter);
        None
    }

    /// The time of a wait is over.
    pub(crate) fn waited(&mut self, session: SessionNo, call: u64) {
        let late = error(ErrorCode::ExitTimeout, "not over in the time to wait");
        let answered = self.sessions.answer(session, call, Err(late));
        self.send_answer(answered);
    }

    #[allow(clippy::too_many_arguments)]
    fn synchronize(
        &mut self,
        now: Micros,
        session: SessionNo,
        call: u64,
        jobs: &Jobs,
        timeout_s: i64,
        dispose: bool,
        (conn, id): (ConnId, u64),
    ) -> Option<Result<Answer>> {
        let jobs = match self.named(session, jobs) {
            Ok(jobs) => jobs,
            Err(error) => return Some(Err(error)),
        };
        let runs = |job: &JobNo| self.ledger.jobs.get(job).is_some_and(|job| !job.is_over());
        let left: BTreeSet<JobNo> = jobs.iter().copied().filter(runs).collect();
        if left.is_empty() {
            if dispose {
                jobs.into_iter().for_each(|job| self.reap(job));
            }
            return Some(Ok(Answer::Done));
        }
        let waits = Waits::All {
            left,
            jobs,
            dispose,
        };
        self.wait_for(now, session, call, Waiter { conn, id, waits }, timeout_s)
    }

    /// The last job of a synchronization is over.
    pub(crate) fn synchronized(&mut self, session: SessionNo, call: u64) {
        let waiter = self
            .sessions
            .get(session)
            .and_then(|session| session.waiters.get(&call));
        if let Some(Waiter {
            waits:
                Waits::All {
                    jobs,
                    dispose: true,
                    ..
                },
            ..
        }) = waiter
        {
            for job in jobs.clone() {
                self.reap(job);
            }
        }
        let answered = self.sessions.answer(session, call, Ok(Answer::Done));
        self.send_answer(answered);
    }

    // ---- Operators ----

    fn job_line(&self, job: &Job, now: Micros) -> reedring_drmaa::rpc::JobLine {
        let node = job.history.last().map(|trial| self.node_name(trial.node));
        job.line(&self.settings, node.as_deref(), now)
    }

    fn jobs_page(&self, now: Micros, after: Option<u64>, limit: usize) -> JobsPage {
        let limit = limit.clamp(1, PAGE);
        let from = after.map_or(0, |after| after.saturating_add(1));
        let page: Vec<(&JobNo, &Job)> = self.ledger.jobs.range(from..).take(limit + 1).collect();
        let next = (page.len() > limit).then(|| *page[limit - 1].0);
        JobsPage {
            jobs: page
                .iter()
                .take(limit)
                .map(|(_, job)| self.job_line(job, now))
                .collect(),
            next,
        }
    }

    fn show_job(&mut self, now: Micros, name: &str) -> Result<Answer> {
        let found = self
            .job_named(name)
            .and_then(|job| self.ledger.jobs.get(&job));
        let job = found.ok_or_else(|| {
            error(
                ErrorCode::InvalidJob,
                format!("`{name}` is no job of this placer, or its end was told"),
            )
        })?;
        let line = self.job_line(job, now);
        let (mut detail, subject) = (
            job.detail(line, |node| self.node_name(node)),
            job.ask.subject(),
        );
        let number = self.job_named(name);
        if let Some((subject, number)) = subject.zip(number) {
            detail
                .stands
                .push(self.constrain.explain(&subject).to_string());
            let broken = self.constrain.broken(number).into_iter();
            detail.stands.extend(broken.map(|(text, since)| {
                let for_s = now.saturating_sub(since) as f64 / 1e6;
                format!("`{text}` does not hold for {for_s:.1} s")
            }));
        }
        Ok(Answer::Job(Box::new(detail)))
    }

    /// What the site knows of names and types; none before the first node list.
    fn schema(&self) -> Option<Schema> {
        let kinds = self
            .settings
            .kinds
            .iter()
            .map(|kind| kind.name.clone())
            .collect();
        self.constrain
            .has_list()
            .then(|| Schema::of(kinds, self.constrain.fleet()))
    }

    fn explain_text(&mut self, text: &str) -> Result<Answer> {
        let wrong = |mistake: Mistake| error(ErrorCode::InvalidAttributeValue, mistake.to_string());
        let constraint = self.settings.constraint(text).map_err(wrong)?;
        self.schema()
            .map_or(Ok(()), |schema| schema.check(&constraint, text))
            .map_err(wrong)?;
        let own = Own::service("", "");
        let bound = Arc::new(Bound::new(constraint, &own));
        let subject = Subject {
            bound,
            own,
            topics: Arc::default(),
        };
        Ok(Answer::Text(self.constrain.explain(&subject).to_string()))
    }

    fn node_lines(&self) -> Vec<reedring_drmaa::rpc::NodeLine> {
        let line = |node: &crate::links::Node| {
            let (mut waiting, mut held, mut cores, mut memory) = (0, 0, 0.0, 0.0);
            for id in &node.attempts {
                let Some(attempt) = self.ledger.attempts.get(id) else {
                    continue;
                };
                if !attempt.accepted {
                    waiting += 1;
                } else if let Some(job) = self.ledger.jobs.get(&attempt.job) {
                    held += 1;
                    cores += job.ask.cores;
                    memory += job.ask.memory;
                }
            }
            // What a node told that does not answer any more may be otherwise by now.
            let number = self.nodes.number(&node.name).filter(|_| node.is_up());
            let plan = number.and_then(|number| self.plan_line(number));
            node.node_line(
                waiting,
                held,
                (cores, memory),
                self.nodes.kind(node.entry.kind),
                plan,
            )
        };
        let known = |node: &&crate::links::Node| !node.remembered || !node.attempts.is_empty();
        self.nodes.all.values().filter(known).map(line).collect()
    }
}

/// The answer of a submission: the jobs' names follow from the call and the indices.
fn submitted(key: &CallKey, range: Range, warning: Option<String>) -> Answer {
    let name = |index| {
        JobName {
            session: key.session.as_str().into(),
            call: key.call,
            index,
        }
        .to_string()
    };
    let jobs = range
        .indices(u64::MAX)
        .map(|indices| indices.map(name).collect())
        .unwrap_or_default();
    Answer::Submitted(Submitted { jobs, warning })
}
