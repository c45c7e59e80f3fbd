//! Control of jobs by their users: hold, release, suspend, resume and terminate.

use reedring::{AttemptId, Micros};
use reedring_drmaa::rpc::{Answer, Jobs};
use reedring_drmaa::{Control, End, ErrorCode, Result};
use reedring_node_protocol::Message;
use reedring_state::Ending;

use super::{error, named_jobs};
use crate::ids::{JobNumber, SessionNumber};
use crate::ledger::{Job, Phase};
use crate::lifecycle::JobLifecycle;
use crate::timers::Timer;

/// Applies a control action to each job that the call names and returns the first error. Where the call names all jobs
/// of the session, those that have ended are skipped.
pub(super) fn control(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    session: SessionNumber,
    jobs: &Jobs,
    action: Control,
) -> Result<Answer> {
    let numbers = named_jobs(lifecycle, session, jobs)?;
    let mut first_error = None;
    for number in numbers {
        let has_ended = lifecycle.ledger.job(number).is_none_or(Job::is_ended);
        if *jobs == Jobs::All && has_ended {
            continue;
        }
        if let Err(error) = control_job(lifecycle, now, number, action) {
            first_error.get_or_insert(error);
        }
    }
    first_error.map_or(Ok(Answer::Done), Err)
}

/// Applies a control action to one job.
fn control_job(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: JobNumber,
    action: Control,
) -> Result<()> {
    let Some(job) = lifecycle.ledger.job(number) else {
        return Err(error(
            ErrorCode::InvalidJob,
            "the job does not exist any more",
        ));
    };
    let name = job.name.to_string();
    match (action, &job.phase) {
        (Control::Terminate, _) => {
            terminate(lifecycle, now, number);
            Ok(())
        }
        (Control::Hold, _) => hold(lifecycle, number, &name),
        (Control::Release, Phase::OnHold) => {
            release(lifecycle, now, number);
            Ok(())
        }
        (Control::Release, _) => Err(error(
            ErrorCode::ReleaseInconsistentState,
            format!("job {name} is not on hold"),
        )),
        (Control::Suspend, Phase::Running(id)) => request_suspension(lifecycle, now, *id, true),
        (Control::Suspend, _) => Err(error(
            ErrorCode::SuspendInconsistentState,
            format!("job {name} does not run"),
        )),
        (Control::Resume, Phase::Suspended(id)) => request_suspension(lifecycle, now, *id, false),
        (Control::Resume, _) => Err(error(
            ErrorCode::ResumeInconsistentState,
            format!("job {name} is not suspended"),
        )),
    }
}

/// Terminates a job at its user's request; does nothing where it has ended.
fn terminate(lifecycle: &mut JobLifecycle<'_>, now: Micros, number: JobNumber) {
    let Some(job) = lifecycle.ledger.job(number).filter(|job| !job.is_ended()) else {
        return;
    };
    let end = if job.is_running() {
        End::Signaled {
            signal: "SIGKILL".to_owned(),
            core_dump: false,
        }
    } else {
        End::Aborted
    };
    let reason = Some("terminated by its user".to_owned());
    lifecycle.terminate(
        now,
        number,
        Ending {
            end,
            reason,
            retry_after_us: None,
        },
    );
}

/// Puts a job on hold. Only a job that was not offered to any node can be put on hold.
fn hold(lifecycle: &mut JobLifecycle<'_>, number: JobNumber, name: &str) -> Result<()> {
    let job = lifecycle.ledger.job(number);
    match job.map(|job| (&job.phase, job)) {
        Some((Phase::Requested(request), job))
            if job.attempts.is_empty() && job.history.is_empty() =>
        {
            let request = *request;
            lifecycle.withdraw(request);
        }
        Some((Phase::Delayed, job)) if !job.is_retry && !job.recovering => {}
        _ => {
            let text = format!("job {name} was offered to a node, is held already, or is over");
            return Err(error(ErrorCode::HoldInconsistentState, text));
        }
    }
    lifecycle.set_phase(number, Phase::OnHold);
    Ok(())
}

/// Releases a job that is on hold: it then waits for its start time, or its placement is requested.
fn release(lifecycle: &mut JobLifecycle<'_>, now: Micros, number: JobNumber) {
    let job = lifecycle.ledger.job(number);
    let start = job
        .and_then(|job| job.requirements.spec.start)
        .map(|at| at as f64);
    let unix_now = lifecycle.cx.clock().unix_seconds(now);
    match start.filter(|at| *at > unix_now) {
        Some(at) => {
            let at = now + ((at - unix_now) * 1e6) as Micros;
            if let Some(job) = lifecycle.ledger.job_mut(number) {
                (job.phase, job.until) = (Phase::Delayed, at);
            }
            lifecycle.cx.set_timer(at, Timer::RequestPlacement(number));
        }
        None => lifecycle.request_placement(now, number),
    }
}

/// Asks a job's node to suspend or resume it. The job's state changes once the node reports that it has.
fn request_suspension(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    id: AttemptId,
    suspend: bool,
) -> Result<()> {
    let Some(attempt) = lifecycle.ledger.attempt(id) else {
        return Err(error(
            ErrorCode::InternalError,
            "the job's attempt is not in the ledger",
        ));
    };
    let (number, attempt) = (attempt.node, attempt.wire);
    let Some(node) = lifecycle
        .nodes
        .get(number)
        .filter(|node| node.can_suspend())
    else {
        return Err(error(
            ErrorCode::DeniedByDrm,
            "the job's node can't suspend tasks",
        ));
    };
    if !node.is_up() {
        let text = format!("node {} can't be reached; try later", node.name());
        return Err(error(ErrorCode::TryLater, text));
    }
    let message = if suspend {
        Message::Suspend { attempt }
    } else {
        Message::Resume { attempt }
    };
    lifecycle.send(now, number, message);
    Ok(())
}
