//! How attempts end, and what machines say of running tasks.

use super::ids::{AttemptId, MachineId};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The task ran to its end.
    Finished,
    /// The machine reports an error; the task may have started.
    Error,
    /// The machine rejected it, or handed it back before it ran.
    Refused,
    /// No answer in time; the task may have been accepted.
    TimedOut,
    /// No connection; it never ran.
    Unconnected,
    /// Lost, evicted or moved away after it was placed; before that it is unknown whether it ran.
    Reset,
    /// Stopped by the scheduler; if it was not placed, it is unknown whether it ran.
    Stopped,
    /// Never sent to the machine.
    Unsent,
}

/// Why an attempt ended, where the machine says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No cores left.
    NoCores,
    /// No memory left.
    NoMemory,
    /// Too many offers wait at the machine.
    Crowded,
    /// The machine is of the wrong kind or draining, the offer is too late, or a copy runs.
    NotHere,
    /// Evicted for memory.
    Evicted,
    /// Preempted by a task of higher priority.
    PushedOut,
    /// Moved away from a machine that drains.
    SentAway,
}

/// What a machine says of a task that it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// It runs.
    Runs,
    /// Cores it uses.
    Cores(f64),
    /// Memory it uses.
    Memory(f64),
    /// Fraction of full service that it gets.
    Served(f64),
    /// Fraction of its machine's memory in use.
    Pressure(f64),
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its machine.
    pub machine: MachineId,
    /// How it ended.
    pub outcome: Outcome,
    /// Why, where the machine says so.
    pub reason: Option<Reason>,
    /// The request needs no answer any more.
    pub closed: bool,
    /// The machine's load report, in the order of [`Settings::report_fields`](super::Settings); may
    /// be empty.
    pub report: Vec<f64>,
}
