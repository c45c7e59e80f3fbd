//! The machine list: its entries and its changes.

use super::ids::{MachineId, Micros};
use super::tasks::Place;

/// Whether a machine may get new tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Health {
    /// The machine may get new tasks.
    Ready,
    /// The machine finishes its tasks and gets no new ones.
    Draining,
    /// The machine was removed.
    #[default]
    Gone,
}

/// An entry of the machine list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Machine {
    /// The machine that the entry describes.
    pub id: MachineId,
    /// The number of its zone.
    pub zone: u16,
    /// The number of its kind: its position in [`Settings::kinds`](super::Settings::kinds).
    pub kind: u16,
    /// The number of its cell, a small group of related machines.
    pub cell: u16,
    /// Whether it may get new tasks.
    pub health: Health,
    /// When it last started, on the caller's clock; `None` if it has been running for long.
    pub ready_at: Option<Micros>,
    /// Cores that no accepted task requests; negative where the accepted tasks request more than the
    /// machine has. `None` where the list does not state it.
    pub free_cores: Option<f64>,
    /// Memory that no accepted task requests; negative and `None` as for the cores.
    pub free_memory: Option<f64>,
}

impl Machine {
    /// The id of the machine, or the number of its cell or zone, by which the tasks of a spread are
    /// counted.
    pub fn place(&self, place: Place) -> u64 {
        match place {
            Place::Machine => self.id.0,
            Place::Cell => u64::from(self.cell),
            Place::Zone => u64::from(self.zone),
        }
    }
}

/// A change of the machine list, or the failure of the watch on it.
#[derive(Clone, Debug, PartialEq)]
pub enum Listing {
    /// The entries that changed; all others are as before.
    Changes(Vec<Machine>),
    /// A snapshot of the list; a machine that it lacks is gone.
    Snapshot(Vec<Machine>),
    /// A snapshot from before a restart. It is applied like [`Listing::Snapshot`], but does not count
    /// as an answer of the list.
    Cached(Vec<Machine>),
    /// A request for the list failed, or the watch on it ended.
    Failed,
}
