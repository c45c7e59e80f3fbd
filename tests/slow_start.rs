//! A cold machine and a whole fleet, in simulated time: the sum of all placers' offers, in every sliding window.

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
/// How far apart looks of the world are.
const TICK: Micros = 20 * MS;

/// Who has tasks when.
#[derive(Clone, Copy, Debug)]
enum Load {
    /// Each placer always has some that wait.
    Busy,
    /// All of them get some in the same instants, and nothing between.
    InStep,
    /// One has many, the others one now and then.
    One,
    /// All of them get their first ones at once, when the machine is back for a while.
    Late,
}

/// Who is killed and starts again while the machine is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Restarts {
    Nobody,
    /// One now and then, a third of them in all.
    Some,
    /// All of them within one window, as a release does.
    All,
}

/// What happened at the cold machine.
struct Return {
    offers: f64,
    /// Offers as they arrived, in order.
    arrived: Vec<Micros>,
}

impl Return {
    fn worst(&self) -> usize {
        let mut most = 0;
        for (n, from) in self.arrived.iter().enumerate() {
            let until = self.arrived.partition_point(|at| *at < from + WINDOW);
            most = most.max(until - n);
        }
        most
    }

    fn bound(&self) -> f64 {
        self.offers + 2.0 * self.offers.sqrt() + 2.0
    }
}

fn told(schedulers: u32, offers: f64) -> Settings {
    let mut told = settings();
    (told.schedulers, told.rules.slow_start_offers) = (schedulers, Some(offers));
    (told.rules.slow_start_window_us, told.rules.warm_after_us) = (Some(WINDOW), Some(WARM));
    told.kinds[0] = Kind {
        cores: Some(1e6),
        memory: Some(1e6),
    };
    told
}

/// One machine comes back, and placers are killed and start again meanwhile.
fn returns(seed: u64, schedulers: u32, offers: f64, load: Load, restarts: Restarts) -> Return {
    let mut draw = Pcg32::new(seed, 7);
    let settings = |position| Settings {
        position: Some(position),
        ..told(schedulers, offers)
    };
    let line = Machine {
        ready_at: Some(START),
        ..machine(1 + u64::from(draw.next_u32()), 0)
    };
    let lists = |line: &Machine| vec![Event::Listed(Listing::Cached(vec![line.clone()]))];
    let before = Machine {
        ready_at: None,
        health: Health::Gone,
        ..line.clone()
    };
    let mut placers: Vec<(Placer, Vec<Event>)> = (0..schedulers)
        .map(|n| {
            (
                Placer::new(settings(n), seed ^ u64::from(n) << 32),
                lists(&before),
            )
        })
        .collect();
    let (mut arrived_at, mut request) = (Vec::new(), 0_u64);
    let mut waits: Vec<u32> = vec![0; placers.len()];
    let mut now = START - SECOND;
    let mut told_at: BTreeMap<usize, Micros> = BTreeMap::new();
    while now < START + WARM {
        for (n, (placer, events)) in placers.iter_mut().enumerate() {
            // Told of the start within half a second.
            if now >= START
                && !told_at.contains_key(&n)
                && (draw.next_u32().is_multiple_of(12) || now >= START + SECOND / 2)
            {
                told_at.insert(n, now);
                events.push(Event::Listed(Listing::Changes(vec![line.clone()])));
            }
            let turn = START + 3 * SECOND + n as u64 * SECOND / u64::from(schedulers) / TICK * TICK;
            let killed = match restarts {
                Restarts::Nobody => false,
                Restarts::Some => draw.next_u32().is_multiple_of(1_400),
                Restarts::All => now == turn,
            };
            if killed && now > START {
                *placer = Placer::new(settings(n as u32), seed ^ now ^ n as u64);
                *events = lists(&line);
                told_at.insert(n, now);
                waits[n] = 0;
            }
            let more = match load {
                Load::Busy => waits[n] == 0,
                Load::InStep => now % (2 * SECOND + 100 * MS) < TICK,
                Load::Late => now >= START + 6 * SECOND,
                Load::One => n == 0 || draw.next_u32().is_multiple_of(150),
            };
            if more && waits[n] < 4 {
                request += 1;
                let Event::Arrived { mut task, .. } = arrived(request, 0) else {
                    unreachable!()
                };
                (task.cores, task.memory) = (0.001, 0.001);
                events.push(Event::Arrived {
                    task,
                    grace_us: 30 * SECOND,
                });
                waits[n] += 1;
            }
            if now % (100 * MS) < TICK && waits[n] > 0 {
                events.push(Event::Woken(1));
            }
            if events.is_empty() {
                continue;
            }
            let mut actions = Vec::new();
            placer.step(now, events, &mut actions);
            events.clear();
            for (request, at) in offers_of(&actions) {
                arrived_at.push(now + u64::from(draw.next_u32() % 3_000));
                waits[n] -= 1;
                events.push(placed(request, 0, at));
            }
        }
        now += TICK;
    }
    arrived_at.sort_unstable();
    Return {
        offers,
        arrived: arrived_at,
    }
}

fn offers_of(actions: &[Action]) -> Vec<(u64, MachineId)> {
    offers(actions)
}

/// Rule 4 for the sum, beyond what is told only what counts as chance, over seeded returns of every kind.
#[test]
fn the_sum_of_a_fleet_stays_within_what_a_cold_machine_bears() {
    let mut over = Vec::new();
    for (schedulers, seeds) in [(1, 72), (16, 144), (30, 144), (170, 24), (350, 24)] {
        for seed in 0..seeds {
            let offers = [1.0, 2.0, 4.6, 9.0, 40.0, 400.0][seed as usize % 6];
            let load = [Load::Busy, Load::InStep, Load::One, Load::Late][seed as usize / 6 % 4];
            let restarts =
                [Restarts::Nobody, Restarts::Some, Restarts::All][seed as usize / 24 % 3];
            let back = returns(seed, schedulers, offers, load, restarts);
            if back.worst() as f64 > back.bound() {
                over.push((schedulers, seed, offers, load, restarts, back.worst()));
            }
        }
    }
    assert!(over.is_empty(), "{} over: {over:?}", over.len());
}

/// And it is served: a busy fleet uses the most of what is told, also where that is under one for each.
#[test]
fn a_busy_fleet_uses_what_a_cold_machine_bears() {
    for (schedulers, offers, least) in [
        (16, 4.0, 0.8),
        (30, 9.0, 0.8),
        (30, 40.0, 0.8),
        (30, 59.0, 0.8),
        (16, 400.0, 0.7),
    ] {
        let back = returns(3, schedulers, offers, Load::Busy, Restarts::Nobody);
        let windows = WARM as f64 / WINDOW as f64;
        let used = back.arrived.len() as f64 / (offers * windows);
        println!(
            "{schedulers} placers, N {offers}: {used:.2} of N in use, most {} of {:.1}",
            back.worst(),
            back.bound()
        );
        assert!(used >= least, "{schedulers} {offers}: {used}");
    }
}

/// What waited for its connection spends the budget when it leaves, and does not leave where that is spent or over.
#[test]
fn an_offer_that_leaves_late_spends_the_budget_when_it_leaves() {
    let mut bed = Bed::new(settings(), Vec::new());
    bed.now += SECOND;
    let cold = |health| Machine {
        ready_at: Some(START + SECOND),
        ..with(machine(1, 0), health)
    };
    let mut batch = vec![Event::Listed(Listing::Changes(vec![cold(Health::Ready)]))];
    batch.extend((0..2).map(|request| arrived(request, 0)));
    assert_eq!(
        offers(&bed.step(&batch)).len(),
        2,
        "8 offers over 4 placers"
    );
    bed.now += 3 * SECOND / 2;
    assert!((0..2).all(|request| bed.placer.claim_late_send(bed.now, attempt(request, 0))));
    assert!(
        offers(&bed.after(SECOND, &[arrived(2, 0)])).is_empty(),
        "a window from when they left"
    );
    assert_eq!(
        offers(&bed.after(3 * SECOND / 2, &[Event::Woken(1)])).len(),
        1
    );
    assert!(
        !bed.placer.claim_late_send(bed.now, attempt(9, 0)),
        "nobody knows of it"
    );
    // It drains before the connection stands.
    bed.step(&[Event::Listed(Listing::Changes(vec![cold(
        Health::Draining,
    )]))]);
    assert!(!bed.placer.claim_late_send(bed.now, attempt(2, 0)));
}

/// A budget that is no number, negative or without bound, and a window of nothing: the safest reading.
#[test]
fn odd_budgets_are_read_safely() {
    for (budget, window, most) in [
        (f64::NAN, WINDOW, 0),
        (-3.0, WINDOW, 0),
        (f64::NEG_INFINITY, WINDOW, 0),
        (0.0, WINDOW, 0),
        (8.0, 0, 2),
        (8.0, Micros::MAX, 2),
        (f64::INFINITY, WINDOW, 6),
    ] {
        let mut told = settings();
        (
            told.rules.slow_start_offers,
            told.rules.slow_start_window_us,
        ) = (Some(budget), Some(window));
        let mut bed = Bed::new(told, Vec::new());
        bed.now += SECOND;
        let cold = Machine {
            ready_at: Some(bed.now),
            ..machine(1, 0)
        };
        let mut batch = vec![Event::Listed(Listing::Changes(vec![cold]))];
        batch.extend((0..6).map(|request| arrived(request, 0)));
        assert_eq!(offers(&bed.step(&batch)).len(), most, "{budget} {window}");
    }
}
