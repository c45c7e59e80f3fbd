//! Errors in the input from clients.

use super::{HEADER_BYTES, LENGTH_BYTES};
use crate::MAX;

/// A message whose length is valid but whose body can't be decoded. It is answered with a failure for this id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message about task {id:016x}: {error}")]
pub struct InvalidMessage {
    /// The task id of the message.
    pub id: u64,
    /// Why the message can't be decoded.
    pub error: MessageError,
}

/// The length field of a message, which is out of bounds. The input after it can't be split into messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the length field of a message is {0}, expected {HEADER_BYTES} to {max}",
    max = MAX - LENGTH_BYTES
)]
pub struct Unreadable(pub usize);

/// Why a message can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// The protocol has no message of this type.
    #[error("unknown message type {0}")]
    UnknownType(u8),
    /// The message is an answer, which only placers send.
    #[error("the message is an answer, which only placers send")]
    UnexpectedAnswer,
    /// The task id of a placement request is 0.
    #[error("the task id of a placement request is 0")]
    MissingId,
    /// A parameter extends beyond the end of the message.
    #[error("the parameter at byte {offset} of the parameters extends beyond the message")]
    Truncated {
        /// The offset in bytes from the start of the parameters.
        offset: usize,
    },
    /// The protocol has no parameter with this code.
    #[error("unknown parameter {0}")]
    UnknownParameter(u8),
    /// A parameter occurs more than once.
    #[error("parameter {0} is repeated")]
    RepeatedParameter(u8),
    /// A required parameter is missing.
    #[error("parameter {0} is missing")]
    MissingParameter(u8),
    /// A parameter is not UTF-8.
    #[error("parameter {0} is not UTF-8")]
    NotUtf8(u8),
    /// The cause has this many bytes instead of one.
    #[error("the cause has {0} bytes, expected 1")]
    InvalidCause(usize),
    /// The time that the client waits is not a whole number of milliseconds, is 0 or is too long.
    #[error("the waiting time {0:?} is not a whole number of milliseconds from 1 to {max}", max = super::decode::MAX_LEFT_MS)]
    InvalidTime(String),
    /// The parameter that marks a retry has a value other than `1`.
    #[error("the retry mark is {0:?}, expected \"1\"")]
    InvalidRetry(String),
    /// The key of the task is not 16 hexadecimal digits.
    #[error("the task key {0:?} is not 16 hexadecimal digits")]
    InvalidKey(String),
    /// The parameter with the task's cores, memory and service is malformed.
    #[error("{error} in {text:?}")]
    InvalidExtras {
        /// Why it is malformed.
        error: ExtrasError,
        /// The value of the parameter, as received.
        text: String,
    },
}

/// Why the parameter with a task's cores, memory and service is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExtrasError {
    /// A part has no name: it lacks a colon.
    #[error("a part without a colon, expected name:value parts separated by semicolons,")]
    Unnamed,
    /// A name occurs more than once.
    #[error("a repeated name")]
    Repeated,
    /// The value with this name is missing, or not a finite number of at least 0.
    #[error("{0} is missing or not a finite number of at least 0")]
    InvalidFigure(&'static str),
    /// The service is missing or not 16 hexadecimal digits.
    #[error("service is missing or not 16 hexadecimal digits")]
    InvalidService,
}
