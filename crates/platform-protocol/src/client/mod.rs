//! Messages between clients and placers: `length:2 type:1 task:8` and parameters `code:1 length:2 value`, all
//! big-endian. The length counts what follows it.

mod decode;
mod encode;
mod error;

use crate::{FULL, InputBuffer, MAX};

pub use error::{ExtrasError, InvalidMessage, MessageError, Unreadable};

/// Types of messages on the wire.
mod kind {
    pub const SETUP: u8 = 1;
    pub const PROGRESS: u8 = 6;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const RELEASED: u8 = 16;
    pub const NOTE: u8 = 44;
    pub const MOVE: u8 = 51;
    pub const TEST: u8 = 52;
    pub const TESTED: u8 = 53;
}

/// Codes of parameters on the wire.
mod code {
    pub const CLASS: u8 = 180;
    pub const LEFT: u8 = 181;
    pub const TENANT: u8 = 182;
    pub const RETRY: u8 = 183;
    pub const KEY: u8 = 184;
    pub const EXTRAS: u8 = 185;
    pub const RETRY_AFTER: u8 = 186;
    pub const IDEMPOTENCY_KEY: u8 = 193;
    pub const CAUSE: u8 = 194;
    pub const DESCRIPTION: u8 = 195;
    /// Parameters that the platform has numbers for.
    pub const KNOWN: std::ops::RangeInclusive<u8> = CLASS..=DESCRIPTION;
}

/// Bytes of the length field.
const LENGTH_BYTES: usize = 2;
/// Bytes of type and task, the least that follows a length.
const HEADER_BYTES: usize = 9;

/// A request to place a task, as its client sent it; whether its class and tenant exist is not checked here.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Its id.
    pub id: u64,
    /// The class's name.
    pub class: String,
    /// Milliseconds for which the client waits.
    pub left_ms: u64,
    /// The tenant's name, where there are tenants.
    pub tenant: Option<String>,
    /// The client asked for this task before.
    pub is_retry: bool,
    /// The key of the task, the same at each retry.
    pub key: u64,
    /// The idempotency key of keyed classes, the same for all attempts.
    pub idempotency_key: Option<String>,
    /// Cores that the task asks for.
    pub cores: f64,
    /// Memory that the task asks for.
    pub memory: f64,
    /// The task's service.
    pub service: u64,
    /// The host at which the task runs already.
    pub runs_at: Option<String>,
    /// What is passed on to a host unchanged.
    pub description: String,
}

/// A message of a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// A task needs a place, or runs already.
    PlacementRequest(Box<PlacementRequest>),
    /// A request is cancelled, or a running task is to be stopped.
    Release {
        /// The task.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// Is the placer in service?
    HealthCheck(u64),
    /// The client received the release of a task.
    ReleaseConfirmed(u64),
    /// A message without meaning for a placer.
    Ignored,
}

/// A message to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    /// The task runs.
    Answer {
        /// The request.
        id: u64,
        /// As the host gave it.
        description: String,
    },
    /// Refused or failed before an answer, ended after it.
    Release {
        /// The task.
        id: u64,
        /// Why.
        cause: u8,
        /// For how long not to ask again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The task is moved: it ends, and is to be requested again.
    Moved(u64),
    /// The result of a health check.
    HealthCheckResult {
        /// As the health check had it.
        id: u64,
        /// The placer is in service.
        passed: bool,
    },
}

impl ToClient {
    /// A refusal, which promises that nothing ran and that asking again is harmless.
    pub fn refusal(id: u64, retry_after_ms: Option<u64>) -> Self {
        Self::Release {
            id,
            cause: FULL,
            retry_after_ms,
        }
    }

    /// A failure, which promises nothing; after an answer, the end of the task.
    pub fn failure(id: u64, cause: u8) -> Self {
        Self::Release {
            id,
            cause,
            retry_after_ms: None,
        }
    }
}

/// Splits the input of one connection into messages.
#[derive(Debug, Default)]
pub struct Reader(InputBuffer);

impl Reader {
    /// Adds bytes, in the order in which they were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.push(bytes);
    }

    /// Whether a message has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.0.unread().is_empty()
    }

    /// The next whole message; a message that can be delimited and not decoded is an [`InvalidMessage`].
    ///
    /// # Errors
    /// [`Unreadable`] if the length is out of bounds; the connection is of no further use.
    pub fn next_message(
        &mut self,
    ) -> Result<Option<Result<FromClient, InvalidMessage>>, Unreadable> {
        let unread = self.0.unread();
        let Some(length) = unread.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes(*length));
        if !(HEADER_BYTES..=MAX - LENGTH_BYTES).contains(&length) {
            return Err(Unreadable(length));
        }
        let end = LENGTH_BYTES + length;
        let Some(body) = unread.get(LENGTH_BYTES..end) else {
            return Ok(None);
        };
        let message = decode::message(body);
        self.0.consume(end);
        Ok(Some(message))
    }
}
