//! Stalled links, a slow disk and restarts with offers in flight. The limits of a cold node and the deadlines of jobs
//! must hold for the time at which messages arrive, which these delays separate from the time of the decision.

mod world;

use world::{MS, SECOND, World};

/// A node is cold for a minute after its start, and then takes at most eight offers in two seconds.
const COLD: &str = "warm_after = \"60s\"\ncold_window = \"2s\"\ncold_offers = 8.0";
/// The window of `COLD`, in microseconds.
const WINDOW: u64 = 2 * SECOND;

/// Submits four short tasks every 200 ms, for this many microseconds.
fn submit_for(world: &mut World, us: u64) {
    let until = world.now + us;
    while world.now < until {
        world.submit("safe", 4, 30);
        world.wait_any();
        world.run_for(200 * MS);
    }
}

/// Offers that wait on a stalled link arrive at once when it recovers. However long the stall, they must not exceed the
/// limit of a cold node.
#[test]
fn offers_from_a_stalled_link_do_not_exceed_the_limit_of_a_cold_node() {
    for (seed, stall) in (300..7_000).step_by(350).enumerate() {
        let mut world = World::with_slow_start(1, seed as u64, COLD);
        world.delay_messages(0, stall * MS);
        submit_for(&mut world, (stall + 8_000) * MS);
        assert!(
            world.arrivals.len() > 8,
            "stall of {stall} ms: only {} offers arrived",
            world.arrivals.len()
        );
        let most = world.max_arrivals_within(0, WINDOW);
        assert!(
            most <= 8,
            "stall of {stall} ms: {most} offers arrived within one window, at most 8 may"
        );
        world.run_for(5 * SECOND);
        assert_eq!(world.errors, Vec::<String>::new());
    }
}

/// Offers of a former incarnation count for a cold node's limit, as they may have arrived up to the end of its link.
#[test]
fn a_restarted_placer_sends_a_cold_node_no_offers_for_one_window() {
    let mut world = World::with_state_folder_and_slow_start(1, 1, COLD);
    world.submit("safe", 8, 5_000);
    world.run_for(1_800 * MS);
    assert_eq!(world.arrivals.len(), 8);
    world.restart_placer();
    let from = world.now;
    submit_for(&mut world, 1_900 * MS);
    assert_eq!(world.arrivals.len(), 8, "{:?}", world.arrivals);
    submit_for(&mut world, 4 * SECOND);
    let next = world
        .arrivals
        .get(8)
        .expect("offers arrive again after the window")
        .0;
    assert!(
        next >= from + WINDOW,
        "the first offer arrived {} us after the restart, before the window of {WINDOW} us had passed",
        next - from
    );
}

/// A reply waits until its record is durable. With a disk that takes 330 ms, the placer has to decide that much earlier
/// for the reply to arrive before the client gives up.
#[test]
fn replies_arrive_before_clients_give_up_despite_a_slow_disk() {
    let mut world = World::with_state_folder(2, 3);
    world.write_latency_us = Some(330 * MS);
    world.run_for(2 * SECOND);
    // From the first batches the placer measures the latency of its disk.
    world.submit("safe", 1, 10);
    world.wait_hundredths(200);
    (0..2).for_each(|n| world.set_hanging(n, true));
    let (from, before) = (world.now, world.accepted.len());
    for class in ["safe", "keyed", "unsafe"] {
        world.submit(class, 3, 10);
    }
    world.wait_hundredths(500);
    assert_eq!(world.accepted.len() - before, 9);
    let late: Vec<u64> = world
        .reported_at
        .values()
        .filter(|at| **at > from + 3 * SECOND)
        .copied()
        .collect();
    assert_eq!(
        late,
        Vec::<u64>::new(),
        "ends reported after their clients gave up at {}",
        from + 3 * SECOND
    );
    assert_eq!(world.reported_at.len(), 10, "each job has an end");
}
