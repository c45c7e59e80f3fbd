//! The start of a placer with a state folder: it takes up what its former incarnation persisted.
//!
//! Jobs come back under their numbers. What was placed is announced to the decision module at once, as adopted. What
//! was being placed waits for the nodes that were asked, and is then decided on by
//! [`decide::recovery_action`](crate::decide::recovery_action).

use std::collections::BTreeMap;
use std::sync::Arc;

use reedring::names::machine_id;
use reedring::{AttemptId, Beliefs, Effect, Event as ModuleEvent, Micros, RequestId, TaskKey};
use reedring_node_protocol as wire;
use reedring_state::{self as state, AgedBeliefs, Ending, LedgerSnapshot, Outcome};

use crate::decide::{self, ANSWER_MARGIN_US, AttemptState};
use crate::event::Event;
use crate::ids::{JobNumber, NodeNumber, SessionNumber};
use crate::ledger::{Attempt, Job, JobName, Phase};
use crate::lifecycle::JobLifecycle;
use crate::requirements::{JobRequirements, UnusableRequirements};
use crate::timers::Timer;

/// Microseconds after the start at which finished jobs are looked through for the first time.
const FIRST_FORGET_US: Micros = 1_000_000;

/// What a core is given of its state folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The rows that were persisted.
    pub image: LedgerSnapshot,
    /// The beliefs of the decision module, aged to this moment: those of nodes, and the rest.
    pub learned: AgedBeliefs,
    /// Why the folder can't be written, if that is so from the start.
    pub lost: Option<String>,
}

/// What the jobs of a call require, or what is left of it.
type RestoredRequirements = Result<Arc<JobRequirements>, UnusableRequirements>;

/// Starts to persist, and takes up what was persisted before.
pub(crate) fn restore(lifecycle: &mut JobLifecycle<'_>, restored: Restored) {
    let now = lifecycle.cx.clock().started_at();
    lifecycle.queue.start(restored.lost, lifecycle.cx);
    restore_image(lifecycle, now, &restored.image);
    let AgedBeliefs {
        nodes,
        fleet: beliefs,
    } = restored.learned;
    if beliefs != Beliefs::default() {
        lifecycle
            .cx
            .tell_module(ModuleEvent::BeliefsRestored(beliefs));
    }
    nodes
        .into_iter()
        .for_each(|known| lifecycle.nodes.restore_beliefs(known));
}

fn restore_image(lifecycle: &mut JobLifecycle<'_>, now: Micros, image: &LedgerSnapshot) {
    let incarnations = image.incarnations.iter().map(|record| record.incarnation);
    lifecycle.ledger.set_complete(
        incarnations
            .filter(|life| image.is_complete_for(*life))
            .collect(),
    );
    // Every offer to a node that was warming up was durable before it left, if nothing is missing.
    lifecycle
        .nodes
        .set_budgets_restored(!image.incarnations.is_empty() && !image.incomplete);
    for (number, session) in &image.sessions {
        let calls = image.responses.get(number);
        lifecycle
            .sessions
            .restore(SessionNumber(*number), session, calls, now);
    }
    restore_nodes(lifecycle, now, image);
    restore_jobs(lifecycle, now, image);
    if !image.incarnations.is_empty() {
        lifecycle.cx.log(loaded_event(image));
    }
}

fn loaded_event(image: &LedgerSnapshot) -> Event {
    let jobs = || image.jobs.values();
    let is_unfinished = |job: &&state::Job| !matches!(job.phase, state::Phase::Ended(_));
    let is_unplaced = |job: &&state::Job| matches!(job.phase, state::Phase::Pending { .. });
    Event::StateLoaded {
        sessions: image.sessions.len(),
        jobs: image.jobs.len(),
        unfinished: jobs().filter(is_unfinished).count(),
        unplaced: jobs().filter(is_unplaced).count(),
        incomplete: image.incomplete,
    }
}

fn restore_nodes(lifecycle: &mut JobLifecycle<'_>, now: Micros, image: &LedgerSnapshot) {
    for node in &image.draining_nodes {
        lifecycle.nodes.restore(node);
        lifecycle.nodes.set_drained(node, true);
        lifecycle
            .cx
            .log(Event::NodeStillDrained { node: node.clone() });
    }
    let window = lifecycle.cx.settings().site.cold_window_us.unwrap_or(0);
    for (node, times) in &image.warm_up_offers {
        let clock = lifecycle.cx.clock();
        let age =
            |at: &u64| decide::former_offer_age(now.saturating_sub(clock.at_unix_us(*at)), window);
        let ages = times.iter().map(age).collect();
        lifecycle.nodes.restore_slow_start_offers(node, ages);
    }
}

fn restore_jobs(lifecycle: &mut JobLifecycle<'_>, now: Micros, image: &LedgerSnapshot) {
    let mut requirements: BTreeMap<(u32, u64), RestoredRequirements> = BTreeMap::new();
    let mut any_ended = false;
    for (number, row) in &image.jobs {
        let call = (row.session, row.call);
        let requirements = requirements.entry(call).or_insert_with(|| {
            let row = image
                .templates
                .get(&call.0)
                .and_then(|calls| calls.get(&call.1));
            JobRequirements::restore(row, lifecycle.cx.settings())
        });
        let number = JobNumber(*number);
        let Some(effect) = add_job(lifecycle, now, number, row, requirements) else {
            continue;
        };
        let unusable = requirements.as_ref().err();
        let is_certain = !image.incomplete || effect == Effect::Safe;
        restore_job(lifecycle, now, number, row, unusable, is_certain);
        let has_ended = matches!(row.phase, state::Phase::Ended(_));
        if has_ended && !any_ended {
            any_ended = true;
            lifecycle
                .cx
                .set_timer(now + FIRST_FORGET_US, Timer::ForgetFinished);
        }
    }
}

/// Adds a job as its row has it, but for its phase and its attempts; what a second start of it may do.
fn add_job(
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
    let place = name.place();
    let requirements = match requirements {
        Ok(requirements) => Arc::clone(requirements),
        Err(unusable) => Arc::clone(&unusable.remaining),
    };
    let clock = lifecycle.cx.clock();
    let at = |unix_us: Option<u64>| unix_us.map(|unix_us| clock.at_unix_us(unix_us));
    let submitted = clock.at_unix_us(row.submitted_at);
    let mut job = Job::new(
        name,
        session_number,
        requirements,
        TaskKey(row.idempotency_key),
        submitted,
    );
    (job.placed, job.started, job.ended) =
        (at(row.placed_at), at(row.started_at), at(row.ended_at));
    (job.outcome, job.is_retry, job.attempt_count) =
        (row.outcome, row.lost_before, row.attempt_count);
    (job.may_have_run, job.violated) = (row.may_have_run, row.violated_clauses.clone());
    (job.recorded_in, job.end_recorded_in) = (Some(0), row.ended_at.map(|_| 0));
    let effect = lifecycle.effect(&job);
    lifecycle.ledger.restore(number, job);
    if let Some(session) = lifecycle.sessions.get_mut(session_number) {
        session.add_job(place, number);
        if matches!(row.phase, state::Phase::Ended(_)) {
            session.job_ended(number);
        }
    }
    if let Some(node) = &row.last_node {
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
    Some(effect)
}

/// Brings a job to the phase of its row; `is_certain` if what happened since it was persisted can't matter.
fn restore_job(
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
    // What was decided while nothing could be persisted is not in the rows.
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

/// The phase of a job's row, and until when the job is recovered if it was being placed.
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
        // A row that says so without an attempt can't be; the job is recovered like one that was requested.
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

fn schedule_recovery(lifecycle: &mut JobLifecycle<'_>, now: Micros, job: JobNumber, until: Micros) {
    set_until(lifecycle, job, until);
    // Nodes are waited for as long as the client waits; for a client that gave up a little longer.
    let decide_at = until.saturating_sub(ANSWER_MARGIN_US);
    let decide_at = if decide_at > now {
        decide_at
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

/// Announces a placed job to the decision module.
fn restore_placement(lifecycle: &mut JobLifecycle<'_>, number: JobNumber, id: AttemptId) {
    lifecycle.ledger.add_restored_placement(number, id);
    let machine = lifecycle.ledger.attempt(id).map(|attempt| attempt.machine);
    if let Some((task, machine)) = lifecycle.module_task(number, id.request).zip(machine) {
        lifecycle
            .cx
            .tell_module(ModuleEvent::Adopted { task, machine });
    }
    if lifecycle.ledger.job(number).is_some_and(Job::is_running) {
        lifecycle.set_run_limit(number);
    }
}

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
            life: row.incarnation,
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
    lifecycle.ledger.open(id, attempt);
    lifecycle
        .nodes
        .restore_attempt(node, id, row.node_incarnation);
    let links = &lifecycle.cx.settings().links;
    let (lost_after, stop_wait) = (links.lost_after_us, links.stop_wait_us);
    match state {
        AttemptState::Accepted => {
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
    (id, state)
}
