//! The messages between a placer and a node.

mod outcome;
mod task;

pub use outcome::{InFlightState, InFlightTask, RejectionReason, TaskEnd, TaskSignalKind};
pub use task::{AttemptId, DeduplicationScope, Idempotency, Task};

use crate::configuration::{AcceptorReport, ConfigRequest, ConfigVersion, Delta, VersionStamp};

/// By which configuration a placer decides, and which build it is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionInfo {
    /// The configuration.
    pub stamp: VersionStamp,
    /// The build's name.
    pub build: String,
}

/// A message, in either direction.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Placer to node, first on each connection. A newer connection of the same placer replaces the older one; the node
    /// discards what it has not read from that.
    Hello {
        /// The placer's name, which outlives restarts.
        placer: String,
        /// The placer's incarnation.
        incarnation: u64,
        /// Counts the placer's connections to this node, from 1; the greater one is newer.
        link: u64,
        /// From version 2 on.
        version_info: Option<VersionInfo>,
    },
    /// Placer to node: asks the node to take a task. Answered by [`Message::Accepted`] or [`Message::Rejected`].
    Offer {
        /// The attempt that this offer makes.
        attempt: AttemptId,
        /// The task.
        task: Box<Task>,
        /// Milliseconds within which an answer is of use; 0 without a limit.
        within_ms: u32,
        /// The configuration by which the placer decided; from version 2 on.
        stamp: Option<VersionStamp>,
    },
    /// Placer to node, from version 2 on: a request to the node's acceptor.
    ConfigRequest(ConfigRequest),
    /// Placer to node: give the attempt up. Answered by [`Message::Ended`].
    Stop {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Placer to node: report your load. Answered by [`Message::Report`].
    Probe {
        /// Comes back in the report.
        nonce: u64,
    },
    /// Placer to node: suspend a running task.
    Suspend {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Placer to node: resume a suspended task.
    Resume {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Placer to node: the end of this attempt is recorded, the node may forget it.
    Ack {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Node to placer, first on each connection: the answer to [`Message::Hello`].
    Welcome {
        /// The node's name.
        node: String,
        /// The node's incarnation. A restarted node has another one, and none of the tasks of the one before.
        incarnation: u64,
        /// Milliseconds since the node's start.
        up_ms: u64,
        /// Whether the node can suspend tasks.
        can_suspend: bool,
        /// The state of its acceptor; from version 2 on.
        acceptor_report: Option<AcceptorReport>,
    },
    /// Node to placer, from version 2 on: the state of its acceptor, after each change and as an answer.
    AcceptorReport(AcceptorReport),
    /// Node to placer, from version 2 on: the text of a configuration.
    ConfigText {
        /// The configuration that was asked for.
        version: ConfigVersion,
        /// Its text; empty where the node has none with that digest.
        text: String,
    },
    /// Node to placer, from version 3 on: in place of a text, the changes since the configuration that the placer has.
    ConfigDelta(Delta),
    /// Node to placer, after [`Message::Welcome`]: the tasks that it has of this placer, in one or more messages.
    InFlight {
        /// The tasks.
        tasks: Vec<InFlightTask>,
        /// Whether this is the last of these messages.
        last: bool,
    },
    /// Node to placer: the task was accepted or, where the site is configured so, runs.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
        /// Load report; empty where the node makes none.
        report: Vec<f64>,
    },
    /// Node to placer: the task was not taken, has not run and never will.
    Rejected {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RejectionReason,
        /// Explanation for operators; may be empty.
        text: String,
        /// Load report.
        report: Vec<f64>,
    },
    /// Node to placer: something was observed of an accepted task.
    TaskSignal {
        /// The attempt.
        attempt: AttemptId,
        /// What was observed.
        kind: TaskSignalKind,
        /// The measured amount; 0 where the kind has none.
        amount: f64,
    },
    /// Node to placer: an accepted or stopped attempt is over. Sent again on each connection until acknowledged.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: TaskEnd,
        /// Whether it ran, or may have.
        ran: bool,
        /// Load report.
        report: Vec<f64>,
    },
    /// Node to placer: the answer to [`Message::Probe`].
    Report {
        /// That of the probe.
        nonce: u64,
        /// Load report.
        report: Vec<f64>,
    },
}
