//! The machine list and the watch on it: when to ask again. It passes no judgement on a machine.

use super::*;

impl Placer {
    /// Asks for changes of the list; a watch that stays silent is asked for again in time.
    pub(super) fn watch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Watch(true));
        let most = self.settings.rules.must_ask_us;
        self.watch_due = Some(most.map_or(Micros::MAX, |most| now + most));
        actions.extend(most.map(|after_us| Action::Timer {
            token: WATCH,
            after_us,
        }));
    }

    pub(super) fn listed(&mut self, now: Micros, listing: &Listing, actions: &mut Vec<Action>) {
        let lines = match listing {
            Listing::Failed if self.settings.list_on_request => {
                return self.watch_failed(now, actions);
            }
            Listing::Failed => return,
            Listing::Changes(lines) => lines,
            Listing::Whole(lines) | Listing::Cached(lines) => {
                self.machines
                    .values_mut()
                    .for_each(|state| state.line.health = Health::Gone);
                lines
            }
        };
        for line in lines {
            if !self.machines.contains_key(&line.id) {
                self.machines
                    .insert(line.id, MachineState::new(line, &self.settings));
                // Tasks may have been adopted on it before the list named it.
                let there = self.live.iter().filter(|(_, live)| live.machine == line.id);
                let there: Vec<_> = there.map(|(attempt, live)| (*attempt, *live)).collect();
                there
                    .into_iter()
                    .for_each(|(attempt, live)| self.add_live(attempt, live));
            }
            self.machines
                .entry(line.id)
                .and_modify(|state| state.update(now, line));
        }
        // A machine that is gone for good is forgotten, once nothing it did matters any more.
        self.machines.retain(|_, state| {
            let gone = state.line.health == Health::Gone;
            state.gone_at = gone.then(|| state.gone_at.unwrap_or(now));
            !state.services.is_empty() || state.gone_at.is_none_or(|at| now < at + SHUT_US)
        });
        self.rank();
        if !matches!(listing, Listing::Cached(_)) {
            self.watch_failures = 0;
            let most = self.settings.rules.must_ask_us;
            self.watch_due = self.watch_due.max(most.map(|most| now + most));
        }
    }

    /// The order of machines that all schedulers share, from the largest down.
    pub(super) fn rank(&mut self) {
        let keys: Vec<_> = self
            .machines
            .values()
            .map(|state| (state.tasks, mix(state.line.id.0)))
            .collect();
        self.order = (0..keys.len()).collect();
        self.order.sort_by(|x, y| {
            keys[*y]
                .0
                .total_cmp(&keys[*x].0)
                .then(keys[*x].1.cmp(&keys[*y].1))
        });
    }

    /// Waits longer after each failure, with jitter so that schedulers don't ask together.
    fn watch_failed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let base = self.settings.rules.connect_timeout_us.unwrap_or(BAR_US);
        let most = self
            .settings
            .rules
            .must_ask_us
            .map_or(Micros::MAX, |most| most / 4);
        let wait = (base << self.watch_failures.min(BAR_DOUBLINGS)).min(most);
        let wait = (wait as f64 * (0.5 + self.uniform())) as Micros;
        self.watch_failures += 1;
        self.watch_due = Some(now + wait);
        actions.push(Action::Timer {
            token: WATCH,
            after_us: wait,
        });
        self.log(
            now,
            "the machine list does not answer; asking again".to_owned(),
            actions,
        );
    }
}
