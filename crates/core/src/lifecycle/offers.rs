//! Attempts before a node has accepted them: offers, stops, and attempts that end without being accepted.

use std::sync::Arc;

use reedring::{
    AttemptId, Effect, Ended, Event as ModuleEvent, Group, MachineId, Micros, Outcome, RequestId,
};
use reedring_node_protocol::{self as wire, Message, VersionStamp};

use super::{AttemptEnd, JobLifecycle};
use crate::decide::AttemptState;
use crate::ids::{JobNumber, NodeNumber};
use crate::ledger::Attempt;
use crate::timers::Timer;

/// An offer that the decision module has decided on.
pub(crate) struct OfferDecision {
    pub request: RequestId,
    pub machine: MachineId,
    /// Microseconds that the node has to answer; `None` or 0 for no limit.
    pub within_us: Option<Micros>,
    /// The configuration by which the offer was decided; `None` for a node that does not read it.
    pub stamp: Option<VersionStamp>,
}

impl JobLifecycle<'_> {
    /// Opens an attempt at a request and sends its offer, or closes the attempt where the offer can't be sent.
    pub fn offer(&mut self, now: Micros, decision: OfferDecision) {
        let OfferDecision {
            request, machine, ..
        } = decision;
        let Some((job, id)) = self.ledger.next_attempt(request) else {
            return;
        };
        let Some(node) = self.nodes.by_machine(machine) else {
            return;
        };
        let is_blocked = self.blocks.is_blocked(machine);
        let task = self.wire_task(job);
        if !self.open_attempt(now, job, id, node, machine) {
            return;
        }
        if is_blocked {
            // The machine was blocked after the module had chosen it.
            return self.attempt_unplaced(now, id, AttemptEnd::new(Outcome::Unsent, "held back"));
        }
        let effect = self
            .ledger
            .job(job)
            .map_or(Effect::Unsafe, |job| self.effect(job));
        if !self.queue.may_offer(effect, self.cx) {
            return self.reject_unpersisted(now, id);
        }
        match task {
            Some(task) if self.nodes.is_up(node) => self.send_offer(now, id, node, task, &decision),
            _ => self.attempt_unplaced(now, id, AttemptEnd::new(Outcome::Unconnected, "no link")),
        }
    }

    /// Adds an attempt to the ledger before its offer is sent. Returns false where its job is not in the ledger.
    fn open_attempt(
        &mut self,
        now: Micros,
        job: JobNumber,
        id: AttemptId,
        node: NodeNumber,
        machine: MachineId,
    ) -> bool {
        let Some(entry) = self.ledger.job_mut(job) else {
            return false;
        };
        entry.record_attempt(id, node, now);
        let topics = Arc::clone(&entry.requirements.topics);
        self.constraints.copy_added(&topics, node);
        if let Some(open) = self.constraints.request_offered(id.request) {
            self.cx.notify_module(ModuleEvent::EligibilityChanged {
                request: open.request,
                machines: open.machines,
            });
        }
        let attempt = Attempt {
            job,
            node,
            machine,
            wire: self.ledger.wire_id(id),
            sent: now,
            state: AttemptState::Offered,
            accepted: false,
            announced: true,
            node_incarnation: self.nodes.incarnation(node),
            topics,
        };
        self.ledger.open_attempt(id, attempt);
        self.nodes.add_attempt(node, id);
        true
    }

    /// Sends the offer of an attempt to a connected node and starts its timers.
    fn send_offer(
        &mut self,
        now: Micros,
        id: AttemptId,
        node: NodeNumber,
        task: wire::Task,
        decision: &OfferDecision,
    ) {
        let within = decision.within_us.unwrap_or(0);
        if within > 0 {
            self.cx.set_timer(now + within, Timer::OfferTimeout(id));
        }
        // Rounded down, but to at least 1: 0 means no limit on the wire.
        let within_ms = u32::try_from(within / 1_000).unwrap_or(u32::MAX);
        let within_ms = if within > 0 { within_ms.max(1) } else { 0 };
        self.cx.stats.offers += 1;
        self.slow_start_offered(now, node);
        let (attempt, stamp) = (self.ledger.wire_id(id), decision.stamp);
        self.send(
            now,
            node,
            Message::Offer {
                attempt,
                task: Box::new(task),
                within_ms,
                stamp,
            },
        );
    }

    /// The task of a job as the node protocol describes it.
    fn wire_task(&self, job: JobNumber) -> Option<wire::Task> {
        let job = self.ledger.job(job)?;
        let requirements = &job.requirements;
        let class = self.cx.class(requirements.class);
        Some(wire::Task {
            session: job.name.session.to_string(),
            job: job.name.to_string(),
            class: class.name.clone(),
            tenant: self.cx.settings().tenants[usize::from(requirements.tenant)].clone(),
            service: requirements.service.clone(),
            idempotency: match class.effect {
                Effect::Safe => wire::Idempotency::Idempotent,
                Effect::Keyed => wire::Idempotency::IdempotentByKey,
                Effect::Unsafe => wire::Idempotency::NonIdempotent,
            },
            deduplication_scope: match class.deduplication_group {
                Group::All => wire::DeduplicationScope::All,
                Group::Zone => wire::DeduplicationScope::Zone,
                Group::Cell => wire::DeduplicationScope::Rack,
            },
            deduplication_window_ms: u32::try_from(class.window_us.unwrap_or(0) / 1_000)
                .unwrap_or(u32::MAX),
            idempotency_key: job.key.0,
            cores: requirements.cores,
            memory: requirements.memory,
            expected_duration_ms: requirements.expected_run_time_us.unwrap_or(0) / 1_000,
            payload: serde_json::to_vec(&requirements.spec.at_index(job.name.index))
                .unwrap_or_default(),
        })
    }

    /// Closes an attempt whose offer was not answered within the time that the decision module allows.
    pub fn offer_timed_out(&mut self, now: Micros, id: AttemptId) {
        if self.ledger.state_of(id) == Some(AttemptState::Offered) {
            self.attempt_unplaced(
                now,
                id,
                AttemptEnd::new(Outcome::TimedOut, "no answer in time"),
            );
        }
    }

    /// Stops an attempt: retracts an offer that was not sent, and otherwise asks the node to stop it and waits up to
    /// `stop_wait_us` for the answer.
    pub fn stop(&mut self, now: Micros, id: AttemptId) {
        let Some(attempt) = self.ledger.attempt_mut(id) else {
            return;
        };
        let (node, wire, before) = (attempt.node, attempt.wire, attempt.state);
        attempt.state = AttemptState::Stopping;
        if before == AttemptState::Offered && self.retract(id) {
            return self.attempt_unplaced(now, id, AttemptEnd::new(Outcome::Unsent, "never sent"));
        }
        if before != AttemptState::Stopping {
            let timeout = self.cx.settings().links.stop_wait_us;
            self.cx.set_timer(now + timeout, Timer::StopTimeout(id));
            self.send(now, node, Message::Stop { attempt: wire });
        }
    }

    /// Closes an attempt whose node did not confirm in time that it stopped it.
    pub fn stop_timed_out(&mut self, now: Micros, id: AttemptId) {
        let attempt = self.ledger.attempt(id);
        let stopping = attempt.filter(|attempt| attempt.state == AttemptState::Stopping);
        let end = AttemptEnd::new(Outcome::Stopped, "stopped, no word");
        match stopping.map(|attempt| attempt.accepted) {
            Some(false) => self.attempt_unplaced(now, id, end),
            Some(true) => self.attempt_lost(now, id, crate::decide::Loss::Unknown, end),
            None => {}
        }
    }

    /// Removes an attempt's offer from the queue of unsent messages. Returns false where it is not there.
    fn retract(&mut self, id: AttemptId) -> bool {
        let Some(attempt) = self.ledger.attempt(id) else {
            return false;
        };
        self.queue.retract_offer(attempt.node, attempt.wire)
    }

    /// Closes an attempt that its node did not accept, or of which it is not known whether it did.
    pub fn attempt_unplaced(&mut self, now: Micros, id: AttemptId, mut end: AttemptEnd) {
        let is_unanswered = matches!(
            end.outcome,
            Outcome::Reset | Outcome::Stopped | Outcome::TimedOut
        );
        if is_unanswered && self.retract(id) {
            (end.outcome, end.label) = (Outcome::Unsent, "never sent");
        }
        let outcome = end.outcome;
        let is_unresolved = is_unanswered && outcome != Outcome::Unsent;
        let Some(attempt) = self.close_attempt(id, end.label, is_unresolved) else {
            return;
        };
        if outcome != Outcome::Unsent {
            self.offer_answered(now, attempt.node, attempt.sent);
        }
        if (is_unresolved || outcome == Outcome::Error)
            && let Some(job) = self.ledger.job_mut(attempt.job)
        {
            job.may_have_run = true;
        }
        // The node may still accept the offer: the stop keeps it from starting a task that nothing waits for.
        if is_unresolved {
            self.send(
                now,
                attempt.node,
                Message::Stop {
                    attempt: attempt.wire,
                },
            );
        }
        self.announce_end(id, &attempt, end);
        self.finish_ending(now, attempt.job);
        self.recover(now, attempt.job, false);
    }

    /// Closes the attempts of offers that were never written to their connection: no copy of them runs, so the job may
    /// be offered to another node.
    pub fn offers_unwritten(&mut self, now: Micros, attempts: &[wire::AttemptId]) {
        for attempt in attempts {
            if let Some(node) = self.constraints.attempt_resolved(*attempt) {
                self.evaluate_slow_start(now, node);
            }
            if let Some(id) = self.ledger.find_by_wire_id(*attempt) {
                self.attempt_unplaced(now, id, AttemptEnd::new(Outcome::Unsent, "never sent"));
            }
        }
    }

    /// Closes an attempt in the ledger. If it is unresolved, its copy may still run and counts for constraints until
    /// its node reports.
    pub(super) fn close_attempt(
        &mut self,
        id: AttemptId,
        label: &'static str,
        is_unresolved: bool,
    ) -> Option<Attempt> {
        let attempt = self.ledger.close_attempt(id, label)?;
        let (topics, node) = (&attempt.topics, attempt.node);
        if is_unresolved {
            self.constraints
                .attempt_unresolved(attempt.wire, Arc::clone(topics), node);
        } else {
            self.constraints.copy_removed(topics, node);
        }
        self.nodes.remove_attempt(node, id, self.cx);
        Some(attempt)
    }

    /// Notifies the decision module how an attempt ended, if the module knows the attempt.
    pub(super) fn announce_end(&mut self, id: AttemptId, attempt: &Attempt, end: AttemptEnd) {
        if !attempt.announced {
            return;
        }
        let closed = self.ledger.request_job(id.request).is_none();
        if !closed {
            self.constraints.offer_ended(id.request);
        }
        let AttemptEnd {
            outcome,
            reason,
            report,
            ..
        } = end;
        let machine = attempt.machine;
        let ended = Ended {
            attempt: id,
            machine,
            outcome,
            reason,
            closed,
            report,
        };
        self.cx.notify_module(ModuleEvent::Ended(ended));
    }
}
