//! Errors in the input from hosts.

use super::MAX_FIGURES;
use crate::MAX;

/// Why a host's input can't be read. Nothing more is read from its connection.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// A line has more than [`MAX`] bytes.
    #[error("a line is longer than {MAX} bytes")]
    TooLong,
    /// A line is not a message of the protocol.
    #[error("invalid message: {0}")]
    InvalidLine(LineError),
}

/// Why a line is not a message of the protocol.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The line is not a JSON object with the members of a message; this is the parser's message.
    #[error("{0}")]
    Json(String),
    /// The id is not 16 hexadecimal digits.
    #[error("id: {0:?} is not 16 hexadecimal digits")]
    InvalidId(String),
    /// The protocol has no message of this type.
    #[error("type: unknown message type {0:?}")]
    UnknownType(String),
    /// This member or field is required and missing, or not a text where a text is required.
    #[error("{0}: missing or of the wrong type")]
    Missing(&'static str),
    /// The cause does not fit one byte.
    #[error("cause: {0} is out of range, expected 0 to 255")]
    InvalidCause(u64),
    /// The fields hold more than [`MAX_FIGURES`] numbers.
    #[error("fields: more than {MAX_FIGURES} numbers")]
    TooManyFigures,
    /// The note with this name needs a number in the field `value`.
    #[error("fields.value: missing or not a finite number, which the note {0:?} needs")]
    MissingValue(&'static str),
}
