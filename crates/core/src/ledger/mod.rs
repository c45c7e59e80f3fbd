//! The ledger of jobs and attempts: every job of this incarnation, its open attempts, and the requests that the
//! decision module has not answered.
//!
//! It owns the rows and the indexes between them, and notes which rows changed since they were persisted last. What a
//! change means for the rest of the placer is decided by [`lifecycle`](crate::lifecycle), its only writer beside
//! recovery.

mod job;
mod job_name;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::{AttemptId, MachineId, Micros, RequestId};
use reedring_constraint::Topic;
use reedring_node_protocol as wire;

use crate::decide::AttemptState;
use crate::ids::{JobNumber, NodeNumber, SessionNumber};
pub(crate) use job::{Job, Phase};
pub(crate) use job_name::JobName;

/// An attempt whose end is not known yet.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub job: JobNumber,
    pub node: NodeNumber,
    pub machine: MachineId,
    /// Its name on the wire: of another incarnation, or of another request, where it was adopted.
    pub wire: wire::AttemptId,
    pub sent: Micros,
    pub state: AttemptState,
    /// It was accepted before it was stopped.
    pub accepted: bool,
    /// The decision module knows it. It does not know what a former incarnation offered and no node has accepted yet.
    pub announced: bool,
    /// Its node's incarnation when it was sent.
    pub node_incarnation: Option<u64>,
    /// What its copy counts as; its job may be forgotten before its end is known.
    pub topics: Arc<Vec<Topic>>,
}

/// A request that the decision module has not answered.
#[derive(Debug)]
struct OpenRequest {
    job: JobNumber,
    /// Attempts made at it.
    attempts: u16,
}

/// Every job and attempt of this incarnation.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    incarnation: u64,
    jobs: BTreeMap<JobNumber, Job>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Adopted attempts by their names on the wire.
    adopted: BTreeMap<wire::AttemptId, AttemptId>,
    requests: BTreeMap<RequestId, OpenRequest>,
    last_job: JobNumber,
    last_request: u64,
    unfinished: usize,
    /// Jobs whose rows are not as they were persisted last.
    changed: BTreeSet<JobNumber>,
    /// Calls that lost a job since they were persisted last.
    forgotten: BTreeSet<(SessionNumber, u64)>,
    /// Attempts of other incarnations that this one has closed: their nodes may report them once more.
    closed_foreign: BTreeSet<wire::AttemptId>,
    /// Incarnations of this placer of which every job is known.
    complete_incarnations: BTreeSet<u64>,
    /// Restored attempts whose constraints are evaluated once nodes are reconciled.
    restored_placements: Vec<(JobNumber, AttemptId)>,
}

impl Ledger {
    /// The empty ledger of this incarnation.
    pub fn new(incarnation: u64) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    // ---- Jobs ----

    pub fn job(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// A job that is about to change.
    pub fn job_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        let job = self.jobs.get_mut(&number)?;
        self.changed.insert(number);
        Some(job)
    }

    /// A job that is about to be as its row is already.
    pub fn recorded_job_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// All jobs, by their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = (JobNumber, &Job)> {
        self.jobs.iter().map(|(number, job)| (*number, job))
    }

    /// Jobs from this number on.
    pub fn jobs_from(&self, first: JobNumber) -> impl Iterator<Item = (JobNumber, &Job)> {
        self.jobs.range(first..).map(|(number, job)| (*number, job))
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// How many jobs have not ended.
    pub const fn unfinished(&self) -> usize {
        self.unfinished
    }

    /// A job has ended.
    pub fn note_finished(&mut self) {
        self.unfinished = self.unfinished.saturating_sub(1);
    }

    pub fn add(&mut self, job: Job) -> JobNumber {
        let number = JobNumber(self.last_job.0 + 1);
        self.restore(number, job);
        self.changed.insert(number);
        number
    }

    /// A job of a former incarnation, under its number there.
    pub fn restore(&mut self, number: JobNumber, job: Job) {
        self.last_job = self.last_job.max(number);
        self.unfinished += usize::from(!job.is_ended());
        self.jobs.insert(number, job);
    }

    pub fn forget(&mut self, number: JobNumber) -> Option<Job> {
        let job = self.jobs.remove(&number)?;
        self.changed.insert(number);
        self.forgotten.insert((job.session, job.name.call));
        Some(job)
    }

    // ---- Requests ----

    pub fn new_request(&mut self) -> RequestId {
        self.last_request += 1;
        RequestId(self.last_request)
    }

    /// The decision module is to answer this request.
    pub fn open_request(&mut self, request: RequestId, job: JobNumber) {
        self.requests
            .insert(request, OpenRequest { job, attempts: 0 });
    }

    /// The decision module has answered, or need not; the job.
    pub fn close_request(&mut self, request: RequestId) -> Option<JobNumber> {
        self.requests.remove(&request).map(|open| open.job)
    }

    /// The job of a request that the decision module has not answered.
    pub fn request_job(&self, request: RequestId) -> Option<JobNumber> {
        self.requests.get(&request).map(|open| open.job)
    }

    /// Requests that the decision module has not answered.
    pub fn open_requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.keys().copied()
    }

    /// The next attempt at a request, and its job.
    pub fn next_attempt(&mut self, request: RequestId) -> Option<(JobNumber, AttemptId)> {
        let open = self.requests.get_mut(&request)?;
        let id = AttemptId {
            request,
            number: open.attempts,
        };
        open.attempts += 1;
        Some((open.job, id))
    }

    // ---- Attempts ----

    pub fn attempt(&self, id: AttemptId) -> Option<&Attempt> {
        self.attempts.get(&id)
    }

    /// An attempt that is about to change.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(&id)?;
        self.changed.insert(attempt.job);
        Some(attempt)
    }

    pub fn state_of(&self, id: AttemptId) -> Option<AttemptState> {
        self.attempt(id).map(|attempt| attempt.state)
    }

    /// The first open attempt at a request.
    pub fn attempt_of(&self, request: RequestId) -> Option<AttemptId> {
        self.attempts
            .keys()
            .find(|id| id.request == request)
            .copied()
    }

    /// The name on the wire of an attempt of this incarnation.
    pub const fn wire_id(&self, id: AttemptId) -> wire::AttemptId {
        wire::AttemptId {
            incarnation: self.incarnation,
            request: id.request.0,
            number: id.number,
        }
    }

    /// The open attempt that the wire calls so.
    pub fn find(&self, id: wire::AttemptId) -> Option<AttemptId> {
        let own = AttemptId {
            request: RequestId(id.request),
            number: id.number,
        };
        let own = (!self.is_foreign(id)).then_some(own);
        self.adopted
            .get(&id)
            .copied()
            .or(own)
            .filter(|id| self.attempts.contains_key(id))
    }

    /// Whether another incarnation made an attempt.
    pub const fn is_foreign(&self, id: wire::AttemptId) -> bool {
        id.incarnation != self.incarnation
    }

    pub fn open(&mut self, id: AttemptId, attempt: Attempt) {
        if attempt.wire != self.wire_id(id) {
            self.adopted.insert(attempt.wire, id);
        }
        if let Some(job) = self.job_mut(attempt.job) {
            job.attempts.push(id);
        }
        self.attempts.insert(id, attempt);
    }

    /// An attempt's end is known; its job has one copy less.
    pub fn close(&mut self, id: AttemptId, result: &'static str) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.adopted.remove(&attempt.wire);
        if let Some(job) = self.job_mut(attempt.job) {
            job.attempts.retain(|open| *open != id);
            job.record_result(id, result);
        }
        self.note_closed(attempt.wire);
        Some(attempt)
    }

    /// An attempt that need not be adopted if a node reports it once more.
    pub fn note_closed(&mut self, id: wire::AttemptId) {
        if self.is_foreign(id) {
            self.closed_foreign.insert(id);
        }
    }

    /// Whether this incarnation made an attempt, or has closed it.
    pub fn is_known(&self, id: wire::AttemptId) -> bool {
        !self.is_foreign(id) || self.closed_foreign.contains(&id)
    }

    // ---- Former incarnations ----

    /// Every job of these incarnations is known.
    pub fn set_complete(&mut self, incarnations: BTreeSet<u64>) {
        self.complete_incarnations = incarnations;
    }

    /// Whether every job of an incarnation is known.
    pub fn is_complete(&self, incarnation: u64) -> bool {
        self.complete_incarnations.contains(&incarnation)
    }

    pub fn complete_incarnations(&self) -> impl Iterator<Item = u64> + '_ {
        self.complete_incarnations.iter().copied()
    }

    /// The constraint of a restored job is evaluated once nodes are reconciled.
    pub fn add_restored_placement(&mut self, job: JobNumber, id: AttemptId) {
        self.restored_placements.push((job, id));
    }

    pub fn take_restored_placements(&mut self) -> Vec<(JobNumber, AttemptId)> {
        std::mem::take(&mut self.restored_placements)
    }

    // ---- Rows ----

    /// Jobs whose rows changed since this was last asked.
    pub fn take_changed(&mut self) -> BTreeSet<JobNumber> {
        std::mem::take(&mut self.changed)
    }

    /// Calls that lost a job since this was last asked.
    pub fn take_forgotten(&mut self) -> BTreeSet<(SessionNumber, u64)> {
        std::mem::take(&mut self.forgotten)
    }
}
