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

/// An acceptor that has committed this configuration (0 is none), with the `joint` one in its joint phase if it is set.
/// `floor_age_ms` is the time since its floor rose.
fn acceptor(committed: u64, joint: Option<u64>, floor_age_ms: u64) -> PeerState {
    let committed_version = match committed {
        0 => ConfigVersion::default(),
        number => version(number),
    };
    PeerState::Reported(AcceptorReport {
        committed: committed_version,
        accepted: joint.map(joint_version),
        floor_age_ms,
        ..AcceptorReport::default()
    })
}

/// A learner whose floor is the joint level of this configuration; 0 is none.
fn learner(number: u64, floor_age_ms: u64) -> PeerState {
    PeerState::Reported(AcceptorReport {
        accepted: (number > 0).then(|| joint_version(number)),
        floor_age_ms,
        is_learner: true,
        cannot_persist: true,
        ..AcceptorReport::default()
    })
}

/// The active configuration of a placer that applies this committed one, together with `next` if that is set.
fn active(committed: u64, next: Option<u64>) -> ActiveConfig {
    ActiveConfig {
        committed: version(committed),
        next: next.map(version),
        local_ahead: None,
    }
}

/// The committed and the next configuration of a placer, from configuration 1 alone to configuration 3 alone.
const ACTIVE_CONFIGS: [(u64, Option<u64>); 5] =
    [(1, None), (1, Some(2)), (2, None), (2, Some(3)), (3, None)];

/// Checks every active level against every floor of an acceptor, from no floor to that of configuration 3.
#[test]
fn a_placer_dispatches_only_to_acceptors_at_its_level_or_one_below() {
    let floors = [
        (0, None),
        (1, None),
        (1, Some(2)),
        (2, None),
        (2, Some(3)),
        (3, None),
    ];
    for (committed, next) in ACTIVE_CONFIGS {
        let active = active(committed, next);
        let state = LeaseState::Active(active);
        for (node_committed, joint) in floors {
            let peer = acceptor(node_committed, joint, 9_999);
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
            // A node that is warming up must be joint itself before a placer in the joint phase dispatches to it.
            let is_not_joint_yet = active.next.is_some() && floor < active.level();
            let expected =
                expected.or(is_not_joint_yet.then_some(DispatchBlock::ConfigNotInstalled));
            assert_eq!(
                dispatch_block(&state, &peer, WARMING_UP),
                expected,
                "{active:?} {peer:?}"
            );
        }
    }
}

#[test]
fn only_blocks_that_can_end_without_a_message_from_a_node_need_polling() {
    let ended_by_answer = [
        DispatchBlock::Suspended(SuspendReason::NoQuorum),
        DispatchBlock::NoReport,
    ];
    let ended_otherwise = [
        DispatchBlock::LevelBelowFloor,
        DispatchBlock::ConfigNotInstalled,
        DispatchBlock::FloorSettling,
        DispatchBlock::LocalConfigAhead,
    ];
    assert_eq!(
        ended_by_answer.map(DispatchBlock::needs_polling),
        [false; 2]
    );
    assert_eq!(ended_otherwise.map(DispatchBlock::needs_polling), [true; 4]);
}

#[test]
fn a_node_that_is_warming_up_is_blocked_for_a_window_and_for_placers_with_a_later_local_file() {
    let active_by_first = LeaseState::Active(active(1, None));
    let with_floor_age = |floor_age_ms| acceptor(1, None, floor_age_ms);
    assert_eq!(
        dispatch_block(&active_by_first, &with_floor_age(1_999), WARMING_UP),
        Some(DispatchBlock::FloorSettling)
    );
    assert_eq!(
        dispatch_block(&active_by_first, &with_floor_age(2_000), WARMING_UP),
        None
    );
    assert_eq!(
        dispatch_block(&active_by_first, &with_floor_age(0), WARM),
        None
    );
    let ahead = LeaseState::Active(ActiveConfig {
        local_ahead: Some(version(2)),
        ..active(1, None)
    });
    assert_eq!(
        dispatch_block(&ahead, &with_floor_age(9_999), WARMING_UP),
        Some(DispatchBlock::LocalConfigAhead)
    );
    assert_eq!(dispatch_block(&ahead, &with_floor_age(9_999), WARM), None);
}

#[test]
fn a_suspended_placer_is_blocked_for_every_node_and_legacy_nodes_never_block_an_active_one() {
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
    let active_by_first = LeaseState::Active(active(1, None));
    assert_eq!(
        dispatch_block(&active_by_first, &PeerState::Legacy, WARMING_UP),
        None
    );
    assert_eq!(
        dispatch_block(&active_by_first, &PeerState::Unknown, WARM),
        Some(DispatchBlock::NoReport)
    );
}

/// Checks every active level against every floor of a learner: warm or warming up, with a floor older or younger than
/// the window, with and without a later local file.
#[test]
fn a_learner_that_is_warming_up_is_blocked_until_a_window_after_its_floor_rose() {
    for (committed, next) in ACTIVE_CONFIGS {
        for local_ahead in [None, Some(version(9))] {
            let active = ActiveConfig {
                local_ahead,
                ..active(committed, next)
            };
            let active_number = next.unwrap_or(committed);
            for learned_number in 0..5 {
                for (slow_start, floor_age_ms) in [
                    (WARM, 0),
                    (WARM, 9_999),
                    (WARMING_UP, 1_999),
                    (WARMING_UP, 2_000),
                ] {
                    let is_warming_up = slow_start.is_warming_up;
                    let expected = if learned_number > active_number {
                        Some(DispatchBlock::LevelBelowFloor)
                    } else if !is_warming_up {
                        None
                    } else if learned_number < active_number {
                        Some(DispatchBlock::ConfigNotInstalled)
                    } else if local_ahead.is_some() {
                        Some(DispatchBlock::LocalConfigAhead)
                    } else {
                        (floor_age_ms < 2_000).then_some(DispatchBlock::FloorSettling)
                    };
                    let peer = learner(learned_number, floor_age_ms);
                    let block = dispatch_block(&LeaseState::Active(active), &peer, slow_start);
                    assert_eq!(
                        block, expected,
                        "{active:?}, floor of configuration {learned_number}, {slow_start:?}, {floor_age_ms} ms"
                    );
                    let is_lifted =
                        block.is_some_and(|block| block.is_lifted_by_raising_floor(&peer));
                    assert_eq!(is_lifted, is_warming_up && learned_number < active_number);
                }
            }
        }
    }
}

#[test]
fn raising_the_floor_lifts_only_the_block_of_learners_whose_floor_is_too_low() {
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
