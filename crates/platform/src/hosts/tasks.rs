//! Tasks that run at hosts: accepted, handed over, ended.

use reedring::{AttemptId, Event, MachineId, Micros, Outcome, RequestId};
use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::host::ToHost;

use crate::attempts::AttemptResult;
use crate::ids::LinkId;
use crate::state::{Engine, Phase, Placement, TaskEnd};

impl Engine {
    /// The request with this id on the wire, if its task runs at this host.
    pub(super) fn running_request(&self, machine: MachineId, wire_id: u64) -> Option<RequestId> {
        let found = self.requests.find(wire_id)?;
        let placement = found.request.phase.placement()?;
        (placement.machine == machine).then_some(found.id)
    }

    /// Whether a task with this key runs at a host.
    pub(crate) fn is_task_running(&self, machine: MachineId, key: u64) -> bool {
        let range = (key, RequestId(0))..=(key, RequestId(u64::MAX));
        let host = self.hosts.host(machine);
        host.is_some_and(|host| host.running.range(range).next().is_some())
    }

    /// Records that a request's task runs at a host, so that its end can be detected.
    pub(crate) fn add_running_task(&mut self, now: Micros, machine: MachineId, request: RequestId) {
        let key = self
            .requests
            .get(request)
            .map(|entry| entry.placement_request.key);
        let host = self.hosts.host_or_new(machine);
        if host.running.is_empty() {
            // The silence of a host counts from when it runs a task, and what was lost before does not concern the task.
            host.last_received = host.last_received.max(now);
            host.lost_input_before = None;
        }
        host.running.extend(key.map(|key| (key, request)));
        self.evaluate_host(now, machine);
    }

    /// Handles a host's acceptance of an attempt: its task runs there, and its client is answered.
    pub(super) fn task_accepted(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt: AttemptId,
        description: String,
    ) {
        let request = attempt.request;
        let Some(in_flight) = self.in_flight(attempt) else {
            return;
        };
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let (machine, id, conn) = (in_flight.machine, entry.wire_id(), entry.conn);
        if entry.phase != Phase::Open {
            // The request was closed in the meantime: the host is asked to stop the task, and the attempt ends as
            // stopped.
            self.send_to_host(
                link,
                ToHost::Release {
                    id,
                    cause: GIVEN_UP,
                },
            );
            return self.end_attempt(request, Outcome::Stopped.into());
        }
        let placement = Placement {
            machine,
            attempt: attempt.number,
            since: now,
        };
        self.timers.cancel(in_flight.timeout);
        self.requests.start_running(request, placement);
        let took_us = now.saturating_sub(in_flight.sent_at);
        self.events.push(Event::Placed {
            attempt,
            machine,
            took_us,
        });
        self.send_to_client(conn, ToClient::Answer { id, description });
        self.request_closed(conn, id);
        if let Some(client) = self.clients.get_mut(&conn) {
            client.record_ownership(now);
        }
        self.add_running_task(now, machine, request);
    }

    /// Ends a task that its host was asked to stop without waiting for the host, and notifies its client.
    pub(crate) fn task_stopped(&mut self, now: Micros, request: RequestId, cause: u8) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let end = TaskEnd {
            at: now,
            requested_on: entry.conn,
            id: entry.wire_id(),
            cause,
        };
        self.task_ended(now, request, cause, Outcome::Stopped.into());
        self.notify_task_end(now, end);
    }

    /// Ends a running task: reports its end to the decision module, and notifies its client unless the task was being
    /// stopped.
    pub(super) fn task_ended(
        &mut self,
        now: Micros,
        request: RequestId,
        cause: u8,
        result: AttemptResult,
    ) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let Some(placement) = entry.phase.placement() else {
            return;
        };
        // A client that stopped its task, or was notified that the task is moved, is not notified of its end.
        let is_notified = matches!(entry.phase, Phase::Running(_));
        let key = entry.placement_request.key;
        let end = TaskEnd {
            at: now,
            requested_on: entry.conn,
            id: entry.wire_id(),
            cause,
        };
        if let Some(host) = self.hosts.host_mut(placement.machine) {
            host.running.remove(&(key, request));
        }
        self.report_attempt_end(request, placement.attempt, placement.machine, result);
        self.requests.remove(request);
        self.hosts.remove_if_unused(placement.machine);
        if is_notified {
            self.notify_task_end(now, end);
        }
    }
}
