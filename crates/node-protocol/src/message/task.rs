//! Tasks and the attempts to place them.

/// Identifies one attempt to place a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The incarnation of the placer that made the attempt; it changes when the placer restarts.
    pub incarnation: u64,
    /// Number of the request within that incarnation.
    pub request: u64,
    /// Number of the attempt within that request, from 0.
    pub number: u16,
}

/// Whether a task may be started more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated starts are harmless.
    Idempotent,
    /// Repeated starts are harmless as long as the nodes of the task's [`DeduplicationScope`] remember the first start,
    /// because they drop duplicates with the same key.
    IdempotentByKey,
    /// A second start does harm and must never happen.
    #[default]
    NonIdempotent,
}

/// The group of nodes within which duplicates of a task that is idempotent by key are dropped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All nodes together.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one rack.
    #[default]
    Rack,
}

/// A task as it is offered to a node. The node returns it unchanged in [`InFlightTask`](crate::InFlightTask), so that a
/// placer that lost its state can restore which tasks it has placed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Task {
    /// The DRMAA session in which the task was submitted.
    pub session: String,
    /// The job to which the task belongs.
    pub job: String,
    /// The job's class.
    pub class: String,
    /// The tenant to whose quota the task counts.
    pub tenant: String,
    /// The service to which the task belongs: tasks of the same program.
    pub service: String,
    /// Whether the task may be started more than once.
    pub idempotency: Idempotency,
    /// The group of nodes that drops duplicates of the task.
    pub deduplication_scope: DeduplicationScope,
    /// Milliseconds for which duplicates are dropped, counted from the first start that may have run.
    pub deduplication_window_ms: u32,
    /// The deduplication key, which is the same for all duplicates.
    pub idempotency_key: u64,
    /// Number of cores that the task requests; may be a fraction.
    pub cores: f64,
    /// Memory that the task requests, in the unit that the settings use for the memory of nodes.
    pub memory: f64,
    /// Expected duration in milliseconds; 0 if unknown.
    pub expected_duration_ms: u64,
    /// The DRMAA specification of the job as JSON, at most [`MAX_PAYLOAD`](crate::MAX_PAYLOAD) bytes. The protocol does
    /// not interpret it.
    pub payload: Vec<u8>,
}
