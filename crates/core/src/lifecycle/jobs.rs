//! The end of jobs: how a job ends, which waiting calls are answered, and when the job is deleted.

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

/// How many times finished jobs are checked for expiry within the time for which they are kept.
const EXPIRY_CHECKS_PER_RETENTION: u64 = 8;
/// The shortest interval between two such checks, in microseconds.
const MIN_EXPIRY_CHECK_INTERVAL_US: Micros = 1_000_000;

/// The answer to a wait for a job; an error where the job has not ended.
pub(crate) fn ended_answer(info: Option<JobInfo>) -> Result<Answer> {
    info.map(Answer::Ended)
        .ok_or_else(|| Error::new(ErrorCode::InternalError, "the job has not ended"))
}

impl JobLifecycle<'_> {
    /// Adds a job to the ledger and to its session.
    pub fn add_job(&mut self, job: Job) -> JobNumber {
        let (session, place) = (job.session, job.name.call_index());
        let number = self.ledger.add(job);
        if let Some(session) = self.sessions.get_mut(session) {
            session.add_job(place, number);
        }
        self.cx.stats.submitted += 1;
        number
    }

    /// The job of this name, if its end was not returned yet.
    pub fn job_named(&self, name: &str) -> Option<JobNumber> {
        let name = JobName::parse(name)?;
        let session = self.sessions.get(self.sessions.find(&name.session).ok()?)?;
        session.job(name.call_index())
    }

    /// Whether a former incarnation with a complete ledger made this attempt, and the end of its job was returned to
    /// the client.
    pub(super) fn is_settled(&self, attempt: wire::AttemptId, name: &str) -> bool {
        if !self.ledger.is_complete(attempt.incarnation) {
            return false;
        }
        let is_settled = JobName::parse(name).and_then(|name| {
            let session = self.sessions.get(self.sessions.find(&name.session).ok()?)?;
            Some(session.is_call_closed(name.call) && session.job(name.call_index()).is_none())
        });
        is_settled.unwrap_or(false)
    }

    pub fn set_phase(&mut self, job: JobNumber, phase: Phase) {
        if let Some(job) = self.ledger.job_mut(job) {
            job.phase = phase;
        }
    }

    /// Records and counts the answer about a job's placement. A job that has one keeps it.
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

    /// Ends a job at its user's request or at its run limit. Its attempts are stopped first.
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
        self.finish_ending(now, job);
    }

    /// Terminates a job that has run for as long as its template allows.
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

    /// Ends a job that is being ended if none of its attempts is open any more.
    pub fn finish_ending(&mut self, now: Micros, job: JobNumber) {
        let Some(entry) = self.ledger.job(job) else {
            return;
        };
        if let (Phase::Ending(ending), true) = (&entry.phase, entry.attempts.is_empty()) {
            let ending = ending.clone();
            self.end_job(now, job, ending);
        }
    }

    /// Marks a job as ended and answers the calls that wait for it.
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
            self.schedule_expiry_check(now);
        }
        self.answer_waiting_calls(session_number, number);
    }

    /// Answers the calls that wait for the end of a job. The first wait for it gets the end, and the job is deleted.
    fn answer_waiting_calls(&mut self, session_number: SessionNumber, number: JobNumber) {
        let Some(session) = self.sessions.get_mut(session_number) else {
            return;
        };
        let wake_ups = session.wake_ups(number);
        if let Some(call) = wake_ups.receiver {
            let result = ended_answer(self.job_info(number));
            self.remove_job(number);
            self.complete_call(session_number, call, result);
            for call in wake_ups.too_late {
                let already_returned =
                    Error::new(ErrorCode::InvalidJob, "another call received the job's end");
                self.complete_call(session_number, call, Err(already_returned));
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

    /// Answers a synchronization whose last job has ended, and deletes its jobs where it asked for that.
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
                self.remove_job(job);
            }
        }
        self.complete_call(session, call, Ok(Answer::Done));
    }

    /// What `drmaa_wait` returns of a job; `None` where it has not ended.
    pub fn job_info(&self, number: JobNumber) -> Option<JobInfo> {
        let job = self.ledger.job(number)?;
        let node = job
            .history
            .last()
            .map(|record| self.nodes.name(record.node));
        job.info(node.as_deref(), |at| self.cx.clock().unix_seconds(at))
    }

    // ---- Removal ----

    /// Deletes a job from the ledger and its session.
    pub fn remove_job(&mut self, number: JobNumber) {
        if let Some(job) = self.ledger.forget(number)
            && let Some(session) = self.sessions.get_mut(job.session)
        {
            session.remove_job(job.name.call_index(), number);
        }
    }

    /// Schedules the next check for finished jobs that are kept for too long.
    fn schedule_expiry_check(&mut self, now: Micros) {
        let keep = self.cx.settings().limits.keep_ended_us;
        let interval = (keep / EXPIRY_CHECKS_PER_RETENTION).max(MIN_EXPIRY_CHECK_INTERVAL_US);
        self.cx.set_timer(now + interval, Timer::ForgetFinished);
    }

    /// Deletes jobs that ended more than `keep_ended_us` ago, and idle sessions that were not used for as long.
    pub fn remove_expired_jobs(&mut self, now: Micros) {
        let before = now.saturating_sub(self.cx.settings().limits.keep_ended_us);
        let is_old = |job: &JobNumber| {
            let ended = self.ledger.job(*job).and_then(|job| job.ended);
            ended.is_some_and(|ended| ended < before)
        };
        let jobs: Vec<JobNumber> = self.sessions.ended_jobs().filter(is_old).collect();
        for job in jobs {
            self.remove_job(job);
        }
        self.sessions.remove_idle(before);
        if self.sessions.ended_jobs().next().is_some() {
            self.schedule_expiry_check(now);
        }
    }
}
