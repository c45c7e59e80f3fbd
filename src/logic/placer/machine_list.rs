//! The machine list: which machines there are, and their order, which is the same at all schedulers.

use super::{Placer, REJECTING_US};
use crate::api::{Action, AttemptId, Health, Listing, Machine, MachineId, Micros, Settings};
use crate::logic::machine_state::MachineState;
use crate::logic::requests::ActiveAttempt;
use crate::names::mix64;

impl Placer {
    /// Applies changes of the list or a snapshot of it, or handles a failure of the watch.
    pub(super) fn apply_listing(
        &mut self,
        now: Micros,
        listing: &Listing,
        actions: &mut Vec<Action>,
    ) {
        let machines = match listing {
            Listing::Failed => return self.list_watch_failed(now, actions),
            Listing::Changes(machines) => machines,
            Listing::Snapshot(machines) | Listing::Cached(machines) => {
                for state in self.machines.values_mut() {
                    state.machine.health = Health::Gone;
                }
                machines
            }
        };
        for machine in machines {
            self.update_machine(now, machine);
        }
        self.forget_removed_machines(now);
        self.rank_machines();
        if !matches!(listing, Listing::Cached(_)) {
            self.list_watch.record_answer(now, &self.settings.rules);
        }
    }

    /// Replaces the settings and computes the sizes of all machines from them; what was learned
    /// about the machines is kept.
    pub(super) fn apply_settings(&mut self, settings: &Settings) {
        self.machines = std::mem::take(&mut self.machines)
            .into_iter()
            .map(|(id, state)| (id, state.resized(settings)))
            .collect();
        self.settings = settings.clone();
        self.rank_machines();
    }

    fn update_machine(&mut self, now: Micros, machine: &Machine) {
        if !self.machines.contains_key(&machine.id) {
            self.machines
                .insert(machine.id, MachineState::new(machine, &self.settings));
            self.count_adopted_attempts(machine.id);
        }
        if let Some(state) = self.machines.get_mut(&machine.id) {
            state.update(now, machine);
        }
    }

    /// Counts the attempts that were adopted on a machine before the list named it.
    fn count_adopted_attempts(&mut self, machine: MachineId) {
        let adopted: Vec<(AttemptId, ActiveAttempt)> = self
            .active_attempts
            .iter()
            .filter(|(_, attempt)| attempt.machine == machine)
            .map(|(id, attempt)| (*id, *attempt))
            .collect();
        for (id, attempt) in adopted {
            self.add_active_attempt(id, attempt);
        }
    }

    /// Drops machines that have been gone for [`REJECTING_US`] and run no own task: what was
    /// learned about them no longer matters then.
    fn forget_removed_machines(&mut self, now: Micros) {
        self.machines.retain(|_, state| {
            state.track_removal(now);
            !state.own_tasks.is_empty()
                || state
                    .removed_since
                    .is_none_or(|since| now < since + REJECTING_US)
        });
    }

    /// Orders the machines by capacity, the largest first, and equal ones by a hash of their id: the
    /// same order at all schedulers.
    fn rank_machines(&mut self) {
        let keys: Vec<(f64, u64)> = self
            .machines
            .values()
            .map(|state| (state.capacity_in_tasks, mix64(state.machine.id.0)))
            .collect();
        self.ranking = (0..keys.len()).collect();
        self.ranking.sort_by(|x, y| {
            let ((x_capacity, x_hash), (y_capacity, y_hash)) = (keys[*x], keys[*y]);
            y_capacity.total_cmp(&x_capacity).then(x_hash.cmp(&y_hash))
        });
    }

    fn list_watch_failed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.list_on_request {
            return;
        }
        let rules = &self.settings.rules;
        self.list_watch
            .record_failure(now, rules, &mut self.random, actions);
        let line = "the machine list does not answer; asking again".to_owned();
        self.operator_log.write(now, line, actions);
    }
}
