//! Nodes that are warming up: one that answers offers late gets no more of them for a while.

use reedring::Micros;
use reedring_node_protocol as wire;

use super::JobLifecycle;
use crate::decide::{self, SlowStartOffers};
use crate::dispatch_blocks::BlockReason;
use crate::ids::NodeNumber;
use crate::timers::Timer;

impl JobLifecycle<'_> {
    /// Schedules the check whether an offer to a node that is warming up is answered within the jitter.
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

    /// Handles that the offer sent at `sent` was answered, or that its end is known otherwise. If that is late and the
    /// node is warming up, the node is blocked for a window: offers sent since may have reached it all at once.
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

    /// Handles a node's report on an attempt that may have been closed before the node answered.
    pub(super) fn attempt_resolved(&mut self, now: Micros, attempt: wire::AttemptId) {
        if let Some(node) = self.constraints.attempt_resolved(attempt) {
            self.offer_answered(now, node, 0);
        }
    }

    /// Blocks a node that is warming up and whose answers are overdue, and unblocks it otherwise.
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
        // An offer whose attempt was closed without an answer may still be on its way to the node.
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
