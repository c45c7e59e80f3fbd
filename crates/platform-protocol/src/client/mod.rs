//! Messages between clients and placers.
//!
//! A message is `length:2 type:1 task:8`, followed by parameters `code:1 length:2 value`. The numbers after the colons are
//! sizes in bytes. All numbers are big-endian; a length counts the bytes after it.

mod decode;
mod encode;
mod error;

use crate::{InputBuffer, MAX, REFUSED};

pub use error::{ExtrasError, InvalidMessage, MessageError, Unreadable};

/// The numbers of the message types on the wire.
mod kind {
    pub const PLACEMENT_REQUEST: u8 = 1;
    pub const PROGRESS: u8 = 6;
    pub const ANSWER: u8 = 9;
    pub const RELEASE: u8 = 12;
    pub const RELEASE_CONFIRMED: u8 = 16;
    pub const NOTE: u8 = 44;
    pub const MOVED: u8 = 51;
    pub const HEALTH_CHECK: u8 = 52;
    pub const HEALTH_CHECK_RESULT: u8 = 53;
}

/// The codes of the parameters on the wire.
mod code {
    pub const CLASS: u8 = 180;
    pub const TIME_LEFT: u8 = 181;
    pub const TENANT: u8 = 182;
    pub const RETRY: u8 = 183;
    pub const KEY: u8 = 184;
    pub const EXTRAS: u8 = 185;
    pub const RETRY_AFTER: u8 = 186;
    pub const IDEMPOTENCY_KEY: u8 = 193;
    pub const CAUSE: u8 = 194;
    pub const DESCRIPTION: u8 = 195;
    /// The codes that the platform defines; a message with any other one is rejected.
    pub const KNOWN: std::ops::RangeInclusive<u8> = CLASS..=DESCRIPTION;
}

/// Size of the length field, in bytes.
const LENGTH_BYTES: usize = 2;
/// Size of type and task id, in bytes; the minimum value of the length field.
const HEADER_BYTES: usize = 9;

/// A request to place a task, or to take over a task that runs already, as its client sent it. Decoding does not check
/// whether its class and tenant exist.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// The task id, which is never 0.
    pub id: u64,
    /// The name of the task's class.
    pub class: String,
    /// How long the client still waits for an answer, in milliseconds; at least 1.
    pub left_ms: u64,
    /// The name of the tenant, if the client gave one.
    pub tenant: Option<String>,
    /// Whether the client requested this task before.
    pub is_retry: bool,
    /// The key of the task, which is the same in each retry.
    pub key: u64,
    /// The idempotency key, which is the same for all attempts; only tasks of keyed classes have one.
    pub idempotency_key: Option<String>,
    /// The number of cores that the task requests.
    pub cores: f64,
    /// The memory that the task requests, in the deployment's unit.
    pub memory: f64,
    /// The number of the service that the task belongs to.
    pub service: u64,
    /// The name of the host on which the task runs already; `None` if it is to be placed.
    pub runs_at: Option<String>,
    /// A text that is passed on to the host unchanged.
    pub description: String,
}

impl PlacementRequest {
    /// The size of all texts, in bytes.
    pub fn text_bytes(&self) -> usize {
        let optional = [&self.tenant, &self.idempotency_key, &self.runs_at];
        let optional = optional.into_iter().flatten().map(String::len);
        self.class.len() + self.description.len() + optional.sum::<usize>()
    }

    /// Drops all texts and frees their memory.
    pub fn discard_texts(&mut self) {
        (self.class, self.description) = (String::new(), String::new());
        (self.tenant, self.idempotency_key, self.runs_at) = (None, None, None);
    }
}

/// A message from a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// A task is to be placed, or to be taken over because it runs already.
    PlacementRequest(Box<PlacementRequest>),
    /// A request is cancelled, or a running task is to be stopped.
    Release {
        /// The task id.
        id: u64,
        /// The cause that the client gave; [`GIVEN_UP`](crate::GIVEN_UP) if it gave none.
        cause: u8,
    },
    /// Asks whether the placer is in service. The id is repeated in the result.
    HealthCheck(u64),
    /// The client confirms that it received the release of the task with this id.
    ReleaseConfirmed(u64),
    /// A valid message that a placer does not act on.
    Ignored,
}

/// A message to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    /// The task was accepted by a host.
    Answer {
        /// The task id of the request.
        id: u64,
        /// The text that the host answered with, unchanged.
        description: String,
    },
    /// Before an answer: the request is refused or failed. After it: the task ended.
    Release {
        /// The task id.
        id: u64,
        /// One of the causes at the root of this crate, or one that a host gave.
        cause: u8,
        /// How long the client is to wait before it repeats the request, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The running task with this id is to be moved: it ends, and the client is to request it again.
    Moved(u64),
    /// The result of a health check.
    HealthCheckResult {
        /// The id of the health check.
        id: u64,
        /// Whether the placer is in service.
        passed: bool,
    },
}

impl ToClient {
    /// Refuses a request: nothing of it ran, so that the client can safely repeat it.
    pub fn refusal(id: u64, retry_after_ms: Option<u64>) -> Self {
        Self::Release {
            id,
            cause: REFUSED,
            retry_after_ms,
        }
    }

    /// Before an answer: the request failed, and the task may have run. After it: the task ended.
    pub fn failure(id: u64, cause: u8) -> Self {
        Self::Release {
            id,
            cause,
            retry_after_ms: None,
        }
    }
}

/// Splits the input of one client connection into messages.
#[derive(Debug, Default)]
pub struct Reader(InputBuffer);

impl Reader {
    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.push(bytes);
    }

    /// Whether there is input that does not form a complete message yet, or was not read yet.
    pub fn is_partial(&self) -> bool {
        !self.0.unread().is_empty()
    }

    /// Removes and returns the next message, or [`InvalidMessage`] if its body can't be decoded; `None` if it is not complete
    /// yet.
    ///
    /// # Errors
    /// [`Unreadable`] if the length field is out of bounds. Nothing more can be read from this input.
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
