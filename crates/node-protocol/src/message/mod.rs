//! The messages between a placer and a node.

mod outcome;
mod task;

pub use outcome::{InFlightState, InFlightTask, RejectionReason, TaskEnd, TaskSignalKind};
pub use task::{AttemptId, DeduplicationScope, Idempotency, Task};

use crate::configuration::{AcceptorReport, ConfigRequest, ConfigVersion, Delta, VersionStamp};

/// The configuration by which a placer decides, and the build that it runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionInfo {
    /// The configuration, node list and build by which the placer decides.
    pub stamp: VersionStamp,
    /// Name of the placer's build.
    pub build: String,
}

/// A message from a placer to a node or from a node to a placer.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Placer to node: the first message on each connection. A newer connection of the same placer replaces the older
    /// one, and the node discards data from the older one that it has not read yet.
    Hello {
        /// The placer's name, which stays the same when the placer restarts.
        placer: String,
        /// The placer's incarnation, which changes when the placer restarts.
        incarnation: u64,
        /// Sequence number of this connection among the placer's connections to this node, from 1; a newer connection
        /// has a greater number.
        link: u64,
        /// The placer's configuration and build. Present from protocol version 2 on; `None` is encoded in version 1.
        version_info: Option<VersionInfo>,
    },
    /// Placer to node: requests that the node run a task. The answer is [`Message::Accepted`] or [`Message::Rejected`].
    Offer {
        /// Identifies the attempt to place the task of which this offer is a part.
        attempt: AttemptId,
        /// The offered task.
        task: Box<Task>,
        /// Milliseconds within which the placer can use the answer; 0 for no limit.
        within_ms: u32,
        /// The configuration by which the placer decided. Present from protocol version 2 on; `None` is encoded in
        /// version 1.
        stamp: Option<VersionStamp>,
    },
    /// Placer to node, from protocol version 2 on: a request to the node's acceptor.
    ConfigRequest(ConfigRequest),
    /// Placer to node: requests that the node stop an attempt. The answer is [`Message::Ended`].
    Stop {
        /// The attempt to stop.
        attempt: AttemptId,
    },
    /// Placer to node: requests a load report. The answer is [`Message::Report`].
    Probe {
        /// Returned in the report, so that the placer can match the report to this probe.
        nonce: u64,
    },
    /// Placer to node: requests that the node suspend a running task.
    Suspend {
        /// The attempt whose task is to be suspended.
        attempt: AttemptId,
    },
    /// Placer to node: requests that the node resume a suspended task.
    Resume {
        /// The attempt whose task is to be resumed.
        attempt: AttemptId,
    },
    /// Placer to node: acknowledges [`Message::Ended`]. The placer has recorded the end of the attempt, and the node
    /// may discard its state.
    Ack {
        /// The attempt that ended.
        attempt: AttemptId,
    },
    /// Node to placer: the first message on each connection, the answer to [`Message::Hello`].
    Welcome {
        /// The node's name.
        node: String,
        /// The node's incarnation. It changes when the node restarts; the tasks of the previous incarnation are lost
        /// then.
        incarnation: u64,
        /// Milliseconds since the node started.
        up_ms: u64,
        /// Whether the node can suspend tasks.
        can_suspend: bool,
        /// The state of the node's acceptor. Present from protocol version 2 on; `None` is encoded in version 1.
        acceptor_report: Option<AcceptorReport>,
    },
    /// Node to placer, from protocol version 2 on: the state of the node's acceptor. Sent after each change and as the
    /// answer to requests.
    AcceptorReport(AcceptorReport),
    /// Node to placer, from protocol version 2 on: the text of a configuration. The answer to [`ConfigRequest::Fetch`].
    ConfigText {
        /// The requested configuration.
        version: ConfigVersion,
        /// Text of the configuration; empty if the node does not have it.
        text: String,
    },
    /// Node to placer, from protocol version 3 on: the changes since a configuration that the placer has, in place of
    /// [`Message::ConfigText`].
    ConfigDelta(Delta),
    /// Node to placer, after [`Message::Welcome`]: the tasks of this placer that the node has, in one or more messages.
    InFlight {
        /// Some of the tasks; all messages up to the last one together contain all tasks.
        tasks: Vec<InFlightTask>,
        /// Whether this is the last of these messages.
        last: bool,
    },
    /// Node to placer: the node accepted the task or, if the site is configured so, has started it.
    Accepted {
        /// The attempt that was accepted.
        attempt: AttemptId,
        /// Load report: its values in the order that the settings define; empty if the node sends none.
        report: Vec<f64>,
    },
    /// Node to placer: the node did not accept the task. The task has not run and will not run in this attempt.
    Rejected {
        /// The attempt that was rejected.
        attempt: AttemptId,
        /// The reason for the rejection.
        reason: RejectionReason,
        /// Explanation for operators, at most [`MAX_TEXT`](crate::MAX_TEXT) bytes; may be empty.
        text: String,
        /// Load report, as in [`Message::Accepted`].
        report: Vec<f64>,
    },
    /// Node to placer: an observation or measurement of an accepted task.
    TaskSignal {
        /// The attempt whose task was observed.
        attempt: AttemptId,
        /// The kind of observation, which determines the meaning of `amount`.
        kind: TaskSignalKind,
        /// The measured amount; 0 if the kind has none.
        amount: f64,
    },
    /// Node to placer: an accepted or stopped attempt has ended. Sent again on each new connection until the placer
    /// acknowledges it with [`Message::Ack`].
    Ended {
        /// The attempt that ended.
        attempt: AttemptId,
        /// The way in which the task ended.
        end: TaskEnd,
        /// Whether the task ran or may have run.
        ran: bool,
        /// Load report, as in [`Message::Accepted`].
        report: Vec<f64>,
    },
    /// Node to placer: the answer to [`Message::Probe`].
    Report {
        /// The nonce of the probe.
        nonce: u64,
        /// Load report, as in [`Message::Accepted`].
        report: Vec<f64>,
    },
}
