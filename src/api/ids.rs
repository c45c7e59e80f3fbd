//! Identifiers, and the unit of time.

/// Microseconds, as a point on the caller's clock or as a length of time.
pub type Micros = u64;

/// A machine; the same number at every scheduler.
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

/// One request to place a task. A task that is submitted again gets a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// One attempt of a request; the first is number 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Its number, in the order of the offers.
    pub number: u16,
}

/// A task; it stays the same each time the task is submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskKey(pub u64);

/// A service: tasks of one class, one shape and one program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceId(pub u64);
