//! The states and results of tasks that nodes report: rejections, observations, ends and tasks in flight.

use super::{AttemptId, Task};

/// The reason for which a node rejects an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectionReason {
    /// The node gives no reason.
    Unspecified,
    /// Too few cores are free.
    NoCores,
    /// Too little memory is free.
    NoMemory,
    /// The node's queue of offers is full.
    QueueFull,
    /// The node is draining.
    Draining,
    /// A duplicate of the task is active, or was active within the deduplication window.
    DuplicateActive,
    /// The offer could not be answered within its `within_ms`.
    DeadlineExceeded,
    /// The node does not support the offer's node kind, class or form, for example an offer without the version stamp
    /// that the node requires.
    Unsupported,
    /// The offer was decided by a configuration that is below the node's floor or that the node does not know. Sent
    /// only for offers that have a version stamp.
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

    /// The reason's name in answers to operators. Must not change, because scripts compare it.
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

/// The way in which an attempt ended after its task was accepted or after the placer stopped it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task exited with this status.
    Exited(u8),
    /// The signal of this number terminated the task.
    Signaled(u8),
    /// The node evicted the task because memory ran out.
    Evicted,
    /// A task of higher priority preempted the task.
    Preempted,
    /// The node ended the task because the node is draining.
    Drained,
    /// The task was stopped at the placer's request, [`Message::Stop`](crate::Message::Stop).
    Stopped,
    /// The node could not run the task; the text is the explanation, at most [`MAX_TEXT`](crate::MAX_TEXT) bytes.
    Error(String),
    /// The node does not know the attempt: it has not accepted it and will not accept it.
    Unknown,
}

/// The kind of an observation that a node makes of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskSignalKind {
    /// The task started to run.
    Running,
    /// The amount is the number of cores that the task uses.
    CoresUsed,
    /// The amount is the memory that the task uses, in the unit of [`Task::memory`].
    MemoryUsed,
    /// The amount is the fraction of full service that the task receives.
    ServiceFraction,
    /// The amount is the fraction of the node's memory that is in use.
    MemoryPressure,
    /// The task was suspended.
    Suspended,
    /// The task was resumed.
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

/// The state of a task that a placer has offered to a node, on that node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InFlightState {
    /// The task is in the node's queue of offers: neither accepted nor rejected yet.
    Queued,
    /// The task is accepted but not running yet.
    Accepted,
    /// The task is running.
    Running,
    /// The task is suspended.
    Suspended,
    /// The task has ended, and the placer has not acknowledged the end yet.
    Ended {
        /// The way in which the task ended.
        end: TaskEnd,
        /// Whether the task ran or may have run.
        ran: bool,
    },
}

/// A task of a placer that a node reports when the placer connects.
#[derive(Clone, Debug, PartialEq)]
pub struct InFlightTask {
    /// The attempt by which the placer offered the task.
    pub attempt: AttemptId,
    /// The task, unchanged from the offer.
    pub task: Task,
    /// The state of the task on the node.
    pub state: InFlightState,
}
