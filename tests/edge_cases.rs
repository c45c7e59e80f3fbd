//! Unusual but possible settings and events: decisions stay legal, and nothing panics or loops
//! endlessly.

mod common;

use common::*;
use reedring::*;

/// Machine 1 is warming up, 2 and 3 are warm, 4 is gone.
fn fleet() -> Vec<Machine> {
    let warming_up = Machine {
        ready_at: Some(99 * SECOND),
        ..machine(1, 0)
    };
    vec![
        warming_up,
        machine(2, 0),
        machine(3, 7),
        with_health(machine(4, 9), Health::Gone),
    ]
}

#[test]
fn any_number_of_schedulers_in_the_settings_gives_legal_draws() {
    for schedulers in [0, 1, 1_000, u32::MAX] {
        let mut harness = Harness::new(
            Settings {
                schedulers,
                ..settings()
            },
            fleet(),
        );
        for request in 0..20 {
            let actions = harness.step_after(SECOND / 4, &[arrived(request, 0)]);
            assert_eq!(offers(&actions).len(), 1, "{schedulers} schedulers");
        }
    }
}

#[test]
fn unset_or_zero_slow_start_budgets_leave_the_warm_machines_usable() {
    for budget in [None, Some(0.0), Some(f64::NAN), Some(-1.0)] {
        for warm_after in [None, Some(0), Some(20 * SECOND)] {
            let mut settings = settings();
            (
                settings.rules.slow_start_offers,
                settings.rules.warm_after_us,
            ) = (budget, warm_after);
            let mut harness = Harness::new(settings, fleet());
            let sent = offers(&harness.step(&[arrived(1, 0), arrived(2, 0), arrived(3, 0)]));
            assert_eq!(sent.len(), 3);
            let is_excluded = budget.is_some() && warm_after == Some(20 * SECOND);
            assert!(
                !is_excluded || sent.iter().all(|(_, chosen)| *chosen != MachineId(1)),
                "an offer to the machine that is warming up, with a budget of {budget:?}"
            );
        }
    }
}

#[test]
fn each_task_gets_one_answer_after_the_clock_jumps() {
    let mut harness = Harness::new(settings(), Vec::new());
    harness.step(&[arrived(1, 0), arrived(2, 2)]);
    let actions = harness.step_after(60 * SECOND, &[Event::TimerDue(1)]);
    assert!(is_refused(&actions, 1) && is_refused(&actions, 2));
    assert!(harness.poll_until_action(SECOND).is_empty());
}

#[test]
fn all_events_after_a_standstill_are_applied_before_an_offer_is_sent() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let drained = Event::Listed(Listing::Changes(vec![with_health(
        machine(1, 0),
        Health::Draining,
    )]));
    let expired = Event::Arrived {
        task: task(2, 0),
        grace_us: 0,
    };
    let batch = [
        arrived(1, 0),
        expired,
        arrived(3, 0),
        Event::Withdrawn(RequestId(3)),
        drained,
    ];
    let actions = harness.step_after(2 * SECOND, &batch);
    assert_eq!(
        offers(&actions),
        [(1, MachineId(2))],
        "only request 1, as 2 has expired and 3 is withdrawn; only machine 2, as 1 is draining"
    );
    assert!(is_refused(&actions, 2));
}

#[test]
fn thousands_of_arrivals_in_one_step_all_get_offers() {
    let mut harness = Harness::new(
        Settings {
            accepts_cores: Some(1e6),
            accepts_memory: Some(1e6),
            ..settings()
        },
        fleet(),
    );
    let batch: Vec<Event> = (0..5_000).map(|request| arrived(request, 0)).collect();
    assert_eq!(offers(&harness.step(&batch)).len(), 5_000);
}

/// Machines are drained two at a time and replaced by new ones, which are warming up.
#[test]
fn no_offer_goes_to_drained_machines_or_beyond_the_budget_of_their_replacements() {
    let mut harness = Harness::new(settings(), (1..9).map(|id| machine(id, 0)).collect());
    for wave in 0..3 {
        let (now, first) = (harness.now, 1 + 2 * wave);
        let drained = (first..first + 2).map(|id| with_health(machine(id, 0), Health::Draining));
        let replacements = (first..first + 2).map(|id| Machine {
            ready_at: Some(now),
            ..machine(100 + id, 0)
        });
        let listing = Event::Listed(Listing::Changes(drained.chain(replacements).collect()));
        let batch: Vec<Event> = (0..12).map(|n| arrived(100 * wave + n, 0)).collect();
        let sent = offers(&harness.step_after(SECOND, &[vec![listing], batch].concat()));
        assert!(
            sent.iter().all(|(_, chosen)| chosen.0 > 2 + 2 * wave),
            "an offer to a drained machine"
        );
        for id in 100..108 {
            let sent_to_replacement = sent.iter().filter(|(_, chosen)| chosen.0 == id).count();
            assert!(
                sent_to_replacement <= 2,
                "more than this scheduler's share of 8 offers for 4 schedulers"
            );
        }
    }
}

#[test]
fn tasks_are_placed_when_all_machines_restart_at_once() {
    let all_machines = |ready_at| {
        (1..31)
            .map(move |id| Machine {
                ready_at,
                ..machine(id, 0)
            })
            .collect()
    };
    let mut settings = settings();
    settings.schedulers = 400;
    let mut harness = Harness::new(settings, all_machines(None));
    harness.step(&[Event::Listed(Listing::Changes(all_machines(Some(
        harness.now,
    ))))]);
    let mut sent = 0;
    for request in 0..50 {
        let events = [arrived(request, 0), Event::TimerDue(1)];
        sent += offers(&harness.step_after(SECOND / 5, &events)).len();
    }
    assert!(
        sent > 0,
        "with many machines, some turns of this scheduler are early in their warm-up"
    );
}

#[test]
fn after_a_restart_with_an_outdated_list_a_failed_connection_excludes_the_machine() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let mut sent = offers(&harness.step(&[arrived(1, 0)]));
    let (_, first) = sent.pop().unwrap();
    let second =
        offers(&harness.step_after(SECOND / 10, &[ended(1, 0, first, Outcome::Unconnected)]));
    assert_eq!(
        second,
        [(1, MachineId(3 - first.0))],
        "the next offer goes to the other machine at once"
    );
}
