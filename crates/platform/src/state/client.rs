//! Clients' connections.

use std::collections::{BTreeSet, VecDeque};

use reedring::{Micros, RequestId};

use crate::decide::TaskOwnership;

/// A client's connection and the state of its requests.
#[derive(Debug, Default)]
pub(crate) struct ClientConnection {
    /// The ids of open requests, as the client chose them.
    pub open_requests: BTreeSet<u64>,
    /// When the client connected, last sent a placement request, a health check or the release of a request that is not
    /// open, or last received the answer that its task runs.
    pub last_received: Micros,
    /// What the connection has shown of running tasks that its client owns: the answer that a task runs was sent on it, a
    /// running task was handed over on it, or the client ended a running task on it.
    pub ownership: TaskOwnership,
    /// Whether the connection carried a valid request.
    pub sent_valid_request: bool,
    /// How many messages were rejected since the last valid request.
    pub rejected_messages: u32,
    /// When it became known that the client had closed its sending side, if more of its input was to be read then.
    pub ended_at: Option<Micros>,
    /// Whether all input was read of a client that closed its sending side; the connection is closed once none of its
    /// requests is open.
    pub end_of_stream: bool,
    /// Whether the shell was asked to close the connection.
    pub is_closing: bool,
    /// Whether the shell was asked to close the connection unless the client has sent something meanwhile.
    pub is_closing_if_idle: bool,
    /// Whether some of the client's input was not read yet.
    pub has_unread_input: bool,
    /// Requests that were not submitted to the decision module yet, in the order in which they were received.
    pub unsubmitted: VecDeque<RequestId>,
    /// Whether the connection was accepted beyond the limit while no other was idle: its requests fail at once.
    pub is_overflow: bool,
}

impl ClientConnection {
    /// Whether no request is open on the connection and it is not being closed.
    pub fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && !self.is_closing && !self.is_closing_if_idle
    }

    /// Whether messages can be sent on the connection: it is not being closed.
    pub fn is_usable(&self) -> bool {
        !self.is_closing && !self.is_closing_if_idle
    }

    /// Records that the client was active, and what that shows of running tasks that it owns.
    pub fn record_ownership(&mut self, now: Micros, ownership: TaskOwnership) {
        self.last_received = now;
        self.ownership = self.ownership.max(ownership);
    }

    /// Records that a valid request was received.
    pub fn record_valid_request(&mut self, now: Micros) {
        self.last_received = now;
        self.sent_valid_request = true;
        self.rejected_messages = 0;
    }
}
