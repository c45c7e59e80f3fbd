//! Sessions: whose jobs are whose, who waits for what, and what was answered.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::Micros;
use reedring_drmaa::rpc::{Answer, Call, MAX_SESSION, Range, Response};
use reedring_drmaa::{Error, ErrorCode, JobInfo, Result};
use reedring_state::{self as state, Change};

use crate::io::ConnId;
use crate::jobs::{JobNo, SessionNo};

/// Answers kept for one session: more than any client has calls under way.
const MAX_RECORDS: usize = 65_536;

/// What a call came to, kept until its client says that it knows.
#[derive(Debug)]
pub(crate) enum Record {
    Answer(Result<Answer>),
    /// The jobs' names follow from the indices.
    Submission(Range),
}

impl Record {
    /// As it is kept. Answers are kept as they are sent.
    fn kept(&self) -> state::StoredResponse {
        match self {
            Self::Answer(result) => {
                let response = Response::new(0, result.clone());
                state::StoredResponse::Json(serde_json::to_string(&response).unwrap_or_default())
            }
            Self::Submission(Range { first, last, step }) => state::StoredResponse::Submission {
                first: *first,
                last: *last,
                step: *step,
            },
        }
    }

    fn restore(kept: &state::StoredResponse) -> Option<Self> {
        match kept {
            state::StoredResponse::Submission { first, last, step } => {
                Some(Self::Submission(Range {
                    first: *first,
                    last: *last,
                    step: *step,
                }))
            }
            state::StoredResponse::Json(text) => {
                let response: Response = serde_json::from_str(text).ok()?;
                let result = match (response.result, response.error) {
                    (Some(answer), _) => Ok(answer),
                    (None, Some(fault)) => Err(fault.into()),
                    (None, None) => return None,
                };
                Some(Self::Answer(result))
            }
        }
    }
}

/// What a waiting call waits for.
#[derive(Debug)]
pub(crate) enum Waits {
    Any,
    Job(JobNo),
    All {
        left: BTreeSet<JobNo>,
        jobs: Vec<JobNo>,
        dispose: bool,
    },
}

#[derive(Debug)]
pub(crate) struct Waiter {
    pub conn: ConnId,
    pub id: u64,
    pub waits: Waits,
}

#[derive(Debug)]
pub(crate) struct Session {
    pub name: Arc<str>,
    /// Jobs that nobody has waited for yet, by call and index.
    pub jobs: BTreeMap<(u64, u64), JobNo>,
    /// Those of them that are over.
    pub over: BTreeSet<JobNo>,
    records: BTreeMap<u64, Record>,
    settled: u64,
    /// Waiting calls by number.
    pub waiters: BTreeMap<u64, Waiter>,
    pub touched: Micros,
    number: SessionNo,
    /// What is not kept yet.
    changes: Vec<Change>,
}

/// An answer to a call that waited.
pub(crate) struct Answered {
    pub conn: ConnId,
    pub response: Response,
}

impl Session {
    fn new(name: &str, number: SessionNo, now: Micros) -> Self {
        Self {
            number,
            changes: Vec::new(),
            name: name.into(),
            jobs: BTreeMap::new(),
            over: BTreeSet::new(),
            records: BTreeMap::new(),
            settled: 0,
            waiters: BTreeMap::new(),
            touched: now,
        }
    }

    fn row(&self) -> Change {
        let row = state::Session {
            name: self.name.to_string(),
            deleted_below: self.settled,
        };
        Change::Session(self.number, Some(row))
    }

    /// Forgets the records that the client says it needs no more.
    pub fn settle(&mut self, settled: u64) {
        if settled > self.settled {
            self.settled = settled;
            // A successor must know of the calls that it finds no answer of.
            self.changes
                .extend([Change::CallsDeletedBelow(self.number, settled), self.row()]);
            self.records = self.records.split_off(&settled);
        }
    }

    /// What this call came to before, if it was made before.
    ///
    /// # Errors
    /// `InvalidArgument` for a call that its client had said was settled.
    pub fn recorded(&self, call: u64) -> Result<Option<&Record>> {
        if call < self.settled {
            let text = format!(
                "call {call} is below {}, which was said to be settled",
                self.settled
            );
            return Err(Error::new(ErrorCode::InvalidArgument, text));
        }
        Ok(self.records.get(&call))
    }

    /// A call was made once and is closed: its jobs were all told of, or are here.
    pub fn knows(&self, call: u64) -> bool {
        call < self.settled || self.records.contains_key(&call)
    }

    pub fn record(&mut self, call: u64, record: Record) {
        self.changes
            .push(Change::Call(self.number, call, record.kept()));
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_first();
        }
        self.records.insert(call, record);
    }

    /// A waiting call is answered; the answer is kept, as it may be lost on the way.
    pub fn answer(&mut self, call: u64, result: Result<Answer>) -> Option<Answered> {
        let waiter = self.waiters.remove(&call)?;
        self.record(call, Record::Answer(result.clone()));
        Some(Answered {
            conn: waiter.conn,
            response: Response::new(waiter.id, result),
        })
    }

    /// Forgets a job that was waited for.
    pub fn reap(&mut self, at: (u64, u64), job: JobNo) {
        self.jobs.remove(&at);
        self.over.remove(&job);
    }

    /// Calls whose wait the end of this job ends: the first that takes the job, and the rest.
    pub fn ends_waits(&mut self, job: JobNo) -> Woken {
        let mut woken = Woken::default();
        for (call, waiter) in &mut self.waiters {
            match &mut waiter.waits {
                Waits::Any if woken.takes.is_none() => woken.takes = Some(*call),
                Waits::Job(wanted) if *wanted == job => match woken.takes {
                    None => woken.takes = Some(*call),
                    Some(_) => woken.too_late.push(*call),
                },
                Waits::All { left, .. } => {
                    if left.remove(&job) && left.is_empty() {
                        woken.complete.push(*call);
                    }
                }
                Waits::Any | Waits::Job(_) => {}
            }
        }
        woken
    }
}

/// The calls that a job's end wakes.
#[derive(Debug, Default)]
pub(crate) struct Woken {
    /// Gets the job's end, and the job is forgotten.
    pub takes: Option<u64>,
    /// Wait for the same job, which is forgotten now.
    pub too_late: Vec<u64>,
    /// Synchronizations of which this was the last job.
    pub complete: Vec<u64>,
}

/// A submission that waits for nodes to say what they hold.
#[derive(Debug)]
pub(crate) struct Parked {
    pub conn: ConnId,
    pub id: u64,
    pub call: Call,
}

#[derive(Debug, Default)]
pub(crate) struct Sessions {
    all: BTreeMap<SessionNo, Session>,
    numbers: BTreeMap<Arc<str>, SessionNo>,
    last: SessionNo,
    /// Waiting calls by connection, to find those of one that ended.
    by_conn: BTreeSet<(ConnId, SessionNo, u64)>,
    /// Sessions that may have changes that are not kept, and those that are forgotten.
    touched: BTreeSet<SessionNo>,
    forgotten: Vec<SessionNo>,
}

impl Sessions {
    pub fn find(&self, name: &str) -> Result<SessionNo> {
        self.numbers.get(name).copied().ok_or_else(|| {
            let text = format!("no session `{name}` is open; call drmaa_init first");
            Error::new(ErrorCode::NoActiveSession, text)
        })
    }

    /// Opens a session, or finds it.
    ///
    /// # Errors
    /// `InvalidArgument` for a name that is none, `TryLater` where `most` are open.
    pub fn open(&mut self, name: &str, now: Micros, most: usize) -> Result<SessionNo> {
        if let Some(number) = self.numbers.get(name) {
            return Ok(*number);
        }
        let legal = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
        if name.is_empty() || name.len() > MAX_SESSION || !name.chars().all(legal) {
            let text =
                format!("a session's name has 1 to {MAX_SESSION} letters, digits, `-` and `_`");
            return Err(Error::new(ErrorCode::InvalidArgument, text));
        }
        if self.all.len() >= most {
            let text = format!("{most} sessions are open, the most that this placer keeps");
            return Err(Error::new(ErrorCode::TryLater, text));
        }
        self.last += 1;
        let mut session = Session::new(name, self.last, now);
        session.changes.push(session.row());
        self.add(session);
        self.touched.insert(self.last);
        Ok(self.last)
    }

    fn add(&mut self, session: Session) {
        self.last = self.last.max(session.number);
        self.numbers
            .insert(Arc::clone(&session.name), session.number);
        self.all.insert(session.number, session);
    }

    /// A session of a former life, under its number there.
    pub fn restore(
        &mut self,
        number: SessionNo,
        kept: &state::Session,
        calls: Option<&BTreeMap<u64, state::StoredResponse>>,
        now: Micros,
    ) {
        let mut session = Session::new(&kept.name, number, now);
        session.settled = kept.deleted_below;
        let records = calls.into_iter().flatten();
        session.records = records
            .filter_map(|(call, kept)| Some((*call, Record::restore(kept)?)))
            .collect();
        self.add(session);
    }

    /// Rows that changed since this was last asked.
    pub fn changes(&mut self) -> Vec<Change> {
        let mut changes: Vec<Change> = std::mem::take(&mut self.forgotten)
            .into_iter()
            .map(|number| Change::Session(number, None))
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
        self.changes();
        let rows = self.all.values().flat_map(|session| {
            let calls = session.records.iter();
            let call = |(call, record): (&u64, &Record)| {
                Change::Call(session.number, *call, record.kept())
            };
            std::iter::once(session.row()).chain(calls.map(call))
        });
        rows.collect()
    }

    pub fn get(&self, number: SessionNo) -> Option<&Session> {
        self.all.get(&number)
    }

    pub fn get_mut(&mut self, number: SessionNo) -> Option<&mut Session> {
        self.touched.insert(number);
        self.all.get_mut(&number)
    }

    /// A call waits. The same call made again takes the place of the one before.
    pub fn wait(&mut self, number: SessionNo, call: u64, waiter: Waiter) {
        if let Some(session) = self.all.get_mut(&number) {
            self.by_conn.insert((waiter.conn, number, call));
            if let Some(old) = session.waiters.insert(call, waiter) {
                let conn = session.waiters[&call].conn;
                if old.conn != conn {
                    self.by_conn.remove(&(old.conn, number, call));
                }
            }
        }
    }

    pub fn answer(
        &mut self,
        number: SessionNo,
        call: u64,
        result: Result<Answer>,
    ) -> Option<Answered> {
        let answered = self.get_mut(number)?.answer(call, result)?;
        self.by_conn.remove(&(answered.conn, number, call));
        Some(answered)
    }

    /// A connection ended: nobody waits on it any more.
    pub fn client_gone(&mut self, conn: ConnId) {
        let waits: Vec<_> = self
            .by_conn
            .range((conn, 0, 0)..=(conn, SessionNo::MAX, u64::MAX))
            .copied()
            .collect();
        for (conn, number, call) in waits {
            self.by_conn.remove(&(conn, number, call));
            if let Some(session) = self.all.get_mut(&number) {
                session.waiters.remove(&call);
            }
        }
    }

    /// Forgets sessions that hold nothing and were not used since.
    pub fn sweep(&mut self, before: Micros) {
        let idle = |session: &Session| {
            session.jobs.is_empty() && session.waiters.is_empty() && session.touched < before
        };
        let (numbers, forgotten) = (&mut self.numbers, &mut self.forgotten);
        self.all.retain(|number, session| {
            let keep = !idle(session);
            if !keep {
                forgotten.push(*number);
                numbers.remove(&session.name);
            }
            keep
        });
    }

    /// Sessions' numbers and their jobs that were over before.
    pub fn over(&self) -> impl Iterator<Item = (SessionNo, JobNo)> + '_ {
        self.all
            .iter()
            .flat_map(|(number, session)| session.over.iter().map(|job| (*number, *job)))
    }
}

/// The answer of a wait.
pub(crate) fn ended(info: Option<JobInfo>) -> Result<Answer> {
    info.map(Answer::Ended)
        .ok_or_else(|| Error::new(ErrorCode::InternalError, "the job is not over"))
}
