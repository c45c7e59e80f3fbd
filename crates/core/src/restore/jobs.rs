//! Restores the jobs and attempts of a former incarnation from their rows.

use std::sync::Arc;

use reedring::names::machine_id;
use reedring::{AttemptId, Effect, Event as ModuleEvent, Micros, RequestId, TaskKey};
use reedring_node_protocol as wire;
use reedring_state::{self as state, Ending, Outcome};

use super::RestoredRequirements;
use crate::context::Clock;
use crate::decide::{ANSWER_MARGIN_US, AttemptState};
use crate::ids::{JobNumber, NodeNumber, SessionNumber};
use crate::ledger::{Attempt, Job, JobName, Phase};
use crate::lifecycle::JobLifecycle;
use crate::requirements::{JobRequirements, UnusableRequirements};
use crate::timers::Timer;

/// Adds a job from its row, without its phase and its open attempts. Returns the effect of a second start of the job;
/// `None`, and no job is added, if its session is unknown.
pub(super) fn add_job(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: JobNumber,
    row: &state::Job,
    requirements: &RestoredRequirements,
) -> Option<Effect> {
    let session_number = SessionNumber(row.session);
    let session = lifecycle.sessions.get(session_number)?;
    let name = JobName {
        session: Arc::clone(session.name()),
        call: row.call,
        index: row.index,
    };
    let call_index = name.call_index();
    let requirements = match requirements {
        Ok(requirements) => Arc::clone(requirements),
        Err(unusable) => Arc::clone(&unusable.remaining),
    };
    let job = job_from_row(row, name, requirements, lifecycle.cx.clock());
    let effect = lifecycle.effect(&job);
    lifecycle.ledger.restore(number, job);
    if let Some(session) = lifecycle.sessions.get_mut(session_number) {
        session.add_job(call_index, number);
        if matches!(row.phase, state::Phase::Ended(_)) {
            session.job_ended(number);
        }
    }
    restore_last_node(lifecycle, now, number, row);
    Some(effect)
}

/// The job of a row, without its phase and its open attempts.
fn job_from_row(
    row: &state::Job,
    name: JobName,
    requirements: Arc<JobRequirements>,
    clock: &Clock,
) -> Job {
    let at = |unix_us: Option<u64>| unix_us.map(|unix_us| clock.at_unix_us(unix_us));
    let (session, key) = (SessionNumber(row.session), TaskKey(row.idempotency_key));
    let submitted = clock.at_unix_us(row.submitted_at);
    Job {
        placed: at(row.placed_at),
        started: at(row.started_at),
        ended: at(row.ended_at),
        outcome: row.outcome,
        is_retry: row.lost_before,
        attempt_count: row.attempt_count,
        may_have_run: row.may_have_run,
        violated: row.violated_clauses.clone(),
        recorded_in: Some(0),
        end_recorded_in: row.ended_at.map(|_| 0),
        ..Job::new(name, session, requirements, key, submitted)
    }
}

/// Adds the last attempt of a job to its history, as far as the row has it: only its node is known.
fn restore_last_node(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: JobNumber,
    row: &state::Job,
) {
    let Some(node) = &row.last_node else { return };
    let node = lifecycle.nodes.restore(node);
    if let Some(job) = lifecycle.ledger.recorded_job_mut(number) {
        let id = AttemptId {
            request: RequestId(0),
            number: 0,
        };
        job.record_attempt(id, node, now);
        job.record_result(id, "before a restart");
        job.attempt_count = row.attempt_count;
    }
}

/// Restores the phase and the open attempts of a job from its row.
///
/// `unusable` is set if the current settings do not support the job's requirements any more: an unfinished job then
/// fails.
/// `is_certain` is false if records may be missing and the job must not start twice.
pub(super) fn restore_job(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: JobNumber,
    row: &state::Job,
    unusable: Option<&UnusableRequirements>,
    is_certain: bool,
) {
    let mut placed_attempt = None;
    if unusable.is_none() {
        for attempt in &row.open_attempts {
            let (id, state) = restore_attempt(lifecycle, now, number, attempt);
            if state == AttemptState::Accepted && placed_attempt.is_none() {
                placed_attempt = Some(id);
            }
        }
    }
    let (mut phase, mut recover_until) = restore_phase(lifecycle, now, number, row, placed_attempt);
    // Decisions made while the state folder could not be written are not in the rows: the job may have run since.
    let is_doubtful = !is_certain && placed_attempt.is_none();
    if is_doubtful && matches!(phase, Phase::OnHold | Phase::Delayed) {
        recover_until = recover_until.or(Some(now));
        phase = Phase::Delayed;
        if let Some(job) = lifecycle.ledger.job_mut(number) {
            job.may_have_run = true;
        }
    }
    if let Some(job) = lifecycle.ledger.recorded_job_mut(number) {
        job.phase = phase;
        job.recovering = recover_until.is_some();
    }
    let has_ended = matches!(row.phase, state::Phase::Ended(_));
    if let Some(unusable) = unusable.filter(|_| !has_ended) {
        let why = &unusable.reason;
        let reason =
            format!("failed: the placer's settings no longer know what it asks for: {why}");
        lifecycle.record_outcome(number, Outcome::Failed);
        return lifecycle.end_job(now, number, Ending::aborted(reason));
    }
    if let Some(until) = recover_until {
        schedule_recovery(lifecycle, now, number, until);
    }
    if let Some(id) = placed_attempt {
        restore_placement(lifecycle, number, id);
    }
}

/// The phase of a job according to its row. The time is set if the job was being placed and has to be recovered: it is
/// when the client gives up, or `now` if the row does not have that.
fn restore_phase(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: JobNumber,
    row: &state::Job,
    placed_attempt: Option<AttemptId>,
) -> (Phase, Option<Micros>) {
    let phase = match (&row.phase, placed_attempt) {
        (state::Phase::Held, _) => Phase::OnHold,
        (state::Phase::Delayed { until }, _) => {
            let at = lifecycle.cx.clock().at_unix_us(*until);
            set_until(lifecycle, number, at);
            lifecycle
                .cx
                .set_timer(at.max(now), Timer::RequestPlacement(number));
            Phase::Delayed
        }
        (state::Phase::Pending { deadline: until }, _) => {
            return (
                Phase::Delayed,
                Some(lifecycle.cx.clock().at_unix_us(*until)),
            );
        }
        (state::Phase::Placed, Some(id)) => Phase::Placed(id),
        (state::Phase::Running, Some(id)) => Phase::Running(id),
        (state::Phase::Suspended, Some(id)) => Phase::Suspended(id),
        // A row of a placed job without an accepted attempt is not written; the job is recovered like a requested one.
        (state::Phase::Placed | state::Phase::Running | state::Phase::Suspended, None) => {
            return (Phase::Delayed, Some(now));
        }
        (state::Phase::Ending(ending), _) => Phase::Ending(ending.clone()),
        (state::Phase::Ended(ending), _) => Phase::Ended(ending.clone()),
    };
    (phase, None)
}

fn set_until(lifecycle: &mut JobLifecycle<'_>, number: JobNumber, until: Micros) {
    if let Some(job) = lifecycle.ledger.recorded_job_mut(number) {
        job.until = until;
    }
}

/// Schedules the recovery of a job that was being placed, now and for the last time before its client gives up.
fn schedule_recovery(lifecycle: &mut JobLifecycle<'_>, now: Micros, job: JobNumber, until: Micros) {
    set_until(lifecycle, job, until);
    // The nodes' reports are awaited until shortly before the client gives up. If that time is over, they are awaited
    // until the end of the reconciliation period.
    let before_give_up = until.saturating_sub(ANSWER_MARGIN_US);
    let decide_at = if before_give_up > now {
        before_give_up
    } else {
        lifecycle.nodes.reconcile_until()
    };
    lifecycle
        .cx
        .set_timer(decide_at, Timer::Recover { job, last: true });
    lifecycle
        .cx
        .set_timer(now, Timer::Recover { job, last: false });
}

/// Announces a placed job to the decision module, and sets the timer of its run limit if it runs.
fn restore_placement(lifecycle: &mut JobLifecycle<'_>, number: JobNumber, id: AttemptId) {
    lifecycle.ledger.add_restored_placement(number, id);
    let machine = lifecycle.ledger.attempt(id).map(|attempt| attempt.machine);
    if let Some((task, machine)) = lifecycle.module_task(number, id.request).zip(machine) {
        lifecycle
            .cx
            .notify_module(ModuleEvent::Adopted { task, machine });
    }
    if lifecycle.ledger.job(number).is_some_and(Job::is_running) {
        lifecycle.set_run_limit(number);
    }
}

/// Restores an open attempt of a job from its row, under a new request; returns its id and state.
fn restore_attempt(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    job: JobNumber,
    row: &state::Attempt,
) -> (AttemptId, AttemptState) {
    let node: NodeNumber = lifecycle.nodes.restore(&row.node);
    let id = AttemptId {
        request: lifecycle.ledger.new_request(),
        number: 0,
    };
    let state = match row.state {
        state::AttemptState::Offered => AttemptState::Offered,
        state::AttemptState::Accepted => AttemptState::Accepted,
        state::AttemptState::Stopping => AttemptState::Stopping,
    };
    let topics = lifecycle
        .ledger
        .job(job)
        .map(|job| Arc::clone(&job.requirements.topics));
    let topics = topics.unwrap_or_default();
    lifecycle.constraints.copy_added(&topics, node);
    let attempt = Attempt {
        job,
        node,
        machine: machine_id(&row.node),
        wire: wire::AttemptId {
            incarnation: row.incarnation,
            request: row.request,
            number: row.number,
        },
        sent: lifecycle.cx.clock().at_unix_us(row.sent_at),
        state,
        accepted: row.accepted,
        announced: state == AttemptState::Accepted,
        node_incarnation: row.node_incarnation,
        topics,
    };
    lifecycle.ledger.open_attempt(id, attempt);
    lifecycle
        .nodes
        .restore_attempt(node, id, row.node_incarnation);
    schedule_attempt_timeout(lifecycle, now, id, node, state);
    (id, state)
}

/// Sets the timeout of a restored attempt: an accepted one is lost if its node does not connect in time, and a stopped
/// one if its node does not answer in time. For offers, the recovery of the job decides.
fn schedule_attempt_timeout(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    id: AttemptId,
    node: NodeNumber,
    state: AttemptState,
) {
    let links = &lifecycle.cx.settings().links;
    let (lost_after, stop_wait) = (links.lost_after_us, links.stop_wait_us);
    match state {
        AttemptState::Accepted => {
            // No connection has been made in this incarnation yet.
            let connection = 0;
            lifecycle
                .cx
                .set_timer(now + lost_after, Timer::NodeLost { node, connection });
        }
        AttemptState::Stopping => {
            let at = lifecycle.nodes.reconcile_until().max(now + stop_wait);
            lifecycle.cx.set_timer(at, Timer::StopTimeout(id));
        }
        AttemptState::Offered => {}
    }
}
