//! The task ends that clients are to be notified of.

use std::collections::BTreeMap;

use reedring::Micros;

use super::bounded_map::BoundedMap;
use crate::ids::ConnId;

/// A task end is sent again if the connection that it was sent on ends within this time.
const RESEND_WINDOW_US: Micros = 1_000_000;
/// A task end for which there was no connection within this time is dropped.
const UNSENT_END_EXPIRY_US: Micros = 30_000_000;
/// Maximum number of ends that wait for a connection, and of ends that may have to be sent again: some 2 MB together.
const MAX_ENDS: usize = 16_384;

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
#[derive(Debug)]
pub(crate) struct TaskEnds {
    unsent: BoundedMap<u64, TaskEnd>,
    sent: BTreeMap<u64, SentEnd>,
}

impl Default for TaskEnds {
    fn default() -> Self {
        Self {
            unsent: BoundedMap::new(MAX_ENDS),
            sent: BTreeMap::new(),
        }
    }
}

impl TaskEnds {
    /// How many ends are held.
    pub fn len(&self) -> usize {
        self.unsent.len() + self.sent.len()
    }

    /// Records an end for which there is no connection. At the limit, the oldest one is dropped.
    pub fn add_unsent(&mut self, end: TaskEnd) {
        self.unsent.add(end.id, end);
    }

    /// Records an end that was sent on a connection at `now`. At the limit it is not recorded, and so not sent again.
    pub fn add_sent(&mut self, now: Micros, conn: ConnId, end: TaskEnd) {
        if self.sent.len() >= MAX_ENDS {
            return;
        }
        let end = TaskEnd { at: now, ..end };
        self.sent.insert(end.id, SentEnd { conn, end });
    }

    /// Removes an end that the client confirmed, or that it need not be notified of as it ended the task itself. Returns
    /// whether the end was held.
    pub fn confirm(&mut self, id: u64) -> bool {
        let was_sent = self.sent.remove(&id).is_some();
        self.unsent.remove(id).is_some() || was_sent
    }

    /// Takes all ends for which there was no connection, the oldest first.
    pub fn take_unsent(&mut self) -> Vec<TaskEnd> {
        let unsent = self.unsent.remove_where(|_| true);
        unsent.into_iter().map(|(_, end)| end).collect()
    }

    /// Takes the ends that were sent on this connection a moment ago, in the order of their ids.
    pub fn take_sent_on(&mut self, conn: ConnId) -> Vec<TaskEnd> {
        let sent = self.sent.extract_if(.., |_, sent| sent.conn == conn);
        sent.map(|(_, sent)| sent.end).collect()
    }

    /// Drops the sent ends that need not be sent again, and the unsent ends that are too old.
    pub fn drop_expired(&mut self, now: Micros) {
        self.unsent
            .remove_where(|end| end.at + UNSENT_END_EXPIRY_US <= now);
        self.sent
            .retain(|_, sent| now < sent.end.at + RESEND_WINDOW_US);
    }
}
