//! Rule 5: services stay spread, by class and by constraint.

use reedring_constraint::{self as constraint, Constraint, Strength};
use reedring_node_protocol::AttemptId;

use super::observed::{Attempt, EvenSpreadOffer, Placer};
use super::{Checker, EVEN_SPREAD_SLACK_US, Rule, SLACK_US};
use crate::constraint::{Domain, OfferContext, RunningCopy, domain};
use crate::trace::Frame;

/// The place of a node over which a class is spread.
fn place(placer: &Placer, over: &str, node: &str) -> String {
    let location = placer.racks.get(node).cloned().unwrap_or_default();
    match over {
        "hall" => location.zone,
        "rack" => format!("{}\n{}", location.zone, location.rack),
        _ => node.to_owned(),
    }
}

fn running_copy(attempt: &Attempt) -> RunningCopy {
    RunningCopy {
        node: attempt.node.clone(),
        class: attempt.class.clone(),
        service: attempt.service.clone(),
        labels: attempt.native.labels.clone().unwrap_or_default(),
    }
}

impl Checker {
    fn attempts_of_service(&self, attempt: &Attempt) -> impl Iterator<Item = &Attempt> {
        let service = (
            attempt.placer.clone(),
            attempt.class.clone(),
            attempt.service.clone(),
        );
        let ids = self.attempts_by_service.get(&service);
        ids.into_iter().flatten().map(|id| &self.attempts[id])
    }

    /// Checks one offer against the spread of its class.
    pub(super) fn check_class_spread(&mut self, frame: &Frame, new: &Attempt) {
        let Some(placer) = self.placers.get(&new.placer) else {
            return;
        };
        let class = placer.settings.class(&new.class);
        let Some(spread) = class.and_then(|class| class.spread.clone()) else {
            return;
        };
        let here = place(placer, &spread.over, &new.node);
        let others: Vec<usize> = self
            .attempts_of_service(new)
            .filter(|old| old.closed.is_none() && (!old.is_given_up() || old.accepted))
            .filter(|old| place(placer, &spread.over, &old.node) == here)
            .map(|old| old.frame)
            .collect();
        let count = others.len() + 1;
        if count > spread.most {
            let text = format!(
                "job {} makes {count} of service {} in one {}, at most {} may run",
                new.job, new.service, spread.over, spread.most
            );
            let frames = others.into_iter().chain([frame.number]).collect();
            self.breach(Rule::Spread, frames, text);
        }
    }

    /// Checks one offer against its constraint, by the attempts of its placer that run, or may.
    pub(super) fn check_constraint(&mut self, frame: &Frame, id: AttemptId, new: &Attempt) {
        let Some(text) = &new.native.constraint else {
            return;
        };
        let Some(placer) = self.placers.get(&new.placer) else {
            return;
        };
        let named = |name: &str| {
            let mut constraints = placer.settings.constraint.iter();
            let named = constraints.find(|constraint| constraint.name == name);
            named.map(|constraint| constraint.text.as_str())
        };
        let Ok(constraint) = Constraint::parse_with(text, named) else {
            return;
        };
        let copies = self.copies_of_placer(&new.placer);
        let mut locations = placer.locations.clone();
        for (name, location) in &mut locations {
            location.ready &= !placer.drained_by_operator.contains_key(name);
        }
        let context = OfferContext {
            locations: &locations,
            copies: &copies,
            class: &new.class,
            service: &new.service,
        };
        let even = even_spread_offers(frame, id, &constraint, &context);
        let violated = context.violated_clauses(&constraint, &new.node);
        self.even_spread_offers.extend(even);
        for clause in violated {
            let text = format!(
                "job {} was sent to {}, and `{clause}` does not hold there",
                new.job, new.node
            );
            self.breach(Rule::Spread, vec![frame.number], text);
        }
    }

    /// What a placer's nodes run, or may: an attempt that was given up counts until its node reports its end.
    fn copies_of_placer(&self, placer: &str) -> Vec<RunningCopy> {
        let links = self.open_attempts.iter();
        let links = links.filter(|((of, _), _)| of == placer);
        let attempts = links.flat_map(|(_, ids)| ids).map(|id| &self.attempts[id]);
        attempts
            .filter(|attempt| !attempt.forgotten)
            .map(running_copy)
            .collect()
    }

    /// At the end of the trace: checks the offers under an even spread.
    pub(super) fn check_even_spreads(&mut self) {
        for offer in std::mem::take(&mut self.even_spread_offers) {
            self.check_even_spread(&offer);
        }
    }

    /// Checks one offer under an even spread. An attempt that starts or ends elsewhere changes what is even, and sockets
    /// have no common order, so what may have been known to the placer or not counts in favour of the offer. Among
    /// offers under the same spread that order does not matter: the last one decided had all others before it, so the
    /// one written last may be checked in its place. An attempt that is not under this spread counts if it was written
    /// earlier on the same link, or [`SLACK_US`] before.
    fn check_even_spread(&mut self, offer: &EvenSpreadOffer) {
        let new = &self.attempts[&offer.attempt];
        let domain_of = |node: &str| {
            let location = offer.locations.get(node)?;
            domain(location, offer.by)
        };
        let Some(here) = domain_of(&new.node) else {
            return;
        };
        let running_here = self
            .attempts_of_service(new)
            .filter(|old| was_decided_before(offer, new, old) && old.closed_us > offer.time_us)
            .filter(|old| domain_of(&old.node).as_ref() == Some(&here))
            .count();
        let running_around: Vec<Domain> = self
            .attempts_of_service(new)
            .filter(|old| may_have_run_around(offer, old))
            .filter_map(|old| domain_of(&old.node))
            .collect();
        let candidates = offer.candidates.iter().filter_map(|node| domain_of(node));
        let running_in = |domain: Domain| {
            let same = running_around.iter().filter(|other| **other == domain);
            same.count()
        };
        let fewest = candidates.map(running_in).min().unwrap_or(0);
        if running_here as u32 >= fewest as u32 + offer.skew {
            let text = format!(
                "job {} was sent to {}, and `{}` does not hold there",
                new.job, new.node, offer.clause
            );
            self.breach(Rule::Spread, vec![offer.frame], text);
        }
    }
}

fn was_decided_before(offer: &EvenSpreadOffer, new: &Attempt, old: &Attempt) -> bool {
    old.frame < offer.frame
        && (old.node == new.node
            || old.native.constraint == new.native.constraint
            || old.sent_us.saturating_add(SLACK_US) <= offer.time_us)
}

fn may_have_run_around(offer: &EvenSpreadOffer, old: &Attempt) -> bool {
    old.frame != offer.frame
        && old.sent_us <= offer.time_us + EVEN_SPREAD_SLACK_US
        && old.closed_us.saturating_add(EVEN_SPREAD_SLACK_US) >= offer.time_us
}

/// The required clauses of a constraint that want an even spread.
fn even_spread_offers(
    frame: &Frame,
    attempt: AttemptId,
    constraint: &Constraint,
    context: &OfferContext<'_>,
) -> Vec<EvenSpreadOffer> {
    let candidates = context.candidates(constraint);
    let mut offers = Vec::new();
    for clause in &constraint.clauses {
        if let (
            Strength::Require,
            constraint::Rule::Spread {
                by,
                limit: constraint::SpreadLimit::Within(skew),
            },
        ) = (clause.strength, &clause.rule)
        {
            offers.push(EvenSpreadOffer {
                frame: frame.number,
                time_us: frame.time_us,
                attempt,
                by: *by,
                skew: *skew,
                clause: clause.to_string(),
                locations: context.locations.clone(),
                candidates: candidates.clone(),
            });
        }
    }
    offers
}
