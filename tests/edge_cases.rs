//! Odd but possible settings and events: decisions stay legal, and nothing panics or spins.

mod common;

use common::*;
use reedring::*;

fn fleet() -> Vec<Machine> {
    let cold = Machine {
        ready_at: Some(99 * SECOND),
        ..machine(1, 0)
    };
    vec![
        cold,
        machine(2, 0),
        machine(3, 7),
        with(machine(4, 9), Health::Gone),
    ]
}

#[test]
fn any_told_number_of_schedulers_gives_legal_draws() {
    for schedulers in [0, 1, 1_000, u32::MAX] {
        let mut bed = Bed::new(
            Settings {
                schedulers,
                ..settings()
            },
            fleet(),
        );
        for n in 0..20 {
            let actions = bed.after(SECOND / 4, &[arrived(n, 0)]);
            assert_eq!(offers(&actions).len(), 1, "{schedulers} schedulers");
        }
    }
}

#[test]
fn a_cold_budget_left_out_or_nought_leaves_the_warm_machines() {
    for offers_told in [None, Some(0.0), Some(f64::NAN), Some(-1.0)] {
        for warm in [None, Some(0), Some(20 * SECOND)] {
            let mut told = settings();
            (told.rules.slow_start_offers, told.rules.warm_after_us) = (offers_told, warm);
            let mut bed = Bed::new(told, fleet());
            let sent = offers(&bed.step(&[arrived(1, 0), arrived(2, 0), arrived(3, 0)]));
            assert_eq!(sent.len(), 3);
            let shut = offers_told.is_some() && warm == Some(20 * SECOND);
            assert!(
                !shut || sent.iter().all(|(_, at)| *at != MachineId(1)),
                "{offers_told:?}"
            );
        }
    }
}

#[test]
fn a_clock_that_jumps_leaves_each_task_one_answer() {
    let mut bed = Bed::new(settings(), Vec::new());
    bed.step(&[arrived(1, 0), arrived(2, 2)]);
    let actions = bed.after(60 * SECOND, &[Event::Woken(1)]);
    assert!(refused(&actions, 1) && refused(&actions, 2));
    assert!(bed.wait(SECOND).is_empty());
}

#[test]
fn what_came_during_a_standstill_is_sorted_before_anything_is_sent() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let drained = Event::Listed(Listing::Changes(vec![with(
        machine(1, 0),
        Health::Draining,
    )]));
    let late = Event::Arrived {
        task: task(2, 0),
        grace_us: 0,
    };
    let batch = [
        arrived(1, 0),
        late,
        arrived(3, 0),
        Event::Withdrawn(RequestId(3)),
        drained,
    ];
    let actions = bed.after(2 * SECOND, &batch);
    assert_eq!(
        offers(&actions),
        [(1, MachineId(2))],
        "not the drained one, nothing late or withdrawn"
    );
    assert!(refused(&actions, 2));
}

#[test]
fn thousands_of_events_in_one_step_are_all_answered() {
    let mut bed = Bed::new(
        Settings {
            accepts_cores: Some(1e6),
            accepts_memory: Some(1e6),
            ..settings()
        },
        fleet(),
    );
    let batch: Vec<Event> = (0..5_000).map(|n| arrived(n, 0)).collect();
    assert_eq!(offers(&bed.step(&batch)).len(), 5_000);
}

#[test]
fn drains_in_waves_and_their_cold_replacements_leave_the_warm_machines() {
    let mut bed = Bed::new(settings(), (1..9).map(|id| machine(id, 0)).collect());
    for wave in 0..3 {
        let (now, first) = (bed.now, 1 + 2 * wave);
        let drained = (first..first + 2).map(|id| with(machine(id, 0), Health::Draining));
        let new = (first..first + 2).map(|id| Machine {
            ready_at: Some(now),
            ..machine(100 + id, 0)
        });
        let news = Event::Listed(Listing::Changes(drained.chain(new).collect()));
        let batch: Vec<Event> = (0..12).map(|n| arrived(100 * wave + n, 0)).collect();
        let sent = offers(&bed.after(SECOND, &[vec![news], batch].concat()));
        assert!(
            sent.iter().all(|(_, at)| at.0 > 2 + 2 * wave),
            "nothing to a drained machine"
        );
        for id in 100..108 {
            let cold = sent.iter().filter(|(_, at)| at.0 == id).count();
            assert!(cold <= 2, "a part of 8 offers for 4 schedulers");
        }
    }
}

#[test]
fn a_fleet_that_comes_back_cold_at_once_is_served() {
    let all = |at| {
        (1..31)
            .map(move |id| Machine {
                ready_at: at,
                ..machine(id, 0)
            })
            .collect()
    };
    let mut told = settings();
    told.schedulers = 400;
    let mut bed = Bed::new(told, all(None));
    bed.step(&[Event::Listed(Listing::Changes(all(Some(bed.now))))]);
    let mut sent = 0;
    for n in 0..50 {
        sent += offers(&bed.after(SECOND / 5, &[arrived(n, 0), Event::Woken(1)])).len();
    }
    assert!(
        sent > 0,
        "some turns fall early in a warm-up of many machines"
    );
}

#[test]
fn a_restart_with_an_old_list_trusts_connections_over_it() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let mut sent = offers(&bed.step(&[arrived(1, 0)]));
    let (_, at) = sent.pop().unwrap();
    let again = offers(&bed.after(SECOND / 10, &[ended(1, 0, at, Outcome::Unconnected)]));
    assert_eq!(
        again,
        [(1, MachineId(3 - at.0))],
        "a dead line of the list is left at once"
    );
}
