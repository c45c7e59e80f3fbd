//! The machine list and the watch on it: when to ask again. It passes no judgement on a machine.

use super::*;

impl Placer {
    /// Asks for changes of the list; a watch that stays silent is asked for again in time.
    pub(super) fn watch(&mut self, now: Micros, actions: &mut Vec<Action>) {
        actions.push(Action::Watch(true));
        let most = self.settings.rules.must_ask_us;
        self.watch_due = Some(most.map_or(Micros::MAX, |most| now + most));
        actions.extend(most.map(|after_us| Action::Timer { token: WATCH, after_us }));
    }

    pub(super) fn listed(&mut self, now: Micros, listing: &Listing, actions: &mut Vec<Action>) {
        let lines = match listing {
            Listing::Failed if self.settings.list_on_request => return self.watch_failed(now, actions),
            Listing::Failed => return,
            Listing::Changes(lines) => lines,
            Listing::Whole(lines) | Listing::Cached(lines) => {
                self.seats.values_mut().for_each(|seat| seat.line.health = Health::Gone);
                lines
            }
        };
        for line in lines {
            if !self.seats.contains_key(&line.id) {
                self.seats.insert(line.id, Seat::new(line, &self.settings));
                // Tasks may have been adopted on it before the list named it.
                let there = self.standing.iter().filter(|(_, standing)| standing.machine == line.id);
                let there: Vec<_> = there.map(|(attempt, standing)| (*attempt, *standing)).collect();
                there.into_iter().for_each(|(attempt, standing)| self.stand(attempt, standing));
            }
            self.seats.entry(line.id).and_modify(|seat| seat.tell(now, line));
        }
        // A machine that is gone for good is forgotten, once nothing it did matters any more.
        self.seats.retain(|_, seat| {
            let gone = seat.line.health == Health::Gone;
            seat.gone_at = gone.then(|| seat.gone_at.unwrap_or(now));
            !seat.services.is_empty() || seat.gone_at.is_none_or(|at| now < at + SHUT_US)
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
        let seats: Vec<_> = self.seats.values().map(|seat| (seat.tasks, mix(seat.line.id.0))).collect();
        self.order = (0..seats.len()).collect();
        self.order.sort_by(|x, y| seats[*y].0.total_cmp(&seats[*x].0).then(seats[*x].1.cmp(&seats[*y].1)));
    }

    /// Waits longer after each failure, with jitter so that schedulers don't ask together.
    fn watch_failed(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let base = self.settings.rules.connect_timeout_us.unwrap_or(BAR_US);
        let most = self.settings.rules.must_ask_us.map_or(Micros::MAX, |most| most / 4);
        let wait = (base << self.watch_failures.min(BAR_DOUBLINGS)).min(most);
        let wait = (wait as f64 * (0.5 + self.uniform())) as Micros;
        self.watch_failures += 1;
        self.watch_due = Some(now + wait);
        actions.push(Action::Timer { token: WATCH, after_us: wait });
        self.log(now, "the machine list does not answer; asking again".to_owned(), actions);
    }
}
