use reedring_node_protocol::{AcceptedVersion, Ballot, ConfigDigest, ConfigVersion};

use super::*;

const WARM: SlowStart = SlowStart {
    is_warming_up: false,
    window_ms: 2_000,
};
const WARMING_UP: SlowStart = SlowStart {
    is_warming_up: true,
    window_ms: 2_000,
};

fn version(number: u64) -> ConfigVersion {
    ConfigVersion {
        number,
        digest: ConfigDigest([number as u8; 16]),
    }
}

fn joint_version(number: u64) -> AcceptedVersion {
    AcceptedVersion {
        ballot: Ballot {
            round: 1,
            proposer: 1,
        },
        version: version(number),
        joint: true,
    }
}

/// An acceptor that has committed this configuration (0 is none), with the next one in its joint phase or not.
fn acceptor(committed: u64, joint: Option<u64>, floor_ms: u64) -> PeerState {
    let force = match committed {
        0 => ConfigVersion::default(),
        number => version(number),
    };
    PeerState::Reported(AcceptorReport {
        committed: force,
        accepted: joint.map(joint_version),
        floor_age_ms: floor_ms,
        ..AcceptorReport::default()
    })
}

/// A learner whose floor is the joint level of this configuration; 0 is none.
fn learner(number: u64, floor_ms: u64) -> PeerState {
    PeerState::Reported(AcceptorReport {
        accepted: (number > 0).then(|| joint_version(number)),
        floor_age_ms: floor_ms,
        is_learner: true,
        cannot_persist: true,
        ..AcceptorReport::default()
    })
}

/// A placer that acts by this configuration, or by it and the next one.
fn active(committed: u64, next: Option<u64>) -> ActiveConfig {
    ActiveConfig {
        committed: version(committed),
        next: next.map(version),
        local_ahead: None,
    }
}

/// The committed and the next configuration of placers, from none to two configurations on.
const ACTIVE: [(u64, Option<u64>); 5] =
    [(1, None), (1, Some(2)), (2, None), (2, Some(3)), (3, None)];

/// Every floor from none to two configurations on, beside every level.
#[test]
fn a_placer_and_a_node_are_never_more_than_one_level_apart() {
    let floors = [
        (0, None),
        (1, None),
        (1, Some(2)),
        (2, None),
        (2, Some(3)),
        (3, None),
    ];
    for (committed, next) in ACTIVE {
        let active = active(committed, next);
        let state = LeaseState::Active(active);
        for (at_node, joint) in floors {
            let peer = acceptor(at_node, joint, 9_999);
            let floor = peer.report().unwrap().floor();
            let expected = if floor > active.level() {
                Some(DispatchBlock::LevelBelowFloor)
            } else if floor == 0 || active.level() - floor > 1 {
                Some(DispatchBlock::ConfigNotInstalled)
            } else {
                None
            };
            assert_eq!(
                dispatch_block(&state, &peer, WARM),
                expected,
                "{active:?} {peer:?}"
            );
            // A node that is warming up must know of both before it gets anything by both.
            let knows_one = active.next.is_some() && floor < active.level();
            let expected = expected.or(knows_one.then_some(DispatchBlock::ConfigNotInstalled));
            assert_eq!(
                dispatch_block(&state, &peer, WARMING_UP),
                expected,
                "{active:?} {peer:?}"
            );
        }
    }
}

#[test]
fn a_block_that_ends_once_a_node_answers_is_not_polled() {
    let by_answer = [
        DispatchBlock::Suspended(SuspendReason::NoQuorum),
        DispatchBlock::NoReport,
    ];
    let by_time = [
        DispatchBlock::LevelBelowFloor,
        DispatchBlock::ConfigNotInstalled,
        DispatchBlock::FloorSettling,
        DispatchBlock::LocalConfigAhead,
    ];
    assert_eq!(by_answer.map(DispatchBlock::needs_polling), [false; 2]);
    assert_eq!(by_time.map(DispatchBlock::needs_polling), [true; 4]);
}

#[test]
fn a_node_that_warms_up_settles_for_a_window_and_gets_nothing_from_who_is_ahead() {
    let by_one = LeaseState::Active(active(1, None));
    let settled_for = |floor_ms| acceptor(1, None, floor_ms);
    assert_eq!(
        dispatch_block(&by_one, &settled_for(1_999), WARMING_UP),
        Some(DispatchBlock::FloorSettling)
    );
    assert_eq!(
        dispatch_block(&by_one, &settled_for(2_000), WARMING_UP),
        None
    );
    assert_eq!(dispatch_block(&by_one, &settled_for(0), WARM), None);
    let ahead = LeaseState::Active(ActiveConfig {
        local_ahead: Some(version(2)),
        ..active(1, None)
    });
    assert_eq!(
        dispatch_block(&ahead, &settled_for(9_999), WARMING_UP),
        Some(DispatchBlock::LocalConfigAhead)
    );
    assert_eq!(dispatch_block(&ahead, &settled_for(9_999), WARM), None);
}

#[test]
fn a_suspended_placer_dispatches_nowhere_and_legacy_nodes_check_nothing() {
    let suspended = LeaseState::Suspended(SuspendReason::NoConfiguration);
    for peer in [PeerState::Unknown, PeerState::Legacy, acceptor(1, None, 9)] {
        assert_eq!(
            dispatch_block(&suspended, &peer, WARM),
            Some(DispatchBlock::Suspended(SuspendReason::NoConfiguration))
        );
        assert_eq!(
            dispatch_block(&LeaseState::Unmanaged, &peer, WARMING_UP),
            None
        );
    }
    let by_one = LeaseState::Active(active(1, None));
    assert_eq!(
        dispatch_block(&by_one, &PeerState::Legacy, WARMING_UP),
        None
    );
    assert_eq!(
        dispatch_block(&by_one, &PeerState::Unknown, WARM),
        Some(DispatchBlock::NoReport)
    );
}

/// Every level acted by, beside every floor, warm and not, settled and not, ahead and not.
#[test]
fn a_learner_that_warms_up_is_blocked_until_its_floor_has_risen_and_settled() {
    for (committed, next) in ACTIVE {
        for local_ahead in [None, Some(version(9))] {
            let active = ActiveConfig {
                local_ahead,
                ..active(committed, next)
            };
            let acted_by = next.unwrap_or(committed);
            for at_node in 0..5 {
                for (slow_start, floor_ms) in [
                    (WARM, 0),
                    (WARM, 9_999),
                    (WARMING_UP, 1_999),
                    (WARMING_UP, 2_000),
                ] {
                    let is_warming_up = slow_start.is_warming_up;
                    let expected = if at_node > acted_by {
                        Some(DispatchBlock::LevelBelowFloor)
                    } else if !is_warming_up {
                        None
                    } else if at_node < acted_by {
                        Some(DispatchBlock::ConfigNotInstalled)
                    } else if local_ahead.is_some() {
                        Some(DispatchBlock::LocalConfigAhead)
                    } else {
                        (floor_ms < 2_000).then_some(DispatchBlock::FloorSettling)
                    };
                    let peer = learner(at_node, floor_ms);
                    let block = dispatch_block(&LeaseState::Active(active), &peer, slow_start);
                    assert_eq!(
                        block, expected,
                        "{active:?}, floor of {at_node}, {slow_start:?}, {floor_ms} ms"
                    );
                    let raises = block.is_some_and(|b| b.is_lifted_by_raising_floor(&peer));
                    assert_eq!(raises, is_warming_up && at_node < acted_by);
                }
            }
        }
    }
}

#[test]
fn only_learners_whose_floor_is_too_low_are_told_to_raise_it() {
    let not_installed = DispatchBlock::ConfigNotInstalled;
    assert!(!not_installed.is_lifted_by_raising_floor(&acceptor(1, None, 9)));
    assert!(!not_installed.is_lifted_by_raising_floor(&PeerState::Unknown));
    for block in [
        DispatchBlock::LevelBelowFloor,
        DispatchBlock::FloorSettling,
        DispatchBlock::LocalConfigAhead,
        DispatchBlock::NoReport,
    ] {
        assert!(
            !block.is_lifted_by_raising_floor(&learner(1, 9)),
            "{block:?}"
        );
    }
    assert!(not_installed.is_lifted_by_raising_floor(&learner(0, 9)));
}
