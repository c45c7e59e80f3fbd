//! Which offers are legal, and when that is checked: rule 2 (a task that is not idempotent starts
//! only once), rule 3 (a draining machine gets no offers), rule 4 (the slow start budget) and rule 5
//! (services stay spread).
//!
//! - Each [`Action::Offer`](crate::api::Action::Offer) passes [`Placer::may_offer`], in the step
//!   that returns it.
//! - An attempt that had to wait for its connection also passes [`Placer::claim_late_send`], which
//!   the platform (`crates/platform`) calls once the connection is established. That checks only
//!   the health of the machine, the slow start budget and the deduplication window again: neither
//!   the spread nor the constraint.
//! - If a connection ended before any byte of an attempt was written, the platform sends the attempt
//!   again under the same number. On a connection that is already established this send passes
//!   neither check; on one that is still being made it passes `claim_late_send`.

use std::collections::BTreeMap;

use super::Placer;
use crate::api::{AttemptId, Class, Effect, Group, Health, Machine, Micros, ServiceId};
use crate::logic::machine_view::MachineView;
use crate::logic::requests::{Attempt, AttemptState, PendingRequest};

impl Placer {
    /// Whether the request may be offered to a machine now. `full` are the places, as returned by
    /// [`Self::full_places`], that may get no further task of its service.
    pub(super) fn may_offer(
        &self,
        now: Micros,
        request: &PendingRequest,
        class: &Class,
        view: &MachineView,
        full: &[u64],
    ) -> bool {
        view.machine.health == Health::Ready
            && is_eligible(request, &view.machine)
            && class.kind.is_none_or(|kind| kind == view.machine.kind)
            && !request.is_in_flight()
            && !self.has_spent_attempts(request)
            && self.may_repeat(now, request, class, &view.machine)
            && class
                .spread
                .is_none_or(|(place, _)| full.binary_search(&view.machine.place(place)).is_err())
            && view.has_slow_start_budget
    }

    /// Claims the send of an attempt that waited for its connection. Returns whether it may be sent
    /// now, by rules 2 to 4; false for an unknown attempt. What the attempt had spent of the slow
    /// start budget is given back, and spent anew if the machine may get it, so that it counts from
    /// now on. A second claim of the same attempt finds nothing to give back and spends nothing.
    pub fn claim_late_send(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let Some(request) = self.requests.get(&attempt.request) else {
            return false;
        };
        let class = self.settings.classes.get(usize::from(request.task.class));
        let earlier = request
            .first_may_have_run()
            .filter(|first| first.state == AttemptState::MayHaveRun);
        let keyed_repeat = class
            .filter(|class| class.effect == Effect::Keyed)
            .zip(earlier);
        let Some(claimed) = request.attempts.get(usize::from(attempt.number)) else {
            return false;
        };
        let Some(state) = self.machines.get_mut(&claimed.machine) else {
            return false;
        };
        let budgeted = state
            .slow_start_offers
            .iter()
            .rposition(|at| *at == claimed.sent_at);
        if let Some(position) = budgeted {
            state.slow_start_offers.remove(position);
        }
        let machine_may_take_it = state.has_slow_start_budget(now, &self.settings, self.scheduler)
            && state.machine.health == Health::Ready;
        if machine_may_take_it && budgeted.is_some() {
            state.slow_start_offers.push(now);
        }
        machine_may_take_it
            && keyed_repeat.is_none_or(|(class, first)| is_in_dedup_window(now, first, class))
    }

    /// Whether the request has had the maximum number of attempts that the rules allow.
    pub(super) fn has_spent_attempts(&self, request: &PendingRequest) -> bool {
        self.settings
            .rules
            .max_attempts
            .is_some_and(|most| request.attempts.len() >= most as usize)
    }

    /// Whether rule 2 lets the request be sent to a machine: no earlier attempt may have run, or a
    /// second start there does no harm.
    fn may_repeat(
        &self,
        now: Micros,
        request: &PendingRequest,
        class: &Class,
        machine: &Machine,
    ) -> bool {
        request
            .first_may_have_run()
            .is_none_or(|first| match class.effect {
                Effect::Safe => true,
                Effect::Keyed => {
                    self.drops_repeats_of(first, class.group, machine)
                        && is_in_dedup_window(now, first, class)
                }
                Effect::Unsafe => false,
            })
    }

    /// Whether a machine drops a repeat of the keyed task that was first sent in attempt `first`.
    fn drops_repeats_of(&self, first: &Attempt, group: Group, machine: &Machine) -> bool {
        self.machines
            .get(&first.machine)
            .is_some_and(|other| match group {
                Group::All => true,
                Group::Zone => other.machine.zone == machine.zone,
                Group::Cell => other.machine.cell == machine.cell,
            })
    }

    /// The numbers of the machines, cells or zones that hold as many tasks of a service as its class
    /// allows, sorted; empty for a class without a spread. Takes one pass over all machines.
    pub(super) fn full_places(&self, class: &Class, service: ServiceId) -> Vec<u64> {
        let Some((place, most)) = class.spread else {
            return Vec::new();
        };
        let mut tasks_by_place: BTreeMap<u64, u32> = BTreeMap::new();
        for state in self.machines.values() {
            *tasks_by_place
                .entry(state.machine.place(place))
                .or_default() += state.own_tasks.get(&service).unwrap_or(&0);
        }
        tasks_by_place
            .into_iter()
            .filter(|(_, tasks)| *tasks >= most)
            .map(|(place, _)| place)
            .collect()
    }
}

/// Whether the constraint of the request lets a machine take it.
fn is_eligible(request: &PendingRequest, machine: &Machine) -> bool {
    request
        .eligible
        .as_ref()
        .is_none_or(|eligible| eligible.binary_search(&machine.id).is_ok())
}

/// Whether machines still drop repeats of a keyed task whose first attempt that may have run is
/// `first`; false if the class states no window.
fn is_in_dedup_window(now: Micros, first: &Attempt, class: &Class) -> bool {
    class
        .window_us
        .is_some_and(|window| now < first.sent_at + window)
}
