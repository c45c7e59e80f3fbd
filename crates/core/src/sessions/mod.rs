//! Sessions: which client owns which jobs, which calls wait for what, and what was answered.
//!
//! It owns every [`Session`], and notes which rows of them changed since they were persisted last.

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

/// All sessions.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    all: BTreeMap<SessionNumber, Session>,
    numbers: BTreeMap<Arc<str>, SessionNumber>,
    last: SessionNumber,
    /// Waiting calls by connection, to find those of one that ended.
    by_conn: BTreeSet<(ConnectionId, SessionNumber, u64)>,
    /// Sessions that may have changes that are not persisted, and those that are forgotten.
    touched: BTreeSet<SessionNumber>,
    forgotten: Vec<SessionNumber>,
}

impl Sessions {
    /// The number of a session.
    ///
    /// # Errors
    /// `NoActiveSession` where none of this name is open.
    pub fn find(&self, name: &str) -> Result<SessionNumber> {
        self.numbers.get(name).copied().ok_or_else(|| {
            let text = format!("no session `{name}` is open; call drmaa_init first");
            Error::new(ErrorCode::NoActiveSession, text)
        })
    }

    /// Opens a session, or finds it.
    ///
    /// # Errors
    /// `InvalidArgument` for a name that is none, `TryLater` where `limit` are open.
    pub fn open(&mut self, name: &str, now: Micros, limit: usize) -> Result<SessionNumber> {
        if let Some(number) = self.numbers.get(name) {
            return Ok(*number);
        }
        let legal = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || name.len() > MAX_SESSION || !name.chars().all(legal) {
            let text =
                format!("a session's name has 1 to {MAX_SESSION} letters, digits, `-` and `_`");
            return Err(Error::new(ErrorCode::InvalidArgument, text));
        }
        if self.all.len() >= limit {
            let text = format!("{limit} sessions are open, the most that this placer keeps");
            return Err(Error::new(ErrorCode::TryLater, text));
        }
        let number = SessionNumber(self.last.0 + 1);
        let mut session = Session::new(name, number, now);
        session.changes.push(session.row());
        self.add(session);
        self.touched.insert(number);
        Ok(number)
    }

    fn add(&mut self, session: Session) {
        let number = session.number();
        self.last = self.last.max(number);
        self.numbers.insert(Arc::clone(session.name()), number);
        self.all.insert(number, session);
    }

    /// A session of a former incarnation, under its number there.
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

    /// A session that is about to change.
    pub fn get_mut(&mut self, number: SessionNumber) -> Option<&mut Session> {
        self.touched.insert(number);
        self.all.get_mut(&number)
    }

    // ---- Waits ----

    /// A call waits. The same call made again takes the place of the one before.
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

    /// Answers a call that waits.
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

    /// A connection ended: nobody waits on it any more.
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

    // ---- Forgetting ----

    /// Forgets sessions that hold nothing and were not used since.
    pub fn forget_idle(&mut self, before: Micros) {
        let (numbers, forgotten) = (&mut self.numbers, &mut self.forgotten);
        self.all.retain(|number, session| {
            let is_idle = session.is_idle_since(before);
            if is_idle {
                forgotten.push(*number);
                numbers.remove(session.name());
            }
            !is_idle
        });
    }

    /// Jobs that have ended and that nobody has waited for yet.
    pub fn ended_jobs(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.all.values().flat_map(Session::ended)
    }

    // ---- Rows ----

    /// Rows that changed since this was last asked.
    pub fn take_changes(&mut self) -> Vec<Change> {
        let forgotten = std::mem::take(&mut self.forgotten).into_iter();
        let mut changes: Vec<Change> = forgotten
            .map(|number| Change::Session(number.0, None))
            .collect();
        for number in std::mem::take(&mut self.touched) {
            if let Some(session) = self.all.get_mut(&number) {
                changes.append(&mut session.changes);
            }
        }
        changes
    }

    /// Every row.
    pub fn rows(&mut self) -> Vec<Change> {
        self.take_changes();
        self.all.values().flat_map(Session::rows).collect()
    }
}
