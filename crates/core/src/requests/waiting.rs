//! Calls that wait for jobs to end.

use std::collections::BTreeSet;

use reedring::Micros;
use reedring_drmaa::rpc::{Answer, Jobs, Response};
use reedring_drmaa::{ErrorCode, Result};

use super::{Caller, error, find_job, named_jobs};
use crate::ids::{JobNumber, SessionNumber};
use crate::io::Output;
use crate::ledger::Job;
use crate::lifecycle::{JobLifecycle, ended_answer};
use crate::sessions::{CallRecord, WaitCondition, Waiter};
use crate::timers::Timer;

/// The parameters that all waiting calls have.
#[derive(Clone, Copy)]
pub(super) struct Wait {
    pub session: SessionNumber,
    pub call: u64,
    pub caller: Caller,
    /// Seconds to wait: negative to wait without a limit, 0 not to wait.
    pub timeout_s: i64,
}

/// Waits for the end of one job, or of any job of the session where `job` is `None`. Returns `None` where the answer
/// comes later.
pub(super) fn wait(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    wait: Wait,
    job: Option<&str>,
) -> Option<Result<Answer>> {
    let (ended, condition) = match job {
        Some(name) => match find_job(lifecycle, wait.session, name) {
            Ok(job) => {
                let has_ended = lifecycle.ledger.job(job).is_some_and(Job::is_ended);
                (has_ended.then_some(job), WaitCondition::Job(job))
            }
            Err(error) => return Some(Err(error)),
        },
        None => {
            let session = lifecycle.sessions.get(wait.session)?;
            if !session.has_jobs() {
                let no_jobs = error(ErrorCode::InvalidJob, "the session has no job to wait for");
                return Some(Err(no_jobs));
            }
            (session.first_ended(), WaitCondition::Any)
        }
    };
    match ended {
        Some(job) => take_ended(lifecycle, wait, job),
        None => wait_for(lifecycle, now, wait, condition),
    }
}

/// Answers a wait with the end of a job and deletes the job. Returns `None` where the answer is sent once the end is
/// durable.
fn take_ended(
    lifecycle: &mut JobLifecycle<'_>,
    wait: Wait,
    job: JobNumber,
) -> Option<Result<Answer>> {
    let result = ended_answer(lifecycle.job_info(job));
    let recorded_in = lifecycle
        .ledger
        .job(job)
        .and_then(|job| job.end_recorded_in);
    lifecycle.remove_job(job);
    let Some(batch) = recorded_in else {
        return Some(result);
    };
    let session = lifecycle.sessions.get_mut(wait.session)?;
    session.record(wait.call, CallRecord::Answer(result.clone()));
    let (conn, response) = (wait.caller.conn, Response::new(wait.caller.id, result));
    lifecycle
        .queue
        .reply_after(conn, Output::Reply { conn, response }, batch);
    None
}

/// Waits for the ends of several jobs; deletes them then where `dispose` is set. Returns `None` where the answer comes
/// later.
pub(super) fn synchronize(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    wait: Wait,
    jobs: &Jobs,
    dispose: bool,
) -> Option<Result<Answer>> {
    let jobs = match named_jobs(lifecycle, wait.session, jobs) {
        Ok(jobs) => jobs,
        Err(error) => return Some(Err(error)),
    };
    let is_unfinished = |job: &JobNumber| {
        lifecycle
            .ledger
            .job(*job)
            .is_some_and(|job| !job.is_ended())
    };
    let unfinished: BTreeSet<JobNumber> = jobs.iter().copied().filter(is_unfinished).collect();
    if unfinished.is_empty() {
        if dispose {
            jobs.into_iter().for_each(|job| lifecycle.remove_job(job));
        }
        return Some(Ok(Answer::Done));
    }
    wait_for(
        lifecycle,
        now,
        wait,
        WaitCondition::All {
            unfinished,
            jobs,
            dispose,
        },
    )
}

/// Registers a call that waits, with its timeout; an error where it has a timeout of 0.
fn wait_for(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    wait: Wait,
    condition: WaitCondition,
) -> Option<Result<Answer>> {
    let Wait {
        session,
        call,
        caller,
        timeout_s,
    } = wait;
    match u64::try_from(timeout_s) {
        Ok(0) => return Some(Err(error(ErrorCode::ExitTimeout, "not yet over"))),
        Ok(seconds) => {
            let at = now.saturating_add(seconds.saturating_mul(1_000_000));
            lifecycle
                .cx
                .set_timer(at, Timer::WaitTimeout { session, call });
        }
        Err(_) => {}
    }
    let waiter = Waiter {
        conn: caller.conn,
        id: caller.id,
        condition,
    };
    lifecycle.sessions.wait(session, call, waiter);
    None
}

/// Answers a call whose timeout is over with an error. Does nothing where it is answered already.
pub(crate) fn wait_timed_out(lifecycle: &mut JobLifecycle<'_>, session: SessionNumber, call: u64) {
    let timeout = error(ErrorCode::ExitTimeout, "the wait timed out");
    lifecycle.complete_call(session, call, Err(timeout));
}
