//! Tasks that were handed over and are no longer tracked, as too many were unconfirmed. What is left of each suffices to
//! pass its end on to its client, and its client's release on to its host.

use reedring::MachineId;

use super::bounded_map::BoundedMap;
use crate::ids::ConnId;

/// A task that is no longer tracked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DisplacedTask {
    pub machine: MachineId,
    /// The connection on which the task was handed over.
    pub requested_on: ConnId,
}

/// All displaced tasks, by their ids on the wire. At the limit the oldest one is forgotten.
#[derive(Debug)]
pub(crate) struct DisplacedTasks(BoundedMap<u64, DisplacedTask>);

impl DisplacedTasks {
    /// Creates an empty table for at most `limit` tasks.
    pub fn new(limit: usize) -> Self {
        Self(BoundedMap::new(limit))
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn add(&mut self, id: u64, task: DisplacedTask) {
        self.0.add(id, task);
    }

    /// Removes a task wherever it runs.
    pub fn take(&mut self, id: u64) -> Option<DisplacedTask> {
        self.0.remove(id)
    }

    /// Removes a task that runs at this host.
    pub fn take_at(&mut self, machine: MachineId, id: u64) -> Option<DisplacedTask> {
        self.0.get(id).filter(|task| task.machine == machine)?;
        self.0.remove(id)
    }

    /// Removes all tasks that run at this host, with their ids.
    pub fn take_all_at(&mut self, machine: MachineId) -> Vec<(u64, DisplacedTask)> {
        self.0.remove_where(|task| task.machine == machine)
    }
}
