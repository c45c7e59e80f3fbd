//! Messages of hosts.

use reedring::{AttemptId, Event, MachineId, Micros, Note, Outcome, Reason};
use reedring_platform_protocol::host::{Figures, FromHost};
use reedring_platform_protocol::{CANCELLED, ERROR, FAILED, GIVEN_UP, NOT_STARTED, REFUSED};

use crate::attempts::AttemptResult;
use crate::ids::LinkId;
use crate::state::{Engine, Phase};

/// A host's message that an attempt or a running task ended.
struct HostRelease {
    id: u64,
    cause: u8,
    reason: Option<Reason>,
    figures: Figures,
}

/// The outcome of an attempt that its host released before it answered.
fn attempt_outcome(cause: u8) -> Outcome {
    match cause {
        REFUSED => Outcome::Refused,
        ERROR => Outcome::Error,
        NOT_STARTED => Outcome::Unsent,
        _ => Outcome::Reset,
    }
}

/// The outcome of a running task that its host released.
fn task_outcome(cause: u8) -> Outcome {
    match cause {
        GIVEN_UP => Outcome::Finished,
        CANCELLED => Outcome::Stopped,
        _ => Outcome::Reset,
    }
}

/// Whether hosts release running tasks with this cause; all others are for attempts that were not accepted.
fn ends_running_task(cause: u8) -> bool {
    matches!(cause, GIVEN_UP | FAILED | CANCELLED)
}

impl Engine {
    pub(crate) fn host_message(&mut self, now: Micros, id: LinkId, message: FromHost) {
        let Some(machine) = self.hosts.machine_of_link(id) else {
            return;
        };
        if let Some(link) = self.hosts.link_mut(id) {
            link.last_used = now;
        }
        if let Some(host) = self.hosts.host_mut(machine) {
            host.record_received(now);
        }
        match message {
            FromHost::Answer {
                id: wire_id,
                description,
            } => {
                let link = self.hosts.link_mut(id);
                let attempt = link.and_then(|link| link.in_flight.remove(&wire_id));
                if let Some(attempt) = attempt {
                    self.task_accepted(now, id, attempt, description);
                }
            }
            FromHost::Release {
                id: wire_id,
                cause,
                reason,
                figures,
            } => {
                let release = HostRelease {
                    id: wire_id,
                    cause,
                    reason,
                    figures,
                };
                self.host_release(now, id, machine, release);
            }
            FromHost::TaskSignal { id: wire_id, note } => {
                self.host_task_signal(now, machine, wire_id, note)
            }
            FromHost::HealthCheckResult {
                id,
                passed,
                figures,
            } => {
                self.health_check_done(now, id, passed, &figures);
            }
            FromHost::ReleaseConfirmed(wire_id) => self.pending_stops.remove(machine, wire_id),
            FromHost::Ignored => {}
        }
    }

    /// Handles a host's release: of an attempt in flight, or of a running task.
    fn host_release(&mut self, now: Micros, id: LinkId, machine: MachineId, release: HostRelease) {
        let HostRelease {
            id: wire_id,
            cause,
            reason,
            figures,
        } = release;
        let report = self.load_report(&figures);
        if ends_running_task(cause) {
            self.pending_stops.remove(machine, wire_id);
        }
        let link = self.hosts.link(id);
        let attempt = link.and_then(|link| link.in_flight.get(&wire_id)).copied();
        // The attempts on a closed link were given up. A later attempt of the same request may have started a task at
        // the host, which the release of an earlier one does not concern.
        let may_end_task = link.is_some() || ends_running_task(cause);
        let running = self.running_request(machine, wire_id);
        if let Some(attempt) = attempt {
            let outcome = attempt_outcome(cause);
            self.end_attempt(
                attempt.request,
                AttemptResult {
                    outcome,
                    reason,
                    report,
                },
            );
        } else if let Some(request) = running.filter(|_| may_end_task) {
            let outcome = task_outcome(cause);
            self.confirm_task(now, request);
            self.task_ended(
                now,
                request,
                cause,
                AttemptResult {
                    outcome,
                    reason,
                    report,
                },
            );
            self.evaluate_host(now, machine);
        } else if ends_running_task(cause) {
            self.displaced_task_ended(now, machine, wire_id, cause);
        }
    }

    /// Passes a host's signal about a running task on to the decision module.
    fn host_task_signal(&mut self, now: Micros, machine: MachineId, wire_id: u64, note: Note) {
        let Some(request) = self.running_request(machine, wire_id) else {
            return;
        };
        self.confirm_task(now, request);
        let phase = self.requests.get(request).map(|entry| entry.phase);
        if let Some(Phase::Running(placement)) = phase {
            let attempt = AttemptId {
                request,
                number: placement.attempt,
            };
            self.events.push(Event::TaskSignal {
                attempt,
                machine,
                note,
            });
        }
    }
}
