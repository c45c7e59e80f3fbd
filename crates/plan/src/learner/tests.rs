use reedring_node_protocol::ConfigDigest;

use super::*;

fn stamp(number: u64, digest: u8, joint: bool) -> VersionStamp {
    let version = ConfigVersion {
        number,
        digest: ConfigDigest([digest; 16]),
    };
    VersionStamp {
        version,
        joint,
        ..VersionStamp::default()
    }
}

/// A learner whose newest configuration is this one; 0 is none.
fn learner_of(number: u64) -> LearnerState {
    let mut learner = LearnerState::default();
    if number > 0 {
        learner.raise_floor(&stamp(number, number as u8, false));
    }
    learner
}

/// Checks every stamp against every floor.
#[test]
fn an_offer_is_admitted_at_or_above_the_joint_level_of_the_newest_configuration() {
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
    let (below, conflict) = ("below", "conflict");
    let cases = [
        (0, ["", "", "", "", "", "", "", "", ""]),
        (1, [below, "", "", "", "", "", "", "", ""]),
        (2, [below, below, below, "", "", conflict, conflict, "", ""]),
        (3, [below, below, below, below, below, below, below, "", ""]),
    ];
    for (number, expected) in cases {
        let learner = learner_of(number);
        let found = stamps.map(|stamp| match learner.check_offer(stamp.as_ref()) {
            Ok(()) => "",
            Err(OfferRejection::BelowFloor { .. }) => below,
            Err(OfferRejection::ConflictingVersion(_)) => conflict,
            Err(OfferRejection::UnknownVersion { .. }) => "unknown",
        });
        assert_eq!(found, expected, "floor of configuration {number}");
    }
}

#[test]
fn a_floor_rises_to_the_joint_level_and_never_falls() {
    let mut learner = LearnerState::default();
    assert_eq!(learner.floor(), 0);
    for (stamp, rises, floor) in [
        (stamp(2, 2, false), true, 3),
        (stamp(2, 2, true), false, 3),
        (stamp(1, 1, false), false, 3),
        (stamp(2, 9, false), false, 3),
        (stamp(4, 4, true), true, 7),
        (stamp(3, 3, false), false, 7),
    ] {
        assert_eq!(
            (learner.raise_floor(&stamp), learner.floor()),
            (rises, floor),
            "{stamp:?}"
        );
    }
    assert_eq!(
        learner.check_offer(Some(&stamp(4, 4, false))),
        Ok(()),
        "the other configuration 2 did not replace a newer one"
    );
}

#[test]
fn the_report_of_a_learner_has_its_floor_and_is_marked_as_non_voting() {
    let none = LearnerState::default().report();
    assert_eq!(
        (
            none.floor(),
            none.is_learner,
            none.cannot_persist,
            none.accepted
        ),
        (0, true, true, None)
    );
    let report = learner_of(3).report();
    assert_eq!(
        (report.floor(), report.is_learner, report.cannot_persist),
        (5, true, true)
    );
    assert_eq!(
        report.committed,
        ConfigVersion::default(),
        "a learner reports no committed configuration"
    );
}
