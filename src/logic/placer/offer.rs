//! What may be offered, by rules 2 to 5, and the offer itself. Every send passes `may_offer` here.

use super::pool::WINDOW_US;
use super::*;

/// Microseconds that a task waits for the reports of its pool: a line of asks takes about as long.
const ASK_US: Micros = 2 * TICK_US;

impl Placer {
    /// Rules 2 to 5 for one offer; `full` holds the cells or zones that have their most. All sends pass here.
    fn may_offer(
        &self,
        now: Micros,
        entry: &Entry,
        class: &Class,
        view: &MachineView,
        full: &[u64],
    ) -> bool {
        let grouped = |first: &Attempt| {
            let of = |line: &Machine| [0, line.zone, line.cell][class.group as usize];
            self.machines
                .get(&first.machine)
                .is_some_and(|other| of(&other.line) == of(&view.line))
        };
        let may_repeat = entry
            .first_may_have_run()
            .is_none_or(|first| match class.effect {
                Effect::Safe => true,
                Effect::Keyed => grouped(first) && Self::in_window(now, first, class),
                Effect::Unsafe => false,
            });
        view.line.health == Health::Ready
            && entry
                .allowed
                .as_ref()
                .is_none_or(|allowed| allowed.binary_search(&view.line.id).is_ok())
            && class.kind.is_none_or(|kind| kind == view.line.kind)
            && !entry.is_in_flight()
            && !self.is_spent(entry)
            && may_repeat
            && class
                .spread
                .is_none_or(|(place, _)| full.binary_search(&view.line.place(place)).is_err())
            && view.budget
    }

    fn in_window(now: Micros, first: &Attempt, class: &Class) -> bool {
        class.window_us.is_some_and(|long| now < first.sent + long)
    }

    /// Whether an offer that waited for its connection may leave, by rules 2 to 4; it spends budget now.
    pub fn may_leave(&mut self, now: Micros, attempt: AttemptId) -> bool {
        let Some(entry) = self.entries.get(&attempt.request) else {
            return false;
        };
        let class = self.settings.classes.get(usize::from(entry.task.class));
        let first = entry
            .first_may_have_run()
            .filter(|first| first.state == AttemptState::MayHaveRun);
        let keyed = class
            .filter(|class| class.effect == Effect::Keyed)
            .zip(first);
        let Some(this) = entry.attempts.get(usize::from(attempt.number)) else {
            return false;
        };
        let Some(state) = self.machines.get_mut(&this.machine) else {
            return false;
        };
        let cold = state.cold_offers.iter().rposition(|at| *at == this.sent);
        cold.map(|at| state.cold_offers.remove(at));
        let may = state.may_send(now, &self.settings, self.scheduler)
            && state.line.health == Health::Ready;
        state.cold_offers.extend(cold.filter(|_| may).map(|_| now));
        may && keyed.is_none_or(|(class, first)| Self::in_window(now, first, class))
    }

    /// The places that hold the most that a class allows of one service: one pass over the fleet.
    fn full_places(&self, class: &Class, service: ServiceId) -> Vec<u64> {
        let Some((place, most)) = class.spread else {
            return Vec::new();
        };
        let mut held: BTreeMap<u64, u32> = BTreeMap::new();
        for state in self.machines.values() {
            *held.entry(state.line.place(place)).or_default() +=
                state.services.get(&service).unwrap_or(&0);
        }
        held.into_iter()
            .filter(|(_, held)| *held >= most)
            .map(|(place, _)| place)
            .collect()
    }

    fn is_spent(&self, entry: &Entry) -> bool {
        self.settings
            .rules
            .max_attempts
            .is_some_and(|most| entry.attempts.len() >= most as usize)
    }

    pub(super) fn place(
        &mut self,
        now: Micros,
        request: RequestId,
        a: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self
            .entries
            .get(&request)
            .filter(|entry| !entry.is_in_flight())
        else {
            return;
        };
        let class = self
            .settings
            .classes
            .get(usize::from(entry.task.class))
            .cloned()
            .unwrap_or_default();
        let (service, ask, owner) = (
            entry.task.service,
            Load::of(&entry.task),
            entry.tenant_class(),
        );
        let left = entry.deadline.saturating_sub(now);
        let full = self.full_places(&class, service);
        let open = |view: &&MachineView| {
            !view.barred
                && view.has_room(ask, self.ratio)
                && self.may_offer(now, entry, &class, view, &full)
                && !(view.shut
                    && self.machines[&view.line.id]
                        .shut
                        .get(&owner)
                        .is_some_and(|at| *at > now))
                && entry.erred().all(|(machine, _)| machine != view.line.id)
        };
        let candidates: Vec<&MachineView> = self.views.iter().filter(open).collect();
        let lost = entry.first_may_have_run().is_some() && class.effect != Effect::Safe;
        if !candidates.is_empty() && left > 0 {
            let weights = self.weights(candidates, service, a);
            if left <= 2 * TICK_US || !self.ask_pool(now, &weights, actions) {
                let machine = self.draw(&weights);
                return self.offer(now, request, machine, actions);
            }
        } else if self.is_spent(entry) || lost || left <= 2 * TICK_US {
            return self.give_up(request, &class, actions);
        }
        self.held.push(request);
    }

    /// Where only probes report, machines of the pool with old reports are probed; the task waits a little.
    fn ask_pool(
        &mut self,
        now: Micros,
        weights: &[(MachineId, f64)],
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.settings.report_style != ReportStyle::Probes || !self.settings.rules.may_probe {
            return false;
        }
        let mut wait = false;
        for (id, _) in weights {
            let state = self.machines.entry(*id).or_default();
            if state.probed_at.is_none_or(|at| at + WINDOW_US < now) {
                (state.probed_at, state.asked_for) = (Some(now), true);
                actions.push(Action::Probe(*id));
            }
            wait |= state.asked_for && state.probed_at.is_some_and(|at| now < at + ASK_US);
        }
        if wait {
            self.probing = now + ASK_US;
        }
        wait
    }

    fn offer(
        &mut self,
        now: Micros,
        request: RequestId,
        machine: MachineId,
        actions: &mut Vec<Action>,
    ) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        // A copy of a start that only waits makes a jam worse; a stop shows which machines are silent.
        let within_us = Some(entry.deadline - now);
        let attempt = AttemptId {
            request,
            number: entry.attempts.len() as u16,
        };
        entry.attempts.push(Attempt {
            machine,
            sent: now,
            state: AttemptState::InFlight,
            erred: false,
        });
        let (service, load) = (entry.task.service, Load::of(&entry.task));
        self.add_live(
            attempt,
            LiveAttempt {
                machine,
                service,
                load,
            },
        );
        if let Some(state) = self.machines.get_mut(&machine) {
            state.change(now, load);
            state.waiting.insert(attempt, now);
            state.starting.insert(attempt);
            if state.is_cold(now, &self.settings.rules) {
                state.cold_offers.push(now);
            }
            let view = state.view(now, &self.settings, self.scheduler, self.ratio);
            if let Ok(at) = self
                .views
                .binary_search_by_key(&machine, |view| view.line.id)
            {
                self.views[at] = MachineView {
                    rank: self.views[at].rank,
                    ..view
                };
            }
        }
        actions.push(Action::Offer {
            request,
            machine,
            within_us,
        });
    }

    /// The final answer where no attempt is out.
    fn give_up(&mut self, request: RequestId, class: &Class, actions: &mut Vec<Action>) {
        if let Some(entry) = self.entries.remove(&request) {
            let refusal = Action::Refuse {
                request,
                stay_away_us: None,
            };
            actions.push(if may_decline(&entry, class) {
                refusal
            } else {
                Action::Fail(request)
            });
        }
    }
}
