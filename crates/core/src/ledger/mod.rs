//! The ledger: every job that this incarnation of the placer knows, its open attempts, and the requests that the
//! decision module has not answered.
//!
//! The ledger owns these rows and the indexes between them, and records which rows have changed since they were last
//! persisted. Only [`lifecycle`](crate::lifecycle), restoring at the start and persistence write to it; what a change
//! means for the rest of the placer is decided in `lifecycle`.

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
    /// The id of the attempt in messages. For an adopted attempt it differs from the id in the ledger: it names another
    /// incarnation, or another request.
    pub wire: wire::AttemptId,
    pub sent: Micros,
    pub state: AttemptState,
    /// The node accepted the attempt, which may have been stopped since.
    pub accepted: bool,
    /// The decision module knows the attempt. It does not know an offer of a former incarnation that no node has
    /// accepted yet.
    pub announced: bool,
    /// The incarnation of the node when the offer was sent, if it is known.
    pub node_incarnation: Option<u64>,
    /// The topics under which constraints count the copy. Stored here because the job may be removed from the ledger
    /// before the end of the attempt is known.
    pub topics: Arc<Vec<Topic>>,
}

/// A request that the decision module has not answered.
#[derive(Debug)]
struct OpenRequest {
    job: JobNumber,
    /// Number of attempts made for this request.
    attempts: u16,
}

/// All jobs, open attempts and open requests of this incarnation.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    incarnation: u64,
    jobs: BTreeMap<JobNumber, Job>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts whose wire id differs from their id in the ledger, by wire id.
    adopted: BTreeMap<wire::AttemptId, AttemptId>,
    requests: BTreeMap<RequestId, OpenRequest>,
    last_job: JobNumber,
    last_request: u64,
    /// Number of jobs that have not ended.
    unfinished: usize,
    /// Jobs whose rows have changed since they were last persisted.
    changed: BTreeSet<JobNumber>,
    /// Calls from which a job has been removed since the last batch.
    forgotten: BTreeSet<(SessionNumber, u64)>,
    /// Attempts of other incarnations that need no adoption if their nodes report them again, because this incarnation
    /// has closed them.
    closed_foreign: BTreeSet<wire::AttemptId>,
    /// Former incarnations of this placer of which every job is known.
    complete_incarnations: BTreeSet<u64>,
    /// Restored placed attempts. Their constraints are evaluated once the nodes have reported the tasks they hold.
    restored_placements: Vec<(JobNumber, AttemptId)>,
}

impl Ledger {
    /// An empty ledger for this incarnation of the placer.
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

    /// A job for modification; its row is persisted with the next batch.
    pub fn job_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        let job = self.jobs.get_mut(&number)?;
        self.changed.insert(number);
        Some(job)
    }

    /// A job for a modification that does not change its persisted row; it is not marked as changed.
    pub fn recorded_job_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// All jobs, in the order of their numbers.
    pub fn jobs(&self) -> impl Iterator<Item = (JobNumber, &Job)> {
        self.jobs.iter().map(|(number, job)| (*number, job))
    }

    /// The jobs whose number is `first` or greater, in the order of their numbers.
    pub fn jobs_from(&self, first: JobNumber) -> impl Iterator<Item = (JobNumber, &Job)> {
        self.jobs.range(first..).map(|(number, job)| (*number, job))
    }

    pub fn job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Number of jobs that have not ended.
    pub const fn unfinished(&self) -> usize {
        self.unfinished
    }

    /// Records that a job has ended.
    pub fn note_finished(&mut self) {
        self.unfinished = self.unfinished.saturating_sub(1);
    }

    /// Adds a new job under the next free number.
    pub fn add(&mut self, job: Job) -> JobNumber {
        let number = JobNumber(self.last_job.0 + 1);
        self.restore(number, job);
        self.changed.insert(number);
        number
    }

    /// Adds a job of a former incarnation under the number it had there, without marking it as changed.
    pub fn restore(&mut self, number: JobNumber, job: Job) {
        self.last_job = self.last_job.max(number);
        self.unfinished += usize::from(!job.is_ended());
        self.jobs.insert(number, job);
    }

    /// Removes a job; its persisted row is deleted with the next batch.
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

    /// Records a request for a job that the decision module has to answer.
    pub fn open_request(&mut self, request: RequestId, job: JobNumber) {
        self.requests
            .insert(request, OpenRequest { job, attempts: 0 });
    }

    /// Removes a request that was answered or needs no answer any more; returns its job.
    pub fn close_request(&mut self, request: RequestId) -> Option<JobNumber> {
        self.requests.remove(&request).map(|open| open.job)
    }

    /// The job of a request; `None` if the request is not open.
    pub fn request_job(&self, request: RequestId) -> Option<JobNumber> {
        self.requests.get(&request).map(|open| open.job)
    }

    /// All requests that the decision module has not answered, in ascending order.
    pub fn open_requests(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.requests.keys().copied()
    }

    /// Allocates the id of the next attempt for an open request; returns it with the job.
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

    /// An attempt for modification; the row of its job is persisted with the next batch.
    pub fn attempt_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        let attempt = self.attempts.get_mut(&id)?;
        self.changed.insert(attempt.job);
        Some(attempt)
    }

    pub fn state_of(&self, id: AttemptId) -> Option<AttemptState> {
        self.attempt(id).map(|attempt| attempt.state)
    }

    /// The open attempt with the lowest number for a request.
    pub fn first_open_attempt(&self, request: RequestId) -> Option<AttemptId> {
        self.attempts
            .keys()
            .find(|id| id.request == request)
            .copied()
    }

    /// The wire id of an attempt that this incarnation made.
    pub const fn wire_id(&self, id: AttemptId) -> wire::AttemptId {
        wire::AttemptId {
            incarnation: self.incarnation,
            request: id.request.0,
            number: id.number,
        }
    }

    /// The open attempt with this wire id.
    pub fn find_by_wire_id(&self, id: wire::AttemptId) -> Option<AttemptId> {
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

    /// Whether an attempt was made by another incarnation of this placer.
    pub const fn is_foreign(&self, id: wire::AttemptId) -> bool {
        id.incarnation != self.incarnation
    }

    /// Adds an open attempt to the ledger and to its job.
    pub fn open_attempt(&mut self, id: AttemptId, attempt: Attempt) {
        if attempt.wire != self.wire_id(id) {
            self.adopted.insert(attempt.wire, id);
        }
        if let Some(job) = self.job_mut(attempt.job) {
            job.attempts.push(id);
        }
        self.attempts.insert(id, attempt);
    }

    /// Removes an attempt whose end is known, and records `result` in the history of its job.
    pub fn close_attempt(&mut self, id: AttemptId, result: &'static str) -> Option<Attempt> {
        let attempt = self.attempts.remove(&id)?;
        self.adopted.remove(&attempt.wire);
        if let Some(job) = self.job_mut(attempt.job) {
            job.attempts.retain(|open| *open != id);
            job.record_result(id, result);
        }
        self.note_closed(attempt.wire);
        Some(attempt)
    }

    /// Records that an attempt of another incarnation must not be adopted if a node reports it again.
    pub fn note_closed(&mut self, id: wire::AttemptId) {
        if self.is_foreign(id) {
            self.closed_foreign.insert(id);
        }
    }

    /// Whether this incarnation made the attempt, or has closed it.
    pub fn is_known(&self, id: wire::AttemptId) -> bool {
        !self.is_foreign(id) || self.closed_foreign.contains(&id)
    }

    // ---- Former incarnations ----

    /// Sets the former incarnations of which every job is known.
    pub fn set_complete(&mut self, incarnations: BTreeSet<u64>) {
        self.complete_incarnations = incarnations;
    }

    /// Whether every job of a former incarnation is known.
    pub fn is_complete(&self, incarnation: u64) -> bool {
        self.complete_incarnations.contains(&incarnation)
    }

    pub fn complete_incarnations(&self) -> impl Iterator<Item = u64> + '_ {
        self.complete_incarnations.iter().copied()
    }

    /// Records a restored placed attempt, whose job's constraint is evaluated once the nodes have reported the tasks
    /// they hold.
    pub fn add_restored_placement(&mut self, job: JobNumber, id: AttemptId) {
        self.restored_placements.push((job, id));
    }

    pub fn take_restored_placements(&mut self) -> Vec<(JobNumber, AttemptId)> {
        std::mem::take(&mut self.restored_placements)
    }

    // ---- Rows ----

    /// Returns and clears the set of jobs whose rows have changed.
    pub fn take_changed(&mut self) -> BTreeSet<JobNumber> {
        std::mem::take(&mut self.changed)
    }

    /// Returns and clears the set of calls from which a job has been removed.
    pub fn take_forgotten(&mut self) -> BTreeSet<(SessionNumber, u64)> {
        std::mem::take(&mut self.forgotten)
    }
}
