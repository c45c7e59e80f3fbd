//! The core of a placer with node models in simulated time, under random faults drawn from a seed.

mod world;

use proptest::prelude::*;
use rand_core::Rng;
use reedring_node_protocol::Idempotency;
use reedring_settings::Health;
use world::{MS, SECOND, World};

/// Submits jobs of three classes while random faults occur, then ends all faults and runs for 15 s.
fn run_random_faults(seed: u64, faults: usize, restarts: bool) -> World {
    run_random_faults_in(World::new(4, seed), faults, restarts)
}

fn run_random_faults_in(mut world: World, faults: usize, restarts: bool) -> World {
    world.run_for(50 * MS);
    for _ in 0..faults {
        world.submit_random();
        let n = world.rng.next_u32() as usize % world.node_count();
        match world.rng.next_u32() % 10 {
            0 | 1 => world.cut_links(n),
            2 => world.lose_answers(n),
            3 if world.is_up(n) => world.kill_node(n),
            3 => world.start_node(n),
            4 => world.set_hanging(n, true),
            5 => world.set_hanging(n, false),
            6 => world.set_health(n, Health::Draining),
            7 => world.set_health(n, Health::Ready),
            8 => world.set_health(n, Health::Gone),
            _ if restarts && world.rng.next_u32().is_multiple_of(2) => world.cut_power(),
            _ if restarts => world.restart_placer(),
            _ => {}
        }
        let after = u64::from(world.rng.next_u32() % 200) * MS;
        let until = world.now + after;
        while world.now < until {
            world.run_for(10 * MS);
            world.wait_any();
            check_single_copy(&world);
        }
    }
    world.heal();
    for _ in 0..1_500 {
        world.run_for(10 * MS);
        world.wait_any();
        check_single_copy(&world);
    }
    world
}

/// Checks that nodes hold at most one copy of each non-idempotent job at this moment.
fn check_single_copy(world: &World) {
    for (job, copies) in world.running_copies() {
        if world.copies[&job].idempotency == Some(Idempotency::NonIdempotent) {
            assert!(
                copies.len() <= 1,
                "nodes hold {} copies of {job}",
                copies.len()
            );
        }
    }
}

/// Checks what must hold at the end of every run. A placer without a state folder loses jobs when it is killed, so with
/// `restarts` set a job may have no outcome.
fn check_invariants(world: &World, restarts: bool) {
    assert_eq!(world.errors, Vec::<String>::new());
    assert_eq!(world.late_offers, Vec::<String>::new());
    // A non-idempotent job ran at most once, over all incarnations of nodes and placer.
    for (job, copies) in &world.copies {
        if copies.idempotency == Some(Idempotency::NonIdempotent) {
            assert!(
                copies.ran.len() <= 1,
                "{job} ran in several attempts: {:?}",
                copies.ran
            );
        }
    }
    // No copies are left over once all jobs have ended.
    assert_eq!(
        world.running_copies().len(),
        0,
        "{:?}",
        world.running_copies()
    );
    // Each accepted job has exactly one outcome.
    for (job, infos) in &world.reported {
        assert_eq!(infos.len(), 1, "{job}: {infos:?}");
    }
    if !restarts {
        let unreported: Vec<&String> = world
            .accepted
            .iter()
            .filter(|job| !world.reported.contains_key(*job))
            .collect();
        assert!(unreported.is_empty(), "no outcome for {unreported:?}");
    }
    for infos in world.reported.values() {
        let outcome = infos[0].usage("reedring.outcome").unwrap();
        let ran = world
            .copies
            .get(&infos[0].job)
            .map_or(0, |copies| copies.ran.len());
        // A refusal promises that the job did not run and may be submitted again.
        let unsafe_job = world
            .copies
            .get(&infos[0].job)
            .is_some_and(|c| c.idempotency == Some(Idempotency::NonIdempotent));
        assert!(
            !(outcome == "refused" && unsafe_job && ran > 0),
            "{infos:?}"
        );
    }
}

#[test]
fn without_faults_every_job_is_placed_and_runs_once() {
    let mut world = World::new(4, 1);
    world.run_for(50 * MS);
    for class in ["safe", "keyed", "unsafe"] {
        world.submit(class, 20, 100);
    }
    world.wait_hundredths(500);
    check_invariants(&world, false);
    assert_eq!(world.reported.len(), 60);
    let placed = world
        .reported
        .values()
        .filter(|infos| infos[0].usage("reedring.outcome") == Some("placed"));
    assert_eq!(placed.count(), 60);
    assert!(world.copies.values().all(|copies| copies.ran.len() == 1));
}

#[test]
fn equal_seeds_give_equal_runs() {
    let (one, two, other) = (
        run_random_faults(5, 30, true),
        run_random_faults(5, 30, true),
        run_random_faults(6, 30, true),
    );
    assert_eq!(
        (one.fingerprint, &one.reported),
        (two.fingerprint, &two.reported)
    );
    assert_ne!(one.fingerprint, other.fingerprint);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    #[test]
    fn invariants_hold_under_faults(seed in any::<u64>()) {
        check_invariants(&run_random_faults(seed, 40, false), false);
    }

    #[test]
    fn invariants_hold_over_restarts_of_the_placer(seed in any::<u64>()) {
        check_invariants(&run_random_faults(seed, 40, true), true);
    }
}

/// The link is cut right after a node accepted a non-idempotent task, so that the placer does not receive the
/// acceptance.
#[test]
fn an_unsafe_task_whose_acceptance_was_lost_is_adopted_on_the_next_link() {
    let mut world = World::new(1, 3);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 300);
    for _ in 0..10_000 {
        if world.running_copies().is_empty() {
            world.run_for(100);
        }
    }
    assert_eq!(world.running_copies().len(), 1);
    world.lose_answers(0);
    world.wait_hundredths(300);
    check_invariants(&world, false);
    let info = &world.reported.values().next().unwrap()[0];
    assert_eq!(info.usage("reedring.outcome"), Some("placed"));
}

/// A task whose offer was lost with its link never ran, so that the offer may be repeated even for a non-idempotent
/// task.
#[test]
fn an_offer_that_never_arrived_is_sent_again() {
    let mut world = World::new(2, 3);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 300);
    // Both links are cut while the offer is in flight.
    (0..2).for_each(|n| world.cut_links(n));
    world.wait_hundredths(400);
    check_invariants(&world, false);
    assert_eq!(
        world.reported.values().next().unwrap()[0].usage("reedring.outcome"),
        Some("placed")
    );
}

/// A keyed task's node hangs, a second offer goes to another node of its group, and then the first node answers again.
#[test]
fn a_keyed_task_runs_once_when_the_node_of_its_first_offer_recovers() {
    let mut world = World::new(4, 9);
    world.run_for(50 * MS);
    (0..4).for_each(|n| world.set_hanging(n, true));
    world.submit("keyed", 1, 500);
    world.run_for(1_500 * MS);
    (0..4).for_each(|n| world.set_hanging(n, false));
    for _ in 0..600 {
        world.wait_any();
        world.run_for(10 * MS);
        assert!(
            world
                .running_copies()
                .values()
                .all(|copies| copies.len() <= 1)
        );
    }
    check_invariants(&world, false);
    assert_eq!(world.reported.len(), 1);
}

/// A placer is killed while its tasks run. Its next incarnation adopts the tasks that nodes hold and starts none twice.
#[test]
fn a_restarted_placer_adopts_the_tasks_that_nodes_hold() {
    let mut world = World::new(4, 11);
    world.run_for(50 * MS);
    for class in ["safe", "keyed", "unsafe"] {
        world.submit(class, 5, 2_000);
    }
    world.run_for(200 * MS);
    assert_eq!(world.running_copies().len(), 15);
    world.restart_placer();
    for _ in 0..600 {
        world.wait_any();
        world.run_for(10 * MS);
        assert!(
            world
                .running_copies()
                .values()
                .all(|copies| copies.len() == 1)
        );
    }
    check_invariants(&world, false);
    assert_eq!(world.reported.len(), 15);
    assert!(world.copies.values().all(|copies| copies.ran.len() == 1));
}

/// The reply to a submission is lost with its placer. The repeated submission finds the jobs instead of starting new
/// ones.
#[test]
fn a_submission_repeated_to_a_restarted_placer_is_not_started_twice() {
    let mut world = World::new(4, 12);
    world.run_for(50 * MS);
    let call = world.submit("unsafe", 6, 3_000);
    // The placer is killed after it has sent the offers, while its reply is in flight.
    world.run_for(100);
    assert!(world.open_calls.contains_key(&call));
    world.run_for(0);
    let lost = world.open_calls.clone();
    world.run_for(100 * MS);
    world.open_calls = lost;
    world.restart_placer();
    world.wait_hundredths(800);
    check_invariants(&world, false);
    assert_eq!(world.accepted.len(), 6);
    assert_eq!(world.reported.len(), 6);
    assert!(world.copies.values().all(|copies| copies.ran.len() == 1));
}

/// A node is listed as gone while it holds tasks: idempotent ones start again elsewhere, others are reported as failed.
#[test]
fn tasks_of_a_gone_node_start_again_only_if_they_are_idempotent() {
    for (class, starts_again) in [("safe", true), ("unsafe", false)] {
        let mut world = World::new(2, 13);
        world.run_for(50 * MS);
        world.submit(class, 1, 800);
        world.run_for(100 * MS);
        let job = world.running_copies().into_keys().next().unwrap();
        let at = (0..2).find(|n| world.holds_tasks(*n)).unwrap();
        world.set_health(at, Health::Gone);
        world.kill_node(at);
        world.wait_hundredths(600);
        let info = &world.reported[&job][0];
        assert_eq!(
            info.usage("reedring.attempts"),
            Some(if starts_again { "2" } else { "1" }),
            "{info:?}"
        );
        assert_eq!(
            matches!(info.end, reedring_drmaa::End::Exited { .. }),
            starts_again,
            "{info:?}"
        );
    }
}

/// A node is listed as draining while an offer to it is in flight: every job still gets its outcome.
#[test]
fn a_drain_while_an_offer_is_in_flight_leaves_every_job_with_one_outcome() {
    let mut world = World::new(2, 14);
    world.run_for(50 * MS);
    for round in 0..20 {
        world.submit("safe", 3, 50);
        world.set_health(round % 2, Health::Draining);
        world.run_for(300 * MS);
        world.wait_any();
        world.set_health(round % 2, Health::Ready);
        world.run_for(50 * MS);
    }
    world.wait_hundredths(500);
    check_invariants(&world, false);
    assert_eq!(world.reported.len(), 60);
}

/// The placer does not run for ten seconds, as on a stalled host.
#[test]
fn a_placer_that_stalls_for_seconds_leaves_every_job_with_one_outcome() {
    let mut world = World::new(2, 15);
    world.run_for(50 * MS);
    world.submit("safe", 20, 100);
    world.submit("unsafe", 20, 100);
    world.now += 10 * SECOND;
    world.wait_hundredths(800);
    check_invariants(&world, false);
    assert_eq!(world.reported.len(), 40);
}

/// Compares the incremental evaluation of constraints with one from scratch at every offer. Constrained and
/// unconstrained tasks of one service run side by side, and nodes reject some offers.
#[test]
fn offers_satisfy_their_constraints_as_evaluated_from_scratch() {
    let constraints = [
        "",
        "constraint='require apart from copies by machine'",
        "constraint='require spread by hall within 1'",
        "constraint='require spread by hall at most 3; prefer hall = a'",
        "constraint='require near copies by hall'",
        "constraint='require spread by hall at least 2; require name != \"node-0\"'",
    ];
    for seed in 0..12 {
        let mut world = World::new(6, seed);
        world.run_for(50 * MS);
        for _ in 0..60 {
            let more = constraints[world.rng.next_u32() as usize % constraints.len()];
            let (count, life) = (
                1 + u64::from(world.rng.next_u32() % 5),
                20 + u64::from(world.rng.next_u32() % 600),
            );
            world.submit_with("safe", count, life, more);
            let after = u64::from(world.rng.next_u32() % 60) * MS;
            world.run_for(after);
            world.wait_any();
        }
        world.wait_hundredths(800);
        assert_eq!(
            world.constraint_violations,
            Vec::<String>::new(),
            "offers that violated their constraints with seed {seed}"
        );
        check_invariants(&world, false);
    }
}

/// Mutual anti-affinity: two services that exclude each other from a hall are submitted at the same time.
#[test]
fn two_services_that_exclude_each_other_are_both_placed() {
    let mut world = World::new(4, 21);
    world.run_for(50 * MS);
    for (own, other) in [("a", "b"), ("b", "a")] {
        let more = format!("constraint='require apart from service {other} by hall'");
        world.submit_as("safe", own, 4, 300, &more);
    }
    world.wait_hundredths(600);
    assert_eq!(world.constraint_violations, Vec::<String>::new());
    check_invariants(&world, false);
    let placed = world
        .reported
        .values()
        .filter(|infos| infos[0].usage("reedring.outcome") == Some("placed"));
    assert_eq!(placed.count(), 8);
}

/// An offer without an answer counts as a copy: a hung node may hold it, so that no other copy may go to that node.
#[test]
fn an_unanswered_offer_counts_as_a_copy_for_constraints() {
    let mut world = World::new(4, 22);
    world.run_for(50 * MS);
    (0..4).for_each(|n| world.set_hanging(n, true));
    let one_per_node = "constraint='require apart from copies by machine'";
    world.submit_as("safe", "s", 1, 2_000, one_per_node);
    world.run_for(1_500 * MS);
    let offered = world.nodes_offered("s.1.1");
    assert!(offered.len() > 1, "{offered:?}");
    world.submit_as("safe", "s", 4, 2_000, one_per_node);
    world.run_for(300 * MS);
    // Each node to which the first job was offered may still hold its copy.
    assert!(
        world
            .offers_to_others("s.1.1")
            .iter()
            .all(|n| !offered.contains(n)),
        "{offered:?}"
    );
}

/// A keyed task may be offered again only within its group. If its constraint forbids that, it fails.
#[test]
fn a_keyed_task_fails_if_its_constraint_forbids_another_offer_in_its_group() {
    let mut world = World::new(2, 23);
    world.run_for(50 * MS);
    (0..2).for_each(|n| world.set_hanging(n, true));
    // Each hall has one node, so that the group's only node may hold the first copy.
    world.submit_as(
        "keyed",
        "s",
        1,
        300,
        "constraint='require apart from copies by hall'",
    );
    world.wait_hundredths(500);
    let infos = world.reported.values().next().unwrap();
    assert_eq!(
        infos[0].usage("reedring.outcome"),
        Some("failed"),
        "{infos:?}"
    );
    assert_eq!(infos[0].usage("reedring.attempts"), Some("1"));
}

/// A node moves to another hall while it holds a copy. For each of the two jobs, the violated
/// constraint is reported once, and so is its restoration.
#[test]
fn a_constraint_violated_by_a_moved_node_is_reported_once_and_once_as_restored() {
    let mut world = World::new(2, 24);
    world.run_for(50 * MS);
    world.submit_as(
        "safe",
        "s",
        2,
        60_000,
        "constraint='require spread by hall at most 1'",
    );
    world.run_for(300 * MS);
    assert_eq!(world.running_copies().len(), 2);
    let hall = world.node_list[1].hall.clone();
    world.node_list[1].hall = world.node_list[0].hall.clone();
    world.set_health(1, Health::Ready);
    assert_eq!(world.event_count("constraint_violated"), 2);
    world.set_health(1, Health::Ready);
    assert_eq!(world.event_count("constraint_violated"), 2);
    world.node_list[1].hall = hall;
    world.set_health(1, Health::Ready);
    assert_eq!(
        (
            world.event_count("constraint_violated"),
            world.event_count("constraint_restored")
        ),
        (2, 2)
    );
}

/// All nodes of a hall are listed as gone and then as ready: both changes are reported by the list update itself, once.
#[test]
fn a_spread_violated_by_a_gone_hall_is_reported_once_and_once_as_restored() {
    let mut world = World::new(2, 25);
    world.run_for(50 * MS);
    world.submit_as(
        "safe",
        "s",
        2,
        60_000,
        "constraint='require spread by hall at least 2'",
    );
    world.run_for(300 * MS);
    world.set_health(1, Health::Gone);
    assert_eq!(world.event_count("constraint_violated"), 1);
    world.run_for(100 * MS);
    world.set_health(1, Health::Ready);
    assert_eq!(
        (
            world.event_count("constraint_violated"),
            world.event_count("constraint_restored")
        ),
        (1, 1)
    );
}

/// A preference is dropped if the preferred node has no room. A requirement never is.
#[test]
fn a_preference_is_dropped_if_the_preferred_node_has_no_room() {
    let mut world = World::new(2, 26);
    world.run_for(50 * MS);
    // A node has 16 cores and a task takes half a core, so that 32 of the 40 tasks fit on one node.
    world.submit_as(
        "safe",
        "s",
        40,
        500,
        "constraint='prefer name = \"node-0\"'",
    );
    world.run_for(1_000 * MS);
    world.wait_hundredths(500);
    check_invariants(&world, false);
    let at = |node: &str| {
        world
            .reported
            .values()
            .filter(|infos| infos[0].usage("reedring.node") == Some(node))
            .count()
    };
    assert!(
        at("node-0") >= 30 && at("node-0") + at("node-1") == 40,
        "{} {}",
        at("node-0"),
        at("node-1")
    );
}

/// A node with running tasks is removed from the list and added again. It keeps its link, as a new link would discard
/// the messages in flight on the old one.
#[test]
fn a_node_removed_from_the_list_and_added_again_keeps_its_link() {
    let mut world = World::new(2, 27);
    world.run_for(50 * MS);
    world.submit("unsafe", 4, 1_000);
    world.run_for(100 * MS);
    let connects = world.connect_requests;
    for n in 0..2 {
        world.set_unlisted(n, true);
        world.run_for(50 * MS);
        world.set_unlisted(n, false);
    }
    assert_eq!(world.connect_requests, connects);
    world.submit("unsafe", 4, 100);
    world.wait_hundredths(300);
    check_invariants(&world, false);
    assert_eq!(world.reported.len(), 8);
}
