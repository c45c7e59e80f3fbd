//! Slow start in simulated time: the sum of the offers of all placers to a machine that is warming up, in every window.

mod common;

use std::collections::BTreeMap;

use common::*;
use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring::*;

const MS: Micros = 1_000;
const WINDOW: Micros = 2 * SECOND;
const WARM: Micros = 9 * SECOND;
const START: Micros = 100 * SECOND;
/// The period of the simulation's steps.
const TICK: Micros = 20 * MS;

/// Which placers get tasks, and when.
#[derive(Clone, Copy, Debug)]
enum ArrivalPattern {
    /// Each placer always has queued tasks.
    Busy,
    /// All placers get tasks at the same moments, and none in between.
    Synchronized,
    /// One placer gets many tasks, the others one now and then.
    OneBusy,
    /// All placers get their first tasks at once, some time after the start of the machine.
    Late,
}

/// Which placers are killed and restarted while the machine is warming up.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Restarts {
    Nobody,
    /// Placers at random moments, about a third of them in all.
    Some,
    /// All placers within one window, as in the rollout of a release.
    All,
}

/// The offers that a machine got while it was warming up.
struct WarmUp {
    /// Offers in a window that the machine survives, N.
    budget: f64,
    /// When each offer arrived at the machine, sorted.
    arrived: Vec<Micros>,
}

impl WarmUp {
    /// The largest number of offers in any window.
    fn most_offers_in_window(&self) -> usize {
        let mut most = 0;
        for (n, from) in self.arrived.iter().enumerate() {
            let until = self.arrived.partition_point(|at| *at < from + WINDOW);
            most = most.max(until - n);
        }
        most
    }

    /// The largest number of offers in a window that rule 4 allows: N and the chance excess.
    fn bound(&self) -> f64 {
        self.budget + 2.0 * self.budget.sqrt() + 2.0
    }
}

fn slow_start_settings(schedulers: u32, budget: f64) -> Settings {
    let mut settings = settings();
    (settings.schedulers, settings.rules.slow_start_offers) = (schedulers, Some(budget));
    (
        settings.rules.slow_start_window_us,
        settings.rules.warm_after_us,
    ) = (Some(WINDOW), Some(WARM));
    settings.kinds[0] = Kind {
        cores: Some(1e6),
        memory: Some(1e6),
    };
    settings
}

/// Simulates a machine that restarts at `START`, and placers of which some are killed and restarted
/// while it is warming up.
fn simulate_warm_up(
    seed: u64,
    schedulers: u32,
    budget: f64,
    pattern: ArrivalPattern,
    restarts: Restarts,
) -> WarmUp {
    let mut draw = Pcg32::new(seed, 7);
    let settings = |position| Settings {
        position: Some(position),
        ..slow_start_settings(schedulers, budget)
    };
    let started = Machine {
        ready_at: Some(START),
        ..machine(1 + u64::from(draw.next_u32()), 0)
    };
    let cached_list =
        |machine: &Machine| vec![Event::Listed(Listing::Cached(vec![machine.clone()]))];
    let not_started = Machine {
        ready_at: None,
        health: Health::Gone,
        ..started.clone()
    };
    let mut placers: Vec<(Placer, Vec<Event>)> = (0..schedulers)
        .map(|n| {
            (
                Placer::new(settings(n), seed ^ u64::from(n) << 32),
                cached_list(&not_started),
            )
        })
        .collect();
    let (mut arrived_at, mut request) = (Vec::new(), 0_u64);
    let mut queued_tasks: Vec<u32> = vec![0; placers.len()];
    let mut now = START - SECOND;
    let mut informed_at: BTreeMap<usize, Micros> = BTreeMap::new();
    while now < START + WARM {
        for (n, (placer, events)) in placers.iter_mut().enumerate() {
            // Each placer learns of the start of the machine within half a second.
            if now >= START
                && !informed_at.contains_key(&n)
                && (draw.next_u32().is_multiple_of(12) || now >= START + SECOND / 2)
            {
                informed_at.insert(n, now);
                events.push(Event::Listed(Listing::Changes(vec![started.clone()])));
            }
            let rollout_at =
                START + 3 * SECOND + n as u64 * SECOND / u64::from(schedulers) / TICK * TICK;
            let is_killed = match restarts {
                Restarts::Nobody => false,
                Restarts::Some => draw.next_u32().is_multiple_of(1_400),
                Restarts::All => now == rollout_at,
            };
            if is_killed && now > START {
                *placer = Placer::new(settings(n as u32), seed ^ now ^ n as u64);
                *events = cached_list(&started);
                informed_at.insert(n, now);
                queued_tasks[n] = 0;
            }
            let task_arrives = match pattern {
                ArrivalPattern::Busy => queued_tasks[n] == 0,
                ArrivalPattern::Synchronized => now % (2 * SECOND + 100 * MS) < TICK,
                ArrivalPattern::Late => now >= START + 6 * SECOND,
                ArrivalPattern::OneBusy => n == 0 || draw.next_u32().is_multiple_of(150),
            };
            if task_arrives && queued_tasks[n] < 4 {
                request += 1;
                let Event::Arrived { mut task, .. } = arrived(request, 0) else {
                    unreachable!()
                };
                (task.cores, task.memory) = (0.001, 0.001);
                events.push(Event::Arrived {
                    task,
                    grace_us: 30 * SECOND,
                });
                queued_tasks[n] += 1;
            }
            if now % (100 * MS) < TICK && queued_tasks[n] > 0 {
                events.push(Event::TimerDue(1));
            }
            if events.is_empty() {
                continue;
            }
            let mut actions = Vec::new();
            placer.step(now, events, &mut actions);
            events.clear();
            for (request, chosen) in offers(&actions) {
                arrived_at.push(now + u64::from(draw.next_u32() % 3_000));
                queued_tasks[n] -= 1;
                events.push(placed(request, 0, chosen));
            }
        }
        now += TICK;
    }
    arrived_at.sort_unstable();
    WarmUp {
        budget,
        arrived: arrived_at,
    }
}

/// Rule 4 for the sum over all placers: N offers in any window, plus the chance excess, for every combination of
/// arrivals and restarts.
#[test]
fn the_offers_of_all_placers_stay_within_the_slow_start_budget() {
    let mut exceeded = Vec::new();
    for (schedulers, seeds) in [(1, 72), (16, 144), (30, 144), (170, 24), (350, 24)] {
        for seed in 0..seeds {
            let budget = [1.0, 2.0, 4.6, 9.0, 40.0, 400.0][seed as usize % 6];
            let pattern = [
                ArrivalPattern::Busy,
                ArrivalPattern::Synchronized,
                ArrivalPattern::OneBusy,
                ArrivalPattern::Late,
            ][seed as usize / 6 % 4];
            let restarts =
                [Restarts::Nobody, Restarts::Some, Restarts::All][seed as usize / 24 % 3];
            let warm_up = simulate_warm_up(seed, schedulers, budget, pattern, restarts);
            let most = warm_up.most_offers_in_window();
            if most as f64 > warm_up.bound() {
                exceeded.push((schedulers, seed, budget, pattern, restarts, most));
            }
        }
    }
    assert!(
        exceeded.is_empty(),
        "the bound was exceeded in {} cases (schedulers, seed, budget, arrivals, restarts, offers): {exceeded:?}",
        exceeded.len()
    );
}

/// Busy placers use most of the budget, also where it is less than one offer for each placer.
#[test]
fn busy_placers_use_most_of_the_slow_start_budget() {
    for (schedulers, budget, least_used) in [
        (16, 4.0, 0.8),
        (30, 9.0, 0.8),
        (30, 40.0, 0.8),
        (30, 59.0, 0.8),
        (16, 400.0, 0.7),
    ] {
        let warm_up = simulate_warm_up(
            3,
            schedulers,
            budget,
            ArrivalPattern::Busy,
            Restarts::Nobody,
        );
        let windows = WARM as f64 / WINDOW as f64;
        let used = warm_up.arrived.len() as f64 / (budget * windows);
        println!(
            "{schedulers} placers, N {budget}: {used:.2} of N used, at most {} of {:.1} offers in a window",
            warm_up.most_offers_in_window(),
            warm_up.bound()
        );
        assert!(
            used >= least_used,
            "{schedulers} placers use {used} of a budget of {budget}"
        );
    }
}

/// An offer that waited for its connection counts against the budget from when it is sent, and may not be sent where the
/// budget is spent or the machine is draining.
#[test]
fn an_offer_that_waits_for_its_connection_spends_the_budget_when_it_is_sent() {
    let mut harness = Harness::new(settings(), Vec::new());
    harness.now += SECOND;
    let warming_up = |health| Machine {
        ready_at: Some(START + SECOND),
        ..with_health(machine(1, 0), health)
    };
    let mut batch = vec![Event::Listed(Listing::Changes(vec![warming_up(
        Health::Ready,
    )]))];
    batch.extend((0..2).map(|request| arrived(request, 0)));
    assert_eq!(
        offers(&harness.step(&batch)).len(),
        2,
        "the share of 8 offers for 4 placers"
    );
    harness.now += 3 * SECOND / 2;
    assert!((0..2).all(|request| {
        harness
            .placer
            .claim_late_send(harness.now, attempt(request, 0))
    }));
    assert!(
        offers(&harness.step_after(SECOND, &[arrived(2, 0)])).is_empty(),
        "the window since both were sent is not over"
    );
    assert_eq!(
        offers(&harness.step_after(3 * SECOND / 2, &[Event::TimerDue(1)])).len(),
        1
    );
    assert!(
        !harness.placer.claim_late_send(harness.now, attempt(9, 0)),
        "the attempt is unknown"
    );
    // The machine starts to drain before the connection is established.
    harness.step(&[Event::Listed(Listing::Changes(vec![warming_up(
        Health::Draining,
    )]))]);
    assert!(!harness.placer.claim_late_send(harness.now, attempt(2, 0)));
}

/// A budget that is not a number, negative or infinite, and a window of no or unlimited length.
#[test]
fn unusual_budgets_never_allow_too_many_offers() {
    for (budget, window, expected_offers) in [
        (f64::NAN, WINDOW, 0),
        (-3.0, WINDOW, 0),
        (f64::NEG_INFINITY, WINDOW, 0),
        (0.0, WINDOW, 0),
        (8.0, 0, 2),
        (8.0, Micros::MAX, 2),
        (f64::INFINITY, WINDOW, 6),
    ] {
        let mut settings = settings();
        (
            settings.rules.slow_start_offers,
            settings.rules.slow_start_window_us,
        ) = (Some(budget), Some(window));
        let mut harness = Harness::new(settings, Vec::new());
        harness.now += SECOND;
        let warming_up = Machine {
            ready_at: Some(harness.now),
            ..machine(1, 0)
        };
        let mut batch = vec![Event::Listed(Listing::Changes(vec![warming_up]))];
        batch.extend((0..6).map(|request| arrived(request, 0)));
        assert_eq!(
            offers(&harness.step(&batch)).len(),
            expected_offers,
            "a budget of {budget} in {window} microseconds"
        );
    }
}
