//! The purposes of the core's timers.

use reedring::AttemptId;

use crate::ids::{JobNumber, NodeNumber, SessionNumber};

/// The purpose of a timer. Timers are never cancelled: whether one still applies is checked when it comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer that the decision module set, with the token to pass back to it.
    Module(u64),
    /// The time that the decision module allows a node for answering an offer is over.
    OfferTimeout(AttemptId),
    /// A node's answer to the stop of an attempt is overdue.
    StopTimeout(AttemptId),
    /// The outcome of unanswered offers counts as unknown if the node has not reconnected since `connection`, the
    /// number of the lost connection.
    ReattachTimeout { node: NodeNumber, connection: u64 },
    /// Accepted tasks count as lost if the node has not reconnected since `connection`, the number of the lost
    /// connection.
    NodeLost { node: NodeNumber, connection: u64 },
    /// Announce the nodes that were withheld from the decision module after the start.
    AnnounceNodes,
    /// Advance the agreement on the configuration.
    Configuration,
    /// Evaluate once more whether the offers to a node that is warming up are overdue.
    SlowStart(NodeNumber),
    /// The health check with this nonce is overdue.
    HealthCheck(u64),
    /// The start time of a job is reached, or its backoff after a loss is over.
    RequestPlacement(JobNumber),
    /// The deadline for placing a job is reached, if it still waits for this request.
    PlacementDeadline { job: JobNumber, request: u64 },
    /// A job has reached the run time that its template allows.
    RunLimit(JobNumber),
    /// The wait of a client for a job has timed out.
    WaitTimeout { session: SessionNumber, call: u64 },
    /// The time for nodes to report the tasks they hold, after the start, is over.
    ReconciliationDeadline,
    /// Remove jobs that ended long ago and that no client has waited for, and sessions unused since.
    ForgetFinished,
    /// Persist the beliefs of the decision module.
    PersistBeliefs,
    /// Decide how a job goes on that was being placed when a former incarnation ended. With `last` it may not wait any
    /// longer.
    Recover { job: JobNumber, last: bool },
}
