//! Tasks that run at hosts: accepted, handed over, ended.

use reedring::{AttemptId, Event, MachineId, Micros, Outcome, RequestId};
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::{CANCELLED, FAILED, GIVEN_UP};

use crate::attempts::AttemptResult;
use crate::decide::TaskOwnership;
use crate::ids::LinkId;
use crate::state::{DisplacedTask, Engine, Phase, Placement, TaskEnd};

/// A running task that was just removed from the table of requests.
struct RemovedTask {
    /// The request's id on the wire.
    id: u64,
    attempt: AttemptId,
    /// Where the task runs, and for whom.
    task: DisplacedTask,
    /// Whether the host was asked to stop it.
    was_stopping: bool,
}

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
            self.send_stop_on(now, link, machine, id, GIVEN_UP);
            return self.end_attempt(request, Outcome::Stopped.into());
        }
        let placement = Placement {
            machine,
            attempt: attempt.number,
            since: now,
            connected_at: self.hosts.link(link).map(|link| link.up_since),
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
            client.record_ownership(now, TaskOwnership::Confirmed);
        }
        self.add_running_task(now, machine, request);
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
        let Some(removed) = self.remove_running_task(request) else {
            return;
        };
        let AttemptId { request, number } = removed.attempt;
        self.report_attempt_end(request, number, removed.task.machine, result);
        // A client that stopped its task, or was notified that the task is moved, is not notified of its end.
        if removed.was_stopping {
            return;
        }
        let end = TaskEnd {
            at: now,
            requested_on: removed.task.requested_on,
            id: removed.id,
            cause,
        };
        self.notify_task_end(now, end);
    }

    /// Stops tracking a running task that may not exist. Its end is still passed on if its host reports it or is lost.
    pub(crate) fn displace_task(&mut self, request: RequestId) {
        let Some(removed) = self.remove_running_task(request) else {
            return;
        };
        let attempt = removed.attempt;
        self.events.push(Event::Untracked { attempt });
        if !removed.was_stopping {
            self.displaced_tasks.add(removed.id, removed.task);
        }
    }

    /// Removes a running task.
    fn remove_running_task(&mut self, request: RequestId) -> Option<RemovedTask> {
        let entry = self.requests.get(request)?;
        let placement = entry.phase.placement()?;
        let key = entry.placement_request.key;
        let removed = RemovedTask {
            id: entry.wire_id(),
            attempt: AttemptId {
                request,
                number: placement.attempt,
            },
            task: DisplacedTask {
                machine: placement.machine,
                requested_on: entry.conn,
            },
            was_stopping: matches!(entry.phase, Phase::Stopping(_)),
        };
        if let Some(host) = self.hosts.host_mut(placement.machine) {
            host.running.remove(&(key, request));
        }
        self.requests.remove(request);
        self.hosts.remove_if_unused(placement.machine);
        Some(removed)
    }

    /// Records that a host sent something about a running task.
    pub(super) fn confirm_task(&mut self, now: Micros, request: RequestId) {
        let conn = self.requests.get(request).map(|entry| entry.conn);
        self.requests.confirm_task(now, request);
        if let Some(conn) = conn {
            self.confirm_ownership(conn);
        }
    }

    /// Notifies the client of a displaced task whose host reports its end.
    pub(super) fn displaced_task_ended(
        &mut self,
        now: Micros,
        machine: MachineId,
        id: u64,
        cause: u8,
    ) {
        if let Some(task) = self.displaced_tasks.take_at(machine, id) {
            self.requests.confirm_connection(now, task.requested_on);
            self.confirm_ownership(task.requested_on);
            self.notify_displaced_end(now, id, task, cause);
        }
    }

    /// Notifies the clients of all displaced tasks of a host that is lost.
    pub(super) fn end_displaced_tasks(&mut self, now: Micros, machine: MachineId) {
        for (id, task) in self.displaced_tasks.take_all_at(machine) {
            self.notify_displaced_end(now, id, task, FAILED);
        }
    }

    fn notify_displaced_end(&mut self, now: Micros, id: u64, task: DisplacedTask, cause: u8) {
        let end = TaskEnd {
            at: now,
            requested_on: task.requested_on,
            id,
            cause,
        };
        self.notify_task_end(now, end);
    }

    /// Asks the host of a displaced task to stop it, as its client released it.
    pub(crate) fn stop_displaced_task(&mut self, now: Micros, id: u64) {
        let Some(task) = self.displaced_tasks.take(id) else {
            return;
        };
        self.send_stop(now, task.machine, id, CANCELLED);
    }
}
