//! Settings that change while a scheduler runs: new limits apply at once, and what it learned is kept.

mod common;

use common::*;
use reedring::*;

/// Settings by which a machine survives `offers` offers in 2 s from all schedulers while it is
/// warming up.
fn slow_start_settings(schedulers: u32, offers: f64) -> Settings {
    let mut settings = settings();
    settings.schedulers = schedulers;
    settings.rules.warm_after_us = Some(60 * SECOND);
    settings.rules.slow_start_window_us = Some(2 * SECOND);
    settings.rules.slow_start_offers = Some(offers);
    settings.kinds[0] = Kind {
        cores: Some(100.0),
        memory: Some(400.0),
    };
    settings
}

/// A machine that starts now.
fn started(now: Micros) -> Machine {
    Machine {
        ready_at: Some(now),
        ..machine(1, 0)
    }
}

/// The number of offers that the placer makes when ten tasks arrive at once, as requests from
/// `first` on.
fn offers_for_ten_tasks(harness: &mut Harness, first: u64) -> usize {
    let tasks: Vec<Event> = (first..first + 10)
        .map(|request| arrived(request, 0))
        .collect();
    offers(&harness.step(&tasks)).len()
}

/// Rule 4: offers sent under the old settings count against the new budget.
#[test]
fn a_smaller_slow_start_budget_applies_at_once_and_counts_earlier_offers() {
    let mut harness = Harness::new(slow_start_settings(1, 8.0), Vec::new());
    let now = harness.now;
    harness.step(&[Event::Listed(Listing::Changes(vec![started(now)]))]);
    assert_eq!(
        offers_for_ten_tasks(&mut harness, 1),
        8,
        "the only scheduler has the whole budget"
    );
    harness.step(&[Event::SettingsChanged(Box::new(slow_start_settings(
        2, 8.0,
    )))]);
    assert_eq!(
        offers_for_ten_tasks(&mut harness, 20),
        0,
        "the budget is now 4, and 8 offers were sent in the window"
    );
    harness.now += 3 * SECOND;
    assert_eq!(
        offers_for_ten_tasks(&mut harness, 40),
        4,
        "half of the budget in the next window"
    );
}

#[test]
fn machine_sizes_follow_changed_settings_and_backoffs_are_kept() {
    let mut harness = Harness::new(settings(), vec![machine(1, 0)]);
    harness.step(&[arrived(1, 0)]);
    harness.step(&[ended(1, 0, MachineId(1), Outcome::Unconnected)]);
    let mut larger = settings();
    larger.kinds[0] = Kind {
        cores: Some(1_000.0),
        memory: Some(1_000.0),
    };
    harness.step(&[Event::SettingsChanged(Box::new(larger))]);
    let large_task_arrived = |request: u64| {
        let Event::Arrived { task, grace_us } = arrived(request, 0) else {
            unreachable!()
        };
        Event::Arrived {
            task: Task {
                cores: 500.0,
                memory: 500.0,
                ..task
            },
            grace_us,
        }
    };
    assert!(
        offers(&harness.step(&[large_task_arrived(2)])).is_empty(),
        "the backoff is not over"
    );
    harness.now += 60 * SECOND;
    assert_eq!(
        offers(&harness.step(&[large_task_arrived(3)])).len(),
        1,
        "the larger machine has capacity for the task"
    );
}
