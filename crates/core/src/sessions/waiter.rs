//! Calls that wait for jobs to end.

use std::collections::BTreeSet;

use reedring_drmaa::rpc::Response;

use crate::ids::JobNumber;
use crate::io::ConnectionId;

/// The condition that ends a call's wait.
#[derive(Debug)]
pub(crate) enum WaitCondition {
    /// The end of any job of the session.
    Any,
    /// The end of this job.
    Job(JobNumber),
    /// The ends of all `jobs`, of which those in `unfinished` have not ended. Where `dispose` is set, the jobs are
    /// deleted then.
    All {
        unfinished: BTreeSet<JobNumber>,
        jobs: Vec<JobNumber>,
        dispose: bool,
    },
}

/// A waiting call.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// The client's connection.
    pub conn: ConnectionId,
    /// The id of the call on that connection.
    pub id: u64,
    pub condition: WaitCondition,
}

/// The numbers of the waiting calls that the end of a job completes.
#[derive(Debug, Default)]
pub(crate) struct WakeUps {
    /// The call that gets the job's end; the job is deleted then.
    pub receiver: Option<u64>,
    /// Calls that wait for the same job, and get an error since the receiver has its end.
    pub too_late: Vec<u64>,
    /// Synchronizations that waited for this job last.
    pub complete: Vec<u64>,
}

/// A call whose wait has ended, with its response.
pub(crate) struct CompletedCall {
    pub conn: ConnectionId,
    pub response: Response,
}
