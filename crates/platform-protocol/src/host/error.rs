//! What can be wrong with a host's line.

use crate::MAX;

/// A line that is no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It does not end.
    #[error("a line of more than {MAX} bytes")]
    TooLong,
    /// It is not what the protocol has.
    #[error("no message: {0}")]
    InvalidLine(LineError),
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// It is no JSON object of the protocol's form; the parser's message.
    #[error("{0}")]
    Json(String),
    /// The id is malformed.
    #[error("id: {0:?} is not 16 hex digits")]
    InvalidId(String),
    /// There is no such type.
    #[error("type: {0:?} is unknown")]
    UnknownType(String),
    /// A required member or field is missing.
    #[error("{0}: missing")]
    Missing(&'static str),
    /// The cause is out of bounds.
    #[error("cause: {0} is over 255")]
    InvalidCause(u64),
    /// The signal needs a number as its value.
    #[error("value of {0}: no number")]
    MissingValue(&'static str),
}
