//! The start of a placer with a state folder: it takes up what its former incarnation persisted.
//!
//! Jobs come back under their numbers. What was placed is announced to the decision module at once, as adopted. What
//! was being placed waits for the nodes that were asked, and is then decided on by
//! [`decide::recovery_action`](crate::decide::recovery_action).

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

/// Microseconds after the start at which finished jobs are looked through for the first time.
const FIRST_FORGET_US: Micros = 1_000_000;

/// What a core is given of its state folder.
#[derive(Clone, Debug, Default)]
pub struct Restored {
    /// The rows that were persisted.
    pub ledger: LedgerSnapshot,
    /// The beliefs of the decision module, aged to this moment: those of nodes, and the rest.
    pub beliefs: AgedBeliefs,
    /// Why the folder can't be written, if that is so from the start.
    pub unavailable: Option<String>,
}

/// What the jobs of a call require, or what is left of it.
type RestoredRequirements = Result<Arc<JobRequirements>, UnusableRequirements>;

/// Starts to persist, and takes up what was persisted before.
pub(crate) fn restore(lifecycle: &mut JobLifecycle<'_>, restored: Restored) {
    let now = lifecycle.cx.clock().started_at();
    lifecycle.queue.start(restored.unavailable, lifecycle.cx);
    restore_image(lifecycle, now, &restored.ledger);
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
        let Some(effect) = jobs::add_job(lifecycle, now, number, row, requirements) else {
            continue;
        };
        let unusable = requirements.as_ref().err();
        let is_certain = !image.incomplete || effect == Effect::Safe;
        jobs::restore_job(lifecycle, now, number, row, unusable, is_certain);
        let has_ended = matches!(row.phase, state::Phase::Ended(_));
        if has_ended && !any_ended {
            any_ended = true;
            lifecycle
                .cx
                .set_timer(now + FIRST_FORGET_US, Timer::ForgetFinished);
        }
    }
}
