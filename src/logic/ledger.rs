//! Requests that owe an answer, their attempts, and what may be refused. It never says where a task goes.

use super::*;

/// An attempt of this life whose end was not told yet.
#[derive(Clone, Copy)]
pub struct Standing {
    pub machine: MachineId,
    pub service: ServiceId,
    pub load: Load,
}

#[derive(Clone, Copy, PartialEq)]
pub enum Run {
    Out,
    Stopping, // Out, and asked to stop.
    Never,
    Perhaps,
}

pub struct Attempt {
    pub machine: MachineId,
    pub sent: Micros,
    pub run: Run,
    pub erred: bool, // The machine called it an error.
}

/// A request that owes an answer.
pub struct Entry {
    pub task: Task,
    pub deadline: Micros,
    pub attempts: Vec<Attempt>,
    pub open: Option<Vec<MachineId>>, // The only machines that may take it, in order, where such were told.
}

impl Entry {
    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| matches!(attempt.run, Run::Out | Run::Stopping))
    }

    /// Its tenant and class.
    pub fn whose(&self) -> (u16, u16) {
        (self.task.tenant, self.task.class)
    }

    /// The machines that erred on it, and whose it is.
    pub fn erred(&self) -> impl Iterator<Item = (MachineId, (u16, u16))> {
        let erred = self.attempts.iter().filter(|attempt| attempt.erred);
        erred.map(|attempt| (attempt.machine, self.whose()))
    }

    /// The first attempt that may have run.
    pub fn first_perhaps(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.run != Run::Never)
    }
}

/// Whether a refusal, which promises that asking again is harmless, may be sent.
pub fn may_decline(entry: &Entry, class: &Class) -> bool {
    match class.effect {
        Effect::Safe => true,
        Effect::Keyed if class.group == Group::All => true,
        Effect::Keyed | Effect::Unsafe => entry.first_perhaps().is_none(),
    }
}
