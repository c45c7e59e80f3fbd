//! Settings that change while a scheduler runs: what binds it is bound at once, what it learned stays.

mod common;

use common::*;
use reedring::*;

fn told(schedulers: u32, offers: f64) -> Settings {
    let mut told = settings();
    told.schedulers = schedulers;
    told.rules.warm_after_us = Some(60 * SECOND);
    told.rules.slow_start_window_us = Some(2 * SECOND);
    told.rules.slow_start_offers = Some(offers);
    told.kinds[0] = Kind {
        cores: Some(100.0),
        memory: Some(400.0),
    };
    told
}

/// One machine that has just started.
fn cold(now: Micros) -> Machine {
    Machine {
        ready_at: Some(now),
        ..machine(1, 0)
    }
}

/// Offers that a bed makes of ten tasks at one moment.
fn burst(bed: &mut Bed, from: u64) -> usize {
    let tasks: Vec<Event> = (from..from + 10).map(|n| arrived(n, 0)).collect();
    offers(&bed.step(&tasks)).len()
}

/// Rule 4: what was sent under the old settings counts against the new budget.
#[test]
fn a_smaller_part_of_a_cold_budget_binds_at_once_and_counts_what_was_sent() {
    let mut bed = Bed::new(told(1, 8.0), Vec::new());
    let now = bed.now;
    bed.step(&[Event::Listed(Listing::Changes(vec![cold(now)]))]);
    assert_eq!(burst(&mut bed, 1), 8, "all of it is this scheduler's");
    bed.step(&[Event::SettingsChanged(Box::new(told(2, 8.0)))]);
    assert_eq!(burst(&mut bed, 20), 0, "eight of four are spent");
    bed.now += 3 * SECOND;
    assert_eq!(burst(&mut bed, 40), 4, "half of it from now on");
}

#[test]
fn machines_are_sized_anew_and_what_was_learned_of_them_stays() {
    let mut bed = Bed::new(settings(), vec![machine(1, 0)]);
    bed.step(&[arrived(1, 0)]);
    bed.step(&[ended(1, 0, MachineId(1), Outcome::Unconnected)]);
    let mut more = settings();
    more.kinds[0] = Kind {
        cores: Some(1_000.0),
        memory: Some(1_000.0),
    };
    bed.step(&[Event::SettingsChanged(Box::new(more))]);
    let big = |n: u64| {
        let Event::Arrived { task, grace_us } = arrived(n, 0) else {
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
        offers(&bed.step(&[big(2)])).is_empty(),
        "it is barred still"
    );
    bed.now += 60 * SECOND;
    assert_eq!(
        offers(&bed.step(&[big(3)])).len(),
        1,
        "it has room for that now"
    );
}
