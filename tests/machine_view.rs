//! What the fleet view makes of news, and how the columns move.

mod common;

use common::*;
use reedring::*;

fn refused_for(request: u64, machine: MachineId, reason: Option<Reason>) -> Event {
    match ended(request, 0, machine, Outcome::Refused) {
        Event::Ended(end) => Event::Ended(Ended { reason, ..end }),
        other => other,
    }
}

fn reporting() -> Settings {
    Settings {
        report_style: ReportStyle::Answers,
        report_fields: vec![ReportField::Cores, ReportField::Memory],
        ..settings()
    }
}

#[test]
fn memory_in_use_is_kept_free_for_growth() {
    for (left, goes) in [(11.0, true), (8.0, false)] {
        let mut bed = Bed::new(reporting(), vec![machine(1, 0)]);
        let report = vec![9.0, left];
        bed.step(&[Event::Probed {
            machine: MachineId(1),
            answered: true,
            took_us: 1,
            report,
        }]);
        assert_eq!(
            offers(&bed.after(10 * SECOND, &[arrived(1, 0)])).len() == 1,
            goes
        );
    }
}

#[test]
fn a_refusal_outlasts_a_line_as_old_as_itself() {
    let line = Machine {
        free_cores: Some(10.0),
        free_memory: Some(40.0),
        ..machine(1, 0)
    };
    let told = Event::Listed(Listing::Changes(vec![line.clone()]));
    let mut bed = Bed::new(settings(), vec![line]);
    bed.step(&[arrived(1, 0)]);
    let actions = bed.after(
        SECOND / 10,
        &[
            refused_for(1, MachineId(1), Some(Reason::Crowded)),
            told.clone(),
        ],
    );
    assert!(offers(&actions).is_empty());
    bed.after(27 * SECOND / 10, &[told]);
    assert_eq!(offers(&bed.wait(SECOND / 5)), [(1, MachineId(1))]);
}

#[test]
fn a_late_line_does_not_hide_young_binds() {
    let line = Machine {
        free_cores: Some(10.0),
        free_memory: Some(40.0),
        ..machine(1, 0)
    };
    let mut bed = Bed::new(settings(), vec![line.clone()]);
    let batch: Vec<Event> = (0..10).map(|request| arrived(request, 0)).collect();
    assert_eq!(offers(&bed.step(&batch)).len(), 10);
    let told = Event::Listed(Listing::Changes(vec![line]));
    assert!(
        offers(&bed.after(SECOND, &[told, arrived(10, 0)])).is_empty(),
        "ten cores are bound"
    );
}

#[test]
fn tasks_of_a_service_gather_where_its_program_is() {
    // Two schedulers that share nothing draw the same homes.
    let mut used = std::collections::BTreeSet::new();
    for seed in 0..2 {
        let mut placer = Placer::new(settings(), seed);
        let machines = (1..9).map(|id| machine(id, 0)).collect();
        let mut actions = Vec::new();
        placer.step(
            100 * SECOND,
            &[Event::Listed(Listing::Cached(machines))],
            &mut actions,
        );
        for id in 0..3 {
            actions.clear();
            placer.step((102 + 2 * id) * SECOND, &[arrived(id, 0)], &mut actions);
            let (_, at) = offers(&actions)[0];
            placer.step((102 + 2 * id) * SECOND, &[placed(id, 0, at)], &mut actions);
            let attempt = attempt(id, 0);
            let runs = Event::TaskSignal {
                attempt,
                machine: at,
                note: Note::Runs,
            };
            placer.step((102 + 2 * id) * SECOND, &[runs], &mut actions);
            used.insert(at);
        }
    }
    assert!(
        used.len() <= 2,
        "six tasks of one service on {} of 8 machines",
        used.len()
    );
}

#[test]
fn a_new_start_makes_old_news_void() {
    let line = Machine {
        free_cores: Some(0.0),
        free_memory: Some(0.0),
        ..machine(1, 0)
    };
    let mut bed = Bed::new(settings(), vec![line]);
    assert!(offers(&bed.step(&[arrived(1, 0)])).is_empty());
    let fresh = Machine {
        ready_at: Some(bed.now),
        ..machine(1, 0)
    };
    bed.step(&[Event::Listed(Listing::Changes(vec![fresh]))]);
    assert_eq!(offers(&bed.wait(SECOND)), [(1, MachineId(1))]);
}

#[test]
fn pressure_notes_fill_the_memory_of_a_machine() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[Event::Adopted {
        task: task(50, 0),
        machine: MachineId(1),
    }]);
    let note = Note::Pressure(0.95);
    bed.step(&[Event::TaskSignal {
        attempt: attempt(50, 0),
        machine: MachineId(1),
        note,
    }]);
    assert!(offers(&bed.step(&[arrived(1, 0)])).is_empty());
}

#[test]
fn a_refusal_with_no_shortage_bars_its_tenant_and_class_alone() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[arrived(1, 0)]);
    bed.after(SECOND / 10, &[refused_for(1, MachineId(1), None)]);
    assert!(
        offers(&bed.step(&[arrived(2, 0)])).is_empty(),
        "the same tenant and class"
    );
    assert_eq!(
        offers(&bed.step(&[arrived(3, 3)])).len(),
        1,
        "another class"
    );
    let other = Event::Arrived {
        task: Task {
            tenant: 1,
            ..task(4, 0)
        },
        grace_us: 5 * SECOND,
    };
    assert_eq!(offers(&bed.step(&[other])).len(), 1, "another tenant");
    assert_eq!(
        offers(&bed.after(20 * SECOND, &[arrived(5, 0)])).len(),
        1,
        "not for ever"
    );
}

#[test]
fn own_standstill_blames_no_machine() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[arrived(1, 0)]);
    let actions = bed.after(3 * SECOND, &[Event::Woken(1), arrived(2, 0)]);
    assert!(
        !actions.contains(&Action::Stop(attempt(1, 0))),
        "the silence was its own"
    );
    assert_eq!(offers(&actions), [(2, MachineId(1))]);
}

#[test]
fn where_only_probes_report_a_task_waits_for_fresh_news_of_its_pool() {
    let mut told = Settings {
        report_style: ReportStyle::Probes,
        ..reporting()
    };
    told.rules.may_probe = true;
    let mut bed = Bed::new(told, vec![machine(1, 0), machine(2, 0)]);
    let actions = bed.step(&[arrived(1, 0)]);
    assert!(offers(&actions).is_empty() && actions.contains(&Action::Probe(MachineId(2))));
    let answer = |id, left| {
        let report = vec![left, 4.0 * left];
        Event::Probed {
            machine: MachineId(id),
            answered: true,
            took_us: 1_000,
            report,
        }
    };
    let actions = bed.after(1_000, &[answer(1, 2.0), answer(2, 9.0)]);
    assert_eq!(offers(&actions), [(1, MachineId(2))], "the emptier one");
    bed.step(&[placed(1, 0, MachineId(2))]);
    bed.now += 5 * SECOND;
    bed.step(&[arrived(2, 0)]);
    assert_eq!(
        offers(&bed.wait(SECOND)).len(),
        1,
        "unanswered probes hold it for a moment only"
    );
}

#[test]
fn no_task_waits_for_news_past_its_deadline() {
    let mut told = Settings {
        report_style: ReportStyle::Probes,
        ..reporting()
    };
    told.rules.may_probe = true;
    let mut bed = Bed::new(told, vec![machine(1, 0), machine(2, 0)]);
    let short = Event::Arrived {
        task: task(1, 0),
        grace_us: SECOND / 20,
    };
    assert_eq!(
        offers(&bed.step(&[short])).len(),
        1,
        "the next look would come too late"
    );
}

/// The mean of `a` over many schedulers shows in the draw: with few arrivals in the fleet the lowest machine
/// of the pool is drawn, with many each scheduler spreads.
#[test]
fn a_quiet_fleet_draws_the_lowest_machine_and_a_busy_one_spreads() {
    let lines: Vec<Machine> = (1..4)
        .map(|id| {
            let free = if id == 1 { (10.0, 40.0) } else { (7.0, 28.0) };
            Machine {
                free_cores: Some(free.0),
                free_memory: Some(free.1),
                ..machine(id, 0)
            }
        })
        .collect();
    let lowest = |pause: Micros| {
        let mut drawn = 0;
        for seed in 0..200 {
            let mut placer = Placer::new(
                Settings {
                    schedulers: 200,
                    ..settings()
                },
                seed,
            );
            let mut actions = Vec::new();
            placer.step(
                50 * SECOND,
                &[Event::Listed(Listing::Cached(lines.clone()))],
                &mut actions,
            );
            for n in 0..4 {
                actions.clear();
                placer.step(60 * SECOND + n * pause, &[arrived(n, 0)], &mut actions);
            }
            // The last offer of each scheduler; its own three binds are lost in the noise of many seeds.
            drawn += offers(&actions)
                .iter()
                .filter(|(_, at)| *at == MachineId(1))
                .count();
        }
        drawn
    };
    let (quiet, busy) = (lowest(9 * SECOND), lowest(SECOND / 10));
    assert!(quiet > busy, "{quiet} of 200 when quiet, {busy} when busy");
}

/// Answers each offer of a request with an error; how many machines were asked.
fn errs_everywhere(bed: &mut Bed, request: u64) -> u16 {
    let mut asked = offers(&bed.step(&[arrived(request, 0)]));
    let mut number = 0;
    while let Some((_, machine)) = asked.pop() {
        asked = offers(&bed.after(1_000, &[ended(request, number, machine, Outcome::Error)]));
        number += 1;
    }
    number
}

#[test]
fn a_task_that_errs_everywhere_keeps_no_other_out() {
    let mut bed = Bed::new(settings(), (1..=3).map(|id| machine(id, 0)).collect());
    for bad in 0..4 {
        assert_eq!(
            errs_everywhere(&mut bed, bad),
            3,
            "each attempt goes to another machine"
        );
    }
    assert_eq!(offers(&bed.step(&[arrived(10, 0)])).len(), 1);
}

#[test]
fn a_machine_that_errs_on_what_another_takes_is_avoided() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let first = offers(&bed.step(&[arrived(1, 0)]))[0].1;
    let second = offers(&bed.after(1_000, &[ended(1, 0, first, Outcome::Error)]))[0].1;
    assert_ne!(first, second);
    bed.after(1_000, &[placed(1, 1, second)]);
    for request in 2..8 {
        let sent = offers(&bed.after(SECOND, &[arrived(request, 0)]));
        assert_eq!(sent, [(request, second)]);
        bed.after(1_000, &[placed(request, 0, second)]);
    }
}

#[test]
fn an_error_on_a_task_that_is_sent_once_is_taken_at_its_word() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[arrived(1, 2)]);
    assert!(failed(
        &bed.after(1_000, &[ended(1, 0, MachineId(1), Outcome::Error)]),
        1
    ));
    assert!(offers(&bed.after(SECOND, &[arrived(2, 2)])).is_empty());
}

#[test]
fn machines_that_came_and_went_are_forgotten() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    for id in 2..200 {
        bed.after(
            SECOND,
            &[Event::Listed(Listing::Changes(vec![machine(id, 0)]))],
        );
        let gone = with(machine(id, 0), Health::Gone);
        bed.after(SECOND, &[Event::Listed(Listing::Changes(vec![gone]))]);
    }
    assert!(bed.placer.sizes()[0] < 10, "{:?}", bed.placer.sizes());
}

#[test]
fn a_task_that_is_handed_over_is_in_what_the_list_tells_already() {
    // Six of ten cores are asked for there, and these are the placer's own tasks of its former life.
    let line = Machine {
        free_cores: Some(4.0),
        free_memory: Some(16.0),
        ..machine(1, 0)
    };
    let mut bed = Bed::new(settings(), vec![line]);
    let adopted = (0..6).map(|n| Event::Adopted {
        task: task(n, 0),
        machine: MachineId(1),
    });
    bed.after(SECOND / 10, &adopted.collect::<Vec<_>>());
    let batch: Vec<Event> = (10..20).map(|request| arrived(request, 0)).collect();
    assert_eq!(offers(&bed.after(SECOND / 10, &batch)).len(), 4);
}

/// Task 1 is sent, `other` after it is placed, and then the answer to task 1 is given up.
fn passed_over(bed: &mut Bed, number: u16, other: u64, class: u16) -> Vec<Action> {
    bed.after(SECOND / 100, &[arrived(other, class)]);
    bed.after(SECOND / 100, &[placed(other, 0, MachineId(1))]);
    bed.after(
        SECOND / 100,
        &[ended(1, number, MachineId(1), Outcome::TimedOut)],
    )
}

#[test]
fn one_answer_that_is_lost_shuts_nobody_out() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[arrived(1, 0)]);
    // Its own class is served, so every time is the first again.
    assert_eq!(offers(&passed_over(&mut bed, 0, 2, 0)).len(), 1);
    assert_eq!(offers(&passed_over(&mut bed, 1, 3, 0)).len(), 1);
}

#[test]
fn a_class_that_is_passed_over_twice_in_a_row_is_shut_out() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[arrived(1, 0)]);
    assert_eq!(offers(&passed_over(&mut bed, 0, 2, 1)).len(), 1);
    assert!(offers(&passed_over(&mut bed, 1, 3, 1)).is_empty());
}
