//! The floor of a learner: a node that keeps no plan and casts no vote, and knows of plans by the stamps of what placers
//! send it.

use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigVersion, VersionStamp, version_level,
};

use crate::memory::OfferRejection;

/// What a learner has learned. It is not kept over a restart: a new life begins without a floor.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct LearnerState {
    /// The newest plan that a placer acted by, joint or alone; number 0 before the first.
    newest: ConfigVersion,
}

impl LearnerState {
    /// Offers under this level are refused: the joint form of the newest plan that was seen.
    pub fn level(&self) -> u64 {
        version_level(self.newest, true)
    }

    /// A placer acts by this stamp: the floor rises to the joint form of its plan, and never falls. Whether it rose.
    pub fn raise(&mut self, stamp: &VersionStamp) -> bool {
        let rises = stamp.version.number > self.newest.number;
        if rises {
            self.newest = stamp.version;
        }
        rises
    }

    /// Whether an offer may be looked at.
    ///
    /// | stamp | floor | is |
    /// | --- | --- | --- |
    /// | none | none yet | admitted: its sender knows no plans |
    /// | none | any | under the floor |
    /// | any | none yet | admitted |
    /// | a plan of a smaller number | any | under the floor |
    /// | the floor's plan, joint or alone | any | admitted |
    /// | another plan of that number | any | other |
    /// | a plan of a greater number | any | admitted, and the floor rises |
    ///
    /// # Errors
    /// Why not. A refusal promises that nothing ran.
    pub fn admits(&self, stamp: Option<&VersionStamp>) -> Result<(), OfferRejection> {
        let floor = self.level();
        let Some(stamp) = stamp else {
            return if floor == 0 {
                Ok(())
            } else {
                Err(OfferRejection::Under { told: 0, floor })
            };
        };
        if stamp.version.number < self.newest.number {
            return Err(OfferRejection::Under {
                told: stamp.level(),
                floor,
            });
        }
        if stamp.version.number == self.newest.number && stamp.version != self.newest {
            return Err(OfferRejection::Other(self.newest));
        }
        Ok(())
    }

    /// In few words, for placers. It is told as one that can't vote, which is what a placer of the former version
    /// understands. How long the floor stands and who is linked the caller knows.
    pub fn record(&self) -> AcceptorReport {
        let introduced = AcceptedVersion {
            ballot: Ballot::default(),
            version: self.newest,
            joint: true,
        };
        let next = (self.newest.number > 0).then_some(introduced);
        AcceptorReport {
            next,
            stuck: true,
            learns: true,
            ..AcceptorReport::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedring_node_protocol::ConfigDigest;

    fn stamp(number: u64, name: u8, joint: bool) -> VersionStamp {
        let version = ConfigVersion {
            number,
            digest: ConfigDigest([name; 16]),
        };
        VersionStamp {
            version,
            joint,
            ..VersionStamp::default()
        }
    }

    fn learned(number: u64) -> LearnerState {
        let mut floor = LearnerState::default();
        if number > 0 {
            floor.raise(&stamp(number, number as u8, false));
        }
        floor
    }

    /// Every stamp at every floor.
    #[test]
    fn an_offer_is_admitted_from_the_joint_form_of_the_newest_plan_on() {
        let stamps = [
            None,
            Some(stamp(1, 1, true)),
            Some(stamp(1, 1, false)),
            Some(stamp(2, 2, true)),
            Some(stamp(2, 2, false)),
            Some(stamp(2, 9, true)),
            Some(stamp(2, 9, false)),
            Some(stamp(3, 3, true)),
            Some(stamp(9, 9, false)),
        ];
        let (under, other) = ("under", "other");
        let want = [
            (0, ["", "", "", "", "", "", "", "", ""]),
            (1, [under, "", "", "", "", "", "", "", ""]),
            (2, [under, under, under, "", "", other, other, "", ""]),
            (3, [under, under, under, under, under, under, under, "", ""]),
        ];
        for (number, want) in want {
            let floor = learned(number);
            let got = stamps.map(|stamp| match floor.admits(stamp.as_ref()) {
                Ok(()) => "",
                Err(OfferRejection::Under { .. }) => under,
                Err(OfferRejection::Other(_)) => other,
                Err(OfferRejection::Unknown { .. }) => "unknown",
            });
            assert_eq!(got, want, "floor of plan {number}");
        }
    }

    #[test]
    fn a_floor_rises_to_the_joint_form_and_never_falls() {
        let mut floor = LearnerState::default();
        assert_eq!(floor.level(), 0);
        for (told, rises, level) in [
            (stamp(2, 2, false), true, 3),
            (stamp(2, 2, true), false, 3),
            (stamp(1, 1, false), false, 3),
            (stamp(2, 9, false), false, 3),
            (stamp(4, 4, true), true, 7),
            (stamp(3, 3, false), false, 7),
        ] {
            assert_eq!(
                (floor.raise(&told), floor.level()),
                (rises, level),
                "{told:?}"
            );
        }
        assert_eq!(
            floor.admits(Some(&stamp(4, 4, false))),
            Ok(()),
            "the rival of plan 2 took nothing over"
        );
    }

    #[test]
    fn what_a_learner_tells_says_its_floor_and_that_it_does_not_vote() {
        let none = LearnerState::default().record();
        assert_eq!(
            (none.floor(), none.learns, none.stuck, none.next),
            (0, true, true, None)
        );
        let record = learned(3).record();
        assert_eq!(
            (record.floor(), record.learns, record.stuck),
            (5, true, true)
        );
        assert_eq!(
            record.force,
            ConfigVersion::default(),
            "it knows no plan to be in force"
        );
    }
}
