//! One client session: its jobs, the calls that wait, and the recorded answers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::Micros;
use reedring_drmaa::rpc::{Answer, Response};
use reedring_drmaa::{Error, ErrorCode, Result};
use reedring_state::{self as state, Change};

use super::call_record::CallRecord;
use super::waiter::{CompletedCall, WaitCondition, Waiter, WakeUps};
use crate::ids::{CallIndex, JobNumber, SessionNumber};

/// The most call records that a session keeps, more than any client has calls in progress. The oldest is dropped then.
const MAX_RECORDS: usize = 65_536;

/// A client session.
#[derive(Debug)]
pub(crate) struct Session {
    number: SessionNumber,
    name: Arc<str>,
    /// Jobs whose end was not returned yet.
    jobs: BTreeMap<CallIndex, JobNumber>,
    /// Those of `jobs` that have ended.
    ended: BTreeSet<JobNumber>,
    /// Recorded results by call number.
    records: BTreeMap<u64, CallRecord>,
    /// Calls with numbers below this one are settled: the client has their answers, and their records are deleted.
    settled: u64,
    /// Waiting calls by call number.
    pub(super) waiters: BTreeMap<u64, Waiter>,
    last_used: Micros,
    /// Changed rows that are not persisted yet.
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

    /// A session of a former incarnation from its rows, without its jobs. Records that can't be read are dropped.
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

    /// The row of the session itself.
    pub(super) fn row(&self) -> Change {
        let row = state::Session {
            name: self.name.to_string(),
            deleted_below: self.settled,
        };
        Change::Session(self.number.0, Some(row))
    }

    /// All rows of the session: its own and those of its call records.
    pub(super) fn rows(&self) -> impl Iterator<Item = Change> + '_ {
        let number = self.number.0;
        let records = self.records.iter();
        let calls = records.map(move |(call, record)| Change::Call(number, *call, record.to_row()));
        std::iter::once(self.row()).chain(calls)
    }

    /// Records that the client used the session.
    pub fn touch(&mut self, now: Micros) {
        self.last_used = now;
    }

    /// Whether the session has no jobs and no waiting calls and was last used before `before`.
    pub(super) fn is_idle_since(&self, before: Micros) -> bool {
        self.jobs.is_empty() && self.waiters.is_empty() && self.last_used < before
    }

    // ---- Jobs ----

    /// The job that a call submitted at an index, if its end was not returned yet.
    pub fn job(&self, place: CallIndex) -> Option<JobNumber> {
        self.jobs.get(&place).copied()
    }

    /// The jobs whose end was not returned yet.
    pub fn jobs(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.jobs.values().copied()
    }

    pub fn has_jobs(&self) -> bool {
        !self.jobs.is_empty()
    }

    /// Whether the session has any job that a call submitted and whose end was not returned yet.
    pub fn has_jobs_of(&self, call: u64) -> bool {
        self.jobs.range(CallIndex::all_of(call)).next().is_some()
    }

    pub fn add_job(&mut self, place: CallIndex, job: JobNumber) {
        self.jobs.insert(place, job);
    }

    /// Marks a job as ended. Returns whether it is the only ended job of the session whose end was not returned yet.
    pub fn job_ended(&mut self, job: JobNumber) -> bool {
        let is_only_one = self.ended.is_empty();
        self.ended.insert(job);
        is_only_one
    }

    /// The ended job with the lowest number, if any, whose end was not returned yet.
    pub fn first_ended(&self) -> Option<JobNumber> {
        self.ended.first().copied()
    }

    /// The jobs that have ended and whose end was not returned yet.
    pub fn ended(&self) -> impl Iterator<Item = JobNumber> + '_ {
        self.ended.iter().copied()
    }

    /// Removes a job that is deleted.
    pub fn remove_job(&mut self, place: CallIndex, job: JobNumber) {
        self.jobs.remove(&place);
        self.ended.remove(&job);
    }

    // ---- Calls ----

    /// Deletes the records of calls below `settled`, whose answers the client has.
    pub fn settle(&mut self, settled: u64) {
        if settled > self.settled {
            self.settled = settled;
            // After a restart the placer must know that calls without a record were settled, and not carry them out
            // again.
            self.changes.extend([
                Change::CallsDeletedBelow(self.number.0, settled),
                self.row(),
            ]);
            self.records = self.records.split_off(&settled);
        }
    }

    /// The record of a call; `None` where the call was not made before.
    ///
    /// # Errors
    /// `InvalidArgument` for a call that the client has settled.
    pub fn call_record(&self, call: u64) -> Result<Option<&CallRecord>> {
        if call < self.settled {
            let text = format!(
                "call {call} is settled: the client has the answers to all calls below {}",
                self.settled
            );
            return Err(Error::new(ErrorCode::InvalidArgument, text));
        }
        Ok(self.records.get(&call))
    }

    /// Whether a call is settled or its answer is recorded. The ends of the jobs that it submitted were then returned,
    /// or the jobs are in this session.
    pub fn is_call_closed(&self, call: u64) -> bool {
        call < self.settled || self.records.contains_key(&call)
    }

    /// Records the result of a call.
    pub fn record(&mut self, call: u64, record: CallRecord) {
        self.changes
            .push(Change::Call(self.number.0, call, record.to_row()));
        if self.records.len() >= MAX_RECORDS {
            self.records.pop_first();
        }
        self.records.insert(call, record);
    }

    // ---- Waits ----

    /// The numbers of the waiting calls.
    pub fn waiting_calls(&self) -> Vec<u64> {
        self.waiters.keys().copied().collect()
    }

    pub fn waiter(&self, call: u64) -> Option<&Waiter> {
        self.waiters.get(&call)
    }

    /// Ends a call's wait and returns its response. The answer is recorded, since the response may not reach the
    /// client.
    pub(super) fn answer(&mut self, call: u64, result: Result<Answer>) -> Option<CompletedCall> {
        let waiter = self.waiters.remove(&call)?;
        self.record(call, CallRecord::Answer(result.clone()));
        Some(CompletedCall {
            conn: waiter.conn,
            response: Response::new(waiter.id, result),
        })
    }

    /// The waiting calls that the end of a job completes. The first wait that the job satisfies receives its end.
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
