//! Clients' connections, and the task ends that clients are to be notified of.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use reedring::{Micros, RequestId};

use crate::ids::ConnId;

/// Task ends are sent again if their connection ends this soon after.
const RESEND_END_US: Micros = 1_000_000;
/// A task end that no client took in this time is dropped.
const KEEP_UNSENT_END_US: Micros = 30_000_000;

/// A client's connection.
#[derive(Debug, Default)]
pub(crate) struct ClientConnection {
    /// Ids of open requests.
    pub open_requests: BTreeSet<u64>,
    /// When it last sent something valid, or connected.
    pub last_received: Micros,
    /// Answers were sent on it, or running tasks were handed over on it.
    pub was_answered: bool,
    /// It carried a valid request.
    pub sent_valid_request: bool,
    /// Rejected messages since the last valid one.
    pub rejected_messages: u32,
    /// It closed its sending side: it is closed once no request of it is open.
    pub end_of_stream: bool,
    /// The shell was told to close it.
    pub is_closing: bool,
    /// The shell was told to close it unless it sent something meanwhile.
    pub is_closing_if_idle: bool,
    /// Some of its input was not read yet.
    pub has_unread_input: bool,
    /// Requests that were not submitted to the decision module yet.
    pub unsubmitted: VecDeque<RequestId>,
    /// It connected when all permits were taken by clients that wait for answers: its requests fail at once.
    pub is_overflow: bool,
}

impl ClientConnection {
    /// Nothing is open on it and it is not being closed.
    pub fn is_idle(&self) -> bool {
        self.open_requests.is_empty() && !self.is_closing && !self.is_closing_if_idle
    }

    /// Messages can be sent on it for as long as the client reads.
    pub fn is_usable(&self) -> bool {
        !self.is_closing && !self.is_closing_if_idle
    }

    /// A valid message came.
    pub fn received_valid_request(&mut self, now: Micros) {
        self.last_received = now;
        self.sent_valid_request = true;
        self.rejected_messages = 0;
    }
}

/// The end of a task that its client is to be notified of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskEnd {
    /// When it ended, or was last sent.
    pub at: Micros,
    /// The connection that its request came on.
    pub requested_on: ConnId,
    /// The id of the request.
    pub id: u64,
    /// The cause for the client.
    pub cause: u8,
}

#[derive(Debug)]
struct SentEnd {
    conn: ConnId,
    end: TaskEnd,
}

/// Task ends that no client took yet, and those that were sent and may have crossed the close of their connection.
#[derive(Debug, Default)]
pub(crate) struct TaskEnds {
    unsent: Vec<TaskEnd>,
    sent: BTreeMap<u64, SentEnd>,
}

impl TaskEnds {
    /// How many ends are kept.
    pub fn len(&self) -> usize {
        self.unsent.len() + self.sent.len()
    }

    /// There is no connection for an end.
    pub fn add_unsent(&mut self, end: TaskEnd) {
        self.unsent.push(end);
    }

    /// An end was sent on a connection.
    pub fn add_sent(&mut self, now: Micros, conn: ConnId, end: TaskEnd) {
        let end = TaskEnd { at: now, ..end };
        self.sent.insert(end.id, SentEnd { conn, end });
    }

    /// The client confirmed the end of a task.
    pub fn confirm(&mut self, id: u64) {
        self.sent.remove(&id);
    }

    /// Takes all ends that found no connection.
    pub fn take_unsent(&mut self) -> Vec<TaskEnd> {
        std::mem::take(&mut self.unsent)
    }

    /// Takes the ends that were sent on this connection a moment ago, by id.
    pub fn take_sent_on(&mut self, conn: ConnId) -> Vec<TaskEnd> {
        let sent = self.sent.extract_if(.., |_, sent| sent.conn == conn);
        sent.map(|(_, sent)| sent.end).collect()
    }

    /// Drops ends that were received, or that concern nobody any more.
    pub fn drop_old(&mut self, now: Micros) {
        self.unsent.retain(|end| now < end.at + KEEP_UNSENT_END_US);
        self.sent
            .retain(|_, sent| now < sent.end.at + RESEND_END_US);
    }
}
