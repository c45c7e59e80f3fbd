//! Rule 3: nothing new to a node past the grace after its drain was told.

use std::collections::BTreeSet;

use super::told::time;
use super::{Judge, Rule};
use crate::trace::Frame;

impl Judge {
    /// Rule 3 for one offer, where it left its placer or where it reached its node.
    pub(super) fn drain(&mut self, frame: &Frame, placer: &str, node: &str, offer: Option<usize>) {
        let Some(told) = self.placers.get(placer) else {
            return;
        };
        let grace = time(told.told.site.drain_grace.as_ref()).unwrap_or(500_000);
        let Some(since) = told
            .closed_since(node)
            .filter(|since| frame.time_us > since + grace)
        else {
            return;
        };
        let late = (frame.time_us - since) / 1_000;
        let text =
            format!("placer {placer} was told {late} ms before that {node} takes nothing new");
        let frames = offer
            .into_iter()
            .chain([frame.number])
            .collect::<BTreeSet<usize>>();
        self.breach(Rule::DrainsKept, frames.into_iter().collect(), text);
    }
}
