//! Persistence: the rows of what changed, and the outputs that wait until these are durable.
//!
//! Everything that came between two flushes becomes one batch. What a client is told waits for it, and so do
//! acknowledged ends, which nodes forget, and offers that a successor must know of: the first of each job, those of
//! tasks that must not start twice, and those to nodes that are warming up. All else leaves at once.
//!
//! [`WriteAheadQueue`] owns the batches and the pending outputs. What is to be done with an output that can't wait any
//! longer is decided by [`lifecycle`](crate::lifecycle).

mod batches;
mod rows;
#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, VecDeque};

use reedring::{Effect, Micros};
use reedring_node_protocol::{self as wire, Message};
use reedring_settings::WhenLost;
use reedring_state::{BatchSequence, Change, DurabilityBarrier, Released};

use crate::context::Context;
use crate::event::Event;
use crate::ids::{NodeNumber, SessionNumber};
use crate::io::{ConnectionId, Output};
use crate::ledger::Ledger;
use crate::nodes::NodeRegistry;
use crate::sessions::Sessions;
use crate::timers::Timer;

/// To whom an output goes. Each destination gets its outputs in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Destination {
    Client(ConnectionId),
    Node(NodeNumber),
}

/// What must be durable before an output leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requires {
    Nothing,
    /// What this flush changes.
    CurrentBatch,
    /// A batch that was made before.
    Batch(u64),
}

/// An output of this flush.
#[derive(Debug)]
struct PendingOutput {
    to: Destination,
    requires: Requires,
    output: Output,
}

/// An output that waited for a batch.
pub(crate) struct ReleasedOutput {
    pub to: Destination,
    /// Since when it waited.
    pub since: Micros,
    pub output: Output,
}

/// Whether the state folder takes writes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Mode {
    /// No state folder is configured.
    #[default]
    Off,
    On,
    /// The folder can't be written; `marked` where it says so itself.
    Unavailable {
        reason: String,
        marked: bool,
    },
}

/// What is persisted: where the rows of a batch come from.
pub(crate) struct RowSources<'a> {
    pub sessions: &'a mut Sessions,
    pub ledger: &'a mut Ledger,
    pub nodes: &'a NodeRegistry,
}

/// The batches that are not durable yet, and the outputs that wait for them.
#[derive(Debug, Default)]
pub(crate) struct WriteAheadQueue {
    mode: Mode,
    /// The number of the last batch.
    last_batch: u64,
    /// Changes for the next batch that are not rows of sessions or jobs.
    changes: Vec<Change>,
    pending: Vec<PendingOutput>,
    barrier: DurabilityBarrier<Destination, (Micros, Output)>,
    /// Calls whose requirements are persisted.
    recorded_calls: BTreeSet<(SessionNumber, u64)>,
    /// Acknowledgements that wait until what they acknowledge is durable.
    unacknowledged: BTreeSet<(NodeNumber, wire::AttemptId)>,
    /// The next batch holds every row.
    rewrite: bool,
    /// The last batch that did.
    last_rewrite: u64,
    /// When each batch that is not durable yet was made.
    in_flight: VecDeque<(u64, Micros)>,
}

/// The attempt that an output offers.
pub(crate) const fn offered_attempt(output: &Output) -> Option<wire::AttemptId> {
    match output {
        Output::Send {
            message: Message::Offer { attempt, .. },
            ..
        } => Some(*attempt),
        _ => None,
    }
}

impl WriteAheadQueue {
    /// Starts to persist; `unavailable` says why the folder can't be written, if that is so from the start.
    pub fn start(&mut self, unavailable: Option<String>, cx: &mut Context) {
        self.mode = match unavailable {
            Some(reason) => {
                cx.log(Event::StateUnavailable {
                    reason: reason.clone(),
                });
                Mode::Unavailable {
                    reason,
                    marked: false,
                }
            }
            None => Mode::On,
        };
        self.record(Change::IncarnationStarted(cx.clock().incarnation()));
        if let Some(every) = cx.settings().state.as_ref().map(|state| state.learn_us) {
            cx.set_timer(cx.clock().started_at() + every, Timer::PersistBeliefs);
        }
    }

    /// Whether a state folder is configured.
    pub fn is_enabled(&self) -> bool {
        self.mode != Mode::Off
    }

    /// Why nothing is durable now, where something should be.
    pub fn unavailable(&self) -> Option<&str> {
        match &self.mode {
            Mode::Unavailable { reason, .. } => Some(reason),
            Mode::Off | Mode::On => None,
        }
    }

    /// What a submitter is told while nothing is durable.
    pub fn warning(&self) -> Option<String> {
        self.unavailable()
            .map(|reason| format!("the jobs would not outlive a restart of the placer: {reason}"))
    }

    /// Whether a task of this class may be offered though that can't be made durable.
    pub fn may_offer(&self, effect: Effect, cx: &Context) -> bool {
        let state = cx.settings().state.as_ref();
        let only_warn = state.is_none_or(|state| state.when_lost == WhenLost::Warn);
        match &self.mode {
            Mode::Off | Mode::On => true,
            // A successor that does not know that records are missing would start them again.
            Mode::Unavailable { marked, .. } => effect == Effect::Safe || *marked && only_warn,
        }
    }

    /// Persists a change with the next batch.
    pub fn record(&mut self, change: Change) {
        if self.mode == Mode::On {
            self.changes.push(change);
        }
    }

    // ---- Outputs ----

    /// Sends to a client once this flush's changes are durable.
    pub fn reply(&mut self, conn: ConnectionId, output: Output) {
        self.push(Destination::Client(conn), Requires::CurrentBatch, output);
    }

    /// Returns the end of a job that batch `seq` has. That it was returned need not be durable: a successor that does
    /// not know returns the same end again. A client that waits for one job after the other would otherwise get no more
    /// of them than the disk has syncs, and many too late.
    pub fn reply_after(&mut self, conn: ConnectionId, output: Output, seq: u64) {
        self.push(Destination::Client(conn), Requires::Batch(seq), output);
    }

    /// Sends on a node's connection, in order, if it is up.
    pub fn send(
        &mut self,
        number: NodeNumber,
        nodes: &NodeRegistry,
        message: Message,
        requires: Requires,
    ) {
        if let Some(node) = nodes.get(number).filter(|node| node.is_up()) {
            let output = Output::Send {
                node: node.name().to_owned(),
                message,
            };
            self.push(Destination::Node(number), requires, output);
        }
    }

    /// Sends an acknowledgement once what it acknowledges can be made durable again.
    pub fn defer_acknowledgement(&mut self, number: NodeNumber, attempt: wire::AttemptId) {
        self.unacknowledged.insert((number, attempt));
    }

    fn push(&mut self, to: Destination, requires: Requires, output: Output) {
        self.pending.push(PendingOutput {
            to,
            requires,
            output,
        });
    }

    /// A connection to a node ended or began: what waits for it is void.
    pub fn connection_changed(&mut self, node: NodeNumber) {
        let to = Destination::Node(node);
        self.barrier.remove_destination(&to);
        self.pending
            .retain(|pending| pending.to != to || !matches!(pending.output, Output::Send { .. }));
    }

    pub fn client_disconnected(&mut self, conn: ConnectionId) {
        self.barrier.remove_destination(&Destination::Client(conn));
    }

    /// Takes an offer back that has not left; whether there was one.
    pub fn retract_offer(&mut self, node: NodeNumber, attempt: wire::AttemptId) -> bool {
        if !self.is_enabled() {
            return false;
        }
        let is_wanted = |output: &Output| offered_attempt(output) == Some(attempt);
        if self
            .barrier
            .remove_first(&Destination::Node(node), |(_, output)| is_wanted(output))
            .is_some()
        {
            return true;
        }
        let at = self
            .pending
            .iter()
            .rposition(|pending| is_wanted(&pending.output));
        at.map(|at| self.pending.remove(at)).is_some()
    }

    /// Takes out whatever matches among the outputs that wait for a batch.
    pub fn take_waiting(&mut self, wanted: impl Fn(&Output) -> bool) -> Vec<ReleasedOutput> {
        released(self.barrier.remove_matching(|(_, output)| wanted(output)))
    }

    // ---- What the disk reports ----

    /// Everything up to this batch is durable: the outputs that waited for it.
    pub fn durable(&mut self, now: Micros, seq: u64, cx: &mut Context) -> Vec<ReleasedOutput> {
        let done = self
            .in_flight
            .iter()
            .take_while(|(batch, _)| *batch <= seq)
            .count();
        for (_, made) in self.in_flight.drain(..done) {
            cx.note_lag(now, now.saturating_sub(made));
        }
        released(self.barrier.advance(BatchSequence(seq)))
    }

    /// Acknowledgements that waited until batch `seq` was durable.
    pub fn take_deferred_acknowledgements(
        &mut self,
        seq: u64,
    ) -> BTreeSet<(NodeNumber, wire::AttemptId)> {
        // What was deferred while nothing was durable is in the first rewrite after.
        let is_current = self.mode == Mode::On && !self.rewrite && seq >= self.last_rewrite;
        if is_current {
            std::mem::take(&mut self.unacknowledged)
        } else {
            BTreeSet::new()
        }
    }

    /// The folder can't be written: nothing that waits can wait for it. What waited; `None` where that was known.
    pub fn suspend(
        &mut self,
        reason: String,
        marked: bool,
        cx: &mut Context,
    ) -> Option<Vec<ReleasedOutput>> {
        let new = Mode::Unavailable {
            reason: reason.clone(),
            marked,
        };
        if self.mode == new || self.mode == Mode::Off {
            return None;
        }
        self.rewrite = false;
        self.in_flight.clear();
        self.changes.clear();
        if self.mode == Mode::On {
            cx.log(Event::StateWriteFailed { reason });
        }
        self.mode = new;
        Some(self.take_waiting(|_| true))
    }

    /// The folder takes writes again: the next batch has every row.
    pub fn resume(&mut self, cx: &mut Context) {
        if self.unavailable().is_some() {
            (self.mode, self.rewrite) = (Mode::On, true);
            cx.log(Event::StateWriteRestored);
        }
    }
}

fn released(outputs: Vec<Released<Destination, (Micros, Output)>>) -> Vec<ReleasedOutput> {
    let release = |Released {
                       destination: to,
                       output: (since, output),
                   }| ReleasedOutput { to, since, output };
    outputs.into_iter().map(release).collect()
}
