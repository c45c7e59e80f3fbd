//! Attempts: sent to hosts, ended, timed out and abandoned.

use reedring::{AttemptId, Ended, Event, MachineId, Micros, Outcome, Reason, RequestId};
use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::host::{Figures, ToHost};

use crate::state::{Engine, InFlightAttempt, Phase, Timer};

/// How an attempt ended, as reported to the decision module.
pub(crate) struct AttemptResult {
    pub outcome: Outcome,
    /// The host's reason; `None` if the host gave none or did not end the attempt.
    pub reason: Option<Reason>,
    /// The host's load report, in the order of the settings; empty if the host sent none.
    pub report: Vec<f64>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self {
            outcome,
            reason: None,
            report: Vec::new(),
        }
    }
}

/// Milliseconds until the deadline, at least 1, as a placement request to a host carries them.
pub(crate) fn remaining_ms(now: Micros, deadline: Micros) -> u64 {
    (deadline.saturating_sub(now) / 1_000).max(1)
}

impl Engine {
    /// Starts the next attempt of a request, as the decision module requested.
    pub(crate) fn offer(
        &mut self,
        now: Micros,
        request: RequestId,
        machine: MachineId,
        within_us: Option<Micros>,
    ) {
        let max_attempts = self.settings.module.rules.max_attempts;
        let Some(entry) = self.requests.get_mut(request) else {
            // Not expected: the decision module is notified of everything that closes a request before the step in
            // which it could offer the request again.
            return;
        };
        let number = entry.attempts;
        entry.attempts += 1;
        let attempts_exhausted = max_attempts.is_some_and(|most| u32::from(number) >= most);
        // Expected to be true, as the decision module checks the same before it offers. A second attempt beside one in
        // flight could start the task twice.
        let may_start =
            entry.phase == Phase::Open && entry.in_flight.is_none() && entry.deadline > now;
        if attempts_exhausted || !may_start {
            return self.report_attempt_end(request, number, machine, Outcome::Unsent.into());
        }
        let deadline = entry.deadline;
        let deadline = within_us.map_or(deadline, |within| (now + within).min(deadline));
        let timeout = self.timers.set(
            deadline,
            Timer::AttemptTimeout(AttemptId { request, number }),
        );
        entry.in_flight = Some(InFlightAttempt {
            number,
            machine,
            link: 0,
            message_index: 0,
            sent_at: now,
            deadline,
            timeout,
            resends: 0,
        });
        self.send_attempt(now, request);
    }

    /// Sends the request's attempt in flight on a suitable link. Without a link, the attempt ends as unconnected.
    pub(crate) fn send_attempt(&mut self, now: Micros, request: RequestId) {
        let in_flight = self.requests.get(request).and_then(|entry| entry.in_flight);
        let Some(attempt) = in_flight else {
            return;
        };
        let link = self.link_for_message(now, attempt.machine);
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let Some(link) = link else {
            entry.in_flight = None;
            self.timers.cancel(attempt.timeout);
            let result = Outcome::Unconnected.into();
            return self.report_attempt_end(request, attempt.number, attempt.machine, result);
        };
        let (id, placement_request) = (entry.wire_id(), &entry.placement_request);
        let message = ToHost::PlacementRequest {
            id,
            class: placement_request.class.clone(),
            key: placement_request.key,
            idempotency_key: placement_request.idempotency_key.clone(),
            left_ms: remaining_ms(now, attempt.deadline),
            description: placement_request.description.clone(),
        };
        // A stop of an earlier attempt must not reach this host after the request.
        self.pending_stops.remove(attempt.machine, id);
        let message_index = self.send_to_host(link, message);
        if let Some(link) = self.hosts.link_mut(link) {
            let number = attempt.number;
            link.in_flight.insert(id, AttemptId { request, number });
            link.last_used = now;
        }
        let entry = self.requests.get_mut(request);
        if let Some(attempt) = entry.and_then(|entry| entry.in_flight.as_mut()) {
            (attempt.link, attempt.message_index) = (link, message_index);
        }
    }

    /// Reports the end of an attempt to the decision module.
    pub(crate) fn report_attempt_end(
        &mut self,
        request: RequestId,
        number: u16,
        machine: MachineId,
        result: AttemptResult,
    ) {
        let entry = self.requests.get(request);
        let closed = entry.is_none_or(|entry| entry.phase != Phase::Open);
        let attempt = AttemptId { request, number };
        let AttemptResult {
            outcome,
            reason,
            report,
        } = result;
        self.events.push(Event::Ended(Ended {
            attempt,
            machine,
            outcome,
            reason,
            closed,
            report,
        }));
    }

    /// Ends the request's attempt in flight and reports its end to the decision module. A later answer of its host is
    /// ignored.
    pub(crate) fn end_attempt(&mut self, request: RequestId, result: AttemptResult) {
        let Some(entry) = self.requests.get_mut(request) else {
            return;
        };
        let Some(attempt) = entry.in_flight.take() else {
            return;
        };
        let (id, is_closed) = (entry.wire_id(), entry.phase == Phase::Closed);
        self.timers.cancel(attempt.timeout);
        if let Some(link) = self.hosts.link_mut(attempt.link) {
            link.in_flight.remove(&id);
        }
        self.report_attempt_end(request, attempt.number, attempt.machine, result);
        if is_closed {
            self.requests.remove(request);
        }
    }

    /// Abandons the request's attempt in flight. Its host is notified, and its link is not used any more, as whatever
    /// delayed the answer may also delay the next one. An attempt that still waits for its link was never sent and ends
    /// as unconnected.
    pub(crate) fn abandon_attempt(&mut self, now: Micros, request: RequestId, outcome: Outcome) {
        let Some(entry) = self.requests.get(request) else {
            return;
        };
        let (id, Some(attempt)) = (entry.wire_id(), entry.in_flight) else {
            return;
        };
        let was_unsent = self.remove_queued_attempt(attempt.link, id);
        let outcome = if was_unsent {
            Outcome::Unconnected
        } else {
            outcome
        };
        self.end_attempt(request, outcome.into());
        if !was_unsent {
            // The host may have accepted the task already, and its answer be under way.
            self.send_stop_on(now, attempt.link, attempt.machine, id, GIVEN_UP);
        }
        self.suspect_link(attempt.link);
    }

    /// The attempt, if it is still in flight.
    pub(crate) fn in_flight(&self, attempt: AttemptId) -> Option<InFlightAttempt> {
        let entry = self.requests.get(attempt.request);
        let in_flight = entry.and_then(|entry| entry.in_flight);
        in_flight.filter(|in_flight| in_flight.number == attempt.number)
    }

    pub(crate) fn stop_attempt(&mut self, now: Micros, attempt: AttemptId) {
        if self.in_flight(attempt).is_some() {
            self.abandon_attempt(now, attempt.request, Outcome::Stopped);
        }
    }

    pub(crate) fn attempt_timeout(&mut self, now: Micros, attempt: AttemptId) {
        if self
            .in_flight(attempt)
            .is_some_and(|in_flight| in_flight.deadline <= now)
        {
            self.abandon_attempt(now, attempt.request, Outcome::TimedOut);
        }
    }

    /// The load report among the figures of a host's message, in the order of the settings; empty unless the message
    /// has all of its values.
    pub(crate) fn load_report(&self, figures: &Figures) -> Vec<f64> {
        let names = self.settings.report.iter();
        let report: Option<Vec<f64>> = names.map(|name| figures.get(name).copied()).collect();
        report.unwrap_or_default()
    }
}
