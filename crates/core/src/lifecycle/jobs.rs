//! The end of jobs: how one ends, which clients learn of it, and when it is forgotten.

use reedring::Micros;
use reedring_drmaa::rpc::Answer;
use reedring_drmaa::{End, Error, ErrorCode, JobInfo, Result};
use reedring_node_protocol as wire;
use reedring_state::{Ending, Outcome};

use super::JobLifecycle;
use crate::ids::{JobNumber, SessionNumber};
use crate::ledger::{Job, JobName, Phase};
use crate::sessions::{WaitCondition, Waiter};
use crate::timers::Timer;

/// How often finished jobs are looked through, as a part of the time for which they are kept.
const FORGET_CHECKS: u64 = 8;
/// Microseconds between two such looks at least.
const MIN_FORGET_INTERVAL_US: Micros = 1_000_000;

/// The answer of a wait for a job.
pub(crate) fn ended_answer(info: Option<JobInfo>) -> Result<Answer> {
    info.map(Answer::Ended)
        .ok_or_else(|| Error::new(ErrorCode::InternalError, "the job is not over"))
}

impl JobLifecycle<'_> {
    /// Adds a job to the ledger and to its session.
    pub fn add_job(&mut self, job: Job) -> JobNumber {
        let (session, place) = (job.session, job.name.place());
        let number = self.ledger.add(job);
        if let Some(session) = self.sessions.get_mut(session) {
            session.add_job(place, number);
        }
        self.cx.stats.submitted += 1;
        number
    }

    /// The job of this name, if nobody has waited for it yet.
    pub fn job_named(&self, name: &str) -> Option<JobNumber> {
        let name = JobName::parse(name)?;
        let session = self.sessions.get(self.sessions.find(&name.session).ok()?)?;
        session.job(name.place())
    }

    /// Whether a former incarnation made this attempt, its job was in the ledger, and its client was told how it ended.
    pub(super) fn is_settled(&self, attempt: wire::AttemptId, name: &str) -> bool {
        if !self.ledger.is_complete(attempt.incarnation) {
            return false;
        }
        let is_settled = JobName::parse(name).and_then(|name| {
            let session = self.sessions.get(self.sessions.find(&name.session).ok()?)?;
            Some(session.knows_call(name.call) && session.job(name.place()).is_none())
        });
        is_settled.unwrap_or(false)
    }

    pub fn set_phase(&mut self, job: JobNumber, phase: Phase) {
        if let Some(job) = self.ledger.job_mut(job) {
            job.phase = phase;
        }
    }

    /// The client of a job has its answer: the first one holds, and is counted.
    pub fn record_outcome(&mut self, job: JobNumber, outcome: Outcome) {
        let undecided = self.ledger.job_mut(job).filter(|job| job.outcome.is_none());
        let Some(job) = undecided else { return };
        job.outcome = Some(outcome);
        let stats = &mut self.cx.stats;
        *match outcome {
            Outcome::Placed => &mut stats.placed,
            Outcome::Refused => &mut stats.refused,
            Outcome::Failed => &mut stats.failed,
            Outcome::Terminated => &mut stats.terminated,
        } += 1;
    }

    // ---- Ending ----

    /// Ends a job for its user or by its limit: its copies are stopped first.
    pub fn terminate(&mut self, now: Micros, job: JobNumber, ending: Ending) {
        self.withdraw_job(job);
        let Some(entry) = self.ledger.job_mut(job) else {
            return;
        };
        if matches!(entry.phase, Phase::Ending(_) | Phase::Ended(_)) {
            return;
        }
        let attempts = entry.attempts.clone();
        entry.phase = Phase::Ending(ending);
        self.record_outcome(job, Outcome::Terminated);
        for id in attempts {
            self.stop(now, id);
        }
        self.end_if_ending(now, job);
    }

    /// A job has run for as long as its template allows.
    pub fn run_limit_reached(&mut self, now: Micros, job: JobNumber) {
        if self.ledger.job(job).is_some_and(Job::is_running) {
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

    /// A job that is being ended has ended once no copy is left.
    pub fn end_if_ending(&mut self, now: Micros, job: JobNumber) {
        let Some(entry) = self.ledger.job(job) else {
            return;
        };
        if let (Phase::Ending(ending), true) = (&entry.phase, entry.attempts.is_empty()) {
            let ending = ending.clone();
            self.end_job(now, job, ending);
        }
    }

    /// A job has ended: clients that wait for it are answered.
    pub fn end_job(&mut self, now: Micros, number: JobNumber, ending: Ending) {
        let Some(job) = self.ledger.job_mut(number).filter(|job| !job.is_ended()) else {
            return;
        };
        let violated = self.constraints.violated(number);
        let violated: Vec<String> = violated.into_iter().map(|(text, _)| text).collect();
        job.violated = (!violated.is_empty()).then(|| violated.join("; "));
        self.constraints.job_unplaced(number);
        job.phase = Phase::Ended(ending);
        job.ended = Some(now);
        let session_number = job.session;
        self.ledger.note_finished();
        let Some(session) = self.sessions.get_mut(session_number) else {
            return;
        };
        if session.job_ended(number) {
            self.schedule_forgetting(now);
        }
        self.wake_waiting(session_number, number);
    }

    /// Answers the calls that wait for the end of a job.
    fn wake_waiting(&mut self, session_number: SessionNumber, number: JobNumber) {
        let Some(session) = self.sessions.get_mut(session_number) else {
            return;
        };
        let wake_ups = session.wake_ups(number);
        if let Some(call) = wake_ups.receiver {
            let result = ended_answer(self.job_info(number));
            self.forget_job(number);
            self.complete_call(session_number, call, result);
            for call in wake_ups.too_late {
                let taken = Error::new(
                    ErrorCode::InvalidJob,
                    "the job's end was told to another wait",
                );
                self.complete_call(session_number, call, Err(taken));
            }
        }
        for call in wake_ups.complete {
            self.complete_synchronization(session_number, call);
        }
    }

    /// Answers a call that waits.
    pub fn complete_call(&mut self, session: SessionNumber, call: u64, result: Result<Answer>) {
        let completed = self.sessions.answer(session, call, result);
        self.reply_completed(completed);
    }

    /// The last job of a synchronization has ended.
    fn complete_synchronization(&mut self, session: SessionNumber, call: u64) {
        let waiter = self
            .sessions
            .get(session)
            .and_then(|session| session.waiter(call));
        if let Some(Waiter {
            condition:
                WaitCondition::All {
                    jobs,
                    dispose: true,
                    ..
                },
            ..
        }) = waiter
        {
            for job in jobs.clone() {
                self.forget_job(job);
            }
        }
        self.complete_call(session, call, Ok(Answer::Done));
    }

    /// What `drmaa_wait` returns of a job that has ended.
    pub fn job_info(&self, number: JobNumber) -> Option<JobInfo> {
        let job = self.ledger.job(number)?;
        let node = job
            .history
            .last()
            .map(|record| self.nodes.name(record.node));
        job.info(node.as_deref(), |at| self.cx.clock().unix_seconds(at))
    }

    // ---- Forgetting ----

    /// Forgets a job whose end its client was told.
    pub fn forget_job(&mut self, number: JobNumber) {
        if let Some(job) = self.ledger.forget(number)
            && let Some(session) = self.sessions.get_mut(job.session)
        {
            session.forget_job(job.name.place(), number);
        }
    }

    fn schedule_forgetting(&mut self, now: Micros) {
        let keep = self.cx.settings().limits.keep_ended_us;
        let interval = (keep / FORGET_CHECKS).max(MIN_FORGET_INTERVAL_US);
        self.cx.set_timer(now + interval, Timer::ForgetFinished);
    }

    /// Forgets jobs that ended long ago, and sessions that were not used since.
    pub fn forget_finished(&mut self, now: Micros) {
        let before = now.saturating_sub(self.cx.settings().limits.keep_ended_us);
        let is_old = |job: &JobNumber| {
            let ended = self.ledger.job(*job).and_then(|job| job.ended);
            ended.is_some_and(|ended| ended < before)
        };
        let jobs: Vec<JobNumber> = self.sessions.ended_jobs().filter(is_old).collect();
        for job in jobs {
            self.forget_job(job);
        }
        self.sessions.forget_idle(before);
        if self.sessions.ended_jobs().next().is_some() {
            self.schedule_forgetting(now);
        }
    }
}
