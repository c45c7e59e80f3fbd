//! Jobs, their templates, and the attempts to place them. All times are microseconds since 1970.

use reedring_drmaa::End;
use serde::{Deserialize, Serialize};

use crate::rows::SessionNumber;

/// Number of a job; it stays the same over restarts of the placer.
pub type JobNumber = u64;

/// The final result of a job's placement, which its client gets once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A node accepted the job.
    Placed,
    /// The job never ran, so that submitting it again is harmless.
    Refused,
    /// The job may have run, and its effects are unknown.
    Failed,
    /// The user terminated the job before it was placed.
    Terminated,
}

impl Outcome {
    /// Name of the outcome in responses to clients.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Terminated => "terminated",
        }
    }
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// The end in the terms of DRMAA.
    pub end: End,
    /// Explanation for the client; `None` where the job ended by itself.
    pub reason: Option<String>,
    /// How long the client is asked to wait before it submits the job again, in microseconds; `None` where it is not
    /// asked to wait.
    #[serde(rename = "stay_away_us")]
    pub retry_after_us: Option<u64>,
}

impl Ending {
    /// The end of a job that never ran, or whose run is unknown.
    pub fn aborted(reason: impl Into<String>) -> Self {
        Self {
            end: End::Aborted,
            reason: Some(reason.into()),
            retry_after_us: None,
        }
    }

    /// The end of a job that ran.
    pub fn ran(end: End) -> Self {
        Self {
            end,
            reason: None,
            retry_after_us: None,
        }
    }
}

/// The requirements that all jobs of one submission share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobTemplate {
    /// The client's DRMAA job template, as JSON.
    #[serde(rename = "spec")]
    pub template_json: String,
    /// Name of the class. It is not stored by number, as class numbers change with the settings.
    pub class: String,
    /// Name of the tenant.
    pub tenant: String,
    /// Name of the service to which the jobs belong.
    pub service: String,
    /// Requested cores per job.
    pub cores: f64,
    /// Requested memory per job, in the unit that the settings use.
    pub memory: f64,
    /// Expected run time in microseconds; `None` where the submission states none.
    #[serde(rename = "life_us")]
    pub run_time_us: Option<u64>,
}

/// State of an attempt that is not closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Offered to the node, which has not responded yet.
    #[serde(rename = "out")]
    Offered,
    /// Accepted by the node.
    Accepted,
    /// Abandoned: the node was asked to stop it and has not confirmed that yet.
    Stopping,
}

/// An attempt whose end is not known. Its identifier on the wire consists of incarnation, request and number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// Incarnation of the placer that made the attempt.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    pub request: u64,
    /// Number of the attempt within that request.
    pub number: u16,
    /// Name of the node.
    pub node: String,
    /// Incarnation of the node when the attempt was sent; `None` where it was not known.
    #[serde(rename = "node_life")]
    pub node_incarnation: Option<u64>,
    /// Time at which the attempt was sent.
    #[serde(rename = "sent")]
    pub sent_at: u64,
    /// Its last known state.
    #[serde(rename = "known")]
    pub state: AttemptState,
    /// Whether the node accepted the attempt. Unlike `state`, this remains set once the attempt is being stopped.
    pub accepted: bool,
}

/// Phase of a job's life cycle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The user put the job on hold.
    Held,
    /// The job waits for its start time, or for the end of its backoff after it was lost.
    Delayed {
        /// Time at which the wait ends.
        until: u64,
    },
    /// The job is being placed.
    #[serde(rename = "asked")]
    Pending {
        /// Time at which the job's client gives up.
        #[serde(rename = "until")]
        deadline: u64,
    },
    /// A node accepted the job, which has not started.
    Placed,
    /// The job runs.
    Running,
    /// The job's run is suspended.
    Suspended,
    /// The job is being ended, and a node may still run an attempt of it.
    Ending(Ending),
    /// The job has ended.
    Ended(Ending),
}

/// A job with its open attempts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Number of the session to which the job belongs.
    pub session: SessionNumber,
    /// Number of the call that submitted the job.
    pub call: u64,
    /// Index of the job within that call.
    pub index: u64,
    /// Key by which nodes recognize duplicate offers of the job.
    #[serde(rename = "key")]
    pub idempotency_key: u64,
    /// Phase of the job's life cycle.
    pub phase: Phase,
    /// Result of the job's placement; `None` until it is final.
    pub outcome: Option<Outcome>,
    /// Whether the job was placed and lost before, or was submitted to a former incarnation.
    #[serde(rename = "again")]
    pub lost_before: bool,
    /// Whether a closed attempt may have run without leading to a placement.
    pub may_have_run: bool,
    /// Time of submission.
    #[serde(rename = "submitted")]
    pub submitted_at: u64,
    /// Time of the first placement; `None` before it.
    #[serde(rename = "placed")]
    pub placed_at: Option<u64>,
    /// Time at which the job started to run; `None` before that.
    #[serde(rename = "started")]
    pub started_at: Option<u64>,
    /// Time at which the job ended; `None` before that.
    #[serde(rename = "ended")]
    pub ended_at: Option<u64>,
    /// Number of attempts made so far.
    #[serde(rename = "tries")]
    pub attempt_count: u32,
    /// Name of the node of the last attempt; `None` before the first attempt.
    #[serde(rename = "node")]
    pub last_node: Option<String>,
    /// Attempts whose end is not known.
    #[serde(rename = "attempts")]
    pub open_attempts: Vec<Attempt>,
    /// Clauses of the job's constraint that were violated when it ended; `None` where there were none.
    #[serde(rename = "broken")]
    pub violated_clauses: Option<String>,
}
