//! Client sessions, and the responses that are stored for repeated calls.

use serde::{Deserialize, Serialize};

/// Number of a session; it stays the same over restarts of the placer.
pub type SessionNumber = u32;

/// A client session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Name of the session.
    pub name: String,
    /// Calls with a number below this one are settled: the client has their responses, which are therefore deleted.
    #[serde(rename = "settled")]
    pub deleted_below: u64,
}

/// The response to a call, stored so that a repeated call gets the same response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredResponse {
    /// Response to a submission. The names of the submitted jobs are derived from these indices.
    Submission {
        /// Index of the first job.
        first: u64,
        /// Upper bound of the indices, inclusive.
        last: u64,
        /// Difference between consecutive indices.
        step: u64,
    },
    /// Response to any other call, as JSON.
    #[serde(rename = "told")]
    Json(String),
}
