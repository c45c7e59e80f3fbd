//! Persistence: collects changed rows into batches, and holds outputs back until the batches they depend on are
//! durable.
//!
//! All changes between two flushes become one batch. These outputs wait for a batch:
//!
//! - replies to clients,
//! - acknowledgements of ended tasks, because a node forgets an end once it is acknowledged,
//! - offers that the next incarnation of the placer must know of: the first offer of each job, offers of tasks that
//!   must not start twice, and offers to nodes that are warming up.
//!
//! All other outputs are sent at once.
//!
//! [`WriteAheadQueue`] owns the batches and the outputs that wait. [`lifecycle`](crate::lifecycle) decides what becomes
//! of an output that can't wait any longer, for example because the state folder failed.

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

/// The recipient of an output. Each destination receives its outputs in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Destination {
    Client(ConnectionId),
    Node(NodeNumber),
}

/// What must be durable before an output may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Requires {
    Nothing,
    /// The changes of the current flush.
    CurrentBatch,
    /// An earlier batch, by its number.
    Batch(u64),
}

/// An output of the current flush that has not been sent or handed to the barrier.
#[derive(Debug)]
struct PendingOutput {
    to: Destination,
    requires: Requires,
    output: Output,
}

/// An output that waited for a batch and does not have to wait any longer.
pub(crate) struct ReleasedOutput {
    pub to: Destination,
    /// When the output was handed to the barrier.
    pub since: Micros,
    pub output: Output,
}

/// Whether a state folder is configured and can be written.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Mode {
    /// No state folder is configured.
    #[default]
    Off,
    /// The state folder can be written.
    On,
    /// The state folder can't be written.
    Unavailable {
        reason: String,
        /// The folder carries a mark that records are missing, which the next incarnation will find.
        marked_incomplete: bool,
    },
}

/// The components from which the rows of a batch are taken.
pub(crate) struct RowSources<'a> {
    pub sessions: &'a mut Sessions,
    pub ledger: &'a mut Ledger,
    pub nodes: &'a NodeRegistry,
}

/// Cuts batches of changes, and holds outputs back until the batches they require are durable.
#[derive(Debug, Default)]
pub(crate) struct WriteAheadQueue {
    mode: Mode,
    /// Number of the last batch; 0 before the first.
    last_batch: u64,
    /// Changes for the next batch other than the rows of sessions and jobs.
    changes: Vec<Change>,
    /// Outputs of the current flush, in order.
    pending: Vec<PendingOutput>,
    /// Outputs of earlier flushes that wait for a batch, with the time since which they wait.
    barrier: DurabilityBarrier<Destination, (Micros, Output)>,
    /// Calls whose job requirements are persisted.
    recorded_calls: BTreeSet<(SessionNumber, u64)>,
    /// Acknowledgements deferred because the state folder failed, to be sent once a rewrite of all rows is durable.
    unacknowledged: BTreeSet<(NodeNumber, wire::AttemptId)>,
    /// The next batch must contain every row.
    rewrite: bool,
    /// Number of the last batch that contained every row; 0 if there was none.
    last_rewrite: u64,
    /// The batches that are not durable yet: the number of each, and when it was cut.
    in_flight: VecDeque<(u64, Micros)>,
}

/// The attempt that an output offers to a node; `None` if the output is not an offer.
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
    /// Starts persistence. `unavailable` is the reason why the state folder can't be written from the start, if any.
    pub fn start(&mut self, unavailable: Option<String>, cx: &mut Context) {
        self.mode = match unavailable {
            Some(reason) => {
                cx.log(Event::StateUnavailable {
                    reason: reason.clone(),
                });
                Mode::Unavailable {
                    reason,
                    marked_incomplete: false,
                }
            }
            None => Mode::On,
        };
        self.record(Change::IncarnationStarted(cx.clock().incarnation()));
        if let Some(interval) = cx.settings().state.as_ref().map(|state| state.learn_us) {
            cx.set_timer(cx.clock().started_at() + interval, Timer::PersistBeliefs);
        }
    }

    /// Whether a state folder is configured.
    pub fn is_enabled(&self) -> bool {
        self.mode != Mode::Off
    }

    /// Why the state folder can't be written; `None` if it can, or if none is configured.
    pub fn unavailable(&self) -> Option<&str> {
        match &self.mode {
            Mode::Unavailable { reason, .. } => Some(reason),
            Mode::Off | Mode::On => None,
        }
    }

    /// The warning for the submitter of jobs while the state folder can't be written.
    pub fn warning(&self) -> Option<String> {
        self.unavailable()
            .map(|reason| format!("the jobs would not outlive a restart of the placer: {reason}"))
    }

    /// Whether a task with this effect of a second start may be offered in the current mode, even though the offer may
    /// not become durable.
    pub fn may_offer(&self, effect: Effect, cx: &Context) -> bool {
        let state = cx.settings().state.as_ref();
        let only_warn = state.is_none_or(|state| state.when_lost == WhenLost::Warn);
        match &self.mode {
            Mode::Off | Mode::On => true,
            // Without the mark, the next incarnation would not know that records are missing, and would start the task
            // a second time.
            Mode::Unavailable {
                marked_incomplete, ..
            } => effect == Effect::Safe || *marked_incomplete && only_warn,
        }
    }

    /// Adds a change to the next batch; does nothing unless the state folder can be written.
    pub fn record(&mut self, change: Change) {
        if self.mode == Mode::On {
            self.changes.push(change);
        }
    }

    // ---- Outputs ----

    /// Replies to a client once the changes of the current flush are durable.
    pub fn reply(&mut self, conn: ConnectionId, output: Output) {
        self.push(Destination::Client(conn), Requires::CurrentBatch, output);
    }

    /// Replies to a client with the end of a job once batch `seq`, which contains the end, is durable.
    ///
    /// The reply does not wait until its own record is durable: a placer that has lost the record returns the same end
    /// again. Otherwise a client that waits for one job after the other would need a disk sync for each, and would
    /// receive many ends too late.
    pub fn reply_after(&mut self, conn: ConnectionId, output: Output, seq: u64) {
        self.push(Destination::Client(conn), Requires::Batch(seq), output);
    }

    /// Sends a message on a node's connection, in order; drops it if the connection is down.
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

    /// Holds back an acknowledgement until the end that it acknowledges is durable, after the state folder failed.
    pub fn defer_acknowledgement(&mut self, number: NodeNumber, attempt: wire::AttemptId) {
        self.unacknowledged.insert((number, attempt));
    }

    /// Adds an output to the current flush.
    fn push(&mut self, to: Destination, requires: Requires, output: Output) {
        self.pending.push(PendingOutput {
            to,
            requires,
            output,
        });
    }

    /// Discards all messages that wait for a node, because its connection ended or a new one began.
    pub fn connection_changed(&mut self, node: NodeNumber) {
        let to = Destination::Node(node);
        self.barrier.remove_destination(&to);
        self.pending
            .retain(|pending| pending.to != to || !matches!(pending.output, Output::Send { .. }));
    }

    /// Discards the replies that wait for a batch, because the client's connection ended.
    pub fn client_disconnected(&mut self, conn: ConnectionId) {
        self.barrier.remove_destination(&Destination::Client(conn));
    }

    /// Removes an offer that has not been sent; returns whether there was one.
    pub fn retract_offer(&mut self, node: NodeNumber, attempt: wire::AttemptId) -> bool {
        if !self.is_enabled() {
            return false;
        }
        let is_offer = |output: &Output| offered_attempt(output) == Some(attempt);
        if self
            .barrier
            .remove_first(&Destination::Node(node), |(_, output)| is_offer(output))
            .is_some()
        {
            return true;
        }
        let at = self
            .pending
            .iter()
            .rposition(|pending| is_offer(&pending.output));
        at.map(|at| self.pending.remove(at)).is_some()
    }

    /// Removes and returns the matching outputs among those that wait for a batch.
    pub fn take_waiting(&mut self, matches: impl Fn(&Output) -> bool) -> Vec<ReleasedOutput> {
        released(self.barrier.remove_matching(|(_, output)| matches(output)))
    }

    // ---- Reports of the shell on the state folder ----

    /// Records that all batches up to `seq` are durable; returns the outputs that waited for them.
    pub fn durable(&mut self, now: Micros, seq: u64, cx: &mut Context) -> Vec<ReleasedOutput> {
        let durable_count = self
            .in_flight
            .iter()
            .take_while(|(batch, _)| *batch <= seq)
            .count();
        for (_, cut_at) in self.in_flight.drain(..durable_count) {
            cx.note_lag(now, now.saturating_sub(cut_at));
        }
        released(self.barrier.advance(BatchSequence(seq)))
    }

    /// Removes and returns the deferred acknowledgements that may be sent once batch `seq` is durable; empty if they
    /// have to wait longer.
    pub fn take_deferred_acknowledgements(
        &mut self,
        seq: u64,
    ) -> BTreeSet<(NodeNumber, wire::AttemptId)> {
        // The ends behind the deferred acknowledgements are persisted by the first rewrite after the failure.
        let is_current = self.mode == Mode::On && !self.rewrite && seq >= self.last_rewrite;
        if is_current {
            std::mem::take(&mut self.unacknowledged)
        } else {
            BTreeSet::new()
        }
    }

    /// Suspends persistence, because the state folder can't be written. Returns all outputs that waited for a batch;
    /// `None` if this failure was already known, or if no state folder is configured.
    pub fn suspend(
        &mut self,
        reason: String,
        marked_incomplete: bool,
        cx: &mut Context,
    ) -> Option<Vec<ReleasedOutput>> {
        let new_mode = Mode::Unavailable {
            reason: reason.clone(),
            marked_incomplete,
        };
        if self.mode == new_mode || self.mode == Mode::Off {
            return None;
        }
        self.rewrite = false;
        self.in_flight.clear();
        self.changes.clear();
        if self.mode == Mode::On {
            cx.log(Event::StateWriteFailed { reason });
        }
        self.mode = new_mode;
        Some(self.take_waiting(|_| true))
    }

    /// Resumes persistence, because the state folder can be written again. The next batch contains every row.
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
