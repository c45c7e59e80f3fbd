//! What the placer learns about machines from lists, reports and outcomes, and how that changes the
//! draw.

mod common;

use common::*;
use reedring::*;

/// The rejection of the first attempt of a request, with the reason that the machine states.
fn rejected(request: u64, machine: MachineId, reason: Option<Reason>) -> Event {
    match ended(request, 0, machine, Outcome::Refused) {
        Event::Ended(end) => Event::Ended(Ended { reason, ..end }),
        other => other,
    }
}

/// Settings by which outcomes and answers to health checks contain load reports of use.
fn settings_with_load_reports() -> Settings {
    Settings {
        report_style: ReportStyle::Answers,
        report_fields: vec![ReportField::Cores, ReportField::Memory],
        ..settings()
    }
}

/// Of 40 memory, 34 may be in use (a fraction of 0.85); the task requests 4.
#[test]
fn some_memory_is_kept_free_for_the_growth_of_tasks() {
    for (memory_left, is_offered) in [(11.0, true), (8.0, false)] {
        let mut harness = Harness::new(settings_with_load_reports(), vec![machine(1, 0)]);
        let report = vec![9.0, memory_left];
        harness.step(&[Event::Probed {
            machine: MachineId(1),
            answered: true,
            took_us: 1,
            report,
        }]);
        assert_eq!(
            offers(&harness.step_after(10 * SECOND, &[arrived(1, 0)])).len() == 1,
            is_offered
        );
    }
}

/// The list lags, so an entry that arrives shortly after a rejection may describe the time before
/// it.
#[test]
fn a_list_entry_that_may_be_older_than_a_rejection_does_not_clear_it() {
    let entry = Machine {
        free_cores: Some(10.0),
        free_memory: Some(40.0),
        ..machine(1, 0)
    };
    let listing = Event::Listed(Listing::Changes(vec![entry.clone()]));
    let mut harness = Harness::new(settings(), vec![entry]);
    harness.step(&[arrived(1, 0)]);
    let actions = harness.step_after(
        SECOND / 10,
        &[
            rejected(1, MachineId(1), Some(Reason::Crowded)),
            listing.clone(),
        ],
    );
    assert!(offers(&actions).is_empty());
    harness.step_after(27 * SECOND / 10, &[listing]);
    assert_eq!(
        offers(&harness.poll_until_action(SECOND / 5)),
        [(1, MachineId(1))]
    );
}

/// The list lags, so an entry may lack the load of offers that were sent before it arrived.
#[test]
fn recent_own_offers_count_on_top_of_a_list_entry_that_lacks_them() {
    let entry = Machine {
        free_cores: Some(10.0),
        free_memory: Some(40.0),
        ..machine(1, 0)
    };
    let mut harness = Harness::new(settings(), vec![entry.clone()]);
    let batch: Vec<Event> = (0..10).map(|request| arrived(request, 0)).collect();
    assert_eq!(offers(&harness.step(&batch)).len(), 10);
    let listing = Event::Listed(Listing::Changes(vec![entry]));
    assert!(
        offers(&harness.step_after(SECOND, &[listing, arrived(10, 0)])).is_empty(),
        "own offers request all ten cores"
    );
}

#[test]
fn schedulers_place_the_tasks_of_a_service_on_the_same_few_machines() {
    // Two schedulers that share nothing compute the same order of machines for the service.
    let mut used_machines = std::collections::BTreeSet::new();
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
            let (_, chosen) = offers(&actions)[0];
            placer.step(
                (102 + 2 * id) * SECOND,
                &[placed(id, 0, chosen)],
                &mut actions,
            );
            let attempt = attempt(id, 0);
            let runs = Event::TaskSignal {
                attempt,
                machine: chosen,
                note: Note::Runs,
            };
            placer.step((102 + 2 * id) * SECOND, &[runs], &mut actions);
            used_machines.insert(chosen);
        }
    }
    assert!(
        used_machines.len() <= 2,
        "six tasks of one service on {} of 8 machines",
        used_machines.len()
    );
}

#[test]
fn the_load_of_a_machine_from_before_its_restart_is_discarded() {
    let full = Machine {
        free_cores: Some(0.0),
        free_memory: Some(0.0),
        ..machine(1, 0)
    };
    let mut harness = Harness::new(settings(), vec![full]);
    assert!(offers(&harness.step(&[arrived(1, 0)])).is_empty());
    let restarted = Machine {
        ready_at: Some(harness.now),
        ..machine(1, 0)
    };
    harness.step(&[Event::Listed(Listing::Changes(vec![restarted]))]);
    assert_eq!(
        offers(&harness.poll_until_action(SECOND)),
        [(1, MachineId(1))]
    );
}

#[test]
fn a_signal_of_memory_pressure_stops_offers_to_the_machine() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[Event::Adopted {
        task: task(50, 0),
        machine: MachineId(1),
    }]);
    let note = Note::Pressure(0.95);
    harness.step(&[Event::TaskSignal {
        attempt: attempt(50, 0),
        machine: MachineId(1),
        note,
    }]);
    assert!(offers(&harness.step(&[arrived(1, 0)])).is_empty());
}

#[test]
fn after_a_rejection_without_a_shortage_only_its_tenant_and_class_get_no_offers() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[arrived(1, 0)]);
    harness.step_after(SECOND / 10, &[rejected(1, MachineId(1), None)]);
    assert!(
        offers(&harness.step(&[arrived(2, 0)])).is_empty(),
        "the same tenant and class"
    );
    assert_eq!(
        offers(&harness.step(&[arrived(3, 3)])).len(),
        1,
        "another class"
    );
    let other_tenant = Event::Arrived {
        task: Task {
            tenant: 1,
            ..task(4, 0)
        },
        grace_us: 5 * SECOND,
    };
    assert_eq!(
        offers(&harness.step(&[other_tenant])).len(),
        1,
        "another tenant"
    );
    assert_eq!(
        offers(&harness.step_after(20 * SECOND, &[arrived(5, 0)])).len(),
        1,
        "the rejection expires"
    );
}

#[test]
fn the_time_in_which_the_placer_stood_still_is_not_counted_as_silence_of_machines() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[arrived(1, 0)]);
    let actions = harness.step_after(3 * SECOND, &[Event::TimerDue(1), arrived(2, 0)]);
    assert!(
        !actions.contains(&Action::Stop(attempt(1, 0))),
        "an offer is stopped although only the placer stood still"
    );
    assert_eq!(offers(&actions), [(2, MachineId(1))]);
}

#[test]
fn where_only_health_checks_report_load_a_task_waits_for_reports_of_its_pool() {
    let mut settings = Settings {
        report_style: ReportStyle::Probes,
        ..settings_with_load_reports()
    };
    settings.rules.may_probe = true;
    let mut harness = Harness::new(settings, vec![machine(1, 0), machine(2, 0)]);
    let actions = harness.step(&[arrived(1, 0)]);
    assert!(offers(&actions).is_empty() && actions.contains(&Action::Probe(MachineId(2))));
    let answer = |id, cores_left| {
        let report = vec![cores_left, 4.0 * cores_left];
        Event::Probed {
            machine: MachineId(id),
            answered: true,
            took_us: 1_000,
            report,
        }
    };
    let actions = harness.step_after(1_000, &[answer(1, 2.0), answer(2, 9.0)]);
    assert_eq!(
        offers(&actions),
        [(1, MachineId(2))],
        "the machine with more cores and memory left"
    );
    harness.step(&[placed(1, 0, MachineId(2))]);
    harness.now += 5 * SECOND;
    harness.step(&[arrived(2, 0)]);
    assert_eq!(
        offers(&harness.poll_until_action(SECOND)).len(),
        1,
        "a task does not wait for long if health checks get no answer"
    );
}

#[test]
fn a_task_near_its_deadline_is_offered_without_waiting_for_reports() {
    let mut settings = Settings {
        report_style: ReportStyle::Probes,
        ..settings_with_load_reports()
    };
    settings.rules.may_probe = true;
    let mut harness = Harness::new(settings, vec![machine(1, 0), machine(2, 0)]);
    let short_deadline = Event::Arrived {
        task: task(1, 0),
        grace_us: SECOND / 20,
    };
    assert_eq!(
        offers(&harness.step(&[short_deadline])).len(),
        1,
        "the next poll would be after the deadline"
    );
}

/// With few arrivals at all schedulers the least loaded machine of the pool is drawn; with many, each
/// scheduler spreads its tasks over the pool.
#[test]
fn few_arrivals_go_to_the_least_loaded_machine_and_many_are_spread() {
    let machines: Vec<Machine> = (1..4)
        .map(|id| {
            let (free_cores, free_memory) = if id == 1 { (10.0, 40.0) } else { (7.0, 28.0) };
            Machine {
                free_cores: Some(free_cores),
                free_memory: Some(free_memory),
                ..machine(id, 0)
            }
        })
        .collect();
    let draws_of_least_loaded = |arrival_interval: Micros| {
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
                &[Event::Listed(Listing::Cached(machines.clone()))],
                &mut actions,
            );
            for request in 0..4 {
                actions.clear();
                placer.step(
                    60 * SECOND + request * arrival_interval,
                    &[arrived(request, 0)],
                    &mut actions,
                );
            }
            // Only the last offer of each scheduler counts. The load of its three earlier offers has
            // little influence on the sum over many seeds.
            drawn += offers(&actions)
                .iter()
                .filter(|(_, chosen)| *chosen == MachineId(1))
                .count();
        }
        drawn
    };
    let with_few_arrivals = draws_of_least_loaded(9 * SECOND);
    let with_many_arrivals = draws_of_least_loaded(SECOND / 10);
    assert!(
        with_few_arrivals > with_many_arrivals,
        "least loaded machine drawn {with_few_arrivals} of 200 times with few arrivals, \
         {with_many_arrivals} with many"
    );
}

/// Answers each offer of a request with an error. Returns the number of offers.
fn end_all_attempts_with_errors(harness: &mut Harness, request: u64) -> u16 {
    let mut offered = offers(&harness.step(&[arrived(request, 0)]));
    let mut number = 0;
    while let Some((_, machine)) = offered.pop() {
        let error = ended(request, number, machine, Outcome::Error);
        offered = offers(&harness.step_after(1_000, &[error]));
        number += 1;
    }
    number
}

#[test]
fn a_task_that_fails_on_every_machine_does_not_exclude_machines_for_others() {
    let mut harness = Harness::new(settings(), (1..=3).map(|id| machine(id, 0)).collect());
    for request in 0..4 {
        assert_eq!(
            end_all_attempts_with_errors(&mut harness, request),
            3,
            "each attempt goes to another machine"
        );
    }
    assert_eq!(offers(&harness.step(&[arrived(10, 0)])).len(), 1);
}

#[test]
fn a_machine_that_reports_an_error_for_a_task_that_another_accepts_gets_no_more_such_tasks() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0), machine(2, 0)]);
    let first = offers(&harness.step(&[arrived(1, 0)]))[0].1;
    let second = offers(&harness.step_after(1_000, &[ended(1, 0, first, Outcome::Error)]))[0].1;
    assert_ne!(first, second);
    harness.step_after(1_000, &[placed(1, 1, second)]);
    for request in 2..8 {
        let sent = offers(&harness.step_after(SECOND, &[arrived(request, 0)]));
        assert_eq!(sent, [(request, second)]);
        harness.step_after(1_000, &[placed(request, 0, second)]);
    }
}

#[test]
fn an_error_for_an_unsafe_task_excludes_the_machine_for_its_class_at_once() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[arrived(1, 2)]);
    assert!(is_failed(
        &harness.step_after(1_000, &[ended(1, 0, MachineId(1), Outcome::Error)]),
        1
    ));
    assert!(offers(&harness.step_after(SECOND, &[arrived(2, 2)])).is_empty());
}

#[test]
fn machines_that_were_removed_are_dropped_from_memory() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    for id in 2..200 {
        harness.step_after(
            SECOND,
            &[Event::Listed(Listing::Changes(vec![machine(id, 0)]))],
        );
        let gone = with_health(machine(id, 0), Health::Gone);
        harness.step_after(SECOND, &[Event::Listed(Listing::Changes(vec![gone]))]);
    }
    assert!(
        harness.placer.sizes()[0] < 10,
        "{:?}",
        harness.placer.sizes()
    );
}

#[test]
fn adopted_tasks_are_not_added_to_a_list_entry_that_includes_them() {
    // Six of ten cores are requested on the machine, by the tasks that this placer then adopts.
    let entry = Machine {
        free_cores: Some(4.0),
        free_memory: Some(16.0),
        ..machine(1, 0)
    };
    let mut harness = Harness::new(settings(), vec![entry]);
    let adopted = (0..6).map(|n| Event::Adopted {
        task: task(n, 0),
        machine: MachineId(1),
    });
    harness.step_after(SECOND / 10, &adopted.collect::<Vec<_>>());
    let batch: Vec<Event> = (10..20).map(|request| arrived(request, 0)).collect();
    assert_eq!(offers(&harness.step_after(SECOND / 10, &batch)).len(), 4);
}

/// Guards against machines that are taken to be empty: tasks that were handed over and may not exist were reported as ended,
/// and the load of each was deducted from what the list said.
#[test]
fn an_adopted_task_that_is_no_longer_tracked_frees_nothing() {
    let entry = Machine {
        free_cores: Some(4.0),
        free_memory: Some(16.0),
        ..machine(1, 0)
    };
    let mut harness = Harness::new(settings(), vec![entry]);
    for n in 0..6 {
        let adopted = Event::Adopted {
            task: task(n, 0),
            machine: MachineId(1),
        };
        let attempt = attempt(n, 0);
        harness.step_after(SECOND / 100, &[adopted, Event::Untracked { attempt }]);
    }
    assert_eq!(harness.placer.sizes()[2], 0);
    let batch: Vec<Event> = (10..20).map(|request| arrived(request, 0)).collect();
    assert_eq!(offers(&harness.step_after(SECOND / 10, &batch)).len(), 4);
}

/// Guards against memory and time that grow with a flood: each task that was adopted and ended within seconds left a record
/// at its machine, and all of them were read for each new one.
#[test]
fn tasks_that_end_at_once_leave_a_bounded_number_of_load_changes() {
    const MOST_CHANGES: usize = 1_024;
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    for step in 0..40 {
        let ids = step * 100..(step + 1) * 100;
        let events = ids.flat_map(|id| {
            let adopted = Event::Adopted {
                task: task(id, 0),
                machine: MachineId(1),
            };
            [adopted, ended(id, 0, MachineId(1), Outcome::Stopped)]
        });
        harness.step_after(SECOND / 100, &events.collect::<Vec<_>>());
        let changes = harness.placer.recent_change_count();
        assert!(changes <= MOST_CHANGES, "{changes} after step {step}");
    }
    // They expire, and the sum of them is still right: the machine accepts as much as when it was empty.
    let entry = Machine {
        free_cores: Some(10.0),
        free_memory: Some(40.0),
        ..machine(1, 0)
    };
    harness.step_after(6 * SECOND, &[Event::Listed(Listing::Changes(vec![entry]))]);
    let batch: Vec<Event> = (10_000..10_020).map(|id| arrived(id, 0)).collect();
    assert_eq!(offers(&harness.step_after(SECOND / 10, &batch)).len(), 10);
    assert!(harness.placer.recent_change_count() <= 10);
}

/// Attempt `number` of request 1 gets no answer: request `other`, of class `class`, arrives after it
/// and is placed, and then the attempt times out. Returns the actions after the time-out.
fn pass_over(harness: &mut Harness, number: u16, other: u64, class: u16) -> Vec<Action> {
    harness.step_after(SECOND / 100, &[arrived(other, class)]);
    harness.step_after(SECOND / 100, &[placed(other, 0, MachineId(1))]);
    harness.step_after(
        SECOND / 100,
        &[ended(1, number, MachineId(1), Outcome::TimedOut)],
    )
}

#[test]
fn a_single_missing_answer_does_not_exclude_the_class() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[arrived(1, 0)]);
    // The other tasks are of the same class: each acceptance clears the suspicion.
    assert_eq!(offers(&pass_over(&mut harness, 0, 2, 0)).len(), 1);
    assert_eq!(offers(&pass_over(&mut harness, 1, 3, 0)).len(), 1);
}

#[test]
fn a_class_that_is_passed_over_twice_in_a_row_is_not_offered_again() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[arrived(1, 0)]);
    assert_eq!(offers(&pass_over(&mut harness, 0, 2, 1)).len(), 1);
    assert!(offers(&pass_over(&mut harness, 1, 3, 1)).is_empty());
}
