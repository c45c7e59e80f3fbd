//! Health checks that wait for their results.

use std::collections::BTreeMap;

use reedring::{MachineId, Micros};

use crate::ids::LinkId;

/// A health check that was sent to a host.
pub(crate) struct HealthCheck {
    pub machine: MachineId,
    pub link: LinkId,
    pub sent_at: Micros,
}

/// All health checks that wait for their results, by their ids on the wire.
#[derive(Default)]
pub(crate) struct HealthChecks {
    pending: BTreeMap<u64, HealthCheck>,
    last_id: u64,
}

impl HealthChecks {
    /// How many health checks are pending.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Records a health check and returns its id.
    pub fn add(&mut self, check: HealthCheck) -> u64 {
        self.last_id += 1;
        self.pending.insert(self.last_id, check);
        self.last_id
    }

    /// Removes a health check that ended; `None` if it is not pending any more.
    pub fn take(&mut self, id: u64) -> Option<HealthCheck> {
        self.pending.remove(&id)
    }

    /// The ids of the pending health checks that were sent on this link.
    pub fn on_link(&self, link: LinkId) -> Vec<u64> {
        let pending = self.pending.iter();
        pending
            .filter(|(_, check)| check.link == link)
            .map(|(id, _)| *id)
            .collect()
    }
}
