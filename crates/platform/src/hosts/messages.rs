//! What hosts say, and the tasks that stand there.

use super::*;

impl Engine {
    pub(crate) fn host_says(&mut self, now: Micros, id: LinkId, message: FromHost) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.used = now;
        let machine = link.machine;
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.heard(now);
        }
        match message {
            FromHost::Answer {
                id: task,
                description,
            } => {
                if let Some(attempt) = link.open.remove(&task) {
                    self.placed(now, id, attempt, description);
                }
            }
            FromHost::Release {
                id: task,
                cause,
                reason,
                figures,
            } => {
                let report = self.report(&figures);
                if let Some(attempt) = self
                    .links
                    .get(&id)
                    .and_then(|link| link.open.get(&task))
                    .copied()
                {
                    let outcome = match cause {
                        FULL => Outcome::Refused,
                        ERROR => Outcome::Error,
                        MOOT => Outcome::Unsent,
                        _ => Outcome::Reset,
                    };
                    self.take_back(attempt.request, outcome, reason, report);
                } else if let Some(request) = self.standing_at(machine, task) {
                    let outcome = match cause {
                        GIVEN_UP => Outcome::Finished,
                        CANCELLED => Outcome::Stopped,
                        _ => Outcome::Reset,
                    };
                    self.over(now, request, outcome, reason, cause, report);
                    self.look_at(now, machine);
                }
            }
            FromHost::Note { id: task, note } => {
                let request = self.standing_at(machine, task);
                let phase = request.and_then(|request| Some(self.requests.get(&request)?.phase));
                if let (Some(request), Some(Phase::Standing { number, .. })) = (request, phase) {
                    let attempt = AttemptId { request, number };
                    self.events.push(Event::TaskSignal {
                        attempt,
                        machine,
                        note,
                    });
                }
            }
            FromHost::Tested {
                id,
                passed,
                figures,
            } => self.probe_over(now, id, passed, &figures),
            FromHost::Free => {}
        }
    }

    /// The task that stands at a host under this id.
    pub(crate) fn standing_at(&self, machine: MachineId, id: u64) -> Option<RequestId> {
        let (request, entry) = self.request_of(id)?;
        let at = match entry.phase {
            Phase::Standing { machine, .. } | Phase::Ending { machine, .. } => machine,
            Phase::Open | Phase::Closed => return None,
        };
        (at == machine).then_some(request)
    }

    /// Whether a task of this name stands at a host.
    pub(crate) fn by_key(&self, machine: MachineId, key: u64) -> bool {
        let range = (key, RequestId(0))..=(key, RequestId(u64::MAX));
        self.hosts
            .get(&machine)
            .is_some_and(|host| host.standing.range(range).next().is_some())
    }

    /// A task that a client handed over stands at a host: its end is to be heard.
    pub(crate) fn stands(&mut self, now: Micros, machine: MachineId, request: RequestId) {
        let key = self.requests.get(&request).map(|entry| entry.setup.key);
        let host = self.hosts.entry(machine).or_insert_with(Host::new);
        if host.standing.is_empty() {
            // Silence counts from when there is something to be heard of.
            host.heard_at = host.heard_at.max(now);
        }
        host.standing.extend(key.map(|key| (key, request)));
        self.look_at(now, machine);
    }

    pub(crate) fn placed(
        &mut self,
        now: Micros,
        link: LinkId,
        attempt: AttemptId,
        description: String,
    ) {
        let AttemptId { request, number } = attempt;
        let Some(out) = self.out(attempt) else { return };
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let (machine, id, conn) = (out.machine, entry.setup.id, entry.conn);
        if entry.phase != Phase::Open {
            // Nobody wants it any more: it is cut, and its end belongs to the attempt.
            self.send_host(
                link,
                ToHost::Release {
                    id,
                    cause: GIVEN_UP,
                },
            );
            self.take_back(request, Outcome::Stopped, None, Vec::new());
            return;
        }
        entry.out = None;
        entry.phase = Phase::Standing {
            machine,
            number,
            since: now,
        };
        // A standing task needs no description any more.
        entry.setup.description = String::new();
        self.waiting -= std::mem::take(&mut entry.weight);
        let took_us = now.saturating_sub(out.sent);
        self.events.push(Event::Placed {
            attempt,
            machine,
            took_us,
        });
        self.send_client(conn, ToClient::Answer { id, description });
        self.closed_on(conn, id);
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.answered = true;
            conn.heard_at = now;
        }
        self.stands(now, machine, request);
    }

    /// What stood is over.
    pub(crate) fn over(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        reason: Option<reedring::Reason>,
        cause: u8,
        report: Vec<f64>,
    ) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let (id, key, home) = (entry.setup.id, entry.setup.key, entry.conn);
        let (machine, number, owed) = match entry.phase {
            Phase::Standing {
                machine, number, ..
            } => (machine, number, true),
            Phase::Ending {
                machine, number, ..
            } => (machine, number, false),
            Phase::Open | Phase::Closed => return,
        };
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.standing.remove(&(key, request));
        }
        self.ended(request, number, machine, outcome, reason, report);
        self.forget(request);
        // Whom its client ended, or who was told that it moved, is owed nothing more.
        if owed {
            self.end_task(now, home, id, cause);
        }
    }
}
