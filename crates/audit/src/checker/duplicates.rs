//! Rule 2: no second live attempt of a job, and a duplicate only as its class allows.

use reedring_node_protocol::{AttemptId, DeduplicationScope, Idempotency};

use super::observed::{Attempt, ClosedAs, RackLocation};
use super::settings::{RetryPolicy, duration};
use super::{Checker, Rule};
use crate::trace::Frame;

/// The setting `links.lost_after` where a placer's settings don't name it.
const DEFAULT_LOST_AFTER_US: u64 = 60_000_000;

/// An offer, and what its class allows.
struct Offer<'a> {
    id: AttemptId,
    attempt: &'a Attempt,
    time_us: u64,
    retry_policy: RetryPolicy,
    lost_after_us: u64,
    /// Since when the first attempt that counts is out.
    first_sent_us: Option<u64>,
}

impl Offer<'_> {
    /// Whether an earlier attempt belongs to an earlier placement, which was lost. The window of a class is that of the
    /// attempts of one placement.
    fn is_of_lost_placement(&self, id: &AttemptId, attempt: &Attempt) -> bool {
        attempt.accepted && (id.request, id.incarnation) != (self.id.request, self.id.incarnation)
    }

    /// Whether an earlier attempt counts for the window of the class.
    fn counts_for_window(&self, id: &AttemptId, attempt: &Attempt) -> bool {
        let lost_and_ended =
            self.is_of_lost_placement(id, attempt) && attempt.closed_as() == Some(ClosedAs::Ended);
        attempt.closed != Some(ClosedAs::NeverRan) && !lost_and_ended
    }
}

impl Checker {
    /// A refusal promises that submitting the job again is harmless.
    pub(super) fn check_refusal(&mut self, job: &str, frame: usize) {
        let attempts = self.attempts_by_job.get(job).cloned().unwrap_or_default();
        for id in attempts {
            let attempt = &self.attempts[&id];
            let never_ran = attempt.closed == Some(ClosedAs::NeverRan);
            let harmless = match attempt.repeat {
                Idempotency::Idempotent => true,
                Idempotency::IdempotentByKey => {
                    attempt.group == DeduplicationScope::All || never_ran
                }
                Idempotency::NonIdempotent => never_ran,
            };
            if !harmless {
                let text = format!(
                    "job {job} was refused though its attempt on {} may have run",
                    attempt.node
                );
                let frames = vec![attempt.frame, frame];
                self.breach(Rule::NoSecondRun, frames, text);
            }
        }
    }

    /// Checks one offer against each earlier attempt of its job.
    pub(super) fn check_duplicate(&mut self, frame: &Frame, id: AttemptId, new: &Attempt) {
        let earlier = self.attempts_by_job.get(&new.job).cloned();
        let earlier = earlier.unwrap_or_default();
        let offer = self.offer(frame, id, new, &earlier);
        let mut found = Vec::new();
        for old_id in earlier {
            let old = &self.attempts[&old_id];
            if let Some(reason) = self.forbids(&offer, &old_id, old) {
                let text = format!(
                    "job {} was sent to {} after {}: {reason}",
                    new.job, new.node, old.node
                );
                found.push((vec![old.frame, frame.number], text));
            }
        }
        for (frames, text) in found {
            self.breach(Rule::NoSecondRun, frames, text);
        }
    }

    fn offer<'a>(
        &self,
        frame: &Frame,
        id: AttemptId,
        attempt: &'a Attempt,
        earlier: &[AttemptId],
    ) -> Offer<'a> {
        let placer = self.placers.get(&attempt.placer);
        let settings = placer.map(|placer| placer.settings.clone());
        let settings = settings.unwrap_or_default();
        let lost_after_us = duration(settings.links.lost_after.as_ref());
        let mut offer = Offer {
            id,
            attempt,
            time_us: frame.time_us,
            retry_policy: settings.retry_policy(&attempt.class),
            lost_after_us: lost_after_us.unwrap_or(DEFAULT_LOST_AFTER_US),
            first_sent_us: None,
        };
        let earlier = earlier.iter().map(|id| (id, &self.attempts[id]));
        let counting = earlier.filter(|(id, old)| offer.counts_for_window(id, old));
        offer.first_sent_us = counting.map(|(_, old)| old.sent_us).min();
        offer
    }

    /// Why an earlier attempt forbids an offer, if it does.
    fn forbids(&self, offer: &Offer<'_>, id: &AttemptId, old: &Attempt) -> Option<&'static str> {
        let may_duplicate = self.may_duplicate(offer, old);
        let unless = |allowed: bool, reason| (!allowed).then_some(reason);
        match old.closed_as() {
            Some(ClosedAs::NeverRan) => None,
            Some(ClosedAs::Ended) if offer.is_of_lost_placement(id, old) => unless(
                offer.retry_policy.after_end,
                "its class forbids a second start",
            ),
            Some(ClosedAs::Ended) => unless(
                may_duplicate,
                "it may have run, and its class forbids to send it again",
            ),
            None if old.accepted => unless(
                self.is_node_lost(offer, old) && offer.retry_policy.after_unknown
                    || old.is_given_up() && may_duplicate,
                "its attempt there is running",
            ),
            None if !old.is_given_up() && offer.time_us < old.expires_us => {
                Some("its attempt there has no answer yet")
            }
            None => unless(
                may_duplicate,
                "nobody knows whether it runs there, and its class forbids to send it again",
            ),
        }
    }

    /// Whether the class of an offer allows a duplicate of an earlier attempt that may have run.
    fn may_duplicate(&self, offer: &Offer<'_>, old: &Attempt) -> bool {
        let new = offer.attempt;
        let rack_location = |node: &str| self.rack_location(&new.placer, node);
        let in_group = match new.group {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => {
                rack_location(&old.node).zone == rack_location(&new.node).zone
            }
            DeduplicationScope::Rack => rack_location(&old.node) == rack_location(&new.node),
        };
        let in_window = offer
            .first_sent_us
            .is_none_or(|first| offer.time_us < first + new.window_us);
        match new.repeat {
            Idempotency::Idempotent => true,
            Idempotency::IdempotentByKey => in_group && in_window,
            Idempotency::NonIdempotent => false,
        }
    }

    fn rack_location(&self, placer: &str, node: &str) -> RackLocation {
        let placer = self.placers.get(placer);
        let racks = placer.and_then(|placer| placer.racks.get(node));
        racks.cloned().unwrap_or_default()
    }

    /// Whether the node of an accepted attempt is gone: by the list, or since it is unreachable for too long.
    fn is_node_lost(&self, offer: &Offer<'_>, old: &Attempt) -> bool {
        let placer = &offer.attempt.placer;
        let unavailable = self
            .placers
            .get(placer)
            .is_some_and(|placer| placer.unavailable_by_list.contains_key(&old.node));
        let unlinked = self.unlinked_since.get(&(placer.clone(), old.node.clone()));
        let unreachable =
            unlinked.is_some_and(|since| offer.time_us >= since + offer.lost_after_us);
        unavailable || unreachable
    }
}
