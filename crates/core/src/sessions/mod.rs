//! Client sessions: their jobs, the calls that wait, and the recorded answers.
//!
//! [`Sessions`] owns every [`Session`] and tracks which of their rows changed since they were last persisted.

mod call_record;
mod session;
#[cfg(test)]
mod tests;
mod waiter;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::Micros;
use reedring_drmaa::rpc::{Answer, MAX_SESSION};
use reedring_drmaa::{Error, ErrorCode, Result};
use reedring_state::{self as state, Change};

use crate::ids::{JobNumber, SessionNumber};
use crate::io::ConnectionId;
pub(crate) use call_record::CallRecord;
pub(crate) use session::Session;
pub(crate) use waiter::{CompletedCall, WaitCondition, Waiter};

/// All open sessions.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    all: BTreeMap<SessionNumber, Session>,
    numbers: BTreeMap<Arc<str>, SessionNumber>,
    /// The greatest session number in use so far.
    last: SessionNumber,
    /// Waiting calls by connection, to find those of a connection that has ended.
    by_conn: BTreeSet<(ConnectionId, SessionNumber, u64)>,
    /// Sessions that may have changes that are not persisted.
    touched: BTreeSet<SessionNumber>,
    /// Sessions that were deleted since they were last persisted.
    removed: Vec<SessionNumber>,
}

impl Sessions {
    /// The number of the session with this name.
    ///
    /// # Errors
    /// `NoActiveSession` where no session of this name is open.
    pub fn find(&self, name: &str) -> Result<SessionNumber> {
        self.numbers.get(name).copied().ok_or_else(|| {
            let text = format!("no session `{name}` is open; call drmaa_init first");
            Error::new(ErrorCode::NoActiveSession, text)
        })
    }

    /// Opens a session, or finds the open session of this name.
    ///
    /// # Errors
    /// `InvalidArgument` for an invalid name, `TryLater` where `limit` sessions are open.
    pub fn open(&mut self, name: &str, now: Micros, limit: usize) -> Result<SessionNumber> {
        if let Some(number) = self.numbers.get(name) {
            return Ok(*number);
        }
        let is_valid = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || name.len() > MAX_SESSION || !name.chars().all(is_valid) {
            let text =
                format!("a session name must have 1 to {MAX_SESSION} letters, digits, `-` and `_`");
            return Err(Error::new(ErrorCode::InvalidArgument, text));
        }
        if self.all.len() >= limit {
            let text = format!("{limit} sessions are open, the limit of this placer; try later");
            return Err(Error::new(ErrorCode::TryLater, text));
        }
        let number = SessionNumber(self.last.0 + 1);
        let mut session = Session::new(name, number, now);
        session.changes.push(session.row());
        self.add(session);
        self.touched.insert(number);
        Ok(number)
    }

    /// Adds a session under its number and its name.
    fn add(&mut self, session: Session) {
        let number = session.number();
        self.last = self.last.max(number);
        self.numbers.insert(Arc::clone(session.name()), number);
        self.all.insert(number, session);
    }

    /// Restores a session of a former incarnation under the number that it had there.
    pub fn restore(
        &mut self,
        number: SessionNumber,
        row: &state::Session,
        calls: Option<&BTreeMap<u64, state::StoredResponse>>,
        now: Micros,
    ) {
        self.add(Session::restore(row, number, calls, now));
    }

    pub fn get(&self, number: SessionNumber) -> Option<&Session> {
        self.all.get(&number)
    }

    /// A session to be changed; it is marked as changed.
    pub fn get_mut(&mut self, number: SessionNumber) -> Option<&mut Session> {
        self.touched.insert(number);
        self.all.get_mut(&number)
    }

    // ---- Waits ----

    /// Adds a waiting call. It replaces an earlier one with the same number in the session.
    pub fn wait(&mut self, number: SessionNumber, call: u64, waiter: Waiter) {
        let Some(session) = self.all.get_mut(&number) else {
            return;
        };
        let conn = waiter.conn;
        self.by_conn.insert((conn, number, call));
        if let Some(old) = session.waiters.insert(call, waiter)
            && old.conn != conn
        {
            self.by_conn.remove(&(old.conn, number, call));
        }
    }

    /// Ends a call's wait and returns its response; `None` where no such call waits.
    pub fn answer(
        &mut self,
        number: SessionNumber,
        call: u64,
        result: Result<Answer>,
    ) -> Option<CompletedCall> {
        let completed = self.get_mut(number)?.answer(call, result)?;
        self.by_conn.remove(&(completed.conn, number, call));
        Some(completed)
    }

    /// Removes the waiting calls of a connection that has ended.
    pub fn client_disconnected(&mut self, conn: ConnectionId) {
        let first = (conn, SessionNumber::default(), 0);
        let last = (conn, SessionNumber::MAX, u64::MAX);
        let waits: Vec<_> = self.by_conn.range(first..=last).copied().collect();
        for (conn, number, call) in waits {
            self.by_conn.remove(&(conn, number, call));
            if let Some(session) = self.all.get_mut(&number) {
                session.waiters.remove(&call);
            }
        }
    }

    // ---- Removal ----

    /// Deletes the sessions that have no jobs and no waiting calls and were last used before `before`.
    pub fn remove_idle(&mut self, before: Micros) {
        let (numbers, removed) = (&mut self.numbers, &mut self.removed);
        self.all.retain(|number, session| {
            let is_idle = session.is_idle_since(before);
            if is_idle {
                removed.push(*number);
                numbers.remove(session.name());
            }
            !is_idle
        });
    }

    /// The jobs that have ended and whose end was not returned yet.
    pub fn ended_jobs(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.all.values().flat_map(Session::ended)
    }

    // ---- Rows ----

    /// The rows that changed since the last call of this method.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let removed = std::mem::take(&mut self.removed).into_iter();
        let mut changes: Vec<Change> = removed
            .map(|number| Change::Session(number.0, None))
            .collect();
        for number in std::mem::take(&mut self.touched) {
            if let Some(session) = self.all.get_mut(&number) {
                changes.append(&mut session.changes);
            }
        }
        changes
    }

    /// All rows, for a rewrite of the whole ledger on disk; pending changes are dropped.
    pub fn rows(&mut self) -> Vec<Change> {
        self.take_changes();
        self.all.values().flat_map(Session::rows).collect()
    }
}
