//! Rule 4: no cold node is pushed over, by all placers together.

use super::told::time;
use super::{Judge, Rule};
use crate::trace::Frame;

impl Judge {
    /// Rule 4: offers to one cold node by all placers.
    pub(super) fn cold(&mut self, frame: &Frame, placer: &str) {
        let site = self
            .placers
            .get(placer)
            .map(|placer| placer.told.site.clone())
            .unwrap_or_default();
        let told = time(site.warm_after.as_ref())
            .zip(time(site.cold_window.as_ref()))
            .zip(site.cold_offers);
        let Some(((warm, window), most)) = told else {
            return;
        };
        let Some(life) = self.nodes.get_mut(&frame.place) else {
            return;
        };
        if frame.time_us >= life.started_us + warm {
            return;
        }
        self.report.cold_offers += 1;
        life.offers.push((frame.time_us, frame.number));
        let young: Vec<usize> = life
            .offers
            .iter()
            .filter(|(at, _)| at + window > frame.time_us)
            .map(|(_, number)| *number)
            .collect();
        if young.len() as f64 > most && !life.over {
            life.over = true;
            let text = format!(
                "{} offers reached {} in its window while cold",
                young.len(),
                frame.place
            );
            self.breach(Rule::ColdNodes, young, text);
        }
    }
}
