//! Nodes that are warming up: one that answers late gets nothing for a while.

use reedring::Micros;
use reedring_node_protocol as wire;

use super::JobLifecycle;
use crate::decide::{self, SlowStartOffers};
use crate::dispatch_blocks::BlockReason;
use crate::ids::NodeNumber;
use crate::timers::Timer;

impl JobLifecycle<'_> {
    /// An offer leaves for a node.
    pub(super) fn slow_start_offered(&mut self, now: Micros, number: NodeNumber) {
        if self
            .nodes
            .is_warming_up(number, now, &self.cx.settings().site)
        {
            self.cx.set_timer(
                now + self.cx.settings().jitter_us(),
                Timer::SlowStart(number),
            );
        }
    }

    /// An offer to a node was answered, or its end is known otherwise. Where it was late, whatever was sent since may
    /// have reached the node in one piece with it.
    pub(super) fn offer_answered(&mut self, now: Micros, number: NodeNumber, sent: Micros) {
        let settings = self.cx.settings();
        let (jitter, window) = (settings.jitter_us(), settings.site.cold_window_us);
        let is_late = self.nodes.is_warming_up(number, now, &settings.site) && now > sent + jitter;
        if let (true, Some(window)) = (is_late, window) {
            let overdue_until = now + window + jitter;
            self.nodes.set_overdue_until(number, overdue_until);
            self.cx.set_timer(overdue_until, Timer::SlowStart(number));
        }
        self.evaluate_slow_start(now, number);
    }

    /// A node reported what became of an attempt that was closed without its answer.
    pub(super) fn attempt_resolved(&mut self, now: Micros, attempt: wire::AttemptId) {
        if let Some(node) = self.constraints.attempt_resolved(attempt) {
            self.offer_answered(now, node, 0);
        }
    }

    /// Blocks a node that is warming up and late, or no longer does.
    pub fn evaluate_slow_start(&mut self, now: Micros, number: NodeNumber) {
        let is_warming_up = self
            .nodes
            .is_warming_up(number, now, &self.cx.settings().site);
        let Some(node) = self.nodes.get(number) else {
            return;
        };
        let unanswered = node.attempts().filter_map(|id| {
            let attempt = self.ledger.attempt(id)?;
            (!attempt.accepted).then_some(attempt.sent)
        });
        let oldest = if is_warming_up {
            unanswered.min()
        } else {
            None
        };
        // What was closed without an answer may still be on its way.
        let is_unresolved = is_warming_up && self.constraints.has_unresolved(number);
        let offers = SlowStartOffers {
            is_warming_up,
            oldest_unanswered: if is_unresolved { Some(0) } else { oldest },
            overdue_until: node.overdue_until(),
        };
        let is_late = decide::slow_start_overdue(now, offers, self.cx.settings().jitter_us());
        self.blocks.set(
            number,
            node.machine(),
            BlockReason::SlowStartOverdue,
            is_late,
        );
    }
}
