//! Arrivals: set-ups that become tasks, and the turn in which they are submitted to the decision module.

use reedring::names::machine_id;
use reedring::{Event, Micros, RequestId, ServiceId, Task, TaskKey};
use reedring_platform_protocol::CUT;
use reedring_platform_protocol::client::{PlacementRequest, ToClient};
use reedring_platform_protocol::discovery::number;

use crate::io::ConnId;
use crate::state::{Engine, Phase, Request, Timer};

/// For so long arrivals wait for what their client said after them to be read.
const READ_US: Micros = 50_000;

impl Engine {
    /// Whatever waits before it, a request whose time is over is answered: it never ran.
    pub(crate) fn overdue(&mut self, now: Micros, request: RequestId) {
        if self.requests.get(&request).is_some_and(Request::is_fresh) {
            self.submit(now, request, true);
        }
    }

    /// Submits an arrival to the module; one whose client has gone so that it is answered at once.
    pub(super) fn submit(&mut self, now: Micros, request: RequestId, client_left: bool) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        (entry.submitted, entry.client_left) = (true, client_left);
        let grace_us = if client_left {
            0
        } else {
            entry.deadline.saturating_sub(now)
        };
        if let Some(Ok(task)) = self
            .requests
            .get(&request)
            .map(|entry| self.task(&entry.setup))
        {
            self.events.push(Event::Arrived {
                task: Task { request, ..task },
                grace_us,
            });
        }
    }

    /// When the arrivals of a connection have their turn: at once, or, where more of it is to be read, once that was or
    /// could have been, as they may be taken back there.
    fn turn(&self, conn: ConnId) -> Option<Micros> {
        let entry = self.conns.get(&conn)?;
        let came = entry
            .fresh
            .front()
            .and_then(|first| self.requests.get(first))
            .map_or(0, |first| first.arrived_at);
        Some(if entry.more { came + READ_US } else { 0 })
    }

    /// When the next arrival has its turn.
    pub(crate) fn next_turn(&self) -> Option<Micros> {
        self.turns.iter().filter_map(|conn| self.turn(*conn)).min()
    }

    /// Submits the next `most` arrivals to the module, each connection's in turn.
    pub(crate) fn submit_next(&mut self, now: Micros, most: usize) {
        let (mut submitted, mut passed) = (0, 0);
        while submitted < most && passed < self.turns.len() {
            let Some(conn) = self.turns.pop_front() else {
                return;
            };
            let Some(due) = self.turn(conn) else { continue };
            if due > now {
                self.turns.push_back(conn);
                passed += 1;
                continue;
            }
            let Some(entry) = self.conns.get_mut(&conn) else {
                continue;
            };
            let next = entry.fresh.pop_front();
            if !entry.fresh.is_empty() {
                self.turns.push_back(conn);
            }
            let fresh =
                |request: &RequestId| self.requests.get(request).is_some_and(Request::is_fresh);
            if let Some(request) = next.filter(fresh) {
                (submitted, passed) = (submitted + 1, 0);
                self.submit(now, request, false);
            }
        }
    }

    pub(super) fn setup(&mut self, now: Micros, conn: ConnId, setup: PlacementRequest) {
        let id = setup.id;
        let task = match self.task(&setup) {
            Ok(task) => task,
            Err(why) => return self.unusable(now, conn, id, &why),
        };
        let known = self
            .request_of(id)
            .map(|(_, entry)| (entry.phase, entry.conn));
        if let Some(host) = &setup.at {
            let machine = machine_id(host);
            if let Some(conn) = self.conns.get_mut(&conn) {
                (conn.heard_at, conn.answered, conn.good, conn.unusable) = (now, true, true, 0);
            }
            // It may name what is held already, under this id or the one that it stands under.
            let held = self.by_key(machine, setup.key);
            if known.is_some_and(|(phase, _)| phase != Phase::Closed) || held {
                return self.tell_owed(now);
            }
            let phase = Phase::Standing {
                machine,
                number: 0,
                since: now,
            };
            let request = self.new_request(now, setup, conn, phase);
            self.events.push(Event::Adopted {
                task: Task { request, ..task },
                machine,
            });
            self.stands(now, machine, request);
            return self.tell_owed(now);
        }
        match known {
            None => {}
            // A release here would say that the standing task is over.
            Some((Phase::Standing { .. } | Phase::Ending { .. }, home)) if home == conn => {
                return self.close_client(conn);
            }
            Some(_) => return self.unusable(now, conn, id, "this id is open"),
        }
        if self.conns.get(&conn).is_some_and(|conn| conn.in_overflow) {
            self.send_client(conn, ToClient::failure(id, CUT));
            return self.close_client(conn);
        }
        if self.waiting + setup.description.len() > self.bounds.waiting {
            self.log(format!(
                "client {conn}: turned away: set-ups hold {} bytes",
                self.waiting
            ));
            return self.send_client(conn, ToClient::failure(id, CUT));
        }
        let request = self.new_request(now, setup, conn, Phase::Open);
        if self.has_backlog() {
            self.timers
                .set(self.requests[&request].deadline, Timer::Overdue(request));
        }
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.open.insert(id);
            (entry.heard_at, entry.good, entry.unusable) = (now, true, 0);
            if entry.fresh.is_empty() {
                self.turns.push_back(conn);
            }
            entry.fresh.push_back(request);
        }
        self.tell_owed(now);
    }

    /// The task of a set-up, as the module knows it; why it can't be one.
    fn task(&self, setup: &PlacementRequest) -> Result<Task, String> {
        let class = number(&self.settings.classes, &setup.class);
        let class = class.ok_or_else(|| format!("no class {:?}", setup.class))?;
        let tenant = match &setup.tenant {
            None if self.settings.tenants.is_empty() => 0,
            None => return Err("no tenant".to_owned()),
            Some(name) => {
                number(&self.settings.tenants, name).ok_or_else(|| format!("no tenant {name:?}"))?
            }
        };
        let kinds = &self.settings.module.kinds;
        let most = |size: fn(&reedring::Kind) -> Option<f64>, times: Option<f64>| {
            let largest = kinds.iter().filter_map(size).fold(0.0, f64::max);
            if largest > 0.0 {
                largest * times.unwrap_or(1.0).max(1.0)
            } else {
                f64::INFINITY
            }
        };
        // No machine could ever take more.
        if setup.cores > most(|kind| kind.cores, self.settings.module.accepts_cores)
            || setup.memory > most(|kind| kind.memory, self.settings.module.accepts_memory)
            || setup.cores + setup.memory <= 0.0
        {
            return Err(format!(
                "no machine has {} cores and {} of memory",
                setup.cores, setup.memory
            ));
        }
        Ok(Task {
            request: RequestId(0),
            class,
            tenant,
            key: TaskKey(setup.key),
            service: ServiceId(setup.service),
            cores: setup.cores,
            memory: setup.memory,
            life_us: None,
            again: setup.retry,
        })
    }
}
