//! Records of the answers to calls, kept until the client confirms that it has them.

use reedring_drmaa::Result;
use reedring_drmaa::rpc::{Answer, Range, Response};
use reedring_state as state;

/// The recorded result of a call, to answer the same call again.
#[derive(Debug)]
pub(crate) enum CallRecord {
    Answer(Result<Answer>),
    /// A submission with these indices, from which the names of its jobs follow.
    Submission(Range),
}

impl CallRecord {
    /// The record as a row. An answer is stored in the format in which it is sent.
    pub fn to_row(&self) -> state::StoredResponse {
        match self {
            Self::Answer(result) => {
                let response = Response::new(0, result.clone());
                state::StoredResponse::Json(serde_json::to_string(&response).unwrap_or_default())
            }
            Self::Submission(Range { first, last, step }) => state::StoredResponse::Submission {
                first: *first,
                last: *last,
                step: *step,
            },
        }
    }

    /// The record of a row; `None` where the row can't be read.
    pub fn from_row(row: &state::StoredResponse) -> Option<Self> {
        match row {
            state::StoredResponse::Submission { first, last, step } => {
                Some(Self::Submission(Range {
                    first: *first,
                    last: *last,
                    step: *step,
                }))
            }
            state::StoredResponse::Json(text) => {
                let response: Response = serde_json::from_str(text).ok()?;
                let result = match (response.result, response.error) {
                    (Some(answer), _) => Ok(answer),
                    (None, Some(fault)) => Err(fault.into()),
                    (None, None) => return None,
                };
                Some(Self::Answer(result))
            }
        }
    }
}
