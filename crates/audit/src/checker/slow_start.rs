//! Rule 4: no node that is warming up gets more offers than its budget, by all placers together.

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
