//! What the core's timers are for.

use reedring::AttemptId;

use crate::ids::{JobNumber, NodeNumber, SessionNumber};

/// What a timer is for. None is ever withdrawn: whether it still applies is checked when it comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// One of the decision module's own.
    Module(u64),
    /// An offer is unanswered for as long as the decision module allows.
    OfferTimeout(AttemptId),
    /// A node's answer to the stop of an attempt is overdue.
    StopTimeout(AttemptId),
    /// What was unanswered on a lost connection counts as unknown now; the number is the connection's.
    ReattachTimeout { node: NodeNumber, connection: u64 },
    /// What was accepted over a connection that is still down counts as lost now.
    NodeLost { node: NodeNumber, connection: u64 },
    /// Nodes that were withheld from the decision module after the start are announced.
    AnnounceNodes,
    /// The agreement on the configuration is advanced.
    Configuration,
    /// The offers of a node that is warming up are evaluated again.
    SlowStart(NodeNumber),
    /// A health check is overdue.
    HealthCheck(u64),
    /// A job's start time has come, or its backoff after a loss is over.
    RequestPlacement(JobNumber),
    /// A job's deadline to be placed.
    PlacementDeadline { job: JobNumber, request: u64 },
    /// A job has run for as long as its template allows.
    RunLimit(JobNumber),
    /// A client's wait has timed out.
    WaitTimeout { session: SessionNumber, call: u64 },
    /// Nodes have had their time to report what they hold.
    ReconciliationDeadline,
    /// Finished jobs that nobody waited for are forgotten.
    ForgetFinished,
    /// The decision module's beliefs are persisted.
    PersistBeliefs,
    /// A job of a former incarnation is decided on, for the last time or not.
    Recover { job: JobNumber, last: bool },
}
