//! The machine list.

use super::ids::{MachineId, Micros};
use super::tasks::Place;

/// Whether a machine may get new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// It takes tasks.
    Ready,
    /// It finishes the tasks that it has and takes no more.
    Draining,
    /// It was removed.
    #[default]
    Gone,
}

/// An entry of the machine list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// Which machine.
    pub id: MachineId,
    /// The number of its zone.
    pub zone: u16,
    /// The number of its kind.
    pub kind: u16,
    /// Its cell, a small group of related machines.
    pub cell: u16,
    /// Whether it takes tasks.
    pub health: Health,
    /// When it last started; `None` for long ago.
    pub ready_at: Option<Micros>,
    /// Cores that no accepted task requests; negative where more were promised.
    pub free_cores: Option<f64>,
    /// Memory that no accepted task requests.
    pub free_memory: Option<f64>,
}

impl Machine {
    /// The number of its machine, cell or zone, by which a spread counts.
    pub fn place(&self, place: Place) -> u64 {
        match place {
            Place::Machine => self.id.0,
            Place::Cell => u64::from(self.cell),
            Place::Zone => u64::from(self.zone),
        }
    }
}

/// A change of the machine list.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The entries that changed.
    Changes(Vec<Machine>),
    /// A snapshot of the list; a machine that it lacks is gone.
    Whole(Vec<Machine>),
    /// A snapshot as it was before a restart.
    Cached(Vec<Machine>),
    /// A request for the list failed, or the watch on it ended.
    Failed,
}
