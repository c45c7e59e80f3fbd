//! Messages between placers and hosts: one JSON object a line. Its member `type` tells which message it is; the word
//! stands beside each variant.

mod decode;
mod encode;
mod error;

use std::collections::BTreeMap;

use reedring::{Note, Reason};

use crate::{InputBuffer, MAX};

pub use error::{LineError, Unreadable};

/// Numbers by name.
pub type Figures = BTreeMap<String, f64>;

/// A message of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum FromHost {
    /// `answer`: the task runs.
    Answer {
        /// The request.
        id: u64,
        /// To be passed on unchanged.
        description: String,
    },
    /// `release`: the attempt ended before its answer, or the task after it.
    Release {
        /// The task.
        id: u64,
        /// How.
        cause: u8,
        /// Why, if the host says so.
        reason: Option<Reason>,
        /// Figures that may be a load report, by name.
        figures: Figures,
    },
    /// `note`: a signal about a running task.
    TaskSignal {
        /// The task.
        id: u64,
        /// The signal.
        note: Note,
    },
    /// `pong`: the result of a health check.
    HealthCheckResult {
        /// As the health check had it.
        id: u64,
        /// It passed.
        passed: bool,
        /// Figures that may be a load report, by name.
        figures: Figures,
    },
    /// `progress`, `released`, `ping`, `move`, or a `note` of an unknown name: without meaning for a placer.
    Ignored,
}

/// A message to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum ToHost {
    /// `setup`: a task is offered.
    PlacementRequest {
        /// The client's id.
        id: u64,
        /// The class's name.
        class: String,
        /// The key of the task.
        key: u64,
        /// The idempotency key of keyed classes.
        idempotency_key: Option<String>,
        /// Milliseconds for which the placer waits.
        left_ms: u64,
        /// As the client gave it.
        description: String,
    },
    /// `release`: an attempt is given up, or a running task is to be stopped.
    Release {
        /// The task.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// `ping`: a health check.
    HealthCheck {
        /// Comes back with the result.
        id: u64,
        /// A load report is wanted.
        wants_report: bool,
    },
}

/// Splits the input of one connection into messages.
#[derive(Debug, Default)]
pub struct Reader {
    input: InputBuffer,
    /// Unread bytes in which there is no end of a line.
    searched: usize,
}

impl Reader {
    /// Adds bytes, in the order in which they were received.
    pub fn push(&mut self, bytes: &[u8]) {
        self.input.push(bytes);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// [`Unreadable`]; the connection is of no further use.
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
