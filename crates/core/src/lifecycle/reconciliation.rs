//! Reconciliation: a node reports all that it holds, or can't be reached, and the ledger follows.

use std::collections::{BTreeMap, BTreeSet};

use reedring::{AttemptId, Micros, Outcome};
use reedring_node_protocol::{self as wire, InFlightState, InFlightTask, Message, TaskSignalKind};
use reedring_settings::Health;

use super::{AttemptEnd, JobLifecycle};
use crate::decide::{self, AttemptState, Loss, Reconciled};
use crate::ids::NodeNumber;

impl JobLifecycle<'_> {
    /// A node reported all that it holds.
    pub fn node_reconciled(&mut self, now: Micros, number: NodeNumber, held: Vec<InFlightTask>) {
        // The ledger's attempts first: what has ended makes room for what is adopted.
        let by_wire: BTreeMap<wire::AttemptId, &InFlightTask> =
            held.iter().map(|held| (held.attempt, held)).collect();
        for id in self.attempts_at(number) {
            let Some(attempt) = self.ledger.attempt(id) else {
                continue;
            };
            let state = by_wire.get(&attempt.wire).map(|held| &held.state);
            let reconciled = decide::reconcile(attempt.state, state, true);
            self.apply_reconciled(now, id, reconciled);
            if let Some(state) = state {
                self.apply_held_state(now, id, state);
            }
        }
        let reported: BTreeSet<wire::AttemptId> = by_wire.into_keys().collect();
        self.constraints.resolve_except(number, &reported);
        self.offer_answered(now, number, now);
        for held in held {
            if self.ledger.find(held.attempt).is_none() {
                self.unknown_attempt_reported(now, number, held);
            }
        }
    }

    /// A node restarted: attempts of its former incarnation can't be among what it holds now.
    pub fn node_restarted(&mut self, now: Micros, number: NodeNumber) {
        for id in self.attempts_at(number) {
            if let Some(state) = self.ledger.state_of(id) {
                let reconciled = decide::reconcile(state, None, false);
                self.apply_reconciled(now, id, reconciled);
            }
        }
        self.constraints.resolve_all(number);
    }

    fn attempts_at(&self, number: NodeNumber) -> Vec<AttemptId> {
        self.nodes
            .get(number)
            .map(|node| node.attempts().collect())
            .unwrap_or_default()
    }

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

    /// Applies reports that were lost with a connection.
    pub(super) fn apply_held_state(&mut self, now: Micros, id: AttemptId, state: &InFlightState) {
        match state {
            InFlightState::Running => self.attempt_noted(now, id, TaskSignalKind::Running, 0.0),
            InFlightState::Suspended => self.attempt_noted(now, id, TaskSignalKind::Suspended, 0.0),
            _ => {}
        }
    }

    // ---- Nodes that can't be reached ----

    /// A connection was down for too long: what was unanswered on it may have run, and on a node that is no longer
    /// listed, what was accepted too.
    pub fn node_unanswered(&mut self, now: Micros, number: NodeNumber) {
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

    /// A node can't be asked what became of the tasks that it accepted: they count as lost, and may run still.
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
