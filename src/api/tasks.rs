//! Tasks, and the classes that say what is legal for them.

use super::ids::{Micros, RequestId, ServiceId, TaskKey};

/// What a second start of a task may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Idempotent: a second start does no harm.
    Safe,
    /// Idempotent by key: repeats are dropped within a group of machines, for a while.
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
    /// Those of one zone.
    Zone,
    /// Those of one cell.
    #[default]
    Cell,
}

/// The domain over which a class wants the tasks of a service spread.
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
    /// What a second start may do.
    pub effect: Effect,
    /// Which machines drop repeats of a keyed task.
    pub group: Group,
    /// How long repeats are dropped, from the first offer that may have run.
    pub window_us: Option<Micros>,
    /// The latency objective: a first start within this time has its full value.
    pub aim_us: Micros,
    /// The only machine kind that serves this class.
    pub kind: Option<u16>,
    /// The domain that runs at most so many tasks of one service.
    pub spread: Option<(Place, u32)>,
    /// The fraction of its cores up to which a machine may be busy before service degrades.
    pub calm: Option<f64>,
}

/// A task to place.
#[derive(Clone, Debug, PartialEq)]
pub struct Task {
    /// This request.
    pub request: RequestId,
    /// The number of its class.
    pub class: u16,
    /// The number of its tenant.
    pub tenant: u16,
    /// The task itself.
    pub key: TaskKey,
    /// Its service.
    pub service: ServiceId,
    /// Cores that it requests.
    pub cores: f64,
    /// Memory that it requests.
    pub memory: f64,
    /// How long it is expected to run from now on.
    pub life_us: Option<Micros>,
    /// It was submitted before, under another request.
    pub again: bool,
}
