//! Placement requests: validated, recorded, and converted to tasks of the decision module.

use reedring::names::machine_id;
use reedring::{Event, MachineId, Micros, RequestId, ServiceId, Task, TaskKey};
use reedring_platform_protocol::FAILED;
use reedring_platform_protocol::client::{PlacementRequest, ToClient};
use reedring_platform_protocol::discovery::number_of;

use crate::decide::TaskOwnership;
use crate::errors::Rejection;
use crate::ids::ConnId;
use crate::log_event::LogEvent;
use crate::state::{Engine, Phase, Placement, Request, Timer};

impl Engine {
    pub(super) fn placement_request(
        &mut self,
        now: Micros,
        conn: ConnId,
        request: PlacementRequest,
    ) {
        let task = match self.task_from_request(&request) {
            Ok(task) => task,
            Err(reason) => return self.reject(now, conn, request.id, reason),
        };
        if let Some(host) = &request.runs_at {
            let machine = machine_id(host);
            self.adopt_task(now, conn, request, task, machine);
        } else if self.admit_request(now, conn, &request) {
            self.add_request(now, conn, request);
        } else {
            return;
        }
        self.send_unsent_ends(now);
    }

    /// Adopts a running task that a client hands over because its former placer is gone. A task that is known already,
    /// under this id or another, is not added again.
    fn adopt_task(
        &mut self,
        now: Micros,
        conn: ConnId,
        request: PlacementRequest,
        task: Task,
        machine: MachineId,
    ) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.record_valid_request(now);
            client.record_ownership(now, TaskOwnership::Claimed);
        }
        let known = self.requests.find(request.id);
        let is_in_use = known.is_some_and(|known| known.request.phase != Phase::Closed);
        if is_in_use || self.is_task_running(machine, request.key) {
            return;
        }
        self.displaced_tasks.take(request.id);
        let phase = Phase::Running(Placement {
            machine,
            attempt: 0,
            since: now,
            connected_at: None,
        });
        let request = self.requests.add(now, request, conn, phase);
        self.events.push(Event::Adopted {
            task: Task { request, ..task },
            machine,
        });
        self.add_running_task(now, machine, request);
        self.limit_unconfirmed_tasks(now, conn);
    }

    /// Displaces the task that is least likely to exist if more tasks were handed over than may be unconfirmed. As it may
    /// exist after all, it is neither stopped nor reported as over.
    fn limit_unconfirmed_tasks(&mut self, now: Micros, conn: ConnId) {
        let unconfirmed_tasks = self.requests.unconfirmed_tasks();
        if unconfirmed_tasks <= self.bounds.unconfirmed_tasks {
            return;
        }
        let Some(task) = self.requests.take_least_likely_task(now) else {
            return;
        };
        self.log(LogEvent::UnconfirmedTasksFull {
            client: conn,
            unconfirmed_tasks,
        });
        self.displace_task(task);
    }

    /// Whether a new request can be accepted. If not, the request is answered with a failure or its connection is
    /// closed.
    fn admit_request(&mut self, now: Micros, conn: ConnId, request: &PlacementRequest) -> bool {
        let id = request.id;
        if let Some(known) = self.requests.find(id) {
            // A failure under this id would report to the client that its running task has ended.
            if known.request.phase.placement().is_some() && known.request.conn == conn {
                self.close_client(conn);
            } else {
                self.reject(now, conn, id, Rejection::IdInUse);
            }
            return false;
        }
        if self
            .clients
            .get(&conn)
            .is_some_and(|client| client.is_overflow)
        {
            self.send_to_client(conn, ToClient::failure(id, FAILED));
            self.close_client(conn);
            return false;
        }
        let pending_bytes = self.requests.pending_bytes();
        let free_bytes = self
            .bounds
            .pending_request_bytes
            .saturating_sub(pending_bytes);
        // A connection may use as much as it leaves free, so that one client's requests never keep those of others out.
        let own_bytes = self.requests.pending_bytes_of(conn) + Request::pending_bytes_of(request);
        if own_bytes > free_bytes {
            self.log(LogEvent::PendingRequestsFull {
                client: conn,
                pending_bytes,
            });
            self.send_to_client(conn, ToClient::failure(id, FAILED));
            return false;
        }
        true
    }

    /// Records a new request. It is submitted to the decision module when it is the turn of its connection.
    fn add_request(&mut self, now: Micros, conn: ConnId, request: PlacementRequest) {
        let id = request.id;
        let request = self.requests.add(now, request, conn, Phase::Open);
        if self.has_backlog()
            && let Some(entry) = self.requests.get_mut(request)
        {
            let timer = Timer::RequestDeadline(request);
            entry.deadline_timer = Some(self.timers.set(entry.deadline, timer));
        }
        if let Some(client) = self.clients.get_mut(&conn) {
            client.open_requests.insert(id);
            client.record_valid_request(now);
            if client.unsubmitted.is_empty() {
                self.submission_queue.push_back(conn);
            }
            client.unsubmitted.push_back(request);
        }
        self.depart_late_request(now, conn, id);
    }

    /// Validates a placement request and converts it to a task of the decision module. The task's request number is not
    /// set.
    pub(super) fn task_from_request(&self, request: &PlacementRequest) -> Result<Task, Rejection> {
        let class = number_of(&self.settings.classes, &request.class)
            .ok_or_else(|| Rejection::UnknownClass(request.class.clone()))?;
        let tenant = match &request.tenant {
            None if self.settings.tenants.is_empty() => 0,
            None => return Err(Rejection::MissingTenant),
            Some(name) => number_of(&self.settings.tenants, name)
                .ok_or_else(|| Rejection::UnknownTenant(name.clone()))?,
        };
        let (cores, memory) = (request.cores, request.memory);
        if !self.is_possible_size(cores, memory) {
            return Err(Rejection::ImpossibleSize { cores, memory });
        }
        Ok(Task {
            request: RequestId(0),
            class,
            tenant,
            key: TaskKey(request.key),
            service: ServiceId(request.service),
            cores,
            memory,
            life_us: None,
            again: request.is_retry,
        })
    }

    /// Whether a machine of any kind could accept a task of this size.
    fn is_possible_size(&self, cores: f64, memory: f64) -> bool {
        let module = &self.settings.module;
        let largest = |dimension: fn(&reedring::Kind) -> Option<f64>, overbooking: Option<f64>| {
            let largest = module
                .kinds
                .iter()
                .filter_map(dimension)
                .fold(0.0, f64::max);
            if largest > 0.0 {
                largest * overbooking.unwrap_or(1.0).max(1.0)
            } else {
                f64::INFINITY
            }
        };
        let fits = cores <= largest(|kind| kind.cores, module.accepts_cores)
            && memory <= largest(|kind| kind.memory, module.accepts_memory);
        fits && cores + memory > 0.0
    }
}
