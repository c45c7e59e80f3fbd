//! Messages to nodes, and what must be durable before each is sent.

use reedring::{Effect, Micros};
use reedring_node_protocol::{self as wire, Message};
use reedring_state::Change;

use super::JobLifecycle;
use crate::ids::NodeNumber;
use crate::persistence::Requires;

impl JobLifecycle<'_> {
    /// Sends a message on a node's connection, in order. It is dropped where the connection is down.
    pub fn send(&mut self, now: Micros, number: NodeNumber, message: Message) {
        if !self.nodes.is_up(number) {
            return;
        }
        let requires = match &message {
            Message::Offer { task, .. } => self.offer_requires(now, number, task),
            Message::Ack { attempt } if !self.may_acknowledge(*attempt) => {
                return self.queue.defer_acknowledgement(number, *attempt);
            }
            Message::Ack { .. } => Requires::CurrentBatch,
            _ => Requires::Nothing,
        };
        self.queue.send(number, self.nodes, message, requires);
    }

    /// What must be durable before an offer is sent: for an idempotent task to a node that is not warming up the job's
    /// first row, for any other the offer itself. An offer to a node that is warming up is recorded, as it counts
    /// against the node's budget.
    fn offer_requires(&mut self, now: Micros, number: NodeNumber, task: &wire::Task) -> Requires {
        let is_warming_up = self
            .nodes
            .is_warming_up(number, now, &self.cx.settings().site);
        if is_warming_up {
            self.queue
                .record(Change::WarmUpOffer(self.nodes.name(number)));
        }
        let job = self
            .job_named(&task.job)
            .and_then(|job| self.ledger.job(job));
        match job.and_then(|job| job.recorded_in) {
            Some(batch) if !is_warming_up && task.idempotency == wire::Idempotency::Idempotent => {
                Requires::Batch(batch)
            }
            _ => Requires::CurrentBatch,
        }
    }

    /// Whether the end of an attempt may be acknowledged now. A node deletes what is acknowledged. If that happens
    /// while nothing can be recorded, the ledger on disk has the attempt as open and its node no longer knows it. So
    /// then only the ends of jobs of a safe class that were never recorded are acknowledged.
    pub(super) fn may_acknowledge(&self, attempt: wire::AttemptId) -> bool {
        if self.queue.unavailable().is_none() {
            return true;
        }
        let attempt = self
            .ledger
            .find_by_wire_id(attempt)
            .and_then(|id| self.ledger.attempt(id));
        let job = attempt.and_then(|attempt| self.ledger.job(attempt.job));
        job.is_some_and(|job| job.recorded_in.is_none() && self.effect(job) == Effect::Safe)
    }
}
