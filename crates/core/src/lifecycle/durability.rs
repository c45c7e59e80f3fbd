//! What waited for the disk: released once it is durable, or decided on once it can't wait any longer.

use reedring::{AttemptId, Effect, Micros, Outcome as AttemptOutcome};
use reedring_drmaa::rpc::Answer;
use reedring_node_protocol::{self as wire, Message};
use reedring_settings::{DISK_WAIT_US, Health};
use reedring_state::{Ending, Outcome};

use super::{AttemptEnd, JobLifecycle};
use crate::io::Output;
use crate::persistence::{Destination, ReleasedOutput, offered_attempt};

impl JobLifecycle<'_> {
    /// Everything up to this batch is durable.
    pub fn batch_durable(&mut self, now: Micros, seq: u64) {
        for released in self.queue.durable(now, seq, self.cx) {
            if self.is_still_wanted(now, &released) {
                self.cx.output(released.output);
            } else {
                self.offer_retracted(now, &released.output, "the disk was slow");
            }
        }
        for (node, attempt) in self.queue.take_deferred_acknowledgements(seq) {
            self.send(now, node, Message::Ack { attempt });
        }
    }

    /// Whether an output that waited for the disk may leave now: an offer may not where its node is no longer ready, or
    /// would get it late while it is warming up, or its attempt is closed.
    fn is_still_wanted(&self, now: Micros, released: &ReleasedOutput) -> bool {
        let Destination::Node(number) = released.to else {
            return true;
        };
        let Some(attempt) = offered_attempt(&released.output) else {
            return true;
        };
        let is_ready = self
            .nodes
            .get(number)
            .is_some_and(|node| node.health() == Health::Ready);
        let is_late = now.saturating_sub(released.since) > DISK_WAIT_US
            && self
                .nodes
                .is_warming_up(number, now, &self.cx.settings().site);
        is_ready && !is_late && self.ledger.find(attempt).is_some()
    }

    /// Retracts offers that wait for the disk, to nodes that may get nothing any more.
    pub fn retract_offers_to_closed_nodes(&mut self, now: Micros) {
        let nodes = &*self.nodes;
        let is_closed = |output: &Output| match output {
            Output::Send {
                node,
                message: Message::Offer { .. },
            } => nodes
                .health_of(node)
                .is_none_or(|health| health != Health::Ready),
            _ => false,
        };
        for released in self.queue.take_waiting(is_closed) {
            self.offer_retracted(now, &released.output, "its node drains");
        }
    }

    fn offer_retracted(&mut self, now: Micros, output: &Output, label: &'static str) {
        let id = offered_attempt(output).and_then(|attempt| self.ledger.find(attempt));
        if let Some(id) = id {
            self.attempt_unplaced(now, id, AttemptEnd::new(AttemptOutcome::Unsent, label));
        }
    }

    /// The state folder can't be written: nothing that waits can wait for it.
    pub fn state_lost(&mut self, now: Micros, reason: String, marked: bool) {
        let Some(waiting) = self.queue.suspend(reason, marked, self.cx) else {
            return;
        };
        for ReleasedOutput { to, mut output, .. } in waiting {
            if let Output::Reply { response, .. } = &mut output
                && let Some(Answer::Submitted(submitted)) = &mut response.result
            {
                submitted.warning = self.queue.warning();
            }
            match (to, &output) {
                (
                    _,
                    Output::Send {
                        message: Message::Offer { attempt, task, .. },
                        ..
                    },
                ) if task.idempotency != wire::Idempotency::Idempotent
                    && !self.queue.may_offer(Effect::Unsafe, self.cx) =>
                {
                    if let Some(id) = self.ledger.find(*attempt) {
                        self.reject_unpersisted(now, id);
                    }
                }
                (
                    Destination::Node(node),
                    Output::Send {
                        message: Message::Ack { attempt },
                        ..
                    },
                ) if !self.may_acknowledge(*attempt) => {
                    self.queue.defer_acknowledgement(node, *attempt);
                }
                _ => self.cx.output(output),
            }
        }
    }

    /// A task that must not start twice can't be offered while that can't be persisted: its client has its answer.
    pub(super) fn reject_unpersisted(&mut self, now: Micros, id: AttemptId) {
        let Some(job) = self.ledger.attempt(id).map(|attempt| attempt.job) else {
            return;
        };
        self.withdraw_job(job);
        self.attempt_unplaced(now, id, AttemptEnd::new(AttemptOutcome::Unsent, "not sent"));
        let why = self.queue.unavailable().unwrap_or_default().to_owned();
        let may_have_run = self.ledger.job(job).is_some_and(|job| job.may_have_run);
        let (outcome, word) = match may_have_run {
            true => (Outcome::Failed, "failed"),
            false => (Outcome::Refused, "refused"),
        };
        self.record_outcome(job, outcome);
        let reason = format!(
            "{word}: its start can't be kept over a restart ({why}), and it must not start twice"
        );
        self.end_job(now, job, Ending::aborted(reason));
    }
}
