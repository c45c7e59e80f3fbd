//! Calls that wait for jobs to end.

use std::collections::BTreeSet;

use reedring_drmaa::rpc::Response;

use crate::ids::JobNumber;
use crate::io::ConnectionId;

/// What a waiting call waits for.
#[derive(Debug)]
pub(crate) enum WaitCondition {
    /// The end of any job of the session.
    Any,
    /// The end of this job.
    Job(JobNumber),
    /// The ends of all these jobs; `unfinished` of them have not ended, and `dispose` forgets them all.
    All {
        unfinished: BTreeSet<JobNumber>,
        jobs: Vec<JobNumber>,
        dispose: bool,
    },
}

/// A call that waits.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub conn: ConnectionId,
    pub id: u64,
    pub condition: WaitCondition,
}

/// The calls that a job's end wakes.
#[derive(Debug, Default)]
pub(crate) struct WakeUps {
    /// Gets the job's end, and the job is forgotten.
    pub receiver: Option<u64>,
    /// Wait for the same job, which is forgotten now.
    pub too_late: Vec<u64>,
    /// Synchronizations of which this was the last job.
    pub complete: Vec<u64>,
}

/// A call that waited and has its answer.
pub(crate) struct CompletedCall {
    pub conn: ConnectionId,
    pub response: Response,
}
