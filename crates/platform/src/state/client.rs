//! Clients' connections, and the task ends that clients are to be notified of.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use reedring::{Micros, RequestId};

use crate::ids::ConnId;

/// A task end is sent again if the connection that it was sent on ends within this time.
const RESEND_WINDOW_US: Micros = 1_000_000;
/// A task end for which there was no connection within this time is dropped.
const UNSENT_END_EXPIRY_US: Micros = 30_000_000;

/// A client's connection and the state of its requests.
#[derive(Debug, Default)]
pub(crate) struct ClientConnection {
    /// The ids of open requests, as the client chose them.
    pub open_requests: BTreeSet<u64>,
    /// When the client connected, last sent a placement request, a health check or the release of a request that is not
    /// open, or last received the answer that its task runs.
    pub last_received: Micros,
    /// Whether the answer that a task runs was sent on the connection, or a running task was handed over on it.
    pub was_answered: bool,
    /// Whether the connection carried a valid request.
    pub sent_valid_request: bool,
    /// How many messages were rejected since the last valid request.
    pub rejected_messages: u32,
    /// Whether the client closed its sending side; the connection is closed once none of its requests is open.
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

    /// Records that a valid request was received.
    pub fn record_valid_request(&mut self, now: Micros) {
        self.last_received = now;
        self.sent_valid_request = true;
        self.rejected_messages = 0;
    }
}

/// The end of a task, of which a client is to be notified.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskEnd {
    /// When the task ended, or when the notification was last sent.
    pub at: Micros,
    /// The connection that the task's request came on.
    pub requested_on: ConnId,
    /// The request's id on the wire.
    pub id: u64,
    /// The cause that is sent to the client.
    pub cause: u8,
}

#[derive(Debug)]
struct SentEnd {
    conn: ConnId,
    end: TaskEnd,
}

/// Task ends that could not be sent yet, and those that were sent a moment ago, which the client may not have received
/// if its connection ends.
#[derive(Debug, Default)]
pub(crate) struct TaskEnds {
    unsent: Vec<TaskEnd>,
    sent: BTreeMap<u64, SentEnd>,
}

impl TaskEnds {
    /// How many ends are held.
    pub fn len(&self) -> usize {
        self.unsent.len() + self.sent.len()
    }

    /// Records an end for which there is no connection.
    pub fn add_unsent(&mut self, end: TaskEnd) {
        self.unsent.push(end);
    }

    /// Records an end that was sent on a connection at `now`.
    pub fn add_sent(&mut self, now: Micros, conn: ConnId, end: TaskEnd) {
        let end = TaskEnd { at: now, ..end };
        self.sent.insert(end.id, SentEnd { conn, end });
    }

    /// Removes an end that the client confirmed.
    pub fn confirm(&mut self, id: u64) {
        self.sent.remove(&id);
    }

    /// Takes all ends for which there was no connection.
    pub fn take_unsent(&mut self) -> Vec<TaskEnd> {
        std::mem::take(&mut self.unsent)
    }

    /// Takes the ends that were sent on this connection a moment ago, in the order of their ids.
    pub fn take_sent_on(&mut self, conn: ConnId) -> Vec<TaskEnd> {
        let sent = self.sent.extract_if(.., |_, sent| sent.conn == conn);
        sent.map(|(_, sent)| sent.end).collect()
    }

    /// Drops the sent ends that need not be sent again, and the unsent ends that are too old.
    pub fn drop_expired(&mut self, now: Micros) {
        self.unsent
            .retain(|end| now < end.at + UNSENT_END_EXPIRY_US);
        self.sent
            .retain(|_, sent| now < sent.end.at + RESEND_WINDOW_US);
    }
}
