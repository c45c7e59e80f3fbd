//! Boundary cases of the five rules, one section for each rule.

mod common;

use common::*;
use reedring::*;

/// Machines 1 and 2 in zone 0, 3 and 4 in zone 1.
fn two_zones() -> Vec<Machine> {
    vec![machine(1, 0), machine(2, 0), machine(3, 1), machine(4, 1)]
}

/// The zone of a machine of `two_zones`.
fn zone(machine: MachineId) -> u16 {
    u16::from(machine.0 > 2)
}

// Rule 1: no task is lost.

#[test]
fn an_offer_times_out_at_the_deadline_and_the_request_then_fails() {
    let mut harness = Harness::new(settings(), two_zones());
    let actions = harness.step(&[arrived(1, 2)]);
    let within = actions.iter().find_map(|action| match action {
        Action::Offer { within_us, .. } => *within_us,
        _ => None,
    });
    assert_eq!(within, Some(5 * SECOND));
    let (_, chosen) = offers(&actions)[0];
    let actions = harness.step_after(5 * SECOND, &[ended(1, 0, chosen, Outcome::TimedOut)]);
    assert!(is_failed(&actions, 1));
    assert!(
        harness.poll_until_action(10 * SECOND).is_empty(),
        "an action after the final answer"
    );
}

#[test]
fn a_request_withdrawn_in_the_batch_with_a_rejection_gets_no_offer_or_answer() {
    for reversed in [false, true] {
        let mut harness = Harness::new(settings(), two_zones());
        let (_, chosen) = offers(&harness.step(&[arrived(1, 0)]))[0];
        let mut batch = [
            ended(1, 0, chosen, Outcome::Refused),
            Event::Withdrawn(RequestId(1)),
        ];
        if reversed {
            batch.reverse();
        }
        let actions = harness.step_after(SECOND, &batch);
        assert!(offers(&actions).is_empty() && !is_refused(&actions, 1) && !is_failed(&actions, 1));
    }
}

#[test]
fn a_task_that_no_machine_may_take_is_queued_and_refused_before_its_deadline() {
    let mut harness = Harness::new(settings(), Vec::new());
    let start = harness.now;
    assert!(offers(&harness.step(&[arrived(1, 2)])).is_empty());
    assert!(is_refused(&harness.poll_until_action(20 * SECOND), 1));
    assert!(harness.now < start + 5 * SECOND);
}

#[test]
fn a_queued_task_is_offered_when_a_machine_is_listed() {
    let mut harness = Harness::new(settings(), Vec::new());
    harness.step(&[arrived(1, 2)]);
    harness.step(&[Event::Listed(Listing::Snapshot(vec![machine(5, 0)]))]);
    assert_eq!(
        offers(&harness.poll_until_action(SECOND)),
        [(1, MachineId(5))]
    );
}

#[test]
fn events_with_unknown_ids_are_ignored() {
    let mut harness = Harness::new(settings(), two_zones());
    let batch = [
        ended(9, 0, MachineId(1), Outcome::Refused),
        placed(9, 3, MachineId(99)),
        Event::Withdrawn(RequestId(9)),
        Event::TimerDue(77),
        Event::TaskSignal {
            attempt: attempt(9, 0),
            machine: MachineId(1),
            note: Note::Cores(f64::NAN),
        },
        Event::Probed {
            machine: MachineId(99),
            answered: true,
            took_us: 1,
            report: vec![],
        },
        Event::Peer {
            from: 3,
            body: vec![1],
        },
    ];
    assert!(harness.step(&batch).is_empty());
}

// Rule 2: no effect happens twice.

#[test]
fn only_the_outcomes_that_prove_no_start_let_an_unsafe_task_be_offered_again() {
    let proofs_of_no_start = [Outcome::Refused, Outcome::Unconnected, Outcome::Unsent];
    let other_outcomes = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Stopped,
    ];
    for outcome in proofs_of_no_start.into_iter().chain(other_outcomes) {
        let mut harness = Harness::new(settings(), two_zones());
        let (_, chosen) = offers(&harness.step(&[arrived(1, 2)]))[0];
        let actions = harness.step_after(SECOND / 10, &[ended(1, 0, chosen, outcome)]);
        let offered_again = offers(&actions).len() == 1;
        assert_eq!(
            offered_again,
            proofs_of_no_start.contains(&outcome),
            "{outcome:?}"
        );
        assert_eq!(is_failed(&actions, 1), !offered_again, "{outcome:?}");
        assert!(!is_refused(&actions, 1), "{outcome:?}");
    }
}

#[test]
fn a_keyed_task_that_may_have_run_is_only_repeated_in_its_group_and_window() {
    for window_is_over in [false, true] {
        let mut harness = Harness::new(settings(), two_zones());
        let (_, first) = offers(&harness.step(&[arrived(1, 1)]))[0];
        let wait = if window_is_over {
            3 * SECOND
        } else {
            3 * SECOND - 1
        };
        let actions = harness.step_after(wait, &[ended(1, 0, first, Outcome::Error)]);
        let repeated = offers(&actions);
        if window_is_over {
            assert!(repeated.is_empty() && is_failed(&actions, 1));
        } else {
            assert_eq!(zone(repeated[0].1), zone(first));
        }
    }
}

#[test]
fn the_deduplication_window_begins_with_the_first_attempt_that_may_have_run() {
    let mut harness = Harness::new(settings(), two_zones());
    let (_, first) = offers(&harness.step(&[arrived(1, 1)]))[0];
    let actions = harness.step_after(2 * SECOND, &[ended(1, 0, first, Outcome::Error)]);
    let (_, second) = offers(&actions)[0];
    let actions = harness.step_after(SECOND, &[ended(1, 1, second, Outcome::Refused)]);
    assert!(offers(&actions).is_empty() && is_failed(&actions, 1));
}

#[test]
fn a_keyed_task_is_refused_only_where_all_machines_drop_repeats() {
    for (class, repeat_is_harmless) in [(1, false), (3, true)] {
        let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
        let (_, chosen) = offers(&harness.step(&[arrived(1, class)]))[0];
        let actions = harness.step_after(4 * SECOND, &[ended(1, 0, chosen, Outcome::TimedOut)]);
        assert_eq!(
            (is_refused(&actions, 1), is_failed(&actions, 1)),
            (repeat_is_harmless, !repeat_is_harmless)
        );
    }
}

#[test]
fn the_next_offer_waits_for_the_outcome_of_a_stopped_attempt() {
    let mut harness = Harness::new(settings(), two_zones());
    let (_, silent) = offers(&harness.step(&[arrived(1, 0)]))[0];
    let actions = harness.poll_until_action(4 * SECOND);
    assert_eq!(
        actions,
        [Action::Stop(attempt(1, 0))],
        "the machine gave no answer at all, so its offer is stopped"
    );
    assert!(harness.poll_until_action(SECOND).is_empty());
    let actions = harness.step(&[ended(1, 0, silent, Outcome::Stopped)]);
    assert_eq!(offers(&actions).len(), 1);
    assert_ne!(
        offers(&actions)[0].1,
        silent,
        "a silent machine gets no offers during its backoff"
    );
}

#[test]
fn an_offer_is_not_stopped_where_answers_may_come_in_another_order() {
    // The machine answers when a task runs, so the answer to a later offer may come first.
    let mut harness = Harness::new(
        Settings {
            yes_when_running: true,
            ..settings()
        },
        vec![machine(1, 0)],
    );
    assert!(!stops_the_unanswered_offer(&mut harness));
}

#[test]
fn an_offer_that_the_machine_passed_over_is_stopped() {
    // The machine answers when it accepts a task, in the order of the offers.
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    assert!(stops_the_unanswered_offer(&mut harness));
}

/// Whether the offer of request 1, which gets no answer, is stopped while the machine answers all
/// later offers.
fn stops_the_unanswered_offer(harness: &mut Harness) -> bool {
    harness.step(&[arrived(1, 0)]);
    (2..40).any(|request| {
        harness.step_after(SECOND / 10, &[arrived(request, 3)]);
        let answer = ended(request, 0, MachineId(1), Outcome::Reset);
        let actions = harness.step(&[
            answer,
            Event::Withdrawn(RequestId(request)),
            Event::TimerDue(1),
        ]);
        actions.contains(&Action::Stop(attempt(1, 0)))
    })
}

#[test]
fn a_request_gets_at_most_max_attempts_offers() {
    let mut harness = Harness::new(settings(), two_zones());
    let mut next = offers(&harness.step(&[arrived(1, 0)]));
    let mut sent = 0;
    while let Some((_, chosen)) = next.pop() {
        let actions = harness.step_after(SECOND / 10, &[ended(1, sent, chosen, Outcome::Error)]);
        sent += 1;
        next = offers(&actions);
        assert_eq!(is_refused(&actions, 1), next.is_empty());
    }
    assert_eq!(sent, 3);
}

// Rule 3: drains are kept.

#[test]
fn a_drain_listed_in_the_batch_with_a_rejection_is_applied_before_the_next_offer() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let (_, chosen) = offers(&harness.step(&[arrived(1, 0)]))[0];
    let other = machine(3 - chosen.0, 0);
    let drain = Event::Listed(Listing::Changes(vec![with_health(other, Health::Draining)]));
    let actions = harness.step_after(SECOND / 10, &[ended(1, 0, chosen, Outcome::Refused), drain]);
    assert!(
        offers(&actions).is_empty(),
        "an offer to the draining machine, or again to the one that rejected the task"
    );
}

#[test]
fn a_machine_that_a_snapshot_of_the_list_lacks_gets_no_offers() {
    let mut harness = Harness::new(settings(), two_zones());
    harness.step(&[Event::Listed(Listing::Snapshot(vec![machine(3, 1)]))]);
    let sent = offers(&harness.step(&[arrived(1, 0), arrived(2, 0), arrived(3, 0)]));
    assert!(sent.len() == 3 && sent.iter().all(|(_, chosen)| *chosen == MachineId(3)));
}

#[test]
fn a_watch_that_failed_or_gives_no_answer_is_requested_again() {
    let settings = Settings {
        list_on_request: true,
        ..settings()
    };
    let mut placer = Placer::new(settings, 5);
    let mut actions = Vec::new();
    placer.step(
        SECOND,
        &[Event::Listed(Listing::Cached(two_zones()))],
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Watch(true)),
        "the first step requests the watch"
    );
    let watch_timer = |actions: &[Action]| {
        let after = |action: &Action| match action {
            Action::Timer { token: 2, after_us } => Some(*after_us),
            _ => None,
        };
        actions.iter().filter_map(after).min()
    };
    let request_again_after = watch_timer(&actions).unwrap();
    assert!(request_again_after <= 8 * SECOND);
    actions.clear();
    placer.step(
        SECOND + request_again_after,
        &[Event::TimerDue(2)],
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Watch(true)),
        "a watch without an answer for must_ask_us is requested again"
    );
    actions.clear();
    placer.step(10 * SECOND, &[Event::Listed(Listing::Failed)], &mut actions);
    let backoff = watch_timer(&actions).unwrap();
    assert!(backoff < 2 * SECOND && !actions.contains(&Action::Watch(true)));
    actions.clear();
    placer.step(10 * SECOND + backoff, &[Event::TimerDue(2)], &mut actions);
    assert!(
        actions.contains(&Action::Watch(true)),
        "a failed watch is requested again after the backoff"
    );
}

// Rule 4: a machine that is warming up gets no more offers than it survives.

#[test]
fn the_slow_start_budget_is_shared_by_all_schedulers() {
    // If the machine started before this process of the scheduler did, a previous process may have
    // spent the budget of the first window.
    for machine_started_first in [false, true] {
        let warming_up = |harness: &Harness| Machine {
            ready_at: Some(harness.now - SECOND / 10),
            ..machine(1, 0)
        };
        let mut harness = Harness::new(settings(), Vec::new());
        harness.now += if machine_started_first { 0 } else { SECOND };
        let mut batch = vec![Event::Listed(Listing::Changes(vec![warming_up(&harness)]))];
        batch.extend((0..6).map(|request| arrived(request, 0)));
        let sent_at_first = if machine_started_first { 0 } else { 2 };
        assert_eq!(
            offers(&harness.step(&batch)).len(),
            sent_at_first,
            "the share of 8 offers for 4 schedulers, unless it may be spent"
        );
        assert!(
            offers(&harness.step_after(SECOND, &[Event::TimerDue(1)])).is_empty(),
            "an offer in the same window"
        );
        assert!(
            offers(&harness.step_after(SECOND, &[Event::TimerDue(1)])).is_empty(),
            "an offer within the delivery jitter after the window"
        );
        assert_eq!(
            offers(&harness.step_after(SECOND / 10, &[Event::TimerDue(1)])).len(),
            2,
            "the share of the next window"
        );
    }
}

#[test]
fn hundreds_of_schedulers_together_stay_within_the_slow_start_budget_of_a_machine() {
    let mut settings = settings();
    (settings.schedulers, settings.rules.slow_start_offers) = (400, Some(24.0));
    let start = 100 * SECOND;
    let machines: Vec<Machine> = (1..4)
        .map(|id| Machine {
            ready_at: Some(start),
            ..machine(id, 0)
        })
        .collect();
    let mut sent: Vec<Micros> = Vec::new();
    for seed in 0..400 {
        let mut placer = Placer::new(settings.clone(), seed);
        let listing = Event::Listed(Listing::Cached(machines.clone()));
        let mut events = vec![listing, arrived(0, 0)];
        for tick in 0..100 {
            let now = start + tick * SECOND / 10;
            let mut actions = Vec::new();
            placer.step(now, &events, &mut actions);
            let offered = offers(&actions);
            sent.extend(
                offered
                    .iter()
                    .filter(|(_, chosen)| *chosen == MachineId(1))
                    .map(|_| now),
            );
            let acceptances = offered
                .iter()
                .map(|(request, chosen)| placed(*request, 0, *chosen));
            events = acceptances
                .chain([arrived(tick + 1, 0), Event::TimerDue(1)])
                .collect();
        }
    }
    sent.sort_unstable();
    let sent_in_window = (0..sent.len()).map(|first| {
        sent[first..]
            .iter()
            .filter(|at| **at < sent[first] + 2 * SECOND)
            .count()
    });
    assert!(sent_in_window.max().unwrap() <= 24);
    assert!(
        sent.len() > 12,
        "only {} offers while the machine was warming up",
        sent.len()
    );
}

// Rule 5: services stay spread.

#[test]
fn spread_counts_adopted_tasks_and_attempts_in_flight() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    harness.step(&[Event::Adopted {
        task: task(50, 4),
        machine: MachineId(1),
    }]);
    let sent = offers(&harness.step(&[arrived(1, 4), arrived(2, 4)]));
    assert_eq!(sent, [(1, MachineId(2))]);
    harness.step(&[placed(1, 0, MachineId(2))]);
    assert!(
        harness.poll_until_action(SECOND).is_empty(),
        "a placed task no longer counts before its end"
    );
    harness.step(&[ended(50, 0, MachineId(1), Outcome::Finished)]);
    assert_eq!(
        offers(&harness.poll_until_action(SECOND)),
        [(2, MachineId(1))]
    );
}

#[test]
fn spread_counts_tasks_adopted_before_the_list_names_their_machine() {
    let mut harness = Harness::new(settings(), Vec::new());
    harness.step(&[Event::Adopted {
        task: task(50, 4),
        machine: MachineId(7),
    }]);
    harness.step(&[
        Event::Listed(Listing::Snapshot(vec![machine(7, 0)])),
        arrived(1, 4),
    ]);
    assert!(harness.poll_until_action(SECOND).is_empty());
}

// All rules.

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(settings(), two_zones());
        let mut all_actions = Vec::new();
        for request in 0..50 {
            let class = (request % 5) as u16;
            all_actions.extend(harness.step_after(10_000, &[arrived(request, class)]));
        }
        all_actions
    };
    assert_eq!(run(), run());
}

#[test]
fn invalid_amounts_lead_to_legal_decisions() {
    for invalid in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        let settings = Settings {
            kinds: vec![Kind {
                cores: Some(invalid),
                memory: Some(invalid),
            }],
            accepts_cores: Some(invalid),
            mean_cores: Some(invalid),
            mean_memory: None,
            schedulers: 0,
            ..settings()
        };
        let entry = Machine {
            free_cores: Some(invalid),
            free_memory: Some(invalid),
            ..machine(1, 0)
        };
        let mut harness = Harness::new(settings, vec![entry, machine(2, 9)]);
        let task_of_unknown_class = Task {
            cores: invalid,
            memory: invalid,
            class: 44,
            ..task(1, 0)
        };
        let actions = harness.step(&[
            Event::Arrived {
                task: task_of_unknown_class,
                grace_us: SECOND,
            },
            arrived(2, 0),
        ]);
        let later_actions = harness.poll_until_action(2 * SECOND);
        let is_offered_or_refused = |id| {
            [&actions, &later_actions].iter().any(|actions| {
                offers(actions).iter().any(|(request, _)| *request == id) || is_refused(actions, id)
            })
        };
        assert!(
            is_offered_or_refused(1) && is_offered_or_refused(2),
            "{invalid}"
        );
    }
}

#[test]
fn the_silence_limit_follows_the_latency_objective_of_the_class() {
    // Starts of a class with a long objective may take long where those of other classes are quick.
    let mut settings = settings();
    settings.classes[2].aim_us = 2 * SECOND;
    let mut harness = Harness::new(settings, vec![machine(1, 0)]);
    harness.step(&[arrived(1, 2)]);
    assert!(
        !harness
            .poll_until_action(4 * SECOND)
            .contains(&Action::Stop(attempt(1, 0)))
    );
}
