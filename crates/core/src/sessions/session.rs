//! One session: its jobs, the calls that wait, and what calls came to.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::Micros;
use reedring_drmaa::rpc::{Answer, Response};
use reedring_drmaa::{Error, ErrorCode, Result};
use reedring_state::{self as state, Change};

use super::call_record::CallRecord;
use super::waiter::{CompletedCall, WaitCondition, Waiter, WakeUps};
use crate::ids::{CallIndex, JobNumber, SessionNumber};

/// Call records of one session: more than any client has calls under way.
const MAX_RECORDS: usize = 65_536;

/// One session.
#[derive(Debug)]
pub(crate) struct Session {
    number: SessionNumber,
    name: Arc<str>,
    /// Jobs that nobody has waited for yet.
    jobs: BTreeMap<CallIndex, JobNumber>,
    /// Those of them that have ended.
    ended: BTreeSet<JobNumber>,
    records: BTreeMap<u64, CallRecord>,
    /// Calls below this one are settled: their client knows what they came to.
    settled: u64,
    /// Waiting calls by number.
    pub(super) waiters: BTreeMap<u64, Waiter>,
    last_used: Micros,
    /// Rows that are not persisted yet.
    pub(super) changes: Vec<Change>,
}

impl Session {
    pub(super) fn new(name: &str, number: SessionNumber, now: Micros) -> Self {
        Self {
            number,
            name: name.into(),
            jobs: BTreeMap::new(),
            ended: BTreeSet::new(),
            records: BTreeMap::new(),
            settled: 0,
            waiters: BTreeMap::new(),
            last_used: now,
            changes: Vec::new(),
        }
    }

    /// A session of a former incarnation.
    pub(super) fn restore(
        row: &state::Session,
        number: SessionNumber,
        calls: Option<&BTreeMap<u64, state::StoredResponse>>,
        now: Micros,
    ) -> Self {
        let records = calls.into_iter().flatten();
        let record =
            |(call, row): (&u64, &state::StoredResponse)| Some((*call, CallRecord::from_row(row)?));
        Self {
            settled: row.deleted_below,
            records: records.filter_map(record).collect(),
            ..Self::new(&row.name, number, now)
        }
    }

    pub const fn number(&self) -> SessionNumber {
        self.number
    }

    pub const fn name(&self) -> &Arc<str> {
        &self.name
    }

    pub(super) fn row(&self) -> Change {
        let row = state::Session {
            name: self.name.to_string(),
            deleted_below: self.settled,
        };
        Change::Session(self.number.0, Some(row))
    }

    /// Every row of it.
    pub(super) fn rows(&self) -> impl Iterator<Item = Change> + '_ {
        let number = self.number.0;
        let records = self.records.iter();
        let calls = records.map(move |(call, record)| Change::Call(number, *call, record.to_row()));
        std::iter::once(self.row()).chain(calls)
    }

    /// A client uses it.
    pub fn touch(&mut self, now: Micros) {
        self.last_used = now;
    }

    pub(super) fn is_idle_since(&self, before: Micros) -> bool {
        self.jobs.is_empty() && self.waiters.is_empty() && self.last_used < before
    }

    // ---- Jobs ----

    /// The job that a call submitted at an index, if nobody has waited for it yet.
    pub fn job(&self, place: CallIndex) -> Option<JobNumber> {
        self.jobs.get(&place).copied()
    }

    /// Jobs that nobody has waited for yet.
    pub fn jobs(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.jobs.values().copied()
    }

    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Whether any job of a call is left.
    pub fn has_jobs_of(&self, call: u64) -> bool {
        self.jobs.range(CallIndex::all_of(call)).next().is_some()
    }

    pub fn add_job(&mut self, place: CallIndex, job: JobNumber) {
        self.jobs.insert(place, job);
    }

    /// A job has ended; whether it is the only one that nobody has waited for yet.
    pub fn job_ended(&mut self, job: JobNumber) -> bool {
        let first = self.ended.is_empty();
        self.ended.insert(job);
        first
    }

    /// The first job that has ended and that nobody has waited for yet.
    pub fn first_ended(&self) -> Option<JobNumber> {
        self.ended.first().copied()
    }

    /// Jobs that have ended and that nobody has waited for yet.
    pub fn ended(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.ended.iter().copied()
    }

    /// Forgets a job that was waited for.
    pub fn forget_job(&mut self, place: CallIndex, job: JobNumber) {
        self.jobs.remove(&place);
        self.ended.remove(&job);
    }

    // ---- Calls ----

    /// Forgets the records that the client says it needs no more.
    pub fn settle(&mut self, settled: u64) {
        if settled > self.settled {
            self.settled = settled;
            // A successor must know of the calls that it finds no answer of.
            self.changes.extend([
                Change::CallsDeletedBelow(self.number.0, settled),
                self.row(),
            ]);
            self.records = self.records.split_off(&settled);
        }
    }

    /// What this call came to before, if it was made before.
    ///
    /// # Errors
    /// `InvalidArgument` for a call that its client had said was settled.
    pub fn recorded(&self, call: u64) -> Result<Option<&CallRecord>> {
        if call < self.settled {
            let text = format!(
                "call {call} is below {}, which was said to be settled",
                self.settled
            );
            return Err(Error::new(ErrorCode::InvalidArgument, text));
        }
        Ok(self.records.get(&call))
    }

    /// A call was made and is closed: the ends of its jobs were all returned, or are here.
    pub fn knows_call(&self, call: u64) -> bool {
        call < self.settled || self.records.contains_key(&call)
    }

    pub fn record(&mut self, call: u64, record: CallRecord) {
        self.changes
            .push(Change::Call(self.number.0, call, record.to_row()));
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_first();
        }
        self.records.insert(call, record);
    }

    // ---- Waits ----

    /// Waiting calls.
    pub fn waiting_calls(&self) -> Vec<u64> {
        self.waiters.keys().copied().collect()
    }

    pub fn waiter(&self, call: u64) -> Option<&Waiter> {
        self.waiters.get(&call)
    }

    /// A waiting call is answered; the answer is recorded, as it may be lost on the way.
    pub(super) fn answer(&mut self, call: u64, result: Result<Answer>) -> Option<CompletedCall> {
        let waiter = self.waiters.remove(&call)?;
        self.record(call, CallRecord::Answer(result.clone()));
        Some(CompletedCall {
            conn: waiter.conn,
            response: Response::new(waiter.id, result),
        })
    }

    /// Calls whose wait the end of this job ends: the first that receives the job, and the rest.
    pub fn wake_ups(&mut self, job: JobNumber) -> WakeUps {
        let mut wake_ups = WakeUps::default();
        for (call, waiter) in &mut self.waiters {
            match &mut waiter.condition {
                WaitCondition::Any if wake_ups.receiver.is_none() => {
                    wake_ups.receiver = Some(*call)
                }
                WaitCondition::Job(wanted) if *wanted == job => match wake_ups.receiver {
                    None => wake_ups.receiver = Some(*call),
                    Some(_) => wake_ups.too_late.push(*call),
                },
                WaitCondition::All { unfinished, .. } => {
                    if unfinished.remove(&job) && unfinished.is_empty() {
                        wake_ups.complete.push(*call);
                    }
                }
                WaitCondition::Any | WaitCondition::Job(_) => {}
            }
        }
        wake_ups
    }
}
