use super::*;

const ATTEMPT_STATES: [AttemptState; 3] = [
    AttemptState::Offered,
    AttemptState::Accepted,
    AttemptState::Stopping,
];

/// What a node's list may have for an attempt, `None` for no entry.
fn reported_states() -> Vec<Option<InFlightState>> {
    let ended = |end, ran| Some(InFlightState::Ended { end, ran });
    vec![
        None,
        Some(InFlightState::Queued),
        Some(InFlightState::Accepted),
        Some(InFlightState::Running),
        Some(InFlightState::Suspended),
        ended(TaskEnd::Exited(0), true),
        ended(TaskEnd::Stopped, false),
    ]
}

#[test]
fn a_reported_end_ends_an_attempt_in_any_state() {
    for state in ATTEMPT_STATES {
        for same_incarnation in [false, true] {
            let reported = InFlightState::Ended {
                end: TaskEnd::Evicted,
                ran: true,
            };
            let ended = Reconciled::Ended {
                end: TaskEnd::Evicted,
                ran: true,
            };
            assert_eq!(reconcile(state, Some(&reported), same_incarnation), ended);
        }
    }
}

/// Only an attempt that can't have run counts as never run: its offer is unanswered, and its node did not restart and
/// does not list it.
#[test]
fn only_an_unanswered_offer_that_the_same_node_incarnation_does_not_list_never_ran() {
    for state in ATTEMPT_STATES {
        for reported in reported_states() {
            for same_incarnation in [false, true] {
                let reconciled = reconcile(state, reported.as_ref(), same_incarnation);
                let never_ran =
                    reported.is_none() && same_incarnation && state != AttemptState::Accepted;
                assert_eq!(
                    reconciled == Reconciled::NeverRan,
                    never_ran,
                    "{state:?} {reported:?} {same_incarnation}"
                );
            }
        }
    }
}

#[test]
fn an_attempt_that_its_node_lists_is_kept_until_it_has_ended() {
    for state in ATTEMPT_STATES {
        for reported in reported_states().into_iter().flatten() {
            let reconciled = reconcile(state, Some(&reported), true);
            let has_ended = matches!(reported, InFlightState::Ended { .. });
            let as_expected = match state {
                _ if has_ended => matches!(reconciled, Reconciled::Ended { .. }),
                AttemptState::Stopping => reconciled == Reconciled::StopAgain,
                AttemptState::Accepted => reconciled == Reconciled::Unchanged,
                AttemptState::Offered => {
                    matches!(reconciled, Reconciled::Unchanged | Reconciled::Accepted)
                }
            };
            assert!(as_expected, "{state:?} {reported:?}: {reconciled:?}");
        }
    }
}

#[test]
fn at_most_one_copy_of_a_job_is_kept() {
    for status in [
        JobStatus::Removed,
        JobStatus::PlacedElsewhere,
        JobStatus::Ended,
    ] {
        assert_eq!(copy_action(status), CopyAction::Stop);
    }
    for status in [JobStatus::Unknown, JobStatus::Queued] {
        assert_eq!(copy_action(status), CopyAction::Adopt);
    }
}

#[test]
fn a_lost_task_that_ran_is_retried_only_where_its_class_allows_it() {
    use ComesAgain::{Always, Ended, Never};
    let retried =
        |rule| [Loss::NeverRan, Loss::Ended, Loss::Unknown].map(|loss| may_retry(rule, loss));
    assert_eq!(retried(Always), [true, true, true]);
    assert_eq!(retried(Ended), [true, true, false]);
    assert_eq!(retried(Never), [true, false, false]);
}

#[test]
fn a_node_that_is_warming_up_is_announced_one_window_after_the_placers_start() {
    assert!(may_announce(100, 100, Some(50), None, false));
    assert!(may_announce(100, 100, Some(50), Some(100), false));
    assert!(!may_announce(149, 100, Some(50), Some(1_000), false));
    assert!(may_announce(150, 100, Some(50), Some(1_000), false));
    assert!(may_announce(100, 100, None, Some(1_000), false));
    assert!(
        may_announce(100, 100, Some(50), Some(1_000), true),
        "every offer of the former incarnation is known"
    );
}

/// Checks all combinations against the requirements on recovery, not against the table of `recovery_action`.
#[test]
fn a_recovered_job_is_requested_only_where_its_class_allows_it_and_is_always_answered() {
    let flags = || [false, true].into_iter();
    for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
        for (open, ran) in flags().flat_map(|open| flags().map(move |ran| (open, ran))) {
            for (all_reconciled, overdue) in
                flags().flat_map(|all| flags().map(move |overdue| (all, overdue)))
            {
                for last_call in flags() {
                    let action = recovery_action(RecoveringJob {
                        effect,
                        has_open_attempts: open,
                        may_have_run: ran,
                        all_reconciled,
                        is_overdue: overdue,
                        is_last_call: last_call,
                    });
                    let case = format!(
                        "{effect:?}, open {open}, may have run {ran}, all reconciled {all_reconciled}, \
                         overdue {overdue}, last call {last_call}: {action:?}"
                    );
                    let may_start_twice = effect != Effect::Safe && ran;
                    // A task that may have run and must not start twice is not requested again, nor refused, as a
                    // refusal says that submitting it again is harmless.
                    let restarts =
                        matches!(action, RecoveryAction::Request | RecoveryAction::Reject);
                    assert!(!(restarts && (may_start_twice || open)), "{case}");
                    // At the last call no job waits. A job fails only if all nodes reported, or at the last call.
                    assert!(!(last_call && action == RecoveryAction::Wait), "{case}");
                    assert_eq!(
                        action == RecoveryAction::Fail,
                        may_start_twice && !open && (all_reconciled || last_call),
                        "{case}"
                    );
                    assert!(!(action == RecoveryAction::Request && overdue), "{case}");
                    // The offer of a safe task may have been sent unrecorded, so it waits until all nodes reported.
                    let must_wait = effect == Effect::Safe && !all_reconciled && !last_call;
                    assert!(!(must_wait && action != RecoveryAction::Wait), "{case}");
                }
            }
        }
    }
}

/// Checks each row of the table of `slow_start_overdue`, with its boundaries.
#[test]
fn a_node_that_is_warming_up_and_late_is_blocked_until_a_window_after_its_answer() {
    let (now, jitter) = (1_000, 100);
    for (is_warming_up, oldest_unanswered, overdue_until, is_blocked) in [
        (false, Some(0), 2_000, false),
        (true, Some(900), 0, true),
        (true, Some(901), 0, false),
        (true, Some(901), 1_001, true),
        (true, None, 1_001, true),
        (true, None, 1_000, false),
        (true, None, 0, false),
    ] {
        let offers = SlowStartOffers {
            is_warming_up,
            oldest_unanswered,
            overdue_until,
        };
        let is_overdue = slow_start_overdue(now, offers, jitter);
        assert_eq!(is_overdue, is_blocked, "{offers:?}");
    }
}

#[test]
fn the_answer_margin_is_twice_the_lag_and_at_most_a_quarter_of_the_deadline() {
    assert_eq!(answer_margin(8_000_000, 0), ANSWER_MARGIN_US);
    assert_eq!(answer_margin(8_000_000, 400_000), 800_000);
    assert_eq!(answer_margin(2_000_000, 400_000), 500_000);
    assert_eq!(answer_margin(200_000, 0), 50_000);
    let mut lag = Lag::default();
    lag.record(0, 400);
    lag.record(1, 300);
    assert_eq!(
        (
            lag.at(2),
            lag.at(LAG_HALF_LIFE_US),
            lag.at(3 * LAG_HALF_LIFE_US),
            lag.at(u64::MAX)
        ),
        (400, 200, 50, 0)
    );
    lag.record(LAG_HALF_LIFE_US, 300);
    assert_eq!(lag.at(LAG_HALF_LIFE_US), 300);
}

#[test]
fn offers_of_a_former_incarnation_count_as_just_sent_while_they_may_still_arrive() {
    assert_eq!(former_offer_age(0, 5), 0);
    assert_eq!(former_offer_age(FORMER_OFFER_DELAY_US + 4, 5), 0);
    assert_eq!(
        former_offer_age(FORMER_OFFER_DELAY_US + 5, 5),
        FORMER_OFFER_DELAY_US + 5
    );
}

#[test]
fn a_resubmitted_job_starts_only_if_it_is_safe_or_the_ledger_is_complete() {
    let priors = [
        PriorSubmission::Held,
        PriorSubmission::Unreported,
        PriorSubmission::NotHeld,
    ];
    for effect in [Effect::Safe, Effect::Keyed, Effect::Unsafe] {
        for prior in priors {
            for (may_wait, is_complete) in
                [(false, false), (false, true), (true, false), (true, true)]
            {
                let action = resubmission(effect, prior, may_wait, is_complete);
                let starts = action == Resubmission::Start;
                assert!(
                    !starts
                        || (effect == Effect::Safe || is_complete)
                            && prior != PriorSubmission::Held
                );
                assert_eq!(
                    action == Resubmission::Existing,
                    prior == PriorSubmission::Held
                );
                assert_eq!(
                    action == Resubmission::Wait,
                    prior == PriorSubmission::Unreported && may_wait && !is_complete
                );
            }
        }
    }
}
