//! How attempts end, and the signals that machines send about running tasks.

use super::ids::{AttemptId, MachineId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran to its end.
    Finished,
    /// The machine reported an error; the task may have started.
    Error,
    /// The machine rejected the task, or returned it before it ran.
    Refused,
    /// No answer arrived in time; the task may have been accepted.
    TimedOut,
    /// No connection was established; the task never ran.
    Unconnected,
    /// A placed task was lost, evicted or moved away. If the task was not yet placed, it is unknown
    /// whether it ran.
    Reset,
    /// The scheduler stopped the attempt; if the task was not placed, it is unknown whether it ran.
    Stopped,
    /// The offer was never sent to the machine.
    Unsent,
}

/// The reason for which an attempt ended, as stated by the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The machine has no cores left.
    NoCores,
    /// The machine has no memory left.
    NoMemory,
    /// Too many offers wait at the machine.
    Crowded,
    /// The machine can't take this task: it is of the wrong kind or draining, the offer is too late,
    /// or a copy of the task runs there.
    NotHere,
    /// The task was evicted because the machine ran out of memory.
    Evicted,
    /// The task was preempted by one of higher priority.
    PushedOut,
    /// The task was moved away from a draining machine.
    SentAway,
}

/// A signal from a machine about a task that it runs. Amounts are in the units of the task's
/// request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The task has started to run.
    Runs,
    /// The cores that the task uses.
    Cores(f64),
    /// The memory that the task uses.
    Memory(f64),
    /// The fraction of full service that the task gets. The current algorithm ignores it.
    Served(f64),
    /// The fraction of the machine's memory that is in use.
    Pressure(f64),
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The machine to which it was offered.
    pub machine: MachineId,
    /// How it ended.
    pub outcome: Outcome,
    /// The reason that the machine stated; `None` if it stated none.
    pub reason: Option<Reason>,
    /// Whether the request needs no further attempt and no answer, as it was answered or withdrawn.
    pub closed: bool,
    /// The machine's load report, in the order of
    /// [`Settings::report_fields`](super::Settings::report_fields); may be empty.
    pub report: Vec<f64>,
}
