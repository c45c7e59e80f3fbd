//! Rule 5: services stay spread, by class and by constraint.

use reedring_constraint::{self as constraint, Constraint, Strength};
use reedring_node_protocol::AttemptId;

use super::known::{Attempt, Even};
use super::{EVEN_SLACK_US, Judge, Rule, SLACK_US};
use crate::constraint::{Copy, Scene, place};
use crate::trace::Frame;

impl Judge {
    pub(super) fn spread(&mut self, frame: &Frame, new: &Attempt) {
        let Some(placer) = self.placers.get(&new.placer) else {
            return;
        };
        let Some(spread) = placer
            .told
            .class(&new.class)
            .and_then(|class| class.spread.clone())
        else {
            return;
        };
        let place = |node: &str| {
            let (rack, hall) = placer.places.get(node).cloned().unwrap_or_default();
            match spread.over.as_str() {
                "hall" => hall,
                "rack" => format!("{hall}\n{rack}"),
                _ => node.to_owned(),
            }
        };
        let service = (new.placer.clone(), new.class.clone(), new.service.clone());
        let all = self
            .of_service
            .get(&service)
            .into_iter()
            .flatten()
            .map(|id| &self.attempts[id]);
        let here = all
            .filter(|old| old.closed.is_none())
            .filter(|old| !old.given_up() || old.accepted);
        let frames: Vec<usize> = here
            .filter(|old| place(&old.node) == place(&new.node))
            .map(|old| old.frame)
            .collect();
        if frames.len() + 1 > spread.most {
            let text = format!(
                "job {} makes {} of service {} in one {}, at most {} may stand",
                new.job,
                frames.len() + 1,
                new.service,
                spread.over,
                spread.most
            );
            let frames = frames.into_iter().chain([frame.number]).collect();
            self.breach(Rule::Spread, frames, text);
        }
    }

    /// Rule 5 for one offer with a constraint: the copies of its placer that are known to stand, or may.
    pub(super) fn constraint(&mut self, frame: &Frame, id: AttemptId, new: &Attempt) {
        let Some(text) = &new.native.constraint else {
            return;
        };
        let Some(placer) = self.placers.get(&new.placer) else {
            return;
        };
        let named = |name: &str| {
            placer
                .told
                .constraint
                .iter()
                .find(|c| c.name == name)
                .map(|c| c.text.as_str())
        };
        let Ok(constraint) = Constraint::parse_with(text, named) else {
            return;
        };
        let mine = self
            .by_node
            .iter()
            .filter(|((of, _), _)| *of == new.placer)
            .flat_map(|(_, ids)| ids);
        // What was given up may stand until its node tells: it counts.
        let live = mine
            .map(|id| &self.attempts[id])
            .filter(|old| !old.forgotten);
        let copy = |old: &Attempt| Copy {
            node: old.node.clone(),
            class: old.class.clone(),
            service: old.service.clone(),
            labels: old.native.labels.clone().unwrap_or_default(),
        };
        let copies: Vec<Copy> = live.map(copy).collect();
        let mut spots = placer.spots.clone();
        for (name, spot) in &mut spots {
            spot.ready &= !placer.closed_by_hand.contains_key(name);
        }
        let scene = Scene {
            spots: &spots,
            copies: &copies,
            class: &new.class,
            service: &new.service,
        };
        let open = scene.open(&constraint);
        for clause in &constraint.clauses {
            if let (
                Strength::Require,
                constraint::Rule::Spread {
                    by,
                    how: constraint::Spread::Within(skew),
                },
            ) = (clause.strength, &clause.rule)
            {
                self.even.push(Even {
                    frame: frame.number,
                    time_us: frame.time_us,
                    attempt: id,
                    by: *by,
                    skew: *skew,
                    clause: clause.to_string(),
                    spots: spots.clone(),
                    open: open.clone(),
                });
            }
        }
        for clause in scene.breaks(&constraint, &new.node) {
            let text = format!(
                "job {} was sent to {}, and `{clause}` does not hold there",
                new.job, new.node
            );
            self.breach(Rule::Spread, vec![frame.number], text);
        }
    }

    /// Rule 5 for one offer under an even spread. A copy that comes or goes elsewhere changes what is
    /// allowed, and frames are written a little after they are decided: so copies around that moment count for
    /// the emptiest place, and only those that stood for sure count for the offer's own.
    ///
    /// A copy stood for sure if its offer was decided before this one. Each link writes in the order of decisions,
    /// but two links do not write in one order. Of offers under the same spread the order does not matter: the last
    /// one decided had all others before it, so the one written last may be judged in its place. What is not under
    /// this spread counts if it was written earlier on the same link, or [`SLACK_US`] before.
    pub(super) fn evenly(&mut self, even: &Even) {
        let new = &self.attempts[&even.attempt];
        let service = (new.placer.clone(), new.class.clone(), new.service.clone());
        let all: Vec<&Attempt> = self
            .of_service
            .get(&service)
            .into_iter()
            .flatten()
            .map(|id| &self.attempts[id])
            .collect();
        let at = |node: &str| even.spots.get(node).and_then(|spot| place(spot, even.by));
        let Some(here) = at(&new.node) else { return };
        let decided_before = |old: &Attempt| {
            old.frame < even.frame
                && (old.node == new.node
                    || old.native.constraint == new.native.constraint
                    || old.sent_us.saturating_add(SLACK_US) <= even.time_us)
        };
        let sure = |old: &&&Attempt| {
            decided_before(old)
                && old.closed_us > even.time_us
                && at(&old.node).as_ref() == Some(&here)
        };
        let stood = all.iter().filter(sure).count() as u32;
        let around = |old: &&&Attempt| {
            old.frame != even.frame
                && old.sent_us <= even.time_us + EVEN_SLACK_US
                && old.closed_us.saturating_add(EVEN_SLACK_US) >= even.time_us
        };
        let near: Vec<_> = all
            .iter()
            .filter(around)
            .filter_map(|old| at(&old.node))
            .collect();
        let places = even.open.iter().filter_map(|node| at(node));
        let fewest = places
            .map(|place| near.iter().filter(|other| **other == place).count())
            .min()
            .unwrap_or(0);
        if stood >= fewest as u32 + even.skew {
            let text = format!(
                "job {} was sent to {}, and `{}` does not hold there",
                new.job, new.node, even.clause
            );
            self.breach(Rule::Spread, vec![even.frame], text);
        }
    }
}
