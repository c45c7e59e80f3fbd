//! Applies the outcomes of attempts, to the state of the machine and to the request.

use std::collections::btree_map::Entry;

use super::{Placer, REJECTING_US};
use crate::api::{AttemptId, Effect, Ended, MachineId, Micros, Outcome, Reason, Settings};
use crate::load::Load;
use crate::logic::load_changes::DatedLoad;
use crate::logic::machine_state::MachineState;
use crate::logic::requests::{ActiveAttempt, AttemptState, PendingRequest};

impl Placer {
    /// Records that a machine accepted the task, which is the final answer to the request.
    pub(super) fn attempt_placed(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        machine: MachineId,
        took_us: Micros,
    ) {
        self.answer_times.record(took_us);
        let request = self.requests.remove(&attempt.request);
        let tenant_class = request.as_ref().map(PendingRequest::tenant_class);
        if let Some(state) = self.machines.get_mut(&machine) {
            state.record_answer(now, attempt);
            // An acceptance clears a suspicion that the machine rejects this tenant and class.
            state
                .rejecting
                .retain(|other, until| Some(*other) != tenant_class || *until > now);
            if self.settings.yes_when_running {
                state.starting.remove(&attempt);
            }
        }
        // A machine that reported an error for a task that another machine then accepts is taken to
        // reject the tenant and class of the task.
        if let Some(request) = request {
            for machine in request.machines_with_errors() {
                if let Some(state) = self.machines.get_mut(&machine) {
                    state
                        .rejecting
                        .insert(request.tenant_class(), now + REJECTING_US);
                }
            }
        }
    }

    /// Records the end of an attempt; its request becomes due again if it has no final answer.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: &Ended) {
        let Some(attempt) = self.active_attempts.remove(&end.attempt) else {
            return;
        };
        let request = self.requests.get(&end.attempt.request);
        if let Some(state) = self.machines.get_mut(&attempt.machine) {
            state.remove_attempt(now, end.attempt, &attempt);
            let outcome = AttemptOutcome::new(end, state, request, &self.settings);
            outcome.apply(now, state, &attempt, &self.settings);
        }
        self.close_or_retry(end);
    }

    /// Removes a request that is closed; otherwise records the result of its attempt and makes it
    /// due.
    fn close_or_retry(&mut self, end: &Ended) {
        let id = end.attempt.request;
        if end.closed {
            self.requests.remove(&id);
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if let Some(attempt) = request.attempts.get_mut(usize::from(end.attempt.number)) {
            attempt.state = if proves_no_start(end.outcome) {
                AttemptState::NeverRan
            } else {
                AttemptState::MayHaveRun
            };
            attempt.reported_error = end.outcome == Outcome::Error;
        }
        self.due.push(id);
    }
}

/// Whether an outcome proves that the task never started (rule 2).
fn proves_no_start(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Refused | Outcome::Unconnected | Outcome::Unsent
    )
}

/// The end of an attempt, and whether it counts against the machine or only against a tenant and
/// class there.
struct AttemptOutcome<'a> {
    end: &'a Ended,
    /// The request; `None` if it has its final answer.
    request: Option<&'a PendingRequest>,
    /// Whether the machine answered later offers or health checks and not this offer.
    was_passed_over: bool,
    /// Whether it shows that the machine rejects the tenant and class, not that the machine as a
    /// whole is at fault.
    rejects_tenant_class: bool,
}

impl<'a> AttemptOutcome<'a> {
    fn new(
        end: &'a Ended,
        state: &MachineState,
        request: Option<&'a PendingRequest>,
        settings: &Settings,
    ) -> Self {
        let was_passed_over = state.offer_was_passed_over(end.attempt, settings);
        // A rejection that names no shortage concerns the tenant or class. An error may be the fault
        // of the task: for a task that is tried elsewhere, the other machines show whose fault it
        // is. An unsafe task is not sent again, so its error counts at once.
        let rejects_tenant_class = match end.outcome {
            Outcome::TimedOut | Outcome::Stopped => was_passed_over,
            Outcome::Refused => end.reason.is_none(),
            Outcome::Error => {
                request.is_some_and(|request| effect(request, settings) == Effect::Unsafe)
            }
            _ => false,
        };
        Self {
            end,
            request,
            was_passed_over,
            rejects_tenant_class,
        }
    }

    /// Updates the state of the machine.
    fn apply(
        &self,
        now: Micros,
        state: &mut MachineState,
        attempt: &ActiveAttempt,
        settings: &Settings,
    ) {
        if self.rejects_tenant_class {
            self.record_tenant_class_rejection(now, state);
        }
        match self.end.outcome {
            Outcome::TimedOut | Outcome::Unconnected | Outcome::Stopped
                if !self.rejects_tenant_class =>
            {
                state.forget_offer(self.end.attempt);
                if !self.end.closed {
                    state.record_failure(now, &settings.rules);
                }
            }
            Outcome::Unsent => state.forget_offer(self.end.attempt),
            _ => state.record_answer(now, self.end.attempt),
        }
        if self.end.outcome == Outcome::Refused && !self.rejects_tenant_class {
            let load = rejected_load(self.end.reason, attempt.load);
            state.rejected = Some(DatedLoad { at: now, load });
        }
    }

    /// Records that the machine rejects the tenant and class. A single missing answer may have been
    /// lost on its way, so it is only a suspicion, which a second one in a row confirms.
    fn record_tenant_class_rejection(&self, now: Micros, state: &mut MachineState) {
        let Some(request) = self.request else {
            return;
        };
        match state.rejecting.entry(request.tenant_class()) {
            Entry::Vacant(suspicion) if self.was_passed_over => {
                suspicion.insert(now);
            }
            entry => {
                *entry.or_default() = now + REJECTING_US;
            }
        }
    }
}

fn effect(request: &PendingRequest, settings: &Settings) -> Effect {
    settings
        .classes
        .get(usize::from(request.task.class))
        .map_or(Effect::Unsafe, |class| class.effect)
}

/// The least load that a rejection rules out. If the reason names the resource that is short,
/// requests that are smaller in it may still fit, and the other resource is infinite; else no
/// request fits, and the load is 0.
fn rejected_load(reason: Option<Reason>, requested: Load) -> Load {
    match reason {
        Some(Reason::NoCores) => Load {
            memory: f64::INFINITY,
            ..requested
        },
        Some(Reason::NoMemory) => Load {
            cores: f64::INFINITY,
            ..requested
        },
        _ => Load::default(),
    }
}
