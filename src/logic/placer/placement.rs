//! Decides about a request that is due: it is offered to a machine, queued, or given up.

use super::{NEAR_DEADLINE_US, Placer};
use crate::api::{Action, Class, Effect, Micros, RequestId, Task};
use crate::load::Load;
use crate::logic::machine_view::MachineView;
use crate::logic::requests::PendingRequest;

impl Placer {
    /// Offers, queues or gives up a request, unless it is answered or has an attempt in flight.
    /// `arriving` is the estimated load that arrives at all schedulers, in tasks of mean size.
    pub(super) fn place(
        &mut self,
        now: Micros,
        id: RequestId,
        arriving: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self
            .requests
            .get(&id)
            .filter(|request| !request.is_in_flight())
        else {
            return;
        };
        let class = self.class_of(&request.task);
        let time_left = request.deadline.saturating_sub(now);
        let candidates = self.candidates(now, request, &class);
        if !candidates.is_empty() && time_left > 0 {
            let pool = self.weighted_pool(candidates, request.task.service, arriving);
            if time_left <= NEAR_DEADLINE_US || !self.request_fresh_reports(now, &pool, actions) {
                let machine = self.draw(&pool);
                return self.send_offer(now, id, machine, actions);
            }
        } else if self.should_give_up(request, &class, time_left) {
            return self.give_up(id, &class, actions);
        }
        self.queued.push(id);
    }

    /// The class of a task; a class that the settings lack counts as unsafe, with no spread and no
    /// machine kind.
    fn class_of(&self, task: &Task) -> Class {
        self.settings
            .classes
            .get(usize::from(task.class))
            .cloned()
            .unwrap_or_default()
    }

    /// The machines to draw from: those that may legally get the request and have capacity for it,
    /// that are not backing off, that do not reject its tenant and class, and that reported no error
    /// for it.
    fn candidates(
        &self,
        now: Micros,
        request: &PendingRequest,
        class: &Class,
    ) -> Vec<&MachineView> {
        let requested = Load::requested_by(&request.task);
        let full = self.full_places(class, request.task.service);
        let is_candidate = |view: &&MachineView| {
            !view.is_backing_off
                && view.fits(requested, self.use_ratio)
                && self.may_offer(now, request, class, view, &full)
                && !self.is_rejected_by(now, request, view)
                && request
                    .machines_with_errors()
                    .all(|machine| machine != view.machine.id)
        };
        self.views.iter().filter(is_candidate).collect()
    }

    /// Whether the machine rejects the tenant and class of the request at present.
    fn is_rejected_by(&self, now: Micros, request: &PendingRequest, view: &MachineView) -> bool {
        view.is_rejecting
            && self.machines[&view.machine.id].is_rejecting(now, request.tenant_class())
    }

    /// Whether a request that has no candidate now is given up instead of queued: it has spent its
    /// attempts, it may have run and is not safe to repeat, or its deadline is near.
    fn should_give_up(&self, request: &PendingRequest, class: &Class, time_left: Micros) -> bool {
        let may_have_run = request.first_may_have_run().is_some();
        self.has_spent_attempts(request)
            || may_have_run && class.effect != Effect::Safe
            || time_left <= NEAR_DEADLINE_US
    }
}
