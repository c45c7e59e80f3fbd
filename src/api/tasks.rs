//! Tasks, and the classes that state what is legal for them.

use super::ids::{Micros, RequestId, ServiceId, TaskKey};

/// What a second start of a task may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: a second start does no harm.
    Safe,
    /// Idempotent by key: a group of machines drops repeats for some time.
    Keyed,
    /// Not idempotent: it must never start twice.
    #[default]
    Unsafe,
}

/// The machines that drop each other's repeats of a keyed task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    /// All machines.
    All,
    /// The machines of one zone.
    Zone,
    /// The machines of one cell.
    #[default]
    Cell,
}

/// The domain by which a class spreads the tasks of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// One machine.
    Machine,
    /// One cell of machines.
    Cell,
    /// One zone.
    Zone,
}

/// A class of tasks.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Class {
    /// What a second start of a task may do.
    pub effect: Effect,
    /// Which machines drop repeats of a keyed task; not used for other classes.
    pub group: Group,
    /// How long repeats of a keyed task are dropped, in microseconds from the first offer that may
    /// have run; `None` if they are not dropped.
    pub window_us: Option<Micros>,
    /// The latency objective, in microseconds: a task that starts within this time has its full
    /// value.
    pub aim_us: Micros,
    /// The number of the only machine kind that serves this class; `None` for all kinds.
    pub kind: Option<u16>,
    /// A domain, and the maximum number of tasks of one service that run in one such domain; `None`
    /// for no limit.
    pub spread: Option<(Place, u32)>,
    /// The fraction of its cores up to which a machine may be busy before service degrades, from 0
    /// to 1; `None` if unknown.
    pub calm: Option<f64>,
}

/// A task to place.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// The request by which it was submitted.
    pub request: RequestId,
    /// The number of its class: its position in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// The number of its tenant.
    pub tenant: u16,
    /// The identity of the task, the same for all its submissions.
    pub key: TaskKey,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Cores that it requests.
    pub cores: f64,
    /// Memory that it requests.
    pub memory: f64,
    /// How long it is expected to run from now on, in microseconds; `None` if unknown.
    pub life_us: Option<Micros>,
    /// Whether it was submitted before, by another request.
    pub again: bool,
}
