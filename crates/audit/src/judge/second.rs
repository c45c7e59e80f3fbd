//! Rule 2: no second live attempt, and nothing is sent again but as its class allows.

use reedring_node_protocol::{AttemptId, Group, Repeat};

use super::known::{Attempt, Closed};
use super::told::time;
use super::{Judge, Rule};
use crate::trace::Frame;

impl Judge {
    /// Rule 2: a refusal promises that asking again is harmless.
    pub(super) fn refusal(&mut self, job: &str, at: usize) {
        let attempts = self.by_job.get(job).cloned().unwrap_or_default();
        for id in attempts {
            let attempt = &self.attempts[&id];
            let harmless = match attempt.repeat {
                Repeat::Safe => true,
                Repeat::Keyed => {
                    attempt.group == Group::All || attempt.closed == Some(Closed::NeverRan)
                }
                Repeat::Unsafe => attempt.closed == Some(Closed::NeverRan),
            };
            if !harmless {
                let text = format!(
                    "job {job} was refused though its attempt on {} may have run",
                    attempt.node
                );
                let frames = vec![attempt.frame, at];
                self.breach(Rule::NoSecondRun, frames, text);
            }
        }
    }

    /// Rule 2 for one offer: what is known of each attempt of the job before it.
    pub(super) fn sent(&mut self, frame: &Frame, id: AttemptId, new: &Attempt) {
        let before = self.by_job.get(&new.job).cloned().unwrap_or_default();
        // An earlier request of the same life was placed and lost: its end is known, and a class's window is
        // that of the tries of one placing.
        let placed_before = |old_id: &AttemptId, old: &Attempt| {
            old.accepted && (old_id.request, old_id.life) != (id.request, id.life)
        };
        let first = before
            .iter()
            .map(|old| (old, &self.attempts[old]))
            .filter(|(old_id, old)| {
                old.closed != Some(Closed::NeverRan)
                    && !(placed_before(old_id, old) && old.how_closed() == Some(Closed::Ended))
            });
        let first_us = first.map(|(_, old)| old.sent_us).min();
        let told = self
            .placers
            .get(&new.placer)
            .map(|placer| placer.told.clone())
            .unwrap_or_default();
        let (after_end, after_unknown) = told.comes_again(&new.class);
        let lost_after = time(told.links.lost_after.as_ref()).unwrap_or(60_000_000);
        let place = |node: &str| {
            let placer = self.placers.get(&new.placer);
            placer
                .and_then(|placer| placer.places.get(node))
                .cloned()
                .unwrap_or_default()
        };
        let mut breaches = Vec::new();
        for old_id in before {
            let old = &self.attempts[&old_id];
            let unknown = old.given_up() || frame.time_us >= old.late_us;
            let grouped = match new.group {
                Group::All => true,
                Group::Hall => place(&old.node).1 == place(&new.node).1,
                Group::Rack => place(&old.node) == place(&new.node),
            };
            let in_window = first_us.is_none_or(|first| frame.time_us < first + new.window_us);
            let keyed = new.repeat == Repeat::Keyed && grouped && in_window;
            let lost = placed_before(&old_id, old);
            let closed = old.how_closed();
            let wrong = match closed {
                Some(Closed::NeverRan) => None,
                Some(Closed::Ended) if lost => {
                    (!after_end).then_some("its class forbids a second start")
                }
                Some(Closed::Ended) => {
                    let may = new.repeat == Repeat::Safe || keyed;
                    (!may).then_some("it may have run, and its class forbids to send it again")
                }
                None if old.accepted => {
                    // A copy that nobody has seen end: only a node that is gone lets go of it.
                    let gone = self.placers.get(&new.placer);
                    let gone =
                        gone.is_some_and(|placer| placer.closed_by_list.contains_key(&old.node));
                    let down = self.unlinked.get(&(new.placer.clone(), old.node.clone()));
                    let gone =
                        gone || down.is_some_and(|since| frame.time_us >= since + lost_after);
                    let let_go = gone && after_unknown
                        || old.given_up() && (new.repeat == Repeat::Safe || keyed);
                    (!let_go).then_some("its copy there lives")
                }
                None if !unknown => Some("its attempt there is out"),
                None => {
                    let may = new.repeat == Repeat::Safe || keyed;
                    (!may).then_some(
                        "nobody knows whether it runs there, and its class forbids to send it again",
                    )
                }
            };
            if let Some(why) = wrong {
                let text = format!(
                    "job {} was sent to {} after {}: {why}",
                    new.job, new.node, old.node
                );
                breaches.push((vec![old.frame, frame.number], text));
            }
        }
        for (frames, text) in breaches {
            self.breach(Rule::NoSecondRun, frames, text);
        }
    }
}
