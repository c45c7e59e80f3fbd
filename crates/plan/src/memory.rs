//! What one node keeps of plans, what it does with each order, and which offers it admits.

use std::collections::BTreeMap;

use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigRequest, ConfigVersion, Delta, DeltaStep,
    VersionStamp, version_level,
};

use crate::delta::{self, DeltaError};
use crate::kept::MAX_PLACERS;
use crate::text::{ConfigDocument, DocumentError};

/// A plan that is being introduced.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedConfig {
    /// With which ballot it was kept.
    pub ballot: Ballot,
    /// The plan.
    pub kept: ConfigDocument,
    /// Offers by the older plan alone are refused.
    pub joint: bool,
}

/// When a placer was last seen, and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlacerSighting {
    /// The level of its last stamp; 0 where it told none.
    pub level: u64,
    /// Seconds since 1970, by the node's clock.
    pub at_s: u64,
    /// Its build.
    pub build: u32,
}

/// What a node keeps. A value is never changed before its successor is durable.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// The plan in force here.
    pub force: Option<ConfigDocument>,
    /// The one that is being introduced.
    pub next: Option<AcceptedConfig>,
    /// The greatest ballot answered for the successor of the plan in force.
    pub promised: Ballot,
    /// The greatest revision of the node list that was told.
    pub list: u64,
    /// Plans in force before this one.
    pub changes: u32,
    /// Its first plan was in force already when it was told: what it voted for before, if anything, is lost.
    pub taught: bool,
    /// Placers by the number of their name.
    pub seen: BTreeMap<u64, PlacerSighting>,
}

/// Why an order changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestRejection {
    /// It asks for nothing that is not so already.
    #[error("it is so already")]
    Same,
    /// Its sender goes by an older list than others do.
    #[error("the sender's node list has revision {told}, {known} was told already")]
    OldList {
        /// The sender's.
        told: u64,
        /// The greatest.
        known: u64,
    },
    /// Another plan is in force here than the sender thinks.
    #[error("plan {0} is in force here")]
    OtherForce(ConfigVersion),
    /// It lost its memory a moment ago: what it voted for then is not known.
    #[error("this node has lost what it voted for, and votes for nothing yet")]
    Fresh,
    /// A greater ballot was answered.
    #[error("a greater ballot was answered")]
    Outbid,
    /// The next plan is decided.
    #[error("plan {0} is the next one already")]
    Decided(ConfigVersion),
    /// A number that does not follow.
    #[error("plan {told} can't follow plan {force}: the next number is {}", force + 1)]
    Skips {
        /// The number told.
        told: u64,
        /// That in force.
        force: u64,
    },
    /// The text is none of that version.
    #[error(transparent)]
    Text(#[from] DocumentError),
    /// The delta is none of the plan in force here.
    #[error(transparent)]
    Delta(#[from] DeltaError),
}

/// Why an offer is not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OfferRejection {
    /// Decided by a plan under the floor, or by none.
    #[error("decided by a plan of level {told}, the floor is {floor}")]
    Under {
        /// Of the offer.
        told: u64,
        /// The node's.
        floor: u64,
    },
    /// Decided by a plan that this node was not told of.
    #[error("decided by a plan of level {told}, which is not known here; the floor is {floor}")]
    Unknown {
        /// Of the offer.
        told: u64,
        /// The node's.
        floor: u64,
    },
    /// Another plan has that number here.
    #[error("plan {0} has that number here")]
    Other(ConfigVersion),
}

impl AcceptorState {
    /// The version in force; number 0 where there is none.
    pub fn force(&self) -> ConfigVersion {
        self.force
            .as_ref()
            .map(ConfigDocument::version)
            .unwrap_or_default()
    }

    fn joint(&self) -> Option<&AcceptedConfig> {
        self.next.as_ref().filter(|next| next.joint)
    }

    /// Offers under this level are refused.
    pub fn floor(&self) -> u64 {
        self.joint()
            .map_or(version_level(self.force(), false), |next| {
                version_level(next.kept.version(), true)
            })
    }

    /// In few words, for placers. How long the floor stands and who is linked the caller knows.
    pub fn record(&self) -> AcceptorReport {
        let introduced = |next: &AcceptedConfig| AcceptedVersion {
            ballot: next.ballot,
            version: next.kept.version(),
            joint: next.joint,
        };
        AcceptorReport {
            force: self.force(),
            next: self.next.as_ref().map(introduced),
            promised: self.promised,
            list: self.list,
            ..AcceptorReport::default()
        }
    }

    /// The text of a plan that is kept here.
    pub fn text(&self, version: ConfigVersion) -> Option<&str> {
        let kept = self
            .force
            .iter()
            .chain(self.next.iter().map(|next| &next.kept));
        kept.filter(|kept| kept.version() == version)
            .map(ConfigDocument::text)
            .next()
    }

    /// What changed from a plan that somebody has to one that is kept here, where that is known and shorter than the
    /// text.
    pub fn delta(&self, have: ConfigVersion, wanted: ConfigVersion) -> Option<Delta> {
        let base = self.force.as_ref().filter(|kept| kept.version() == have)?;
        let target = self
            .next
            .as_ref()
            .map(|next| &next.kept)
            .filter(|kept| kept.version() == wanted)?;
        delta::shorter(base, target)
    }

    /// The plan that an order is about: of its text, or as it is kept here where the sender left the text out.
    fn told(&self, version: ConfigVersion, text: &str) -> Result<ConfigDocument, DocumentError> {
        let kept = self
            .next
            .as_ref()
            .map(|next| &next.kept)
            .filter(|kept| kept.version() == version);
        match kept {
            Some(kept) if text.is_empty() => Ok(kept.clone()),
            _ => ConfigDocument::checked(version, text),
        }
    }

    /// The order with a text that one with a delta stands for.
    fn with_text(
        &self,
        step: DeltaStep,
        changed: &Delta,
        list: u64,
    ) -> Result<ConfigRequest, RequestRejection> {
        let base = self
            .force
            .as_ref()
            .filter(|kept| kept.version() == changed.base);
        let target = delta::apply(
            base.ok_or(RequestRejection::OtherForce(self.force()))?,
            changed,
        )?;
        let (follows, version, text) = (changed.base, target.version(), target.text().to_owned());
        Ok(match step {
            DeltaStep::Accept { ballot } => ConfigRequest::Accept {
                follows,
                ballot,
                version,
                text,
                list,
            },
            DeltaStep::EnterJoint => ConfigRequest::EnterJoint {
                follows,
                version,
                text,
                list,
            },
            DeltaStep::Commit => ConfigRequest::Commit {
                version,
                text,
                list,
            },
        })
    }

    /// What is to be kept after an order. Nothing may be answered before it is durable.
    ///
    /// | order | where | is |
    /// | --- | --- | --- |
    /// | any but ask and fetch | its list is older than one that was told | declined: old list |
    /// | prepare, accept, joint | follows another plan than the one in force | declined: other force |
    /// | prepare, accept | it was taught the plan in force, and `settled` is not told | declined: fresh |
    /// | prepare | the next plan is decided | declined: decided |
    /// | prepare | its ballot is not greater than the one answered | declined: outbid, or same |
    /// | prepare | else | answered: smaller ballots count no more |
    /// | accept | the next plan is decided, or its ballot is smaller than the one answered | declined |
    /// | accept | its number is not the one after that in force (with none in force any will do) | declined: skips |
    /// | accept | else | kept, with its ballot |
    /// | by delta | its base is not the plan in force | declined: other force |
    /// | by delta | what comes of it is not its target | declined: delta |
    /// | by delta | else | as that order with the text that comes of it |
    /// | joint, force | it has no text, and its plan is not kept here | declined: text |
    /// | joint | another plan is decided | declined: decided |
    /// | joint | else | kept and decided: the floor rises half a step |
    /// | force | the number is under that in force, or another plan has it | declined: other force |
    /// | force | else | in force: the floor rises; what was introduced up to that number is over |
    ///
    /// A node that came without memory may have voted in a life before, for what its successor does not know: it is
    /// `settled`, and votes again, once it is up for longer than any change takes. With no plan in force there is
    /// nothing that it could have voted after.
    ///
    /// # Errors
    /// Why nothing changes.
    pub fn after(&self, order: &ConfigRequest, settled: bool) -> Result<Self, RequestRejection> {
        if let ConfigRequest::ByDelta { step, delta, list } = order {
            return self.after(&self.with_text(*step, delta, *list)?, settled);
        }
        let (force, mut new) = (self.force(), self.clone());
        let told = match order {
            ConfigRequest::Query { .. }
            | ConfigRequest::Fetch { .. }
            | ConfigRequest::RaiseFloor { .. }
            | ConfigRequest::ByDelta { .. } => {
                return Err(RequestRejection::Same);
            }
            ConfigRequest::Prepare { list, .. }
            | ConfigRequest::Accept { list, .. }
            | ConfigRequest::EnterJoint { list, .. }
            | ConfigRequest::Commit { list, .. } => *list,
        };
        if told < self.list {
            return Err(RequestRejection::OldList {
                told,
                known: self.list,
            });
        }
        new.list = told;
        if let ConfigRequest::Prepare { follows, .. }
        | ConfigRequest::Accept { follows, .. }
        | ConfigRequest::EnterJoint { follows, .. } = order
            && *follows != force
        {
            return Err(RequestRejection::OtherForce(force));
        }
        if matches!(
            order,
            ConfigRequest::Prepare { .. } | ConfigRequest::Accept { .. }
        ) && self.taught
            && !settled
        {
            return Err(RequestRejection::Fresh);
        }
        let decided = self.joint().map(|next| next.kept.version());
        match order {
            ConfigRequest::Query { .. }
            | ConfigRequest::Fetch { .. }
            | ConfigRequest::RaiseFloor { .. }
            | ConfigRequest::ByDelta { .. } => {}
            ConfigRequest::Prepare { ballot, .. } => {
                if let Some(decided) = decided {
                    return Err(RequestRejection::Decided(decided));
                }
                match ballot.cmp(&self.promised) {
                    std::cmp::Ordering::Less => return Err(RequestRejection::Outbid),
                    std::cmp::Ordering::Equal => return Err(RequestRejection::Same),
                    std::cmp::Ordering::Greater => new.promised = *ballot,
                }
            }
            ConfigRequest::Accept {
                ballot,
                version,
                text,
                ..
            } => {
                if let Some(decided) = decided {
                    return Err(RequestRejection::Decided(decided));
                }
                if *ballot < self.promised {
                    return Err(RequestRejection::Outbid);
                }
                let kept = ConfigDocument::checked(*version, text)?;
                follows(force, *version)?;
                new.promised = *ballot;
                new.next = Some(AcceptedConfig {
                    ballot: *ballot,
                    kept,
                    joint: false,
                });
            }
            ConfigRequest::EnterJoint { version, text, .. } => {
                match decided {
                    Some(decided) if decided == *version => return Err(RequestRejection::Same),
                    Some(decided) => return Err(RequestRejection::Decided(decided)),
                    None => {}
                }
                let kept = self.told(*version, text)?;
                follows(force, *version)?;
                let ballot = self.next.as_ref().map_or(self.promised, |next| next.ballot);
                new.next = Some(AcceptedConfig {
                    ballot,
                    kept,
                    joint: true,
                });
            }
            ConfigRequest::Commit { version, text, .. } => {
                if *version == force {
                    return Err(RequestRejection::Same);
                }
                if version.number <= force.number {
                    return Err(RequestRejection::OtherForce(force));
                }
                let kept = self.told(*version, text)?;
                new.changes = self.changes.saturating_add(u32::from(self.force.is_some()));
                new.taught =
                    self.force.is_none() && self.next.as_ref().is_none_or(|next| next.kept != kept);
                new.force = Some(kept);
                // Ballots are for the successor of one plan.
                new.promised = Ballot::default();
                new.next = self
                    .next
                    .clone()
                    .filter(|next| next.kept.version().number > version.number);
            }
        }
        Ok(new)
    }

    /// Whether an offer may be looked at.
    ///
    /// | stamp | where | is |
    /// | --- | --- | --- |
    /// | none | no plan was ever replaced here, and none is about to be | admitted: its sender knows no plans |
    /// | none | else | under the floor |
    /// | any | no plan is in force nor decided here | not known: this node has no memory yet |
    /// | under the floor | | under the floor |
    /// | the floor, or half a step over it | no other plan of that number is known here | admitted |
    /// | the floor, or half a step over it | another plan has that number | other |
    /// | higher | | not known |
    ///
    /// # Errors
    /// Why not. A refusal promises that nothing ran.
    pub fn admits(&self, stamp: Option<&VersionStamp>) -> Result<(), OfferRejection> {
        let floor = self.floor();
        let Some(stamp) = stamp else {
            let first = self.changes == 0 && (self.force.is_none() || self.joint().is_none());
            return if first {
                Ok(())
            } else {
                Err(OfferRejection::Under { told: 0, floor })
            };
        };
        let told = stamp.level();
        if self.force.is_none() && self.joint().is_none() {
            return Err(OfferRejection::Unknown { told, floor });
        }
        if told < floor {
            return Err(OfferRejection::Under { told, floor });
        }
        if told > floor + 1 {
            return Err(OfferRejection::Unknown { told, floor });
        }
        let known = [
            Some(self.force()),
            self.joint().map(|next| next.kept.version()),
        ];
        let other = known
            .into_iter()
            .flatten()
            .find(|known| known.number == stamp.version.number);
        match other.filter(|known| *known != stamp.version) {
            Some(other) => Err(OfferRejection::Other(other)),
            None => Ok(()),
        }
    }

    /// A placer greeted, or offered with another stamp than before. Whether that is worth keeping is answered.
    pub fn sees(&mut self, placer: u64, seen: PlacerSighting) -> bool {
        let before = self.seen.insert(placer, seen);
        if self.seen.len() > MAX_PLACERS {
            let oldest = self
                .seen
                .iter()
                .min_by_key(|(_, seen)| seen.at_s)
                .map(|(placer, _)| *placer);
            oldest.map(|placer| self.seen.remove(&placer));
        }
        before.is_none_or(|before| (before.level, before.build) != (seen.level, seen.build))
    }
}

fn follows(force: ConfigVersion, next: ConfigVersion) -> Result<(), RequestRejection> {
    if force.number > 0 && next.number != force.number + 1 {
        return Err(RequestRejection::Skips {
            told: next.number,
            force: force.number,
        });
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    fn kept(number: u64, text: &str) -> ConfigDocument {
        ConfigDocument::new(number, text).unwrap()
    }

    fn ballot(round: u64) -> Ballot {
        Ballot { round, by: 7 }
    }

    fn accept(after: ConfigVersion, round: u64, kept: &ConfigDocument) -> ConfigRequest {
        let text = kept.text().to_owned();
        ConfigRequest::Accept {
            follows: after,
            ballot: ballot(round),
            version: kept.version(),
            text,
            list: 0,
        }
    }

    fn joint(after: ConfigVersion, kept: &ConfigDocument) -> ConfigRequest {
        ConfigRequest::EnterJoint {
            follows: after,
            version: kept.version(),
            text: kept.text().to_owned(),
            list: 0,
        }
    }

    fn force(kept: &ConfigDocument) -> ConfigRequest {
        ConfigRequest::Commit {
            version: kept.version(),
            text: kept.text().to_owned(),
            list: 0,
        }
    }

    /// Every state that a node can be in between two plans and a rival, by name.
    fn states() -> Vec<(&'static str, AcceptorState)> {
        let (one, two) = (kept(1, "one"), kept(2, "two"));
        let empty = AcceptorState::default();
        let first = empty.after(&force(&one), true).unwrap();
        let prepare = ConfigRequest::Prepare {
            follows: one.version(),
            ballot: ballot(3),
            list: 0,
        };
        let promised = first.after(&prepare, true).unwrap();
        let offered = promised
            .after(&accept(one.version(), 3, &two), true)
            .unwrap();
        let decided = offered.after(&joint(one.version(), &two), true).unwrap();
        let done = decided.after(&force(&two), true).unwrap();
        let names = ["empty", "first", "promised", "offered", "decided", "done"];
        names
            .into_iter()
            .zip([empty, first, promised, offered, decided, done])
            .collect()
    }

    fn orders() -> Vec<ConfigRequest> {
        let none = ConfigVersion::default();
        let (one, two, rival, four) = (
            kept(1, "one"),
            kept(2, "two"),
            kept(2, "rival"),
            kept(4, "four"),
        );
        let mut all = vec![
            ConfigRequest::Query {
                stamp: VersionStamp::default(),
            },
            ConfigRequest::Fetch {
                version: two.version(),
                have: None,
            },
        ];
        all.push(ConfigRequest::RaiseFloor {
            stamp: VersionStamp {
                version: four.version(),
                ..VersionStamp::default()
            },
        });
        for after in [none, one.version(), two.version()] {
            for round in [1, 3, 5] {
                all.push(ConfigRequest::Prepare {
                    follows: after,
                    ballot: ballot(round),
                    list: 0,
                });
                all.extend([&one, &two, &rival, &four].map(|kept| accept(after, round, kept)));
            }
            all.extend([&one, &two, &rival, &four].map(|kept| joint(after, kept)));
        }
        all.extend([&one, &two, &rival, &four].map(force));
        all
    }

    /// Every order in every state, against what must never be.
    #[test]
    fn no_order_lowers_a_floor_or_a_ballot_or_undoes_what_is_decided() {
        for (name, memory) in states() {
            for order in orders() {
                let Ok(new) = memory.after(&order, true) else {
                    continue;
                };
                let case = format!("{name}, {order:?}: {new:?}");
                assert!(new.floor() >= memory.floor(), "{case}");
                let same = new.force() == memory.force();
                assert!(!same || new.promised >= memory.promised, "{case}");
                assert!(new.force().number >= memory.force().number, "{case}");
                assert!(
                    same || new.force().number > memory.force().number,
                    "one plan a number: {case}"
                );
                if let Some(decided) = memory.next.as_ref().filter(|next| next.joint) {
                    let kept = new
                        .next
                        .as_ref()
                        .is_some_and(|next| next.joint && next.kept == decided.kept);
                    assert!(
                        kept || new.force().number >= decided.kept.version().number,
                        "{case}"
                    );
                }
                if let Some(next) = &new.next {
                    let (next, force) = (next.kept.version().number, new.force().number);
                    assert!(force == 0 || next == force + 1, "{case}");
                }
                // A vote for a ballot is never changed.
                if let (Some(old), Some(new)) = (&memory.next, &new.next) {
                    assert!(new.joint || new.ballot >= old.ballot, "{case}");
                }
            }
        }
    }

    #[test]
    fn a_vote_is_cast_for_the_next_number_alone_and_never_under_a_greater_ballot() {
        let states: BTreeMap<&str, AcceptorState> = states().into_iter().collect();
        let (one, two, four) = (kept(1, "one"), kept(2, "two"), kept(4, "four"));
        let vote = |state: &str, order: ConfigRequest| states[state].after(&order, true).map(drop);
        assert_eq!(vote("promised", accept(one.version(), 3, &two)), Ok(()));
        assert_eq!(
            vote("promised", accept(one.version(), 1, &two)),
            Err(RequestRejection::Outbid)
        );
        let skips = RequestRejection::Skips { told: 4, force: 1 };
        assert_eq!(vote("first", accept(one.version(), 1, &four)), Err(skips));
        assert_eq!(
            vote("empty", accept(ConfigVersion::default(), 1, &four)),
            Ok(()),
            "any number begins"
        );
        let other = RequestRejection::OtherForce(two.version());
        assert_eq!(vote("done", accept(one.version(), 9, &two)), Err(other));
        assert_eq!(
            vote("decided", accept(one.version(), 9, &two)),
            Err(RequestRejection::Decided(two.version()))
        );
    }

    #[test]
    fn a_text_that_is_not_of_its_digest_is_named_and_changes_nothing() {
        let (one, two) = (kept(1, "one"), kept(2, "two"));
        let first = AcceptorState::default().after(&force(&one), true).unwrap();
        let version = two.version();
        let wrong = ConfigRequest::Commit {
            version,
            text: "tow".into(),
            list: 0,
        };
        assert!(
            first
                .after(&wrong, true)
                .unwrap_err()
                .to_string()
                .starts_with("plan 2: the text has digest")
        );
        let long = ConfigRequest::Commit {
            version,
            text: "x".repeat(reedring_node_protocol::MAX_PLAN + 1),
            list: 0,
        };
        assert!(
            first
                .after(&long, true)
                .unwrap_err()
                .to_string()
                .contains("at most")
        );
    }

    #[test]
    fn a_node_that_lost_its_memory_votes_for_nothing_before_it_has_settled() {
        let (one, two) = (kept(1, "one"), kept(2, "two"));
        let first = AcceptorState::default().after(&force(&one), false).unwrap();
        let prepare = ConfigRequest::Prepare {
            follows: one.version(),
            ballot: ballot(3),
            list: 0,
        };
        assert_eq!(first.after(&prepare, false), Err(RequestRejection::Fresh));
        assert_eq!(
            first.after(&accept(one.version(), 3, &two), false),
            Err(RequestRejection::Fresh)
        );
        assert!(first.after(&prepare, true).is_ok());
        assert!(
            first.after(&joint(one.version(), &two), false).is_ok(),
            "what is decided it takes"
        );
        // Where nothing is in force there is nothing that it could have voted after.
        let begin = ConfigRequest::Prepare {
            follows: ConfigVersion::default(),
            ballot: ballot(1),
            list: 0,
        };
        assert!(AcceptorState::default().after(&begin, false).is_ok());
    }

    #[test]
    fn whoever_goes_by_an_older_list_changes_nothing() {
        let one = kept(1, "one");
        let order = |list| ConfigRequest::Commit {
            version: one.version(),
            text: "one".into(),
            list,
        };
        let memory = AcceptorState {
            list: 5,
            ..AcceptorState::default()
        };
        assert_eq!(
            memory.after(&order(4), true),
            Err(RequestRejection::OldList { told: 4, known: 5 })
        );
        assert_eq!(memory.after(&order(6), true).unwrap().list, 6);
    }

    /// Every stamp at every state.
    #[test]
    fn an_offer_is_admitted_at_the_floor_and_half_a_step_over_it_alone() {
        let (one, two, rival) = (kept(1, "one"), kept(2, "two"), kept(2, "rival"));
        let stamp = |kept: &ConfigDocument, joint| VersionStamp {
            version: kept.version(),
            joint,
            ..VersionStamp::default()
        };
        // By none, one, joint two, two, joint rival, rival.
        let stamps = [
            None,
            Some(stamp(&one, false)),
            Some(stamp(&two, true)),
            Some(stamp(&two, false)),
            Some(stamp(&rival, true)),
            Some(stamp(&rival, false)),
        ];
        let want = [
            ("empty", [true, false, false, false, false, false]),
            ("first", [true, true, true, false, true, false]),
            ("promised", [true, true, true, false, true, false]),
            ("offered", [true, true, true, false, true, false]),
            ("decided", [false, false, true, true, false, false]),
            ("done", [false, false, false, true, false, false]),
        ];
        for ((name, memory), (also, want)) in states().into_iter().zip(want) {
            assert_eq!(name, also);
            let got = stamps.map(|stamp| memory.admits(stamp.as_ref()).is_ok());
            assert_eq!(got, want, "{name}");
        }
    }

    #[test]
    fn placers_seen_are_bounded_and_the_oldest_goes_first() {
        let mut memory = AcceptorState::default();
        let seen = |at_s| PlacerSighting {
            level: 2,
            at_s,
            build: 1,
        };
        for placer in 0..MAX_PLACERS as u64 + 10 {
            assert!(
                memory.sees(placer, seen(100 + placer)),
                "a new one is worth keeping"
            );
        }
        assert_eq!(memory.seen.len(), MAX_PLACERS);
        assert!(!memory.seen.contains_key(&9) && memory.seen.contains_key(&10));
        assert!(!memory.sees(10, seen(9_999)), "its time alone is not");
        assert!(memory.sees(
            10,
            PlacerSighting {
                level: 4,
                ..seen(9_999)
            }
        ));
    }
}
