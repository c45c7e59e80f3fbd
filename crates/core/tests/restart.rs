//! A placer that is killed, or loses power, and comes back to its state folder: simulated disk, nodes and
//! links, under faults drawn from a seed.

mod world;

use proptest::prelude::*;
use rand_core::Rng;
use reedring_drmaa::JobInfo;
use reedring_drmaa::rpc::Call;
use reedring_node_protocol::Idempotency;
use reedring_settings::Health;
use world::{MS, SECOND, World};

/// What must hold whatever happened: every job that was taken has exactly one outcome, nothing stands that
/// nobody waits for, and what must not start twice did not.
fn judge(world: &World) {
    assert_eq!(world.errors, Vec::<String>::new());
    assert_eq!(world.late_offers, Vec::<String>::new());
    let untold: Vec<&String> = world
        .taken
        .iter()
        .filter(|job| !world.told.contains_key(*job))
        .collect();
    assert!(untold.is_empty(), "no outcome for {untold:?}");
    for (job, infos) in &world.told {
        assert_eq!(infos.len(), 1, "{job}: {infos:?}");
    }
    one_start(world);
    assert_eq!(world.standing().len(), 0, "{:?}", world.standing());
}

/// Rule 2, and what a refusal promises.
fn one_start(world: &World) {
    for (job, copies) in &world.copies {
        if copies.repeat == Some(Idempotency::NonIdempotent) {
            assert!(copies.ran.len() <= 1, "{job} ran as {:?}", copies.ran);
            let told = world
                .told
                .get(job)
                .is_some_and(|infos| outcome(&infos[0]) == "refused");
            assert!(!told || copies.ran.is_empty(), "{job} was refused and ran");
        }
    }
}

fn outcome(info: &JobInfo) -> &str {
    info.usage("reedring.outcome").unwrap()
}

/// The outcome and the reason of a world's only job.
fn only(world: &World) -> (String, String) {
    let infos: Vec<&JobInfo> = world.told.values().flatten().collect();
    assert_eq!(infos.len(), 1, "{infos:?}");
    (
        outcome(infos[0]).to_owned(),
        infos[0]
            .usage("reedring.reason")
            .unwrap_or_default()
            .to_owned(),
    )
}

/// Jobs of three classes while nodes, links, disk and placer fail.
fn day(seed: u64, faults: usize, disk: bool) -> World {
    let mut world = World::keeping(4, seed);
    world.run_for(50 * MS);
    for _ in 0..faults {
        world.submit_drawn();
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
    world.heal();
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

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// A disk that fails and a placer that is killed meanwhile: what was told without a warning still has an
    /// outcome, and nothing unsafe starts twice.
    #[test]
    fn a_failing_disk_loses_only_what_was_warned_of(seed in any::<u64>()) {
        let world = day(seed, 30, true);
        one_start(&world);
        prop_assert_eq!(&world.late_offers, &Vec::<String>::new());
        let without = |job: &&String| !world.told.contains_key(*job) && !world.warned.contains(*job);
        let untold: Vec<&String> = world.taken.iter().filter(without).collect();
        prop_assert!(untold.is_empty(), "no outcome for {:?}", untold);
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
    let outcomes = world
        .told
        .values()
        .filter(|infos| outcome(&infos[0]) == "placed");
    assert_eq!(outcomes.count(), 120);
}

/// Rule 2 rests on it: no offer of an unsafe task leaves before the disk has it, however slow that is.
#[test]
fn nothing_that_must_be_known_leaves_before_it_is_durable() {
    let mut world = World::keeping(2, 1);
    world.run_for(50 * MS);
    world.freeze_disk(true);
    world.submit("unsafe", 2, 100);
    world.submit("safe", 2, 100);
    world.run_for(200 * MS);
    assert_eq!(
        (world.offers_to_others("").len(), world.taken.len()),
        (0, 0)
    );
    // Rule 3: what waits for the disk does not leave for a node that drains meanwhile.
    world.list(0, Health::Draining);
    world.run_for(200 * MS);
    world.freeze_disk(false);
    world.wait_for(300);
    judge(&world);
    assert!(world.offers_to_others("").iter().all(|n| *n == 1));
    assert_eq!(world.told.len(), 4);
}

/// The ledger says offered, the node never heard of it, and was itself started anew meanwhile.
#[test]
fn an_offer_that_no_node_can_vouch_for_is_failed_where_it_must_not_start_twice() {
    for (class, want) in [
        ("unsafe", "failed"),
        ("keyed", "failed"),
        ("safe", "placed"),
    ] {
        let mut world = World::keeping(1, 1);
        world.run_for(50 * MS);
        world.submit(class, 1, 100);
        while world.offers_to_others("").is_empty() {
            world.run_for(100);
        }
        // The offer is on its way when node and placer die.
        world.kill_node(0);
        world.restart_placer();
        world.start_node(0);
        world.wait_for(400);
        judge(&world);
        assert_eq!(only(&world).0, want, "{class}: {:?}", only(&world));
    }
}

/// The same, but the node lived on: it did not get the offer, so it never ran, and is offered again.
#[test]
fn an_offer_that_never_reached_a_node_that_lived_on_is_made_again() {
    let mut world = World::keeping(1, 1);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 100);
    while world.offers_to_others("").is_empty() {
        world.run_for(100);
    }
    world.cut(0);
    world.restart_placer();
    world.wait_for(400);
    judge(&world);
    assert_eq!(only(&world).0, "placed");
    assert_eq!(world.offers_to_others("").len(), 2);
}

#[test]
fn a_deadline_that_passed_while_the_placer_was_down_is_answered() {
    for class in ["safe", "keyed", "unsafe"] {
        let mut world = World::keeping(1, 1);
        world.run_for(50 * MS);
        world.list(0, Health::Draining);
        world.submit(class, 1, 100);
        world.run_for(100 * MS);
        world.restart_placer_after(10 * SECOND);
        world.wait_for(200);
        judge(&world);
        let (outcome, reason) = only(&world);
        assert!(
            outcome == "refused" && reason.contains("its time was over"),
            "{class}: {outcome} {reason}"
        );
    }
}

/// A node that was out of reach comes back with a task whose owner was told that it failed.
#[test]
fn a_node_that_comes_back_with_a_task_that_the_ledger_closed_is_asked_to_stop_it() {
    let mut world = World::keeping(1, 1);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 60_000);
    world.wait_for(10);
    assert!(world.holds(0));
    world.part(0, true);
    // Longer than an unreachable node's tasks are waited for.
    world.wait_for(500);
    assert!(
        only(&world).1.contains("it may run still"),
        "{:?}",
        only(&world)
    );
    world.restart_placer();
    world.part(0, false);
    world.wait_for(200);
    judge(&world);
}

#[test]
fn a_placer_killed_while_it_recovers_begins_again() {
    let mut world = World::keeping(3, 4);
    world.run_for(50 * MS);
    for class in ["safe", "keyed", "unsafe"] {
        world.submit(class, 5, 200);
    }
    world.run_for(4 * MS);
    for _ in 0..40 {
        world.cut_power();
        world.run_for(700);
    }
    world.wait_for(500);
    judge(&world);
    assert!(
        world.told.len() == world.taken.len() && world.told.len() >= 10,
        "{}",
        world.told.len()
    );
}

#[test]
fn a_drain_by_hand_outlives_a_restart() {
    let mut world = World::keeping(2, 1);
    world.run_for(50 * MS);
    world.call(|_| Call::Drain {
        node: "node-0".to_owned(),
        drain: true,
    });
    world.run_for(50 * MS);
    world.restart_placer();
    world.submit("safe", 8, 50);
    world.wait_for(300);
    judge(&world);
    assert!(world.offers_to_others("").iter().all(|n| *n == 1));
    assert_eq!(world.logged("node_still_drained"), 1);
}

/// As configured, tasks that must not start twice are taken with a warning or not at all.
#[test]
fn a_disk_without_room_is_told_in_answers_and_obeyed_as_configured() {
    for (more, taken) in [("", true), ("when_lost = \"refuse\"", false)] {
        let mut world = World::keeping_as(2, 1, more);
        world.run_for(50 * MS);
        world.disk().fail_sync();
        world.submit("safe", 1, 50);
        world.run_for(20 * MS);
        world.disk().full(true);
        let call = world.submit("unsafe", 1, 50);
        world.run_for(20 * MS);
        assert_eq!(world.logged("state_write_failed"), 1);
        let job = format!("s.{call}.1");
        assert_eq!(world.taken.contains(&job), taken);
        assert_eq!(world.warned.contains(&job), taken);
        let denied = world
            .errors
            .iter()
            .filter(|error| error.contains("must not start twice"))
            .count();
        assert_eq!(denied, usize::from(!taken), "{:?}", world.errors);
        world.errors.clear();
        world.disk().full(false);
        world.wait_for(100);
        assert_eq!(world.logged("state_write_restored"), 1);
        // What was taken meanwhile is kept now, too.
        world.submit("unsafe", 3, 300);
        world.run_for(100 * MS);
        world.cut_power();
        world.wait_for(300);
        judge(&world);
    }
}

/// A task that ran to its end while nothing could be kept: its node is asked to keep the end in mind, so a
/// successor that finds the task as offered hears of it.
#[test]
fn an_end_that_could_not_be_kept_is_not_acknowledged() {
    let mut world = World::keeping(1, 1);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 100);
    world.run_for(60 * MS);
    world.disk().full(true);
    world.disk().fail_sync();
    world.submit("safe", 1, 10);
    world.run_for(300 * MS);
    world.restart_placer();
    world.disk().full(false);
    world.wait_for(200);
    one_start(&world);
    let job = world
        .told
        .iter()
        .find(|(job, _)| world.copies[*job].repeat == Some(Idempotency::NonIdempotent))
        .unwrap();
    assert_eq!(outcome(&job.1[0]), "placed");
}

/// A job of each class from submission to its end told, and the power goes out at each step of the disk in turn.
#[test]
fn at_every_crash_point_of_a_small_run_the_placer_comes_back_to_its_promises() {
    let run = |step: Option<u64>| {
        let mut world = World::keeping(2, step.unwrap_or(0));
        world.run_for(20 * MS);
        let before = world.disk().steps();
        if let Some(step) = step {
            world.power_ends_at(before + step);
        }
        for class in ["safe", "keyed", "unsafe"] {
            world.submit(class, 1, 30);
        }
        let until = world.now + 150 * MS;
        while world.now < until && !world.is_dark() {
            world.wait_any();
            world.run_for(200);
        }
        (world.disk().steps() - before, world)
    };
    let (steps, _) = run(None);
    let mut dark = 0;
    for step in (0..steps).step_by(3) {
        let (_, mut world) = run(Some(step));
        dark += usize::from(world.is_dark());
        world.cut_power();
        world.wait_for(250);
        judge(&world);
        assert_eq!(world.told.len(), 3, "step {step}");
    }
    assert!(dark > 30, "{dark} of {steps}");
}

/// Copies of a former life count for constraints, from the ledger as from the nodes.
#[test]
fn constraints_hold_over_a_restart() {
    let apart = "constraint='require apart from copies by machine'";
    let mut world = World::keeping(4, 2);
    world.run_for(50 * MS);
    world.submit_with("safe", 2, 3_000, apart);
    world.wait_for(10);
    for _ in 0..3 {
        world.restart_placer();
        world.run_for(2 * MS);
    }
    world.submit_with("safe", 2, 3_000, apart);
    world.wait_for(100);
    assert_eq!(world.astray, Vec::<String>::new());
    let nodes: std::collections::BTreeSet<usize> = world.offers_to_others("").into_iter().collect();
    assert_eq!(nodes.len(), 4, "four copies on four nodes");
    world.wait_for(500);
    judge(&world);
}

/// A placer whose folder can't be written from its start goes on without it, and starts nothing that the
/// ledger, which it could not read, may hold already.
#[test]
fn a_read_only_folder_is_told_and_nothing_that_must_not_start_twice_is_taken() {
    let mut world = World::keeping(2, 1);
    world.run_for(50 * MS);
    world.disk().read_only(true);
    world.restart_placer();
    world.run_for(50 * MS);
    world.submit("safe", 2, 50);
    world.submit("unsafe", 2, 50);
    world.wait_for(200);
    assert_eq!(world.logged("state_unavailable"), 1);
    assert_eq!((world.told.len(), world.warned.len()), (2, 2));
    assert!(
        world.errors.len() == 1 && world.errors[0].contains("must not start twice"),
        "{:?}",
        world.errors
    );
}

/// Two placers of one name, on copies of one state folder, would both take up the same task. The node lets the
/// one with the greater life speak, and closes every link of the other: its word on the task is never read.
#[test]
fn of_two_placers_that_take_up_one_task_the_node_hears_the_newer_alone() {
    use reedring_node_protocol::Message;
    use reedring_node_simulator::{Config, Effect, Groups, Node};
    let (mut node, mut groups) = (Node::new(Config::named("n"), 1, 1, 0), Groups::default());
    let hello = |life, link| Message::Hello {
        placer: "p".to_owned(),
        incarnation: life,
        link,
        version_info: None,
    };
    node.message(1, 10, hello(6, 1), &mut groups);
    node.message(2, 11, hello(5, 99), &mut groups);
    let closed: Vec<u64> = node
        .effects()
        .into_iter()
        .filter_map(|effect| {
            if let Effect::Close(id) = effect {
                Some(id)
            } else {
                None
            }
        })
        .collect();
    assert_eq!(closed, [11]);
    // The older one was linked first: the newer one ends that link.
    let mut node = Node::new(Config::named("n"), 1, 1, 0);
    node.message(1, 10, hello(5, 1), &mut groups);
    node.message(2, 11, hello(6, 1), &mut groups);
    let attempt = reedring_node_protocol::AttemptId {
        incarnation: 5,
        request: 1,
        number: 0,
    };
    node.message(3, 10, Message::Stop { attempt }, &mut groups);
    let effects = node.effects();
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::Close(10)))
    );
    assert!(
        !effects
            .iter()
            .any(|effect| matches!(effect, Effect::Send(10, Message::Ended { .. })))
    );
}
