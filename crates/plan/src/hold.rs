//! Which nodes a placer may send to: a node refuses what is under its floor, and is not pushed over between two plans.

use reedring_node_protocol::{AcceptorReport, version_level};

use crate::fleet::PeerState;
use crate::standing::{ActiveConfig, LeaseState, SuspendReason};

/// Why a node gets nothing from a placer for now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DispatchBlock {
    /// The placer sends nothing to any node.
    Waits(SuspendReason),
    /// The node has not told what it keeps.
    Untold,
    /// Its floor is over the plan that the placer acts by.
    Behind,
    /// It was not told yet of the plan that the placer acts by.
    NotThere,
    /// It is cold, and its floor rose less than a window ago: it may have got offers by the plan before.
    Settling,
    /// It is cold, and the plan of the placer's own file, by which there may be more placers, is not there yet.
    Ahead,
}

impl DispatchBlock {
    /// In words, for the staff.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Waits(why) => why.word(),
            Self::Untold => "not told yet what it keeps of plans",
            Self::Behind => "its floor is over the plan acted by",
            Self::NotThere => "the plan acted by is not there yet",
            Self::Settling => "cold, and its floor rose a moment ago",
            Self::Ahead => "cold, and the plan of the own file is not there yet",
        }
    }

    /// Whether it may end without a word of anybody, so that it has to be looked at again and again.
    ///
    /// | hold | ends |
    /// | --- | --- |
    /// | waits, untold | once a node is heard |
    /// | settling | after a window |
    /// | behind, not there, ahead | by an order that is sent again where it was lost, or once the node is warm |
    pub const fn ends_by_time(self) -> bool {
        match self {
            Self::Waits(_) | Self::Untold => false,
            Self::Behind | Self::NotThere | Self::Settling | Self::Ahead => true,
        }
    }
}

/// Whether a node is held back from a placer.
///
/// | standing | node | cold | its floor, beside the level acted by | held |
/// | --- | --- | --- | --- | --- |
/// | unkept | any | any | any | no |
/// | waits | any | any | any | waits |
/// | acts | unmet | any | | untold |
/// | acts | of version 1 | any | | no: it checks nothing, as before |
/// | acts | told | any | over it | behind |
/// | acts | told | any | more than half a step under it, or nothing is in force nor decided there | not there |
/// | acts by two plans | told | yes | half a step under it | not there |
/// | acts, ahead | told | yes | the own plan is not at least joint there | ahead |
/// | acts | told | yes | rose less than a window ago | settling |
/// | acts | told | no, or its floor stands | the same, or half a step under it | no |
///
/// A learner's floor rises by what it is sent, so a warm one takes any newer plan. Nobody may rely on that where it is
/// cold: placers by the plan before may be sending there until its floor is told to have risen.
///
/// | standing | learner | cold | its floor, beside the plan acted by | held |
/// | --- | --- | --- | --- | --- |
/// | acts | told | any | over the level acted by | behind |
/// | acts | told | no | else | no |
/// | acts | told | yes | under the joint form of the plan | not there |
/// | acts, ahead | told | yes | else | ahead |
/// | acts | told | yes | rose less than a window ago | settling |
/// | acts | told | yes | else | no |
pub fn dispatch_block(
    standing: &LeaseState,
    kin: &PeerState,
    cold: bool,
    window_ms: u64,
) -> Option<DispatchBlock> {
    let acts = match standing {
        LeaseState::Unmanaged => return None,
        LeaseState::Suspended(why) => return Some(DispatchBlock::Waits(*why)),
        LeaseState::Active(acts) => acts,
    };
    let record = match kin {
        PeerState::Unmet => return Some(DispatchBlock::Untold),
        PeerState::Old => return None,
        PeerState::Told(record) if record.learns => {
            return hold_learner(acts, record, cold, window_ms);
        }
        PeerState::Told(record) => record,
    };
    let (level, floor) = (acts.level(), record.floor());
    if floor > level {
        return Some(DispatchBlock::Behind);
    }
    if floor == 0 || floor + 1 < level {
        return Some(DispatchBlock::NotThere);
    }
    if cold && floor < level && acts.next.is_some() {
        // Others may send there by the plan before alone, and as many as that allows.
        return Some(DispatchBlock::NotThere);
    }
    if cold && acts.ahead.is_some() {
        return Some(DispatchBlock::Ahead);
    }
    (cold && record.floor_ms < window_ms).then_some(DispatchBlock::Settling)
}

/// The learner's rows of [`hold`].
fn hold_learner(
    acts: &ActiveConfig,
    record: &AcceptorReport,
    cold: bool,
    window_ms: u64,
) -> Option<DispatchBlock> {
    let floor = record.floor();
    if floor > acts.level() {
        return Some(DispatchBlock::Behind);
    }
    if !cold {
        return None;
    }
    if floor < version_level(acts.stamp().0, true) {
        return Some(DispatchBlock::NotThere);
    }
    if acts.ahead.is_some() {
        return Some(DispatchBlock::Ahead);
    }
    (record.floor_ms < window_ms).then_some(DispatchBlock::Settling)
}

/// Whether a learner must be told by what this placer acts: it is held only because its floor has not risen to that.
pub fn must_raise(held: Option<DispatchBlock>, kin: &PeerState) -> bool {
    held == Some(DispatchBlock::NotThere) && kin.record().is_some_and(|record| record.learns)
}

#[cfg(test)]
mod tests {
    use super::*;
    use reedring_node_protocol::{AcceptedVersion, Ballot, ConfigDigest, ConfigVersion};

    fn version(number: u64) -> ConfigVersion {
        ConfigVersion {
            number,
            digest: ConfigDigest([number as u8; 16]),
        }
    }

    fn record(force: u64, joint: Option<u64>, floor_ms: u64) -> PeerState {
        let ballot = Ballot { round: 1, by: 1 };
        let next = joint.map(|number| AcceptedVersion {
            ballot,
            version: version(number),
            joint: true,
        });
        let force = if force > 0 {
            version(force)
        } else {
            ConfigVersion::default()
        };
        PeerState::Told(AcceptorReport {
            force,
            next,
            floor_ms,
            ..AcceptorReport::default()
        })
    }

    /// Every floor from none to two plans on, beside every level.
    #[test]
    fn a_placer_and_a_node_are_never_more_than_half_a_step_apart() {
        let acts = [(1, None), (1, Some(2)), (2, None), (2, Some(3)), (3, None)];
        let floors = [
            (0, None),
            (1, None),
            (1, Some(2)),
            (2, None),
            (2, Some(3)),
            (3, None),
        ];
        for (force, next) in acts {
            let acts = ActiveConfig {
                force: version(force),
                next: next.map(version),
                ahead: None,
            };
            for (at, joint) in floors {
                let kin = record(at, joint, 9_999);
                let floor = kin.record().unwrap().floor();
                let want = if floor > acts.level() {
                    Some(DispatchBlock::Behind)
                } else if floor == 0 || acts.level() - floor > 1 {
                    Some(DispatchBlock::NotThere)
                } else {
                    None
                };
                assert_eq!(
                    dispatch_block(&LeaseState::Active(acts), &kin, false, 2_000),
                    want,
                    "{acts:?} {kin:?}"
                );
                // A cold node must be told of both before it gets anything by both.
                let half = acts.next.is_some() && floor < acts.level();
                let want = want.or(half.then_some(DispatchBlock::NotThere));
                assert_eq!(
                    dispatch_block(&LeaseState::Active(acts), &kin, true, 2_000),
                    want,
                    "{acts:?} {kin:?}"
                );
            }
        }
    }

    #[test]
    fn a_hold_that_ends_once_a_node_is_heard_is_not_looked_at_over_and_over() {
        let by_word = [
            DispatchBlock::Waits(SuspendReason::NoMajority),
            DispatchBlock::Untold,
        ];
        let by_time = [
            DispatchBlock::Behind,
            DispatchBlock::NotThere,
            DispatchBlock::Settling,
            DispatchBlock::Ahead,
        ];
        assert_eq!(by_word.map(DispatchBlock::ends_by_time), [false; 2]);
        assert_eq!(by_time.map(DispatchBlock::ends_by_time), [true; 4]);
    }

    #[test]
    fn a_cold_node_settles_for_a_window_after_its_floor_rose_and_gets_nothing_from_who_is_ahead() {
        let acts = ActiveConfig {
            force: version(1),
            next: None,
            ahead: None,
        };
        let stands = LeaseState::Active(acts);
        assert_eq!(
            dispatch_block(&stands, &record(1, None, 1_999), true, 2_000),
            Some(DispatchBlock::Settling)
        );
        assert_eq!(
            dispatch_block(&stands, &record(1, None, 2_000), true, 2_000),
            None
        );
        assert_eq!(
            dispatch_block(&stands, &record(1, None, 0), false, 2_000),
            None
        );
        let ahead = LeaseState::Active(ActiveConfig {
            ahead: Some(version(2)),
            ..acts
        });
        assert_eq!(
            dispatch_block(&ahead, &record(1, None, 9_999), true, 2_000),
            Some(DispatchBlock::Ahead)
        );
        assert_eq!(
            dispatch_block(&ahead, &record(1, None, 9_999), false, 2_000),
            None
        );
    }

    #[test]
    fn who_waits_sends_nowhere_and_old_nodes_check_nothing() {
        let waits = LeaseState::Suspended(SuspendReason::NoPlan);
        for kin in [PeerState::Unmet, PeerState::Old, record(1, None, 9)] {
            assert_eq!(
                dispatch_block(&waits, &kin, false, 0),
                Some(DispatchBlock::Waits(SuspendReason::NoPlan))
            );
            assert_eq!(dispatch_block(&LeaseState::Unmanaged, &kin, true, 9), None);
        }
        let acts = LeaseState::Active(ActiveConfig {
            force: version(1),
            next: None,
            ahead: None,
        });
        assert_eq!(dispatch_block(&acts, &PeerState::Old, true, 9), None);
        assert_eq!(
            dispatch_block(&acts, &PeerState::Unmet, false, 9),
            Some(DispatchBlock::Untold)
        );
    }

    /// A learner whose floor is the joint form of this plan; 0 is none.
    fn learner(number: u64, floor_ms: u64) -> PeerState {
        let introduced = AcceptedVersion {
            ballot: Ballot::default(),
            version: version(number),
            joint: true,
        };
        let next = (number > 0).then_some(introduced);
        PeerState::Told(AcceptorReport {
            next,
            floor_ms,
            learns: true,
            stuck: true,
            ..AcceptorReport::default()
        })
    }

    /// Every level acted by, beside every floor, warm and cold, settled and not, ahead and not.
    #[test]
    fn a_cold_learner_is_held_until_its_floor_is_the_plans_and_stood_for_a_window() {
        let acts = [(1, None), (1, Some(2)), (2, None), (2, Some(3)), (3, None)];
        for (force, next) in acts {
            for ahead in [None, Some(version(9))] {
                let acts = ActiveConfig {
                    force: version(force),
                    next: next.map(version),
                    ahead,
                };
                let plan = next.unwrap_or(force);
                for at in 0..5 {
                    for (cold, floor_ms) in
                        [(false, 0), (false, 9_999), (true, 1_999), (true, 2_000)]
                    {
                        let want = if at > plan {
                            Some(DispatchBlock::Behind)
                        } else if !cold {
                            None
                        } else if at < plan {
                            Some(DispatchBlock::NotThere)
                        } else if ahead.is_some() {
                            Some(DispatchBlock::Ahead)
                        } else {
                            (floor_ms < 2_000).then_some(DispatchBlock::Settling)
                        };
                        let kin = learner(at, floor_ms);
                        let got = dispatch_block(&LeaseState::Active(acts), &kin, cold, 2_000);
                        assert_eq!(
                            got, want,
                            "{acts:?}, floor of plan {at}, cold {cold}, {floor_ms} ms"
                        );
                        assert_eq!(must_raise(got, &kin), cold && at < plan);
                    }
                }
            }
        }
    }

    #[test]
    fn only_learners_that_are_not_there_are_told_to_raise_their_floor() {
        let kept = record(1, None, 9);
        assert!(
            !must_raise(Some(DispatchBlock::NotThere), &kept)
                && !must_raise(Some(DispatchBlock::NotThere), &PeerState::Unmet)
        );
        for held in [
            None,
            Some(DispatchBlock::Behind),
            Some(DispatchBlock::Settling),
            Some(DispatchBlock::Ahead),
            Some(DispatchBlock::Untold),
        ] {
            assert!(!must_raise(held, &learner(1, 9)), "{held:?}");
        }
        assert!(must_raise(Some(DispatchBlock::NotThere), &learner(0, 9)));
    }
}
