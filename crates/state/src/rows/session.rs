//! Sessions of clients, and the responses that are kept for repeated calls.

use serde::{Deserialize, Serialize};

/// A session's number; it stays the same over restarts.
pub type SessionNumber = u32;

/// A session.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Session {
    /// Its name.
    pub name: String,
    /// Calls below this one were answered, and their responses are deleted.
    #[serde(rename = "settled")]
    pub deleted_below: u64,
}

/// The response to a call, kept so that a repeated call gets the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredResponse {
    /// A submission: the jobs' names follow from these indices.
    Submission {
        /// The first index.
        first: u64,
        /// No index is over this.
        last: u64,
        /// From one index to the next.
        step: u64,
    },
    /// Any other call's response, as JSON.
    #[serde(rename = "told")]
    Json(String),
}
