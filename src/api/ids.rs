//! Identifiers, and the type for times.

/// Microseconds: a point in time on the caller's clock, or a duration.
pub type Micros = u64;

/// Identifies a machine; the same number at every scheduler.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct MachineId(pub u64);

/// Identifies a request to place a task. Each submission of a task is a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies an attempt to place the task of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The number of the attempt within the request, from 0 in the order of the offers.
    pub number: u16,
}

/// Identifies a task; it stays the same each time the task is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey(pub u64);

/// Identifies a service: tasks of one class, one size and one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceId(pub u64);
