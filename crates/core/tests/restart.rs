//! A placer that is killed, or loses power, and comes back to its state folder: simulated disk, nodes and
//! links, under faults drawn from a seed.

mod world;

use proptest::prelude::*;
use rand_core::Rng;
use reedring_nodeproto::Repeat;
use reedring_settings::Health;
use world::{MS, World};

/// What must hold whatever happened: every job that was taken has exactly one outcome, nothing stands that
/// nobody waits for, and what must not start twice did not.
fn judge(world: &World) {
    assert_eq!(world.errors, Vec::<String>::new());
    assert_eq!(world.late_offers, Vec::<String>::new());
    let untold: Vec<&String> = world.taken.iter().filter(|job| !world.told.contains_key(*job)).collect();
    assert!(untold.is_empty(), "no outcome for {untold:?}");
    for (job, infos) in &world.told {
        assert_eq!(infos.len(), 1, "{job}: {infos:?}");
    }
    for (job, copies) in &world.copies {
        if copies.repeat == Some(Repeat::Unsafe) {
            assert!(copies.ran.len() <= 1, "{job} ran as {:?}", copies.ran);
            let refused = |info: &reedring_drmaa::JobInfo| info.usage("reedring.outcome") == Some("refused");
            let told = world.told.get(job).is_some_and(|infos| refused(&infos[0]));
            assert!(!told || copies.ran.is_empty(), "{job} was refused and ran");
        }
    }
    assert_eq!(world.standing().len(), 0, "{:?}", world.standing());
}

/// Jobs of three classes while nodes, links, disk and placer fail.
fn day(seed: u64, faults: usize, disk: bool) -> World {
    let mut world = World::keeping(4, seed);
    world.run_for(50 * MS);
    for _ in 0..faults {
        let class = ["safe", "keyed", "unsafe"][world.draw.next_u32() as usize % 3];
        let (count, life) =
            (1 + u64::from(world.draw.next_u32() % 6), 20 + u64::from(world.draw.next_u32() % 400));
        world.submit(class, count, life);
        world.wait_any();
        let n = world.draw.next_u32() as usize % world.nodes();
        match world.draw.next_u32() % 14 {
            0 => world.cut(n),
            1 => world.lose_answers(n),
            2 if world.is_up(n) => world.kill_node(n),
            2 => world.start_node(n),
            3 => world.hang(n, true),
            4 => world.hang(n, false),
            5 => world.list(n, Health::Draining),
            6 => world.list(n, Health::Ready),
            7 if disk => world.disk().fail_sync(),
            8 if disk => world.disk().full(true),
            9 if disk => world.disk().full(false),
            7..=10 => world.restart_placer(),
            _ => world.cut_power(),
        }
        let until = world.now + u64::from(world.draw.next_u32() % 150) * MS;
        while world.now < until {
            world.run_for(5 * MS);
            world.wait_any();
        }
    }
    world.disk().full(false);
    for n in 0..world.nodes() {
        world.hang(n, false);
        world.list(n, Health::Ready);
        if !world.is_up(n) {
            world.start_node(n);
        }
    }
    world.wait_for(1_500);
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn every_job_taken_has_one_outcome_over_any_kills_and_power_cuts(seed in any::<u64>()) {
        judge(&day(seed, 30, false));
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let (one, two) = (day(5, 30, true), day(5, 30, true));
    assert_eq!((one.fingerprint, &one.told), (two.fingerprint, &two.told));
}

/// Nothing at all happens to a placer but restarts: all that was taken is placed.
#[test]
fn jobs_outlive_restarts_and_their_owner_is_told_once() {
    let mut world = World::keeping(4, 1);
    world.run_for(50 * MS);
    for _ in 0..10 {
        for class in ["safe", "keyed", "unsafe"] {
            world.submit(class, 4, 300);
        }
        world.wait_for(3);
        world.restart_placer();
    }
    world.wait_for(1_000);
    judge(&world);
    assert_eq!(world.told.len(), 120);
    let outcomes = world.told.values().filter(|infos| infos[0].usage("reedring.outcome") == Some("placed"));
    assert_eq!(outcomes.count(), 120);
}
