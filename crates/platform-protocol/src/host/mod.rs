//! Messages between placers and hosts, one JSON object per line. The member `type` is the message type; the documentation
//! of each variant begins with its value.

mod decode;
mod encode;
mod error;

use std::collections::BTreeMap;

use reedring::{Note, Reason};

use crate::{InputBuffer, MAX};

pub use error::{LineError, Unreadable};

/// Maximum number of named numbers in a host's message. A load report has a few; a line has room for thousands, which
/// take many times its size in memory.
pub const MAX_FIGURES: usize = 256;

/// Named numbers from a host's message.
pub type Figures = BTreeMap<String, f64>;

/// A message from a host.
#[derive(Clone, Debug, PartialEq)]
pub enum FromHost {
    /// `answer`: the host accepted the task.
    Answer {
        /// The task id of the request.
        id: u64,
        /// A text that is passed on to the client unchanged.
        description: String,
    },
    /// `release`: before an answer, the attempt ended; after it, the task ended.
    Release {
        /// The task id.
        id: u64,
        /// How the attempt or the task ended: one of the causes at the root of this crate, or any other byte.
        cause: u8,
        /// The reason, if the host gives one that a placer knows.
        reason: Option<Reason>,
        /// The named numbers of the message, which may contain a load report.
        figures: Figures,
    },
    /// `note`: a signal about a running task.
    TaskSignal {
        /// The task id.
        id: u64,
        /// The signal.
        note: Note,
    },
    /// `pong`: the result of a health check.
    HealthCheckResult {
        /// The id of the health check.
        id: u64,
        /// Whether the host passed the health check.
        passed: bool,
        /// The named numbers of the message, which may contain a load report.
        figures: Figures,
    },
    /// `released`: the host confirms that it received the release of the task with this id.
    ReleaseConfirmed(u64),
    /// `progress`, `ping`, `move`, or a `note` with an unknown name: a placer does not act on these.
    Ignored,
}

/// A message to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum ToHost {
    /// `setup`: a task is offered to the host.
    PlacementRequest {
        /// The task id, as the client gave it.
        id: u64,
        /// The name of the task's class.
        class: String,
        /// The key of the task.
        key: u64,
        /// The idempotency key; only tasks of keyed classes have one.
        idempotency_key: Option<String>,
        /// How long the placer waits for an answer, in milliseconds.
        left_ms: u64,
        /// The text of the client's request, unchanged.
        description: String,
    },
    /// `release`: an attempt is given up, or a running task is to be stopped.
    Release {
        /// The task id.
        id: u64,
        /// One of the causes at the root of this crate.
        cause: u8,
    },
    /// `ping`: a health check.
    HealthCheck {
        /// The id of the health check, which the host repeats in the result.
        id: u64,
        /// Whether the result is to contain a load report.
        wants_report: bool,
    },
}

/// Splits the input of one link into messages.
#[derive(Debug, Default)]
pub struct Reader {
    input: InputBuffer,
    /// Length of the prefix of the unread bytes that is known to contain no line feed.
    searched: usize,
}

impl Reader {
    /// Appends bytes that were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// Whether a part of a message was received whose rest was not.
    pub fn is_partial(&self) -> bool {
        !self.input.unread().is_empty()
    }

    /// Removes and returns the next message; `None` if it is not complete yet.
    ///
    /// # Errors
    /// [`Unreadable`] if a line is too long or not a message. Nothing more can be read from this input.
    pub fn next_message(&mut self) -> Result<Option<FromHost>, Unreadable> {
        let unread = self.input.unread();
        let end = unread[self.searched..]
            .iter()
            .position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| end + self.searched) else {
            self.searched = unread.len();
            return if unread.len() >= MAX {
                Err(Unreadable::TooLong)
            } else {
                Ok(None)
            };
        };
        if end >= MAX {
            return Err(Unreadable::TooLong);
        }
        let message = decode::message(&unread[..end]);
        self.searched = 0;
        self.input.consume(end + 1);
        message.map(Some).map_err(Unreadable::InvalidLine)
    }
}
