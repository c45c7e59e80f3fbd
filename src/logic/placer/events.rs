//! Applies events to the state. Nothing is placed here: requests become due, and are placed at the
//! end of the step.

use super::arrivals::{Arrival, size_in_mean_tasks};
use super::list_watch::LIST_WATCH_TIMER;
use super::{POLL_TIMER, Placer};
use crate::api::{Action, AttemptId, Event, MachineId, Micros, RequestId, Task};
use crate::load::Load;
use crate::logic::requests::{ActiveAttempt, PendingRequest};

impl Placer {
    /// Applies one event.
    pub(super) fn apply_event(&mut self, now: Micros, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Listed(listing) => self.apply_listing(now, listing, actions),
            Event::SettingsChanged(settings) => self.apply_settings(settings),
            Event::BeliefsRestored(beliefs) => self.restore_beliefs(now, beliefs),
            Event::Arrived { task, grace_us } => self.add_request(now, task, *grace_us),
            Event::EligibilityChanged { request, machines } => {
                self.restrict_request(*request, machines);
            }
            Event::Adopted { task, machine } => self.adopt_attempt(task, *machine),
            Event::Untracked { attempt } => self.untrack_attempt(*attempt),
            Event::Placed {
                attempt,
                machine,
                took_us,
            } => self.attempt_placed(now, *attempt, *machine, *took_us),
            Event::TaskSignal { attempt, note, .. } => {
                self.apply_task_signal(now, *attempt, *note);
            }
            Event::Ended(end) => {
                self.apply_load_report(now, end.machine, &end.report);
                self.attempt_ended(now, end);
            }
            Event::Withdrawn(request) => self.withdraw_request(*request, actions),
            Event::NoFurtherAttempts(request) => self.expire_request(now, *request),
            Event::TimerDue(POLL_TIMER) => self.poll(now, actions),
            Event::TimerDue(LIST_WATCH_TIMER) => {
                self.list_watch
                    .handle_timer(now, &self.settings.rules, actions);
            }
            Event::TimerDue(_) | Event::Peer { .. } => {}
            Event::Probed {
                machine,
                answered,
                took_us,
                report,
            } => {
                self.apply_load_report(now, *machine, report);
                self.health_check_ended(now, *machine, answered.then_some(*took_us));
            }
        }
    }

    /// Adds a request to place a task, whose client waits for `grace_us` microseconds from now.
    fn add_request(&mut self, now: Micros, task: &Task, grace_us: Micros) {
        let size = size_in_mean_tasks(Load::requested_by(task), &self.settings);
        self.arrivals.record(Arrival { at: now, size });
        self.due.push(task.request);
        let deadline = now.saturating_add(grace_us);
        self.requests
            .insert(task.request, PendingRequest::new(task.clone(), deadline));
    }

    /// Restricts the request to these machines from now on.
    fn restrict_request(&mut self, id: RequestId, machines: &[MachineId]) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        // A queued request that gets eligible machines is placed in this step instead of at the
        // next poll.
        let place_now = !machines.is_empty() && !self.due.contains(&id) && !request.is_in_flight();
        request.eligible = Some(machines.to_vec());
        if place_now {
            self.queued.retain(|other| *other != id);
            self.due.push(id);
        }
    }

    /// Adds a task that already runs on a machine as attempt 0 of its request.
    fn adopt_attempt(&mut self, task: &Task, machine: MachineId) {
        let id = AttemptId {
            request: task.request,
            number: 0,
        };
        let attempt = ActiveAttempt {
            machine,
            service: task.service,
            load: Load::requested_by(task),
        };
        self.add_active_attempt(id, attempt);
    }

    /// Stops counting an adopted attempt.
    fn untrack_attempt(&mut self, id: AttemptId) {
        let Some(attempt) = self.active_attempts.remove(&id) else {
            return;
        };
        if let Some(state) = self.machines.get_mut(&attempt.machine) {
            state.untrack_attempt(id, &attempt);
        }
    }

    /// Drops a request that its client has withdrawn, and stops its attempts, which would take
    /// capacity from other tasks.
    fn withdraw_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests.remove(&id);
        if self.settings.rules.may_stop {
            let attempts = request.iter().flat_map(PendingRequest::unstopped_attempts);
            actions.extend(attempts.map(Action::Stop));
        }
    }

    /// Moves the deadline of the request to now, so that no further attempt begins.
    fn expire_request(&mut self, now: Micros, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.deadline = now;
        }
        self.due.push(id);
    }

    /// Makes all queued requests due again, and handles machines that give no answer.
    fn poll(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.poll_due = None;
        self.due.append(&mut self.queued);
        self.stop_silent_attempts(now, actions);
    }
}
