//! What nodes say of tasks: why they reject them, what they observe, how they end.

use super::{AttemptId, Task};

/// Why a node rejects an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The node gives no reason.
    Unspecified,
    /// No cores are free.
    NoCores,
    /// No memory is free.
    NoMemory,
    /// Too many offers are queued.
    QueueFull,
    /// The node is draining.
    Draining,
    /// A duplicate of the task is active, or was within the deduplication window.
    DuplicateActive,
    /// The offer came too late to be answered within its time.
    DeadlineExceeded,
    /// The offer's node kind, class or form does not fit this node.
    Unsupported,
    /// The offer was decided by a configuration that is under the node's floor, or that the node does not know yet.
    /// Sent only to placers that say by which configuration they decide.
    Superseded,
}

impl RejectionReason {
    /// Every reason.
    pub const ALL: [Self; 9] = [
        Self::Unspecified,
        Self::NoCores,
        Self::NoMemory,
        Self::QueueFull,
        Self::Draining,
        Self::DuplicateActive,
        Self::DeadlineExceeded,
        Self::Unsupported,
        Self::Superseded,
    ];

    /// The reason's name in answers to operators, which scripts compare: it stays.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Unspecified => "untold",
            Self::NoCores => "no cores",
            Self::NoMemory => "no memory",
            Self::QueueFull => "crowded",
            Self::Draining => "draining",
            Self::DuplicateActive => "copy stands",
            Self::DeadlineExceeded => "too late",
            Self::Unsupported => "not here",
            Self::Superseded => "superseded",
        }
    }
}

/// How an accepted task ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It exited with this status.
    Exited(u8),
    /// A signal of this number terminated it.
    Signaled(u8),
    /// The node evicted it because memory ran out.
    Evicted,
    /// A task of higher priority preempted it.
    Preempted,
    /// The node drains and ended it.
    Drained,
    /// The placer stopped it.
    Stopped,
    /// The node could not run it.
    Error(String),
    /// The node knows no such attempt: it was never accepted, and will not be.
    Unknown,
}

/// What a node observed of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskSignalKind {
    /// It started to run.
    Running,
    /// Cores that it uses.
    CoresUsed,
    /// Memory that it uses.
    MemoryUsed,
    /// The fraction of full service that it gets.
    ServiceFraction,
    /// The fraction of the node's memory in use.
    MemoryPressure,
    /// It was suspended.
    Suspended,
    /// It was resumed.
    Resumed,
}

impl TaskSignalKind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Running,
        Self::CoresUsed,
        Self::MemoryUsed,
        Self::ServiceFraction,
        Self::MemoryPressure,
        Self::Suspended,
        Self::Resumed,
    ];
}

/// The state of a task that a node has of a placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InFlightState {
    /// Offered and not decided yet: it is in the queue of offers.
    Queued,
    /// Accepted, not running yet.
    Accepted,
    /// Running.
    Running,
    /// Suspended.
    Suspended,
    /// Over, and not acknowledged by the placer yet.
    Ended {
        /// How it ended.
        end: TaskEnd,
        /// Whether it ran, or may have.
        ran: bool,
    },
}

/// A task that a node has of a placer.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightTask {
    /// The attempt that brought it.
    pub attempt: AttemptId,
    /// The task, as it was offered.
    pub task: Task,
    /// Its state.
    pub state: InFlightState,
}
