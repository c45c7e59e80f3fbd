//! Rule 3: no new task for a node later than the grace period after its drain was reported.

use std::collections::BTreeSet;

use super::settings::duration;
use super::{Checker, Rule};
use crate::trace::Frame;

/// The grace period of settings that don't name one.
const DEFAULT_DRAIN_GRACE_US: u64 = 500_000;

impl Checker {
    /// Checks one offer, where it left its placer or where it reached its node. `sent` is the frame with which it left.
    pub(super) fn check_drain(
        &mut self,
        frame: &Frame,
        placer_name: &str,
        node: &str,
        sent: Option<usize>,
    ) {
        let Some(placer) = self.placers.get(placer_name) else {
            return;
        };
        let grace = duration(placer.settings.site.drain_grace.as_ref());
        let grace = grace.unwrap_or(DEFAULT_DRAIN_GRACE_US);
        let Some(since) = placer.unavailable_since(node) else {
            return;
        };
        if frame.time_us <= since + grace {
            return;
        }
        let late_ms = (frame.time_us - since) / 1_000;
        let text = format!(
            "placer {placer_name} had known for {late_ms} ms that {node} takes nothing new"
        );
        let frames: BTreeSet<usize> = sent.into_iter().chain([frame.number]).collect();
        self.breach(Rule::DrainsKept, frames.into_iter().collect(), text);
    }
}
