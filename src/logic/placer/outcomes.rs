//! What the outcome of an attempt teaches of its machine, and what becomes of its request.

use std::collections::btree_map::Entry;

use super::{Placer, REJECTING_US};
use crate::api::{AttemptId, Effect, Ended, MachineId, Micros, Outcome, Reason, Settings};
use crate::load::Load;
use crate::logic::machine_state::{DatedLoad, MachineState};
use crate::logic::requests::{ActiveAttempt, AttemptState, PendingRequest};

impl Placer {
    /// A machine accepted the task: the request has its final answer.
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
            // An acceptance clears a suspicion against the machine.
            state
                .rejecting
                .retain(|other, until| Some(*other) != tenant_class || *until > now);
            if self.settings.yes_when_running {
                state.starting.remove(&attempt);
            }
        }
        // A machine that reported an error for a task which another one accepts rejects its tenant
        // and class.
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

    /// An attempt ended; its request, if it has no answer yet, is due again.
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

    /// Closes the request, or notes what its attempt came to and makes it due.
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

/// The end of an attempt, and what it speaks against.
struct AttemptOutcome<'a> {
    end: &'a Ended,
    /// The request, where it has no final answer.
    request: Option<&'a PendingRequest>,
    /// The machine answered later offers and not this one.
    was_passed_over: bool,
    /// It speaks against the tenant and class at this machine, not against the machine.
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
        // With no shortage named, a rejection is about the tenant or class; an error may be the
        // task's own fault, and only a task that is never sent again is taken at its word.
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

    /// Notes at the machine what the outcome says.
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

    /// One missing answer may be lost on its way and is a suspicion; a second one in a row is not.
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

/// The least load that a rejection speaks against: where the reason names the resource that is
/// short, requests that are smaller in it may still fit; else none does.
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
