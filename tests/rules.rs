//! The five rules, at their edges.

mod common;

use common::*;
use reedring::*;

fn two_zones() -> Vec<Machine> {
    vec![machine(1, 0), machine(2, 0), machine(3, 1), machine(4, 1)]
}

fn zone(machine: MachineId) -> u16 {
    u16::from(machine.0 > 2)
}

// Rule 1: no task is lost.

#[test]
fn a_time_out_runs_to_the_deadline_and_is_answered_there() {
    let mut bed = Bed::new(settings(), two_zones());
    let actions = bed.step(&[arrived(1, 2)]);
    let within = actions.iter().find_map(|action| match action {
        Action::Offer { within_us, .. } => *within_us,
        _ => None,
    });
    assert_eq!(within, Some(5 * SECOND));
    let (_, at) = offers(&actions)[0];
    let actions = bed.after(5 * SECOND, &[ended(1, 0, at, Outcome::TimedOut)]);
    assert!(failed(&actions, 1));
    assert!(
        bed.wait(10 * SECOND).is_empty(),
        "one final answer, and nothing after it"
    );
}

#[test]
fn an_answer_with_the_cancellation_in_one_batch_sends_nothing() {
    for flip in [false, true] {
        let mut bed = Bed::new(settings(), two_zones());
        let (_, at) = offers(&bed.step(&[arrived(1, 0)]))[0];
        let mut batch = [
            ended(1, 0, at, Outcome::Refused),
            Event::Withdrawn(RequestId(1)),
        ];
        if flip {
            batch.reverse();
        }
        let actions = bed.after(SECOND, &batch);
        assert!(offers(&actions).is_empty() && !refused(&actions, 1) && !failed(&actions, 1));
    }
}

#[test]
fn a_task_that_finds_no_machine_is_held_and_refused_in_time() {
    let mut bed = Bed::new(settings(), Vec::new());
    let start = bed.now;
    assert!(offers(&bed.step(&[arrived(1, 2)])).is_empty());
    assert!(refused(&bed.wait(20 * SECOND), 1));
    assert!(bed.now < start + 5 * SECOND);
}

#[test]
fn a_held_task_goes_out_when_a_machine_comes() {
    let mut bed = Bed::new(settings(), Vec::new());
    bed.step(&[arrived(1, 2)]);
    bed.step(&[Event::Listed(Listing::Whole(vec![machine(5, 0)]))]);
    assert_eq!(offers(&bed.wait(SECOND)), [(1, MachineId(5))]);
}

#[test]
fn unknown_ids_are_passed_over() {
    let mut bed = Bed::new(settings(), two_zones());
    let batch = [
        ended(9, 0, MachineId(1), Outcome::Refused),
        placed(9, 3, MachineId(99)),
        Event::Withdrawn(RequestId(9)),
        Event::Woken(77),
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
    assert!(bed.step(&batch).is_empty());
}

// Rule 2: no effect happens twice.

#[test]
fn only_three_outcomes_let_an_unsafe_task_go_out_again() {
    let proofs = [Outcome::Refused, Outcome::Unconnected, Outcome::Unsent];
    let others = [
        Outcome::Error,
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Stopped,
    ];
    for outcome in proofs.into_iter().chain(others) {
        let mut bed = Bed::new(settings(), two_zones());
        let (_, at) = offers(&bed.step(&[arrived(1, 2)]))[0];
        let actions = bed.after(SECOND / 10, &[ended(1, 0, at, outcome)]);
        let again = offers(&actions).len() == 1;
        assert_eq!(again, proofs.contains(&outcome), "{outcome:?}");
        assert_eq!(failed(&actions, 1), !again, "{outcome:?}");
        assert!(!refused(&actions, 1), "{outcome:?}");
    }
}

#[test]
fn a_keyed_task_that_may_have_run_stays_in_its_group_and_window() {
    for late in [false, true] {
        let mut bed = Bed::new(settings(), two_zones());
        let (_, at) = offers(&bed.step(&[arrived(1, 1)]))[0];
        let wait = if late { 3 * SECOND } else { 3 * SECOND - 1 };
        let actions = bed.after(wait, &[ended(1, 0, at, Outcome::Error)]);
        let again = offers(&actions);
        if late {
            assert!(again.is_empty() && failed(&actions, 1));
        } else {
            assert_eq!(zone(again[0].1), zone(at));
        }
    }
}

#[test]
fn the_window_runs_from_the_first_attempt_that_may_have_run() {
    let mut bed = Bed::new(settings(), two_zones());
    let (_, first) = offers(&bed.step(&[arrived(1, 1)]))[0];
    let actions = bed.after(2 * SECOND, &[ended(1, 0, first, Outcome::Error)]);
    let (_, second) = offers(&actions)[0];
    let actions = bed.after(SECOND, &[ended(1, 1, second, Outcome::Refused)]);
    assert!(offers(&actions).is_empty() && failed(&actions, 1));
}

#[test]
fn a_keyed_task_is_refused_only_where_all_machines_drop_repeats() {
    for (class, harmless) in [(1, false), (3, true)] {
        let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
        let (_, at) = offers(&bed.step(&[arrived(1, class)]))[0];
        let actions = bed.after(4 * SECOND, &[ended(1, 0, at, Outcome::TimedOut)]);
        assert_eq!(
            (refused(&actions, 1), failed(&actions, 1)),
            (harmless, !harmless)
        );
    }
}

#[test]
fn a_stopped_attempt_is_awaited_before_the_next() {
    let mut bed = Bed::new(settings(), two_zones());
    let (_, at) = offers(&bed.step(&[arrived(1, 0)]))[0];
    let actions = bed.wait(4 * SECOND);
    assert_eq!(
        actions,
        [Action::Stop(attempt(1, 0))],
        "nothing at all came back: silent"
    );
    assert!(bed.wait(SECOND).is_empty());
    let actions = bed.step(&[ended(1, 0, at, Outcome::Stopped)]);
    assert_eq!(offers(&actions).len(), 1);
    assert_ne!(
        offers(&actions)[0].1,
        at,
        "a silent machine is left alone for a while"
    );
}

#[test]
fn a_slow_machine_that_answers_others_keeps_its_offers() {
    // A yes comes when the task runs, so a start may overtake another.
    let mut bed = Bed::new(
        Settings {
            yes_when_running: true,
            ..settings()
        },
        vec![machine(1, 0)],
    );
    assert!(!stops_the_unanswered(&mut bed));
}

#[test]
fn an_offer_passed_over_for_later_ones_is_stopped() {
    // A yes comes at acceptance, in the order of the asks: the machine leaves this one out.
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    assert!(stops_the_unanswered(&mut bed));
}

/// Whether request 1 is stopped while the machine answers all later ones.
fn stops_the_unanswered(bed: &mut Bed) -> bool {
    bed.step(&[arrived(1, 0)]);
    (2..40).any(|request| {
        bed.after(SECOND / 10, &[arrived(request, 3)]);
        let others = ended(request, 0, MachineId(1), Outcome::Reset);
        let actions = bed.step(&[
            others,
            Event::Withdrawn(RequestId(request)),
            Event::Woken(1),
        ]);
        actions.contains(&Action::Stop(attempt(1, 0)))
    })
}

#[test]
fn attempts_stay_under_the_told_most() {
    let mut bed = Bed::new(settings(), two_zones());
    let mut next = offers(&bed.step(&[arrived(1, 0)]));
    let mut sent = 0;
    while let Some((_, at)) = next.pop() {
        let actions = bed.after(SECOND / 10, &[ended(1, sent, at, Outcome::Error)]);
        sent += 1;
        next = offers(&actions);
        assert_eq!(refused(&actions, 1), next.is_empty());
    }
    assert_eq!(sent, 3);
}

// Rule 3: drains are kept.

#[test]
fn a_drain_told_between_two_attempts_is_kept() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let (_, at) = offers(&bed.step(&[arrived(1, 0)]))[0];
    let other = machine(3 - at.0, 0);
    let drain = Event::Listed(Listing::Changes(vec![with(other, Health::Draining)]));
    let actions = bed.after(SECOND / 10, &[ended(1, 0, at, Outcome::Refused), drain]);
    assert!(
        offers(&actions).is_empty(),
        "the news counts before the draw"
    );
}

#[test]
fn a_machine_missing_from_a_whole_list_gets_nothing() {
    let mut bed = Bed::new(settings(), two_zones());
    bed.step(&[Event::Listed(Listing::Whole(vec![machine(3, 1)]))]);
    let sent = offers(&bed.step(&[arrived(1, 0), arrived(2, 0), arrived(3, 0)]));
    assert!(sent.len() == 3 && sent.iter().all(|(_, at)| *at == MachineId(3)));
}

#[test]
fn a_failed_watch_is_asked_for_again_and_so_is_a_silent_one() {
    let asked = Settings {
        list_on_request: true,
        ..settings()
    };
    let mut placer = Placer::new(asked, 5);
    let mut actions = Vec::new();
    placer.step(
        SECOND,
        &[Event::Listed(Listing::Cached(two_zones()))],
        &mut actions,
    );
    assert!(actions.contains(&Action::Watch(true)), "at once");
    let timer = |actions: &[Action]| {
        let after = |action: &Action| match action {
            Action::Timer { token: 2, after_us } => Some(*after_us),
            _ => None,
        };
        actions.iter().filter_map(after).min()
    };
    let silent = timer(&actions).unwrap();
    assert!(silent <= 8 * SECOND);
    actions.clear();
    placer.step(SECOND + silent, &[Event::Woken(2)], &mut actions);
    assert!(
        actions.contains(&Action::Watch(true)),
        "silent past the told time"
    );
    actions.clear();
    placer.step(10 * SECOND, &[Event::Listed(Listing::Failed)], &mut actions);
    let retry = timer(&actions).unwrap();
    assert!(retry < 2 * SECOND && !actions.contains(&Action::Watch(true)));
    actions.clear();
    placer.step(10 * SECOND + retry, &[Event::Woken(2)], &mut actions);
    assert!(actions.contains(&Action::Watch(true)), "failed");
}

// Rule 4: a cold machine is not pushed over.

#[test]
fn the_cold_budget_is_shared_by_all_schedulers() {
    for before in [false, true] {
        // The machine started after this scheduler did, or before: then a former life may have spent the window.
        let cold = |bed: &Bed| Machine {
            ready_at: Some(bed.now - SECOND / 10),
            ..machine(1, 0)
        };
        let mut bed = Bed::new(settings(), Vec::new());
        bed.now += if before { 0 } else { SECOND };
        let mut batch = vec![Event::Listed(Listing::Changes(vec![cold(&bed)]))];
        batch.extend((0..6).map(|request| arrived(request, 0)));
        let first = if before { 0 } else { 2 };
        assert_eq!(
            offers(&bed.step(&batch)).len(),
            first,
            "8 offers over 4 schedulers"
        );
        assert!(
            offers(&bed.after(SECOND, &[Event::Woken(1)])).is_empty(),
            "the same window"
        );
        assert!(
            offers(&bed.after(SECOND, &[Event::Woken(1)])).is_empty(),
            "some may come late"
        );
        assert_eq!(
            offers(&bed.after(SECOND / 10, &[Event::Woken(1)])).len(),
            2,
            "the next window"
        );
    }
}

#[test]
fn the_offers_of_hundreds_of_schedulers_to_a_cold_machine_stay_under_the_told_ones() {
    let mut told = settings();
    (told.schedulers, told.rules.slow_start_offers) = (400, Some(24.0));
    let start = 100 * SECOND;
    let cold: Vec<Machine> = (1..4)
        .map(|id| Machine {
            ready_at: Some(start),
            ..machine(id, 0)
        })
        .collect();
    let mut sent: Vec<Micros> = Vec::new();
    for seed in 0..400 {
        let mut placer = Placer::new(told.clone(), seed);
        let news = Event::Listed(Listing::Cached(cold.clone()));
        let mut events = vec![news, arrived(0, 0)];
        for tick in 0..100 {
            let now = start + tick * SECOND / 10;
            let mut actions = Vec::new();
            placer.step(now, &events, &mut actions);
            let mine = offers(&actions);
            sent.extend(
                mine.iter()
                    .filter(|(_, at)| *at == MachineId(1))
                    .map(|_| now),
            );
            let yes = mine.iter().map(|(id, at)| placed(*id, 0, *at));
            events = yes.chain([arrived(tick + 1, 0), Event::Woken(1)]).collect();
        }
    }
    sent.sort_unstable();
    let most = (0..sent.len()).map(|n| {
        sent[n..]
            .iter()
            .filter(|at| **at < sent[n] + 2 * SECOND)
            .count()
    });
    assert!(most.max().unwrap() <= 24);
    assert!(
        sent.len() > 12,
        "and it is served: {} offers while cold",
        sent.len()
    );
}

// Rule 5: services stay spread.

#[test]
fn spread_counts_adopted_tasks_and_attempts_in_flight() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    bed.step(&[Event::Adopted {
        task: task(50, 4),
        machine: MachineId(1),
    }]);
    let sent = offers(&bed.step(&[arrived(1, 4), arrived(2, 4)]));
    assert_eq!(sent, [(1, MachineId(2))]);
    bed.step(&[placed(1, 0, MachineId(2))]);
    assert!(
        bed.wait(SECOND).is_empty(),
        "placed tasks count until they end"
    );
    bed.step(&[ended(50, 0, MachineId(1), Outcome::Finished)]);
    assert_eq!(offers(&bed.wait(SECOND)), [(2, MachineId(1))]);
}

#[test]
fn spread_counts_tasks_adopted_before_the_list_names_their_machine() {
    let mut bed = Bed::new(settings(), Vec::new());
    bed.step(&[Event::Adopted {
        task: task(50, 4),
        machine: MachineId(7),
    }]);
    bed.step(&[
        Event::Listed(Listing::Whole(vec![machine(7, 0)])),
        arrived(1, 4),
    ]);
    assert!(bed.wait(SECOND).is_empty());
}

// All of them.

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut bed = Bed::new(settings(), two_zones());
        let mut all = Vec::new();
        for request in 0..50 {
            all.extend(bed.after(10_000, &[arrived(request, (request % 5) as u16)]));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn wild_figures_lead_to_legal_decisions() {
    for wild in [f64::NAN, f64::INFINITY, -1.0, 0.0] {
        let told = Settings {
            kinds: vec![Kind {
                cores: Some(wild),
                memory: Some(wild),
            }],
            accepts_cores: Some(wild),
            mean_cores: Some(wild),
            mean_memory: None,
            schedulers: 0,
            ..settings()
        };
        let line = Machine {
            free_cores: Some(wild),
            free_memory: Some(wild),
            ..machine(1, 0)
        };
        let mut bed = Bed::new(told, vec![line, machine(2, 9)]);
        let odd = Task {
            cores: wild,
            memory: wild,
            class: 44,
            ..task(1, 0)
        };
        let actions = bed.step(&[
            Event::Arrived {
                task: odd,
                grace_us: SECOND,
            },
            arrived(2, 0),
        ]);
        let late = bed.wait(2 * SECOND);
        let served = |id| {
            [&actions, &late]
                .iter()
                .any(|a| offers(a).iter().any(|(r, _)| *r == id) || refused(a, id))
        };
        assert!(served(1) && served(2), "{wild}");
    }
}

#[test]
fn an_offer_is_given_up_after_its_own_aims_not_the_shortest() {
    // A set-up of a class with a long aim takes long where others are quick.
    let mut told = settings();
    told.classes[2].aim_us = 2 * SECOND;
    let mut bed = Bed::new(told, vec![machine(1, 0)]);
    bed.step(&[arrived(1, 2)]);
    assert!(!bed.wait(4 * SECOND).contains(&Action::Stop(attempt(1, 0))));
}
