//! Reconciliation: updates the ledger when a node reports all of its tasks, restarts, or can't be reached.

use std::collections::{BTreeMap, BTreeSet};

use reedring::{AttemptId, Micros, Outcome};
use reedring_node_protocol::{self as wire, InFlightState, InFlightTask, Message, TaskSignalKind};
use reedring_settings::Health;

use super::{AttemptEnd, JobLifecycle};
use crate::decide::{self, AttemptState, Loss, Reconciled};
use crate::ids::NodeNumber;

impl JobLifecycle<'_> {
    /// Applies a node's complete list of the tasks that it has of this placer.
    pub fn node_reconciled(
        &mut self,
        now: Micros,
        number: NodeNumber,
        reported: Vec<InFlightTask>,
    ) {
        // Attempts of the ledger come first, so that those that have ended release their resources before any task is
        // adopted.
        let by_wire: BTreeMap<wire::AttemptId, &InFlightTask> =
            reported.iter().map(|task| (task.attempt, task)).collect();
        for id in self.attempts_at(number) {
            let Some(attempt) = self.ledger.attempt(id) else {
                continue;
            };
            let state = by_wire.get(&attempt.wire).map(|task| &task.state);
            let reconciled = decide::reconcile(attempt.state, state, true);
            self.apply_reconciled(now, id, reconciled);
            if let Some(state) = state {
                self.apply_in_flight_state(now, id, state);
            }
        }
        let reported_ids: BTreeSet<wire::AttemptId> = by_wire.into_keys().collect();
        self.constraints.resolve_except(number, &reported_ids);
        self.offer_answered(now, number, now);
        for task in reported {
            if self.ledger.find_by_wire_id(task.attempt).is_none() {
                self.unknown_attempt_reported(now, number, task);
            }
        }
    }

    /// Handles the restart of a node: none of the tasks of its former incarnation is left.
    pub fn node_restarted(&mut self, now: Micros, number: NodeNumber) {
        for id in self.attempts_at(number) {
            if let Some(state) = self.ledger.state_of(id) {
                let reconciled = decide::reconcile(state, None, false);
                self.apply_reconciled(now, id, reconciled);
            }
        }
        self.constraints.resolve_all(number);
    }

    /// The open attempts at a node.
    fn attempts_at(&self, number: NodeNumber) -> Vec<AttemptId> {
        self.nodes
            .get(number)
            .map(|node| node.attempts().collect())
            .unwrap_or_default()
    }

    /// Applies to one attempt what its node's report means for it.
    fn apply_reconciled(&mut self, now: Micros, id: AttemptId, reconciled: Reconciled) {
        let reset = |label| AttemptEnd::new(Outcome::Reset, label);
        match reconciled {
            Reconciled::Unchanged => {}
            Reconciled::Accepted => self.attempt_accepted(now, id, Vec::new()),
            Reconciled::Ended { end, ran } => self.attempt_ended(now, id, end, ran, Vec::new()),
            Reconciled::NeverRan => {
                self.attempt_unplaced(
                    now,
                    id,
                    AttemptEnd::new(Outcome::Unsent, "never reached the node"),
                );
            }
            Reconciled::MayHaveRun => self.attempt_unplaced(now, id, reset("node restarted")),
            Reconciled::Lost => self.attempt_lost(now, id, Loss::Ended, reset("node lost it")),
            Reconciled::StopAgain => {
                if let Some(attempt) = self.ledger.attempt(id) {
                    let (node, attempt) = (attempt.node, attempt.wire);
                    self.send(now, node, Message::Stop { attempt });
                }
            }
        }
    }

    /// Applies the state of a task whose report may have been lost with the connection: it runs, or is suspended.
    pub(super) fn apply_in_flight_state(
        &mut self,
        now: Micros,
        id: AttemptId,
        state: &InFlightState,
    ) {
        match state {
            InFlightState::Running => self.attempt_signaled(now, id, TaskSignalKind::Running, 0.0),
            InFlightState::Suspended => {
                self.attempt_signaled(now, id, TaskSignalKind::Suspended, 0.0)
            }
            _ => {}
        }
    }

    // ---- Nodes that can't be reached ----

    /// Handles that a connection was down for too long: closes the node's offers and stops that were not answered,
    /// which may have run. If the node is listed as gone or no longer listed, its accepted attempts count as lost too.
    pub fn close_unanswered_attempts(&mut self, now: Micros, number: NodeNumber) {
        let Some(node) = self.nodes.get(number) else {
            return;
        };
        if node.health() == Health::Gone {
            self.node_lost(now, number, "node gone");
        }
        for id in self.attempts_at(number) {
            let end = match self.ledger.state_of(id) {
                Some(AttemptState::Offered) => AttemptEnd::new(Outcome::Reset, "link lost"),
                Some(AttemptState::Stopping) => {
                    AttemptEnd::new(Outcome::Stopped, "stopped, no word")
                }
                Some(AttemptState::Accepted) | None => continue,
            };
            self.attempt_unplaced(now, id, end);
        }
    }

    /// Handles that a node can't be asked about the tasks that it accepted: they count as lost, and may still run.
    pub fn node_lost(&mut self, now: Micros, number: NodeNumber, label: &'static str) {
        let is_accepted =
            |id: &AttemptId| self.ledger.state_of(*id) == Some(AttemptState::Accepted);
        let lost: Vec<AttemptId> = self
            .attempts_at(number)
            .into_iter()
            .filter(is_accepted)
            .collect();
        for id in lost {
            let end = AttemptEnd::new(Outcome::Reset, label);
            self.attempt_lost(now, id, Loss::Unknown, end);
        }
    }
}
