use super::*;

const KNOWN: [AttemptState; 3] = [
    AttemptState::Offered,
    AttemptState::Accepted,
    AttemptState::Stopping,
];

fn states() -> Vec<Option<InFlightState>> {
    let over = |end, ran| Some(InFlightState::Ended { end, ran });
    vec![
        None,
        Some(InFlightState::Queued),
        Some(InFlightState::Accepted),
        Some(InFlightState::Running),
        Some(InFlightState::Suspended),
        over(TaskEnd::Exited(0), true),
        over(TaskEnd::Stopped, false),
    ]
}

#[test]
fn an_end_that_was_told_is_an_end_whatever_the_ledger_held() {
    for known in KNOWN {
        for same_life in [false, true] {
            let held = InFlightState::Ended {
                end: TaskEnd::Evicted,
                ran: true,
            };
            let over = Reconciled::Ended {
                end: TaskEnd::Evicted,
                ran: true,
            };
            assert_eq!(reconcile(known, Some(&held), same_life), over);
        }
    }
}

/// Rule 2: only what can't have run counts as never run.
#[test]
fn never_ran_is_said_only_of_unanswered_offers_to_a_node_that_lived_on() {
    for known in KNOWN {
        for held in states() {
            for same_life in [false, true] {
                let verdict = reconcile(known, held.as_ref(), same_life);
                let proven = held.is_none() && same_life && known != AttemptState::Accepted;
                assert_eq!(
                    verdict == Reconciled::NeverRan,
                    proven,
                    "{known:?} {held:?} {same_life}"
                );
            }
        }
    }
}

#[test]
fn a_held_copy_is_never_forgotten() {
    for known in KNOWN {
        for held in states().into_iter().flatten() {
            let verdict = reconcile(known, Some(&held), true);
            let over = matches!(held, InFlightState::Ended { .. });
            let want = match known {
                _ if over => matches!(verdict, Reconciled::Ended { .. }),
                AttemptState::Stopping => verdict == Reconciled::StopAgain,
                AttemptState::Accepted => verdict == Reconciled::Unchanged,
                AttemptState::Offered => {
                    matches!(verdict, Reconciled::Unchanged | Reconciled::Accepted)
                }
            };
            assert!(want, "{known:?} {held:?}: {verdict:?}");
        }
    }
}

#[test]
fn one_copy_of_a_job_is_kept_at_most() {
    for standing in [
        JobStatus::Forgotten,
        JobStatus::PlacedElsewhere,
        JobStatus::Ended,
    ] {
        assert_eq!(copy_action(standing), CopyAction::Stop);
    }
    for standing in [JobStatus::Unknown, JobStatus::Queued] {
        assert_eq!(copy_action(standing), CopyAction::Adopt);
    }
}

#[test]
fn only_a_class_that_allows_it_comes_again_after_it_ran() {
    use ComesAgain::{Always, Ended, Never};
    let again =
        |rule| [Loss::NeverRan, Loss::Ended, Loss::Unknown].map(|loss| may_retry(rule, loss));
    assert_eq!(again(Always), [true, true, true]);
    assert_eq!(again(Ended), [true, true, false]);
    assert_eq!(again(Never), [true, false, false]);
}

#[test]
fn a_cold_node_is_kept_back_for_one_window_after_the_own_start() {
    assert!(may_announce(100, 100, Some(50), None, false));
    assert!(may_announce(100, 100, Some(50), Some(100), false));
    assert!(!may_announce(149, 100, Some(50), Some(1_000), false));
    assert!(may_announce(150, 100, Some(50), Some(1_000), false));
    assert!(may_announce(100, 100, None, Some(1_000), false));
    assert!(
        may_announce(100, 100, Some(50), Some(1_000), true),
        "every offer of the former life is known"
    );
}

/// Every case, against the rules and not against the table.
#[test]
fn a_recovered_job_is_asked_for_only_where_its_class_allows_it_and_always_gets_an_answer() {
    let flags = || [false, true].into_iter();
    for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
        for (open, ran) in flags().flat_map(|open| flags().map(move |ran| (open, ran))) {
            for (told, over) in flags().flat_map(|told| flags().map(move |over| (told, over))) {
                for last in flags() {
                    let got = recovery_action(RecoveringJob {
                        effect,
                        has_open_attempts: open,
                        may_have_run: ran,
                        all_reconciled: told,
                        is_overdue: over,
                        is_last_call: last,
                    });
                    let case = format!("{effect:?} {open} {ran} {told} {over} {last}: {got:?}");
                    let twice = effect != Effect::Safe && ran;
                    // Rule 2: nothing that may have run is asked for again, nor said to be harmless.
                    let goes_on = matches!(got, RecoveryAction::Request | RecoveryAction::Reject);
                    assert!(!(goes_on && (twice || open)), "{case}");
                    // Rule 1: at the last call nothing waits, and no promise is withheld for nothing.
                    assert!(!(last && got == RecoveryAction::Wait), "{case}");
                    assert_eq!(
                        got == RecoveryAction::Fail,
                        twice && !open && (told || last),
                        "{case}"
                    );
                    assert!(!(got == RecoveryAction::Request && over), "{case}");
                    // A safe task's offer may be out unwritten until all have told.
                    let hasty = effect == Effect::Safe && !told && !last;
                    assert!(!(hasty && got != RecoveryAction::Wait), "{case}");
                }
            }
        }
    }
}

/// Every case of the table.
#[test]
fn a_cold_node_that_is_late_gets_nothing_until_a_window_after_it_answered() {
    let (now, jitter) = (1_000, 100);
    for (cold, oldest, overdue_until, held) in [
        (false, Some(0), 2_000, false),
        (true, Some(900), 0, true),
        (true, Some(901), 0, false),
        (true, Some(901), 1_001, true),
        (true, None, 1_001, true),
        (true, None, 1_000, false),
        (true, None, 0, false),
    ] {
        let (is_warming_up, oldest_unanswered) = (cold, oldest);
        let offers = SlowStartOffers {
            is_warming_up,
            oldest_unanswered,
            overdue_until,
        };
        let got = slow_start_overdue(now, offers, jitter);
        assert_eq!(got, held, "{cold} {oldest:?} {overdue_until}");
    }
}

#[test]
fn the_margin_of_an_answer_follows_the_lag_and_leaves_most_of_the_patience() {
    assert_eq!(answer_margin(8_000_000, 0), ANSWER_MARGIN_US);
    assert_eq!(answer_margin(8_000_000, 400_000), 800_000);
    assert_eq!(answer_margin(2_000_000, 400_000), 500_000);
    assert_eq!(answer_margin(200_000, 0), 50_000);
    let mut lag = Lag::default();
    lag.note(0, 400);
    lag.note(1, 300);
    assert_eq!(
        (
            lag.at(2),
            lag.at(LAG_HALF_LIFE_US),
            lag.at(3 * LAG_HALF_LIFE_US),
            lag.at(u64::MAX)
        ),
        (400, 200, 50, 0)
    );
    lag.note(LAG_HALF_LIFE_US, 300);
    assert_eq!(lag.at(LAG_HALF_LIFE_US), 300);
}

#[test]
fn offers_of_a_former_life_count_as_just_sent_while_they_may_still_arrive() {
    assert_eq!(former_offer_age(0, 5), 0);
    assert_eq!(former_offer_age(FORMER_OFFER_US + 4, 5), 0);
    assert_eq!(
        former_offer_age(FORMER_OFFER_US + 5, 5),
        FORMER_OFFER_US + 5
    );
}

#[test]
fn a_repeat_to_a_successor_starts_safe_tasks_alone() {
    let repeats = [
        PriorSubmission::Held,
        PriorSubmission::Unreported,
        PriorSubmission::NotHeld,
    ];
    for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
        for repeat in repeats {
            for (may_wait, covered) in [(false, false), (false, true), (true, false), (true, true)]
            {
                let got = resubmission(effect, repeat, may_wait, covered);
                let starts = got == Resubmission::Start;
                assert!(
                    !starts
                        || (effect == Effect::Safe || covered) && repeat != PriorSubmission::Held
                );
                assert_eq!(
                    got == Resubmission::Existing,
                    repeat == PriorSubmission::Held
                );
                assert_eq!(
                    got == Resubmission::Wait,
                    repeat == PriorSubmission::Unreported && may_wait && !covered
                );
            }
        }
    }
}
