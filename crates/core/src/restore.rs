//! Restores the state that the former incarnation of the placer persisted, when a placer with a state folder starts.
//!
//! Jobs keep their numbers. Placed jobs are announced to the decision module at once, as adopted. Jobs that were being
//! placed wait until the nodes that were offered them have reported;
//! [`decide::recovery_action`] then decides how each goes on.

mod jobs;

use std::collections::BTreeMap;
use std::sync::Arc;

use reedring::{Beliefs, Effect, Event as ModuleEvent, Micros};
use reedring_state::{self as state, AgedBeliefs, LedgerSnapshot};

use crate::decide;
use crate::event::Event;
use crate::ids::{JobNumber, SessionNumber};
use crate::lifecycle::JobLifecycle;
use crate::requirements::{JobRequirements, UnusableRequirements};
use crate::timers::Timer;

/// Time after the start, in microseconds, of the first check for finished jobs to remove.
const FIRST_FORGET_DELAY_US: Micros = 1_000_000;

/// The contents of the state folder at the start of a core.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The rows that were persisted.
    pub ledger: LedgerSnapshot,
    /// The persisted beliefs of the decision module about single nodes and about the fleet, aged to the time of the
    /// start.
    pub beliefs: AgedBeliefs,
    /// Why the state folder can't be written from the start; `None` if it can.
    pub unavailable: Option<String>,
}

/// The requirements of the jobs of a call; `Err` with those that remain if the current settings do not allow them any
/// more.
type RestoredRequirements = Result<Arc<JobRequirements>, UnusableRequirements>;

/// Starts persistence, and restores the jobs, sessions, nodes and beliefs that were persisted before.
pub(crate) fn restore(lifecycle: &mut JobLifecycle<'_>, restored: Restored) {
    let now = lifecycle.cx.clock().started_at();
    lifecycle.queue.start(restored.unavailable, lifecycle.cx);
    restore_ledger(lifecycle, now, &restored.ledger);
    let AgedBeliefs {
        nodes,
        fleet: beliefs,
    } = restored.beliefs;
    if beliefs != Beliefs::default() {
        lifecycle
            .cx
            .notify_module(ModuleEvent::BeliefsRestored(beliefs));
    }
    nodes
        .into_iter()
        .for_each(|known| lifecycle.nodes.restore_beliefs(known));
}

fn restore_ledger(lifecycle: &mut JobLifecycle<'_>, now: Micros, snapshot: &LedgerSnapshot) {
    let incarnations = snapshot
        .incarnations
        .iter()
        .map(|record| record.incarnation);
    lifecycle.ledger.set_complete(
        incarnations
            .filter(|incarnation| snapshot.is_complete_for(*incarnation))
            .collect(),
    );
    // An offer to a node that was warming up was sent only once it was durable, so if no record is missing, all such
    // offers are known.
    lifecycle
        .nodes
        .set_budgets_restored(!snapshot.incarnations.is_empty() && !snapshot.incomplete);
    for (number, session) in &snapshot.sessions {
        let calls = snapshot.responses.get(number);
        lifecycle
            .sessions
            .restore(SessionNumber(*number), session, calls, now);
    }
    restore_nodes(lifecycle, now, snapshot);
    restore_jobs(lifecycle, now, snapshot);
    if !snapshot.incarnations.is_empty() {
        lifecycle.cx.log(loaded_event(snapshot));
    }
}

fn loaded_event(snapshot: &LedgerSnapshot) -> Event {
    let jobs = || snapshot.jobs.values();
    let is_unfinished = |job: &&state::Job| !matches!(job.phase, state::Phase::Ended(_));
    let is_unplaced = |job: &&state::Job| matches!(job.phase, state::Phase::Pending { .. });
    Event::StateLoaded {
        sessions: snapshot.sessions.len(),
        jobs: snapshot.jobs.len(),
        unfinished: jobs().filter(is_unfinished).count(),
        unplaced: jobs().filter(is_unplaced).count(),
        incomplete: snapshot.incomplete,
    }
}

fn restore_nodes(lifecycle: &mut JobLifecycle<'_>, now: Micros, snapshot: &LedgerSnapshot) {
    for node in &snapshot.draining_nodes {
        lifecycle.nodes.restore(node);
        lifecycle.nodes.set_drained(node, true);
        lifecycle
            .cx
            .log(Event::NodeStillDrained { node: node.clone() });
    }
    let window = lifecycle.cx.settings().site.cold_window_us.unwrap_or(0);
    for (node, times) in &snapshot.warm_up_offers {
        let clock = lifecycle.cx.clock();
        let age =
            |at: &u64| decide::former_offer_age(now.saturating_sub(clock.at_unix_us(*at)), window);
        let ages = times.iter().map(age).collect();
        lifecycle.nodes.restore_slow_start_offers(node, ages);
    }
}

fn restore_jobs(lifecycle: &mut JobLifecycle<'_>, now: Micros, snapshot: &LedgerSnapshot) {
    let mut requirements: BTreeMap<(u32, u64), RestoredRequirements> = BTreeMap::new();
    let mut found_ended = false;
    for (number, row) in &snapshot.jobs {
        let call = (row.session, row.call);
        let requirements = requirements.entry(call).or_insert_with(|| {
            let row = snapshot
                .templates
                .get(&call.0)
                .and_then(|calls| calls.get(&call.1));
            JobRequirements::restore(row, lifecycle.cx.settings())
        });
        let number = JobNumber(*number);
        let Some(effect) = jobs::add_job(lifecycle, now, number, row, requirements) else {
            continue;
        };
        let unusable = requirements.as_ref().err();
        let is_certain = !snapshot.incomplete || effect == Effect::Safe;
        jobs::restore_job(lifecycle, now, number, row, unusable, is_certain);
        let has_ended = matches!(row.phase, state::Phase::Ended(_));
        if has_ended && !found_ended {
            found_ended = true;
            lifecycle
                .cx
                .set_timer(now + FIRST_FORGET_DELAY_US, Timer::ForgetFinished);
        }
    }
}
