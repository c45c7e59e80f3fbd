//! Jobs, their templates, and the attempts to place them. All times are microseconds since 1970.

use reedring_drmaa::End;
use serde::{Deserialize, Serialize};

use crate::rows::SessionNumber;

/// A job's number; it stays the same over restarts.
pub type JobNumber = u64;

/// The one final answer that a job's client gets about its placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A node accepted it.
    Placed,
    /// It never ran; submitting it again is harmless.
    Refused,
    /// Its effects are unknown: it may have run.
    Failed,
    /// Ended by its user before it was placed.
    Terminated,
}

impl Outcome {
    /// The word that clients get.
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
    /// The end as DRMAA has it.
    pub end: End,
    /// The reason, for the client.
    pub reason: Option<String>,
    /// For how long the client is asked to wait before it submits the job again, in microseconds.
    #[serde(rename = "stay_away_us")]
    pub retry_after_us: Option<u64>,
}

impl Ending {
    /// The end of a job that never ran, or of whose run nothing is known.
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

/// What the jobs of one submission ask for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobTemplate {
    /// The client's DRMAA template, as JSON.
    #[serde(rename = "spec")]
    pub template_json: String,
    /// The class by name: class numbers change with the settings.
    pub class: String,
    /// The tenant by name.
    pub tenant: String,
    /// The service.
    pub service: String,
    /// Requested cores.
    pub cores: f64,
    /// Requested memory, in the unit of the settings.
    pub memory: f64,
    /// Expected run time in microseconds.
    #[serde(rename = "life_us")]
    pub run_time_us: Option<u64>,
}

/// What is known of an attempt that is not closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AttemptState {
    /// Offered to the node, which has not answered.
    #[serde(rename = "out")]
    Offered,
    /// Accepted by the node.
    Accepted,
    /// Given up; the node was asked to stop it.
    Stopping,
}

/// An attempt whose end is not known. On the wire it is named by incarnation, request and number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The incarnation of the placer that made it.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The request within that incarnation.
    pub request: u64,
    /// The attempt within that request.
    pub number: u16,
    /// The node's name.
    pub node: String,
    /// The node's incarnation when the attempt was sent.
    #[serde(rename = "node_life")]
    pub node_incarnation: Option<u64>,
    /// When it was sent.
    #[serde(rename = "sent")]
    pub sent_at: u64,
    /// What is known of it.
    #[serde(rename = "known")]
    pub state: AttemptState,
    /// It was accepted before it was given up.
    pub accepted: bool,
}

/// What a job waits for, or how it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// On hold by its user.
    Held,
    /// It is placed at this time at the earliest.
    Delayed {
        /// The time.
        until: u64,
    },
    /// It is being placed.
    #[serde(rename = "asked")]
    Pending {
        /// The time at which its client gives up.
        #[serde(rename = "until")]
        deadline: u64,
    },
    /// A node accepted it.
    Placed,
    /// It runs.
    Running,
    /// Its run is suspended.
    Suspended,
    /// It is being ended: a node may still run an attempt of it.
    Ending(Ending),
    /// It ended.
    Ended(Ending),
}

/// A job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// Its session.
    pub session: SessionNumber,
    /// The call that submitted it.
    pub call: u64,
    /// Its index within that call.
    pub index: u64,
    /// The key by which nodes recognize duplicates of it.
    #[serde(rename = "key")]
    pub idempotency_key: u64,
    /// What it waits for, or how it ended.
    pub phase: Phase,
    /// The answer about its placement, once there is one.
    pub outcome: Option<Outcome>,
    /// It was placed before, and was lost.
    #[serde(rename = "again")]
    pub lost_before: bool,
    /// A closed attempt may have run, and no later placement of the job has ended.
    pub may_have_run: bool,
    /// When it was submitted.
    #[serde(rename = "submitted")]
    pub submitted_at: u64,
    /// When it was first placed.
    #[serde(rename = "placed")]
    pub placed_at: Option<u64>,
    /// When it started.
    #[serde(rename = "started")]
    pub started_at: Option<u64>,
    /// When it ended.
    #[serde(rename = "ended")]
    pub ended_at: Option<u64>,
    /// How many attempts were made.
    #[serde(rename = "tries")]
    pub attempt_count: u32,
    /// The node of the last attempt.
    #[serde(rename = "node")]
    pub last_node: Option<String>,
    /// Attempts whose end is not known.
    #[serde(rename = "attempts")]
    pub open_attempts: Vec<Attempt>,
    /// Clauses of its constraint that did not hold when it ended.
    #[serde(rename = "broken")]
    pub violated_clauses: Option<String>,
}
