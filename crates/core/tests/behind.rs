//! Links that stall, disks that are slow, lives that end with offers on their way: the rules hold by what is
//! unanswered and by how far behind the placer is, not by what it decided when.

mod world;

use world::{MS, SECOND, World};

const COLD: &str = "warm_after = \"60s\"\ncold_window = \"2s\"\ncold_offers = 8.0";
const WINDOW: u64 = 2 * SECOND;

/// Keeps submitting a few short tasks for so long.
fn press(world: &mut World, us: u64) {
    let until = world.now + us;
    while world.now < until {
        world.submit("safe", 4, 30);
        world.wait_any();
        world.run_for(200 * MS);
    }
}

/// Rule 4: what a stalled link lets through at once is no more than the node bears, for every length of the stall.
#[test]
fn a_link_that_stalls_brings_a_cold_node_no_more_at_once_than_it_bears() {
    for (seed, stall) in (300..7_000).step_by(350).enumerate() {
        let mut world = World::cold(1, seed as u64, COLD);
        world.stall(0, stall * MS);
        press(&mut world, (stall + 8_000) * MS);
        assert!(
            world.arrivals.len() > 8,
            "stall of {stall} ms: {} arrived",
            world.arrivals.len()
        );
        let most = world.most_within(0, WINDOW);
        assert!(most <= 8, "stall of {stall} ms: {most} in one window");
        world.run_for(5 * SECOND);
        assert_eq!(world.errors, Vec::<String>::new());
    }
}

/// Rule 4: an offer of a former life may arrive until its link is voided, whenever it was decided.
#[test]
fn a_successor_gives_a_cold_node_nothing_for_a_window_after_its_former_life_did() {
    let mut world = World::keeping_cold(1, 1, COLD);
    world.submit("safe", 8, 5_000);
    world.run_for(1_800 * MS);
    assert_eq!(world.arrivals.len(), 8);
    world.restart_placer();
    let from = world.now;
    press(&mut world, 1_900 * MS);
    assert_eq!(world.arrivals.len(), 8, "{:?}", world.arrivals);
    press(&mut world, 4 * SECOND);
    let next = world
        .arrivals
        .get(8)
        .expect("it goes on after the window")
        .0;
    assert!(next >= from + WINDOW, "{} us after the start", next - from);
}

/// Rule 1: a disk that takes a third of a second makes answers earlier, not late.
#[test]
fn answers_reach_their_owners_in_time_over_a_slow_disk() {
    let mut world = World::keeping(2, 3);
    world.disk_us = Some(330 * MS);
    world.run_for(2 * SECOND);
    // The first batches tell how slow it is.
    world.submit("safe", 1, 10);
    world.wait_for(200);
    (0..2).for_each(|n| world.hang(n, true));
    let (from, before) = (world.now, world.taken.len());
    for class in ["safe", "keyed", "unsafe"] {
        world.submit(class, 3, 10);
    }
    world.wait_for(500);
    assert_eq!(world.taken.len() - before, 9);
    let late: Vec<u64> = world
        .told_at
        .values()
        .filter(|at| **at > from + 3 * SECOND)
        .copied()
        .collect();
    assert_eq!(
        late,
        Vec::<u64>::new(),
        "told after their owners gave up at {}",
        from + 3 * SECOND
    );
    assert_eq!(world.told_at.len(), 10, "each has its end");
}
