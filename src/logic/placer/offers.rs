//! Sends offers, and gives the final answer to requests of which no offer was accepted.

use super::Placer;
use crate::api::{Action, AttemptId, Class, MachineId, Micros, RequestId};
use crate::load::Load;
use crate::logic::machine_view::MachineView;
use crate::logic::requests::{ActiveAttempt, Attempt, AttemptState, may_refuse};

impl Placer {
    /// Offers a request to a machine that [`Placer::may_offer`] allowed.
    pub(super) fn send_offer(
        &mut self,
        now: Micros,
        id: RequestId,
        machine: MachineId,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // The time-out is all the time that is left: where a start is only waiting at its machine, a
        // second one elsewhere would add to an overload. `silence` stops offers that get no answer.
        let within_us = Some(request.deadline - now);
        let attempt = AttemptId {
            request: id,
            number: request.attempts.len() as u16,
        };
        request.attempts.push(Attempt {
            machine,
            sent_at: now,
            state: AttemptState::InFlight,
            reported_error: false,
        });
        let active = ActiveAttempt {
            machine,
            service: request.task.service,
            load: Load::requested_by(&request.task),
        };
        self.add_active_attempt(attempt, active);
        if let Some(state) = self.machines.get_mut(&machine) {
            state.record_offer(now, attempt, active.load, &self.settings.rules);
        }
        self.refresh_view(now, machine);
        actions.push(Action::Offer {
            request: id,
            machine,
            within_us,
        });
    }

    /// Records an own attempt, and counts it at its machine if that is known.
    pub(super) fn add_active_attempt(&mut self, id: AttemptId, attempt: ActiveAttempt) {
        if let Some(state) = self.machines.get_mut(&attempt.machine) {
            state.add_attempt(&attempt);
        }
        self.active_attempts.insert(id, attempt);
    }

    /// Recomputes the view of one machine, for the draws that follow in this step.
    fn refresh_view(&mut self, now: Micros, machine: MachineId) {
        let Some(state) = self.machines.get(&machine) else {
            return;
        };
        let view = state.view(now, &self.settings, self.scheduler, self.use_ratio);
        if let Ok(position) = self
            .views
            .binary_search_by_key(&machine, |view| view.machine.id)
        {
            let rank = self.views[position].rank;
            self.views[position] = MachineView { rank, ..view };
        }
    }

    /// Gives the final answer, refused or failed, to a request that has no attempt in flight.
    pub(super) fn give_up(&mut self, id: RequestId, class: &Class, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.remove(&id) else {
            return;
        };
        actions.push(if may_refuse(&request, class) {
            Action::Refuse {
                request: id,
                stay_away_us: None,
            }
        } else {
            Action::Fail(id)
        });
    }
}
