//! Applies the endpoint list of discovery to the hosts and passes it on to the decision module.

use std::collections::BTreeSet;
use std::sync::Arc;

use reedring::names::machine_id;
use reedring::{AttemptId, Event, Health, Listing, Machine, MachineId, Micros, Outcome};
use reedring_platform_protocol::FAILED;
use reedring_platform_protocol::discovery::{
    EndpointList, HostEntry, HostHealth, WatchEvent, WatchResponse, number_of,
};

use crate::errors::DiscoveryError;
use crate::ids::LinkId;
use crate::log_event::LogEvent;
use crate::state::{Engine, Phase};

impl Engine {
    /// Applies the endpoint list of the configuration. The decision module receives it as a list from before a restart.
    pub(crate) fn load_endpoints(&mut self, now: Micros, known: WatchResponse) {
        for event in known.events {
            self.watch_event(now, event);
        }
        self.discovery_revision = self.discovery_revision.max(known.revision);
        self.events.clear();
        self.events
            .push(Event::Listed(Listing::Cached(self.machines())));
    }

    pub(crate) fn discovery_update(&mut self, now: Micros, update: WatchResponse) {
        let before = self.events.len();
        for event in update.events {
            self.watch_event(now, event);
        }
        self.discovery_revision = self.discovery_revision.max(update.revision);
        let has_changed = self.events.len() != before;
        if std::mem::take(&mut self.is_list_requested) && !has_changed {
            self.events
                .push(Event::Listed(Listing::Changes(Vec::new())));
        }
    }

    pub(crate) fn discovery_failed(&mut self, error: Arc<DiscoveryError>) {
        self.log(LogEvent::DiscoveryFailed { error });
        self.events.push(Event::Listed(Listing::Failed));
    }

    /// The number of the last discovery event that was applied.
    pub fn discovery_revision(&self) -> u64 {
        self.discovery_revision
    }

    /// Passes the whole endpoint list on to the decision module.
    pub(crate) fn send_endpoints(&mut self) {
        self.events
            .push(Event::Listed(Listing::Snapshot(self.machines())));
    }

    fn machines(&self) -> Vec<Machine> {
        let entries = self
            .hosts
            .hosts()
            .filter_map(|(_, host)| host.entry.as_ref());
        entries.filter_map(|entry| self.machine(entry)).collect()
    }

    /// Applies an event of discovery once: an event that was applied already is ignored, as another discovery address
    /// may repeat events.
    fn watch_event(&mut self, now: Micros, event: WatchEvent) {
        if event.revision <= self.discovery_revision {
            return;
        }
        self.discovery_revision = event.revision;
        let Some(EndpointList { is_snapshot, hosts }) = event.endpoints else {
            return;
        };
        let machines: Vec<Machine> = hosts
            .iter()
            .filter_map(|entry| self.machine(entry))
            .collect();
        for entry in &hosts {
            self.take_over_address(entry);
        }
        if is_snapshot {
            self.remove_unlisted(now, &machines);
        }
        for entry in hosts {
            self.set_endpoint(now, entry);
        }
        let listing = if is_snapshot {
            Listing::Snapshot(machines)
        } else {
            Listing::Changes(machines)
        };
        self.events.push(Event::Listed(listing));
    }

    /// Marks hosts that are not in a snapshot of the endpoint list as having left.
    fn remove_unlisted(&mut self, now: Micros, listed: &[Machine]) {
        let listed: BTreeSet<MachineId> = listed.iter().map(|machine| machine.id).collect();
        let hosts = self
            .hosts
            .hosts()
            .filter(|(machine, _)| !listed.contains(machine));
        for machine in hosts.map(|(machine, _)| machine).collect::<Vec<_>>() {
            let entry = self.hosts.host(machine).and_then(|host| host.entry.clone());
            if let Some(entry) = entry {
                self.set_endpoint(
                    now,
                    HostEntry {
                        health: HostHealth::Left,
                        ..entry
                    },
                );
            }
        }
    }

    /// Converts a host's entry for the decision module; `None` if its zone or kind is not in the settings.
    fn machine(&self, entry: &HostEntry) -> Option<Machine> {
        let free = entry.free.filter(|_| self.settings.lists_free);
        Some(Machine {
            id: machine_id(&entry.name),
            zone: number_of(&self.settings.zones, &entry.zone)?,
            kind: number_of(&self.settings.kinds, &entry.kind)?,
            cell: entry.cell,
            health: match entry.health {
                HostHealth::Active => Health::Ready,
                HostHealth::Draining => Health::Draining,
                HostHealth::Left => Health::Gone,
            },
            ready_at: Some(entry.started_at_ms * 1_000).filter(|at| *at != 0),
            free_cores: free.map(|free| free[0]),
            free_memory: free.map(|free| free[1]),
        })
    }

    fn set_endpoint(&mut self, now: Micros, entry: HostEntry) {
        let machine = machine_id(&entry.name);
        let (address, started_ms, health) = (entry.address, entry.started_at_ms, entry.health);
        let former = self.hosts.set_entry(now, machine, entry);
        if former
            .as_ref()
            .is_some_and(|former| former.started_at_ms != started_ms)
        {
            self.end_tasks_of_former_process(now, machine, started_ms * 1_000);
        }
        if former.is_some_and(|former| former.address != address) {
            self.close_idle_links(machine);
        }
        if health != HostHealth::Active {
            self.end_queued_attempts(machine);
        }
        self.evaluate_host(now, machine);
    }

    /// Ends the tasks of a host that were placed before its process started: they ran in a former process, which is
    /// gone.
    fn end_tasks_of_former_process(&mut self, now: Micros, machine: MachineId, started_at: Micros) {
        let host = self.hosts.host(machine);
        for request in host.map(|host| host.running_requests()).unwrap_or_default() {
            let phase = self.requests.get(request).map(|entry| entry.phase);
            if matches!(phase, Some(Phase::Running(placement)) if placement.since < started_at) {
                self.task_ended(now, request, FAILED, Outcome::Reset.into());
            }
        }
    }

    /// Ends the attempts that wait for a link to a host that accepts no new tasks: the link may be established only
    /// after the time in which they could still be sent.
    fn end_queued_attempts(&mut self, machine: MachineId) {
        let connecting = self.hosts.links_of(machine).filter(|(_, link)| !link.is_up);
        let queued = connecting.flat_map(|(id, link)| {
            link.in_flight
                .iter()
                .map(move |(wire_id, attempt)| (id, *wire_id, *attempt))
        });
        let queued: Vec<(LinkId, u64, AttemptId)> = queued.collect();
        for (link, wire_id, attempt) in queued {
            self.remove_queued_attempt(link, wire_id);
            self.end_attempt(attempt.request, Outcome::Unconnected.into());
        }
    }
}
