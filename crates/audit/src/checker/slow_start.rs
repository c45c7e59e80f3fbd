//! Rule 4: no node that is warming up gets more offers than its budget, by all placers together.
//!
//! One rule with three names: a node that is *warming up* is *cold* in the settings (`cold_offers`, `cold_window`), in
//! the rule ([`Rule::ColdNodes`]) and in the report; *slow start* is what placers do for it.
//!
//! The budget here is N, the settings' `cold_offers`, in any window, with no allowance. The decision module's own bound
//! is wider: N + 2 sqrt N + 1 for placers that each have a number (`docs/design.md`, "Slow start"). The placers that are
//! audited have none: with M placers each sends floor(N / M) in a window, which sums up to N at most, and if N < M their
//! turns fall by chance, with three standard deviations kept in hand. So if N < M this check can report a breach by
//! chance, without a fault. So can delays: the module allows for offers that come 0.1 s nearer to each other on their way
//! than they were sent, and no more.

use super::observed::ReadOffer;
use super::settings::SlowStartWindow;
use super::{Checker, Rule};
use crate::trace::Frame;

impl Checker {
    /// Checks one offer that a node read.
    pub(super) fn check_slow_start(&mut self, frame: &Frame, placer: &str) {
        let placer = self.placers.get(placer);
        let Some(window) = placer.and_then(|placer| placer.settings.site.slow_start_window())
        else {
            return;
        };
        let Some(run) = self.nodes.get_mut(&frame.place) else {
            return;
        };
        if frame.time_us >= run.started_us + window.warm_after_us {
            return;
        }
        self.report.cold_offers += 1;
        run.warm_up_offers.push(ReadOffer {
            time_us: frame.time_us,
            frame: frame.number,
        });
        let recent = frames_in_window(&run.warm_up_offers, &window, frame.time_us);
        if recent.len() as f64 > window.offers && !run.over_budget {
            run.over_budget = true;
            let text = format!(
                "{} offers reached {} in its window while it was warming up",
                recent.len(),
                frame.place
            );
            self.breach(Rule::ColdNodes, recent, text);
        }
    }
}

fn frames_in_window(offers: &[ReadOffer], window: &SlowStartWindow, now_us: u64) -> Vec<usize> {
    let recent = offers
        .iter()
        .filter(|offer| offer.time_us + window.length_us > now_us);
    recent.map(|offer| offer.frame).collect()
}
