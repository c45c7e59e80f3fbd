//! The ledger: requests that owe an answer, their attempts, and what may be refused. No task is placed here.

use super::*;

/// An own attempt that has not ended, as far as is known.
#[derive(Clone, Copy)]
pub struct LiveAttempt {
    pub machine: MachineId,
    pub service: ServiceId,
    pub load: Load,
}

#[derive(Clone, Copy, PartialEq)]
pub enum AttemptState {
    InFlight,
    Stopping, // In flight, and asked to stop.
    NeverRan,
    MayHaveRun,
}

pub struct Attempt {
    pub machine: MachineId,
    pub sent: Micros,
    pub state: AttemptState,
    pub erred: bool, // The machine called it an error.
}

/// A request that owes an answer.
pub struct Entry {
    pub task: Task,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub allowed: Option<Vec<MachineId>>, // The only machines that may take it, sorted.
}

impl Entry {
    pub fn is_in_flight(&self) -> bool {
        self.attempts
            .iter()
            .any(|one| matches!(one.state, AttemptState::InFlight | AttemptState::Stopping))
    }

    /// Its tenant and class.
    pub fn tenant_class(&self) -> (u16, u16) {
        (self.task.tenant, self.task.class)
    }

    /// The machines that erred on it, and its tenant and class.
    pub fn erred(&self) -> impl Iterator<Item = (MachineId, (u16, u16))> {
        let erred = self.attempts.iter().filter(|attempt| attempt.erred);
        erred.map(|attempt| (attempt.machine, self.tenant_class()))
    }

    /// The first attempt that may have run.
    pub fn first_may_have_run(&self) -> Option<&Attempt> {
        self.attempts
            .iter()
            .find(|attempt| attempt.state != AttemptState::NeverRan)
    }
}

/// Whether a refusal, which promises that asking again is harmless, may be sent.
pub fn may_decline(entry: &Entry, class: &Class) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => entry.first_may_have_run().is_none(),
    }
}
