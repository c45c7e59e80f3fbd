//! What may be offered, by rules 2 to 5, and the offer itself. Every send passes `may_offer` here.

use super::pool::WINDOW_US;
use super::*;

/// Microseconds that a task waits for the reports of its pool: a line of asks takes about as long.
const ASK_US: Micros = 2 * TICK_US;

impl Placer {
    /// Rules 2 to 5 for one offer; `full` holds the cells or zones that have their most. All sends pass here.
    fn may_offer(&self, now: Micros, entry: &Entry, class: &Class, seat: &Glance, full: &[u64]) -> bool {
        let grouped = |first: &Attempt| {
            let of = |line: &Machine| [0, line.zone, line.cell][class.group as usize];
            self.seats.get(&first.machine).is_some_and(|other| of(&other.line) == of(&seat.line))
        };
        let may_repeat = entry.first_perhaps().is_none_or(|first| match class.effect {
            Effect::Safe => true,
            Effect::Keyed => grouped(first) && Self::in_window(now, first, class),
            Effect::Unsafe => false,
        });
        seat.line.health == Health::Ready
            && entry.open.as_ref().is_none_or(|open| open.binary_search(&seat.line.id).is_ok())
            && class.kind.is_none_or(|kind| kind == seat.line.kind)
            && !entry.is_out()
            && !self.is_spent(entry)
            && may_repeat
            && class.spread.is_none_or(|(place, _)| full.binary_search(&seat.line.place(place)).is_err())
            && seat.budget
    }

    fn in_window(now: Micros, first: &Attempt, class: &Class) -> bool {
        class.window_us.is_some_and(|long| now < first.sent + long)
    }

    /// Whether an offer that waited for its connection may leave, by rules 2 to 4; it spends budget now.
    pub fn may_leave(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let Some(entry) = self.entries.get(&attempt.request) else { return false };
        let class = self.settings.classes.get(usize::from(entry.task.class));
        let first = entry.first_perhaps().filter(|first| first.run == Run::Perhaps);
        let keyed = class.filter(|class| class.effect == Effect::Keyed).zip(first);
        let Some(this) = entry.attempts.get(usize::from(attempt.number)) else { return false };
        let Some(seat) = self.seats.get_mut(&this.machine) else { return false };
        let cold = seat.cold_offers.iter().rposition(|at| *at == this.sent);
        cold.map(|at| seat.cold_offers.remove(at));
        let may = seat.may_send(now, &self.settings, self.own) && seat.line.health == Health::Ready;
        seat.cold_offers.extend(cold.filter(|_| may).map(|_| now));
        may && keyed.is_none_or(|(class, first)| Self::in_window(now, first, class))
    }

    /// The places that hold the most that a class allows of one service: one pass over the fleet.
    fn full_places(&self, class: &Class, service: ServiceId) -> Vec<u64> {
        let Some((place, most)) = class.spread else { return Vec::new() };
        let mut held: BTreeMap<u64, u32> = BTreeMap::new();
        for seat in self.seats.values() {
            *held.entry(seat.line.place(place)).or_default() += seat.services.get(&service).unwrap_or(&0);
        }
        held.into_iter().filter(|(_, held)| *held >= most).map(|(place, _)| place).collect()
    }

    fn is_spent(&self, entry: &Entry) -> bool {
        self.settings.rules.max_attempts.is_some_and(|most| entry.attempts.len() >= most as usize)
    }

    pub(super) fn place(&mut self, now: Micros, request: RequestId, a: f64, actions: &mut Vec<Action>) {
        let Some(entry) = self.entries.get(&request).filter(|entry| !entry.is_out()) else { return };
        let class = self.settings.classes.get(usize::from(entry.task.class)).cloned().unwrap_or_default();
        let (service, ask, whose) = (entry.task.service, Load::of(&entry.task), entry.whose());
        let left = entry.deadline.saturating_sub(now);
        let full = self.full_places(&class, service);
        let open = |seat: &&Glance| {
            !seat.barred
                && seat.has_room(ask, self.ratio)
                && self.may_offer(now, entry, &class, seat, &full)
                && !(seat.shut && self.seats[&seat.line.id].shut.get(&whose).is_some_and(|at| *at > now))
                && entry.erred().all(|(machine, _)| machine != seat.line.id)
        };
        let seats: Vec<&Glance> = self.glances.iter().filter(open).collect();
        let lost = entry.first_perhaps().is_some() && class.effect != Effect::Safe;
        if !seats.is_empty() && left > 0 {
            let odds = self.odds(seats, service, a);
            if left <= 2 * TICK_US || !self.ask_pool(now, &odds, actions) {
                let machine = self.draw(&odds);
                return self.offer(now, request, machine, actions);
            }
        } else if self.is_spent(entry) || lost || left <= 2 * TICK_US {
            return self.give_up(request, &class, actions);
        }
        self.held.push(request);
    }

    /// Where only probes report, machines of the pool with old news are probed; the task waits a little.
    fn ask_pool(&mut self, now: Micros, odds: &[(MachineId, f64)], actions: &mut Vec<Action>) -> bool {
        if self.settings.report_style != ReportStyle::Probes || !self.settings.rules.may_probe {
            return false;
        }
        let mut wait = false;
        for (id, _) in odds {
            let seat = self.seats.entry(*id).or_default();
            if seat.probed_at.is_none_or(|at| at + WINDOW_US < now) {
                (seat.probed_at, seat.asked_for) = (Some(now), true);
                actions.push(Action::Probe(*id));
            }
            wait |= seat.asked_for && seat.probed_at.is_some_and(|at| now < at + ASK_US);
        }
        if wait {
            self.probing = now + ASK_US;
        }
        wait
    }

    fn offer(&mut self, now: Micros, request: RequestId, machine: MachineId, actions: &mut Vec<Action>) {
        let Some(entry) = self.entries.get_mut(&request) else { return };
        // A copy of a start that only waits makes a jam worse; silent machines are told by stopping.
        let within_us = Some(entry.deadline - now);
        let attempt = AttemptId { request, number: entry.attempts.len() as u16 };
        entry.attempts.push(Attempt { machine, sent: now, run: Run::Out, erred: false });
        let (service, load) = (entry.task.service, Load::of(&entry.task));
        self.stand(attempt, Standing { machine, service, load });
        if let Some(seat) = self.seats.get_mut(&machine) {
            seat.change(now, load);
            seat.waiting.insert(attempt, now);
            seat.starting.insert(attempt);
            if seat.is_cold(now, &self.settings.rules) {
                seat.cold_offers.push(now);
            }
            let glance = seat.glance(now, &self.settings, self.own, self.ratio);
            if let Ok(at) = self.glances.binary_search_by_key(&machine, |glance| glance.line.id) {
                self.glances[at] = Glance { rank: self.glances[at].rank, ..glance };
            }
        }
        actions.push(Action::Offer { request, machine, within_us });
    }

    /// The final answer where no attempt is out.
    fn give_up(&mut self, request: RequestId, class: &Class, actions: &mut Vec<Action>) {
        if let Some(entry) = self.entries.remove(&request) {
            let refusal = Action::Refuse { request, stay_away_us: None };
            actions.push(if may_decline(&entry, class) { refusal } else { Action::Fail(request) });
        }
    }
}
