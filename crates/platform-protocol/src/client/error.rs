//! What can be wrong with a client's message.

/// A message that can be delimited and not decoded; its sender is answered with a failure on this id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message on {id:016x}: {error}")]
pub struct InvalidMessage {
    /// The task that it names.
    pub id: u64,
    /// What is wrong with it.
    pub error: MessageError,
}

/// Input in which no message can be delimited any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message of {0} bytes")]
pub struct Unreadable(pub usize);

/// What is wrong with a message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// There is no such type.
    #[error("type {0} is no message")]
    UnknownType(u8),
    /// Clients send no answers.
    #[error("an answer, which clients do not send")]
    UnexpectedAnswer,
    /// A placement request names no task.
    #[error("a placement request without an id")]
    MissingId,
    /// The parameters exceed the message.
    #[error("parameters do not fit the message, from byte {offset}")]
    Truncated {
        /// Where the one begins that does not fit.
        offset: usize,
    },
    /// There is no such parameter.
    #[error("parameter {0} does not exist")]
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
    /// The cause has more or less than one byte.
    #[error("the cause is not one byte")]
    InvalidCause,
    /// The time is no whole number of milliseconds, 0 or too long.
    #[error("{0:?} is no time to wait")]
    InvalidTime(String),
    /// The mark of a retry is unknown.
    #[error("{0:?} does not mark a retry")]
    InvalidRetry(String),
    /// The key of the task is malformed.
    #[error("the key {0:?} is not 16 hex digits")]
    InvalidKey(String),
    /// The figures of the task are malformed.
    #[error("{error}: {text:?}")]
    InvalidExtras {
        /// What is wrong.
        error: ExtrasError,
        /// The parameter.
        text: String,
    },
}

/// What is wrong with the figures of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExtrasError {
    /// A figure has no name.
    #[error("a figure without a name")]
    Unnamed,
    /// A figure occurs more than once.
    #[error("a figure is repeated")]
    Repeated,
    /// A figure is missing, or no finite number of at least 0.
    #[error("{0} is not a number of at least 0")]
    InvalidFigure(&'static str),
    /// The service is missing or malformed.
    #[error("service is not 16 hex digits")]
    InvalidService,
}
