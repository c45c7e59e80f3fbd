//! Outputs that wait for a batch to become durable: they are sent once it is, and sent, deferred or dropped where the
//! state folder can't be written.

use reedring::{AttemptId, Effect, Micros, Outcome as AttemptOutcome};
use reedring_drmaa::rpc::Answer;
use reedring_node_protocol::{self as wire, Message};
use reedring_settings::{DISK_WAIT_US, Health};
use reedring_state::{Ending, Outcome};

use super::{AttemptEnd, JobLifecycle};
use crate::io::Output;
use crate::persistence::{Destination, ReleasedOutput, offered_attempt};

impl JobLifecycle<'_> {
    /// Sends the outputs that waited for batches up to `seq`, which are durable now.
    pub fn batch_durable(&mut self, now: Micros, seq: u64) {
        for released in self.queue.durable(now, seq, self.cx) {
            if self.may_still_send(now, &released) {
                self.cx.output(released.output);
            } else {
                self.offer_retracted(now, &released.output, "the disk was slow");
            }
        }
        for (node, attempt) in self.queue.take_deferred_acknowledgements(seq) {
            self.send(now, node, Message::Ack { attempt });
        }
    }

    /// Whether an output that waited for the disk may be sent now. An offer may not if its attempt is closed, its node
    /// is no longer ready, or its node is warming up and the offer waited longer than [`DISK_WAIT_US`].
    fn may_still_send(&self, now: Micros, released: &ReleasedOutput) -> bool {
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
        is_ready && !is_late && self.ledger.find_by_wire_id(attempt).is_some()
    }

    /// Retracts offers that wait for the disk and whose nodes are no longer ready.
    pub fn retract_offers_to_unready_nodes(&mut self, now: Micros) {
        let nodes = &*self.nodes;
        let is_to_unready_node = |output: &Output| match output {
            Output::Send {
                node,
                message: Message::Offer { .. },
            } => nodes
                .health_of(node)
                .is_none_or(|health| health != Health::Ready),
            _ => false,
        };
        for released in self.queue.take_waiting(is_to_unready_node) {
            self.offer_retracted(now, &released.output, "its node drains");
        }
    }

    /// Closes the attempt of an offer that was not sent.
    fn offer_retracted(&mut self, now: Micros, output: &Output, label: &'static str) {
        let id = offered_attempt(output).and_then(|attempt| self.ledger.find_by_wire_id(attempt));
        if let Some(id) = id {
            self.attempt_unplaced(now, id, AttemptEnd::new(AttemptOutcome::Unsent, label));
        }
    }

    /// Handles that the state folder can't be written: outputs that wait for it are sent, except offers that must be
    /// recorded first, which are rejected, and acknowledgements, which are deferred. `marked` says that the folder is
    /// marked as incomplete.
    pub fn state_unavailable(&mut self, now: Micros, reason: String, marked: bool) {
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
                    if let Some(id) = self.ledger.find_by_wire_id(*attempt) {
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

    /// Ends the job of an attempt that can't be offered: a task that must not start twice is offered only once the
    /// offer is recorded, and nothing can be recorded now.
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
