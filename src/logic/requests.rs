//! Requests without a final answer, their attempts, and which final answer is legal. Nothing is
//! placed here.
//!
//! No field holds the state of a request; it follows from which collections of the
//! [`Placer`](super::Placer) hold its id, and from the states of its attempts:
//!
//! | state | condition | entered by |
//! | --- | --- | --- |
//! | due | id in `Placer::due` | `add_request`, `restrict_request`, `attempt_ended`, `expire_request`; from queued: `poll`, `health_check_ended` |
//! | queued | id in `Placer::queued` | `place`, where no machine may take it or reports are awaited |
//! | in flight | [`PendingRequest::is_in_flight`] | `place`, by `send_offer` |
//! | answered | not in `Placer::requests` any more | `give_up`, `attempt_placed`, `withdraw_request`, and `attempt_ended` where the request is closed |
//!
//! An id may be in `due` or `queued` although its request is in flight or answered, and in both at
//! once: `place` ignores ids of requests that are in flight or answered.

use crate::api::{AttemptId, Class, Effect, Group, MachineId, Micros, ServiceId, Task};
use crate::load::Load;

/// An attempt of this scheduler that is not known to have ended: offered, starting or running.
#[derive(Clone, Copy)]
pub struct ActiveAttempt {
    pub machine: MachineId,
    pub service: ServiceId,
    /// What its task requests.
    pub load: Load,
}

/// The progress of an attempt of an unanswered request.
#[derive(Clone, Copy, PartialEq)]
pub enum AttemptState {
    /// Offered, without an outcome.
    InFlight,
    /// In flight, and told to stop by [`Action::Stop`](crate::api::Action::Stop).
    Stopping,
    /// Ended; its outcome proves that the task never started.
    NeverRan,
    /// Ended; the task may have started.
    MayHaveRun,
}

/// One attempt of an unanswered request.
pub struct Attempt {
    pub machine: MachineId,
    /// When the offer was returned, on the caller's clock.
    pub sent_at: Micros,
    pub state: AttemptState,
    /// Whether it ended with an error that the machine reported.
    pub reported_error: bool,
}

/// The tenant and the class of a task; machines may reject one such pair and accept all others.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantClass {
    pub tenant: u16,
    pub class: u16,
}

impl TenantClass {
    /// The tenant and class of `task`.
    pub fn of(task: &Task) -> Self {
        Self {
            tenant: task.tenant,
            class: task.class,
        }
    }
}

/// A request that has no final answer yet.
pub struct PendingRequest {
    pub task: Task,
    /// When its client stops waiting, on the caller's clock.
    pub deadline: Micros,
    /// All attempts so far, by attempt number.
    pub attempts: Vec<Attempt>,
    /// The only machines that may take it, sorted by id; `None` for no constraint.
    pub eligible: Option<Vec<MachineId>>,
}

impl PendingRequest {
    /// Creates a request without attempts or constraint.
    pub fn new(task: Task, deadline: Micros) -> Self {
        Self {
            task,
            deadline,
            attempts: Vec::new(),
            eligible: None,
        }
    }

    /// Whether an attempt has no outcome yet.
    pub fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|one| matches!(one.state, AttemptState::InFlight | AttemptState::Stopping))
    }

    /// The tenant and class of its task.
    pub fn tenant_class(&self) -> TenantClass {
        TenantClass::of(&self.task)
    }

    /// The machines that reported an error for one of its attempts.
    pub fn machines_with_errors(&self) -> impl Iterator<Item = MachineId> {
        self.attempts
            .iter()
            .filter(|attempt| attempt.reported_error)
            .map(|attempt| attempt.machine)
    }

    /// The first attempt that may have run: the first one without proof that its task never started.
    /// An attempt in flight counts, also one that was told to stop.
    pub fn first_may_have_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// The attempts that are in flight and were not told to stop.
    pub fn unstopped_attempts(&self) -> impl Iterator<Item = AttemptId> {
        self.attempts
            .iter()
            .zip(0..)
            .filter(|(attempt, _)| attempt.state == AttemptState::InFlight)
            .map(|(_, number)| AttemptId {
                request: self.task.request,
                number,
            })
    }
}

/// Whether the request may be refused. A refusal promises that submitting the task again does no
/// harm.
pub fn may_refuse(request: &PendingRequest, class: &Class) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => request.first_may_have_run().is_none(),
    }
}
