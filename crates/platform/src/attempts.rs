//! Attempts: made, taken back, given up; and probes.

use reedring::{AttemptId, Ended, Event, MachineId, Micros, Outcome, Reason, RequestId};
use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::host::{Figures, ToHost};

use crate::state::{Engine, Out, Phase, Probe, Timer, connect_us};

impl Engine {
    pub(crate) fn offer(
        &mut self,
        now: Micros,
        request: RequestId,
        machine: MachineId,
        within_us: Option<Micros>,
    ) {
        let most = self.settings.module.rules.max_attempts;
        let Some(entry) = self.requests.get_mut(&request) else {
            // Its client went in this very batch; the module's number for the attempt is the next one.
            return;
        };
        let number = entry.attempts;
        entry.attempts += 1;
        let spent = most.is_some_and(|most| u32::from(number) >= most);
        // A second attempt beside one that is out would be a second live one.
        if entry.phase != Phase::Open || entry.out.is_some() || spent || entry.deadline <= now {
            return self.ended(request, number, machine, Outcome::Unsent, None, Vec::new());
        }
        let until = within_us.map_or(entry.deadline, |within| (now + within).min(entry.deadline));
        entry.out = Some(Out {
            number,
            machine,
            link: 0,
            position: 0,
            sent: now,
            until,
            resent: 0,
        });
        self.timers
            .set(until, Timer::Attempt(AttemptId { request, number }));
        self.send_setup(now, request);
    }

    /// Sends the attempt that is out on the connection that suits it.
    pub(crate) fn send_setup(&mut self, now: Micros, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let Some(out) = entry.out else { return };
        let (number, machine, id) = (out.number, out.machine, entry.setup.id);
        let Some(link) = self.link_for(now, machine) else {
            if let Some(entry) = self.requests.get_mut(&request) {
                entry.out = None;
            }
            return self.ended(
                request,
                number,
                machine,
                Outcome::Unconnected,
                None,
                Vec::new(),
            );
        };
        let Some(setup) = self.requests.get(&request).map(|entry| &entry.setup) else {
            return;
        };
        let message = ToHost::PlacementRequest {
            id,
            class: setup.class.clone(),
            key: setup.key,
            idem: setup.idem.clone(),
            left_ms: (out.until.saturating_sub(now) / 1_000).max(1),
            description: setup.description.clone(),
        };
        let position = self.send_host(link, message);
        if let Some(link) = self.links.get_mut(&link) {
            link.open.insert(id, AttemptId { request, number });
            link.used = now;
        }
        if let Some(out) = self
            .requests
            .get_mut(&request)
            .and_then(|entry| entry.out.as_mut())
        {
            (out.link, out.position) = (link, position);
        }
    }

    /// Tells the module that an attempt ended.
    pub(crate) fn ended(
        &mut self,
        request: RequestId,
        number: u16,
        machine: MachineId,
        outcome: Outcome,
        reason: Option<Reason>,
        report: Vec<f64>,
    ) {
        let closed = self
            .requests
            .get(&request)
            .is_none_or(|entry| entry.phase != Phase::Open);
        let attempt = AttemptId { request, number };
        self.events.push(Event::Ended(Ended {
            attempt,
            machine,
            outcome,
            reason,
            closed,
            report,
        }));
    }

    /// Takes the attempt that is out back, and tells the module how it ended. What its host may still say to it
    /// concerns nobody any more.
    pub(crate) fn take_back(
        &mut self,
        request: RequestId,
        outcome: Outcome,
        reason: Option<Reason>,
        report: Vec<f64>,
    ) -> Option<Out> {
        let entry = self.requests.get_mut(&request)?;
        let out = entry.out.take()?;
        let (id, closed) = (entry.setup.id, entry.phase == Phase::Closed);
        if let Some(link) = self.links.get_mut(&out.link) {
            link.open.remove(&id);
        }
        self.ended(request, out.number, out.machine, outcome, reason, report);
        if closed {
            self.forget(request);
        }
        Some(out)
    }

    /// Gives up waiting for the attempt that is out: its host is told, and its connection used no more, as
    /// whatever kept the answer from coming may hold up the next one too. What waits for a connection that does not
    /// stand never left.
    pub(crate) fn give_up(&mut self, request: RequestId, outcome: Outcome) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let (id, Some(out)) = (entry.setup.id, entry.out) else {
            return;
        };
        let unsent = self.unsend(out.link, id);
        let outcome = if unsent {
            Outcome::Unconnected
        } else {
            outcome
        };
        self.take_back(request, outcome, None, Vec::new());
        if !unsent {
            self.send_host(
                out.link,
                ToHost::Release {
                    id,
                    cause: GIVEN_UP,
                },
            );
        }
        self.doubt(out.link);
    }

    /// The attempt, if it is the one that is out.
    pub(crate) fn out(&self, attempt: AttemptId) -> Option<Out> {
        let out = self
            .requests
            .get(&attempt.request)
            .and_then(|entry| entry.out);
        out.filter(|out| out.number == attempt.number)
    }

    pub(crate) fn stop(&mut self, attempt: AttemptId) {
        if self.out(attempt).is_some() {
            self.give_up(attempt.request, Outcome::Stopped);
        }
    }

    pub(crate) fn attempt_due(&mut self, now: Micros, attempt: AttemptId) {
        if self.out(attempt).is_some_and(|out| out.until <= now) {
            self.give_up(attempt.request, Outcome::TimedOut);
        }
    }

    pub(crate) fn probe(&mut self, now: Micros, machine: MachineId) {
        let Some(link) = self.link_for(now, machine) else {
            return self.events.push(Event::Probed {
                machine,
                answered: false,
                took_us: 0,
                report: Vec::new(),
            });
        };
        self.last_probe += 1;
        let (id, report) = (self.last_probe, !self.settings.report.is_empty());
        self.probes.insert(
            id,
            Probe {
                machine,
                link,
                sent: now,
            },
        );
        if let Some(link) = self.links.get_mut(&link) {
            link.probes += 1;
        }
        self.send_host(link, ToHost::Test { id, report });
        self.timers
            .set(now + connect_us(&self.settings), Timer::Probe(id));
    }

    pub(crate) fn probe_over(&mut self, now: Micros, id: u64, answered: bool, figures: &Figures) {
        let Some(probe) = self.probes.remove(&id) else {
            return;
        };
        if let Some(link) = self.links.get_mut(&probe.link) {
            link.probes -= 1;
        }
        if !answered {
            self.doubt(probe.link);
        }
        let took_us = now.saturating_sub(probe.sent);
        let report = self.report(figures);
        self.events.push(Event::Probed {
            machine: probe.machine,
            answered,
            took_us,
            report,
        });
    }

    /// A load report in the order of the settings; none unless all of it was told.
    pub(crate) fn report(&self, figures: &Figures) -> Vec<f64> {
        let report: Option<Vec<f64>> = self
            .settings
            .report
            .iter()
            .map(|name| figures.get(name).copied())
            .collect();
        report.unwrap_or_default()
    }
}
