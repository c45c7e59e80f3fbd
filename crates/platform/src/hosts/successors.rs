//! Hosts that took the address of another one before the endpoint list told of either. Links that were established since then
//! reach the process of the new host, and what it accepted on them runs there.

use reedring::{AttemptId, MachineId, Micros, RequestId};
use reedring_platform_protocol::discovery::{HostEntry, HostHealth};

use super::links::MAX_RESENDS;
use crate::ids::LinkId;
use crate::state::Engine;

impl Engine {
    /// Makes the links that reach the process of a newly listed host, and the tasks that it accepted on them, those of this
    /// host. Only a start that the list states shows which these are.
    pub(super) fn take_over_address(&mut self, entry: &HostEntry) {
        let machine = reedring::names::machine_id(&entry.name);
        let known = self.hosts.host(machine).and_then(|host| host.address());
        let is_new = known != Some(entry.address);
        let started_at = entry.started_at_ms * 1_000;
        if !is_new || started_at == 0 || entry.health == HostHealth::Left {
            return;
        }
        // A host that was listed there only after this start is no former one.
        for former in self.hosts.listed_at(entry.address, started_at) {
            self.move_links_since(former, machine, started_at);
            self.move_tasks_since(former, machine, started_at);
        }
    }

    /// Moves the links that were established to the address of `former` since `started_at`.
    fn move_links_since(&mut self, former: MachineId, machine: MachineId, started_at: Micros) {
        let links = self.hosts.links_of(former);
        let since = links.filter(|(_, link)| link.is_up && link.up_since >= started_at);
        let since: Vec<(LinkId, Vec<AttemptId>)> = since
            .map(|(id, link)| (id, link.in_flight.values().copied().collect()))
            .collect();
        for (link, attempts) in since {
            self.hosts.move_link(link, machine);
            for attempt in attempts {
                let request = self.requests.get_mut(attempt.request);
                let in_flight = request.and_then(|request| request.in_flight.as_mut());
                if let Some(in_flight) = in_flight.filter(|one| one.number == attempt.number) {
                    // The decision module has not chosen this host, so the attempt is not sent to it again.
                    (in_flight.machine, in_flight.resends) = (machine, MAX_RESENDS);
                }
            }
        }
    }

    /// Moves the tasks that were accepted on links established since `started_at`.
    fn move_tasks_since(&mut self, former: MachineId, machine: MachineId, started_at: Micros) {
        let Some(host) = self.hosts.host_mut(former) else {
            return;
        };
        let requests = &self.requests;
        let is_moved = |request: RequestId| {
            let placement = requests
                .get(request)
                .and_then(|entry| entry.phase.placement());
            let connected_at = placement.and_then(|placement| placement.connected_at);
            connected_at.is_some_and(|at| at >= started_at)
        };
        let moved = host
            .running
            .extract_if(.., |(_, request)| is_moved(*request));
        let moved: Vec<(u64, RequestId)> = moved.collect();
        if moved.is_empty() {
            return;
        }
        let last_received = host.last_received;
        for (_, request) in &moved {
            self.requests.move_placement(*request, machine);
        }
        let host = self.hosts.host_or_new(machine);
        host.last_received = host.last_received.max(last_received);
        host.running.extend(moved);
    }
}
