//! Tasks and the attempts to place them.

/// Identifies one attempt to place a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The incarnation of the placer that made the attempt; a restarted placer has another one.
    pub incarnation: u64,
    /// The request, within that incarnation.
    pub request: u64,
    /// The attempt, within that request, from 0.
    pub number: u16,
}

/// What a repeated start of a task may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// No harm while a node of the task's [`DeduplicationScope`] remembers the first start: it drops duplicates by their
    /// key.
    IdempotentByKey,
    /// Harm: a second start must never happen.
    #[default]
    NonIdempotent,
}

/// The nodes that drop each other's duplicates of a task that is idempotent by key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one rack.
    #[default]
    Rack,
}

/// A task as it is offered to a node. The node returns it unchanged in [`InFlightTask`](crate::InFlightTask), so that a
/// placer that lost its state learns what it has placed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    /// The DRMAA session of its submitter.
    pub session: String,
    /// The job.
    pub job: String,
    /// The job's class.
    pub class: String,
    /// The tenant whose quota it uses.
    pub tenant: String,
    /// The service: tasks of one program.
    pub service: String,
    /// What a repeated start may do.
    pub idempotency: Idempotency,
    /// Which nodes drop duplicates.
    pub deduplication_scope: DeduplicationScope,
    /// Milliseconds for which duplicates are dropped, from the first start that may have run.
    pub deduplication_window_ms: u32,
    /// The key that duplicates share.
    pub idempotency_key: u64,
    /// Cores that it asks for.
    pub cores: f64,
    /// Memory that it asks for.
    pub memory: f64,
    /// Milliseconds that it should run; 0 where that is not known.
    pub expected_duration_ms: u64,
    /// What to run, opaque to the protocol: the job's DRMAA spec as JSON.
    pub payload: Vec<u8>,
}
