//! A placer that is killed or loses power and restarts from its state folder, with a simulated disk, nodes and links,
//! under random faults drawn from a seed.

mod world;

use proptest::prelude::*;
use rand_core::Rng;
use reedring_drmaa::JobInfo;
use reedring_drmaa::rpc::Call;
use reedring_node_protocol::Idempotency;
use reedring_settings::Health;
use world::{MS, SECOND, World};

/// Checks what must hold at the end of every run: every accepted job has exactly one outcome, no copies are left over,
/// and no non-idempotent job started twice.
fn check_invariants(world: &World) {
    assert_eq!(world.errors, Vec::<String>::new());
    assert_eq!(world.late_offers, Vec::<String>::new());
    let unreported: Vec<&String> = world
        .accepted
        .iter()
        .filter(|job| !world.reported.contains_key(*job))
        .collect();
    assert!(unreported.is_empty(), "no outcome for {unreported:?}");
    for (job, infos) in &world.reported {
        assert_eq!(infos.len(), 1, "{job}: {infos:?}");
    }
    check_single_start(world);
    assert_eq!(
        world.running_copies().len(),
        0,
        "{:?}",
        world.running_copies()
    );
}

/// Checks that each non-idempotent job started at most once, and not at all if it was refused.
fn check_single_start(world: &World) {
    for (job, copies) in &world.copies {
        if copies.idempotency == Some(Idempotency::NonIdempotent) {
            assert!(
                copies.ran.len() <= 1,
                "{job} ran in several attempts: {:?}",
                copies.ran
            );
            let refused = world
                .reported
                .get(job)
                .is_some_and(|infos| outcome(&infos[0]) == "refused");
            assert!(
                !refused || copies.ran.is_empty(),
                "{job} was refused and ran"
            );
        }
    }
}

fn outcome(info: &JobInfo) -> &str {
    info.usage("reedring.outcome").unwrap()
}

/// The outcome and the reason of the only job that has ended.
fn only_outcome(world: &World) -> (String, String) {
    let infos: Vec<&JobInfo> = world.reported.values().flatten().collect();
    assert_eq!(infos.len(), 1, "{infos:?}");
    (
        outcome(infos[0]).to_owned(),
        infos[0]
            .usage("reedring.reason")
            .unwrap_or_default()
            .to_owned(),
    )
}

/// Submits jobs of three classes while nodes, links, the placer and, with `disk`, its disk fail at random. Then ends
/// all faults and runs for 15 s.
fn run_random_faults(seed: u64, faults: usize, disk: bool) -> World {
    let mut world = World::with_state_folder(4, seed);
    world.run_for(50 * MS);
    for _ in 0..faults {
        world.submit_random();
        let n = world.rng.next_u32() as usize % world.node_count();
        match world.rng.next_u32() % 14 {
            0 => world.cut_links(n),
            1 => world.lose_answers(n),
            2 if world.is_up(n) => world.kill_node(n),
            2 => world.start_node(n),
            3 => world.set_hanging(n, true),
            4 => world.set_hanging(n, false),
            5 => world.set_health(n, Health::Draining),
            6 => world.set_health(n, Health::Ready),
            7 if disk => world.disk().fail_next_sync(),
            8 if disk => world.disk().set_full(true),
            9 if disk => world.disk().set_full(false),
            7..=10 => world.restart_placer(),
            _ => world.cut_power(),
        }
        let until = world.now + u64::from(world.rng.next_u32() % 150) * MS;
        while world.now < until {
            world.run_for(5 * MS);
            world.wait_any();
        }
    }
    world.disk().set_full(false);
    world.heal();
    world.wait_hundredths(1_500);
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn every_accepted_job_has_one_outcome_over_kills_and_power_cuts(seed in any::<u64>()) {
        check_invariants(&run_random_faults(seed, 30, false));
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    /// The disk fails and the placer is killed: jobs that were accepted without a warning still have an outcome, and no
    /// non-idempotent job starts twice.
    #[test]
    fn a_failing_disk_loses_only_jobs_accepted_with_a_warning(seed in any::<u64>()) {
        let world = run_random_faults(seed, 30, true);
        check_single_start(&world);
        prop_assert_eq!(&world.late_offers, &Vec::<String>::new());
        let lost_without_warning = |job: &&String| !world.reported.contains_key(*job) && !world.warned.contains(*job);
        let unreported: Vec<&String> = world.accepted.iter().filter(lost_without_warning).collect();
        prop_assert!(unreported.is_empty(), "no outcome for {:?}", unreported);
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let (one, two) = (
        run_random_faults(5, 30, true),
        run_random_faults(5, 30, true),
    );
    assert_eq!(
        (one.fingerprint, &one.reported),
        (two.fingerprint, &two.reported)
    );
}

/// The only faults are restarts of the placer: all accepted jobs are placed.
#[test]
fn jobs_survive_restarts_and_each_end_is_reported_once() {
    let mut world = World::with_state_folder(4, 1);
    world.run_for(50 * MS);
    for _ in 0..10 {
        for class in ["safe", "keyed", "unsafe"] {
            world.submit(class, 4, 300);
        }
        world.wait_hundredths(3);
        world.restart_placer();
    }
    world.wait_hundredths(1_000);
    check_invariants(&world);
    assert_eq!(world.reported.len(), 120);
    let outcomes = world
        .reported
        .values()
        .filter(|infos| outcome(&infos[0]) == "placed");
    assert_eq!(outcomes.count(), 120);
}

/// No offer and no reply is sent before its record is durable, however slow the disk is. Otherwise a restarted placer
/// could start a non-idempotent task twice.
#[test]
fn no_offer_and_no_reply_is_sent_before_it_is_durable() {
    let mut world = World::with_state_folder(2, 1);
    world.run_for(50 * MS);
    world.freeze_disk(true);
    world.submit("unsafe", 2, 100);
    world.submit("safe", 2, 100);
    world.run_for(200 * MS);
    assert_eq!(
        (world.offers_to_others("").len(), world.accepted.len()),
        (0, 0)
    );
    // An offer that waits for the disk is not sent to a node that is listed as draining meanwhile.
    world.set_health(0, Health::Draining);
    world.run_for(200 * MS);
    world.freeze_disk(false);
    world.wait_hundredths(300);
    check_invariants(&world);
    assert!(world.offers_to_others("").iter().all(|n| *n == 1));
    assert_eq!(world.reported.len(), 4);
}

/// The ledger has an open offer, and its node restarted since: nobody knows whether the task ran. Only an idempotent
/// task may start again.
#[test]
fn an_open_offer_of_a_restarted_node_fails_unless_its_task_is_idempotent() {
    for (class, expected) in [
        ("unsafe", "failed"),
        ("keyed", "failed"),
        ("safe", "placed"),
    ] {
        let mut world = World::with_state_folder(1, 1);
        world.run_for(50 * MS);
        world.submit(class, 1, 100);
        while world.offers_to_others("").is_empty() {
            world.run_for(100);
        }
        // The offer is in flight when node and placer are killed.
        world.kill_node(0);
        world.restart_placer();
        world.start_node(0);
        world.wait_hundredths(400);
        check_invariants(&world);
        assert_eq!(
            only_outcome(&world).0,
            expected,
            "{class}: {:?}",
            only_outcome(&world)
        );
    }
}

/// The node did not restart and did not receive the offer: the task never ran and is offered again.
#[test]
fn an_offer_that_a_running_node_did_not_receive_is_made_again() {
    let mut world = World::with_state_folder(1, 1);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 100);
    while world.offers_to_others("").is_empty() {
        world.run_for(100);
    }
    world.cut_links(0);
    world.restart_placer();
    world.wait_hundredths(400);
    check_invariants(&world);
    assert_eq!(only_outcome(&world).0, "placed");
    assert_eq!(world.offers_to_others("").len(), 2);
}

#[test]
fn a_job_whose_deadline_passed_while_the_placer_was_down_is_refused() {
    for class in ["safe", "keyed", "unsafe"] {
        let mut world = World::with_state_folder(1, 1);
        world.run_for(50 * MS);
        world.set_health(0, Health::Draining);
        world.submit(class, 1, 100);
        world.run_for(100 * MS);
        world.restart_placer_after(10 * SECOND);
        world.wait_hundredths(200);
        check_invariants(&world);
        let (outcome, reason) = only_outcome(&world);
        assert!(
            outcome == "refused" && reason.contains("its time was over"),
            "{class}: {outcome} {reason}"
        );
    }
}

/// A node is unreachable for so long that its task is reported as failed. When it is reachable again, the task is
/// stopped.
#[test]
fn a_reconnected_node_is_asked_to_stop_a_task_that_was_reported_as_failed() {
    let mut world = World::with_state_folder(1, 1);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 60_000);
    world.wait_hundredths(10);
    assert!(world.holds_tasks(0));
    world.set_unreachable(0, true);
    // 5 s is longer than `links.lost_after`, after which the tasks of an unreachable node count as lost.
    world.wait_hundredths(500);
    assert!(
        only_outcome(&world).1.contains("it may run still"),
        "{:?}",
        only_outcome(&world)
    );
    world.restart_placer();
    world.set_unreachable(0, false);
    world.wait_hundredths(200);
    check_invariants(&world);
}

#[test]
fn a_placer_killed_during_recovery_recovers_again() {
    let mut world = World::with_state_folder(3, 4);
    world.run_for(50 * MS);
    for class in ["safe", "keyed", "unsafe"] {
        world.submit(class, 5, 200);
    }
    world.run_for(4 * MS);
    for _ in 0..40 {
        world.cut_power();
        world.run_for(700);
    }
    world.wait_hundredths(500);
    check_invariants(&world);
    assert!(
        world.reported.len() == world.accepted.len() && world.reported.len() >= 10,
        "{}",
        world.reported.len()
    );
}

#[test]
fn a_drain_requested_by_a_call_survives_a_restart() {
    let mut world = World::with_state_folder(2, 1);
    world.run_for(50 * MS);
    world.call(|_| Call::Drain {
        node: "node-0".to_owned(),
        drain: true,
    });
    world.run_for(50 * MS);
    world.restart_placer();
    world.submit("safe", 8, 50);
    world.wait_hundredths(300);
    check_invariants(&world);
    assert!(world.offers_to_others("").iter().all(|n| *n == 1));
    assert_eq!(world.event_count("node_still_drained"), 1);
}

/// While the disk is full, non-idempotent tasks are accepted with a warning or rejected, as `state.when_lost` says.
#[test]
fn a_full_disk_is_reported_and_handled_as_when_lost_says() {
    for (more, is_accepted) in [("", true), ("when_lost = \"refuse\"", false)] {
        let mut world = World::with_state_settings(2, 1, more);
        world.run_for(50 * MS);
        world.disk().fail_next_sync();
        world.submit("safe", 1, 50);
        world.run_for(20 * MS);
        world.disk().set_full(true);
        let call = world.submit("unsafe", 1, 50);
        world.run_for(20 * MS);
        assert_eq!(world.event_count("state_write_failed"), 1);
        let job = format!("s.{call}.1");
        assert_eq!(world.accepted.contains(&job), is_accepted);
        assert_eq!(world.warned.contains(&job), is_accepted);
        let rejections = world
            .errors
            .iter()
            .filter(|error| error.contains("must not start twice"))
            .count();
        assert_eq!(rejections, usize::from(!is_accepted), "{:?}", world.errors);
        world.errors.clear();
        world.disk().set_full(false);
        world.wait_hundredths(100);
        assert_eq!(world.event_count("state_write_restored"), 1);
        // Once writes are restored, new jobs survive a power cut again, and so do those accepted while the disk was
        // full.
        world.submit("unsafe", 3, 300);
        world.run_for(100 * MS);
        world.cut_power();
        world.wait_hundredths(300);
        check_invariants(&world);
    }
}

/// A task ends while the disk fails. The placer does not acknowledge the end, so that the node reports it again to the
/// next incarnation, whose ledger does not have it.
#[test]
fn an_end_that_could_not_be_written_is_not_acknowledged() {
    let mut world = World::with_state_folder(1, 1);
    world.run_for(50 * MS);
    world.submit("unsafe", 1, 100);
    world.run_for(60 * MS);
    world.disk().set_full(true);
    world.disk().fail_next_sync();
    world.submit("safe", 1, 10);
    world.run_for(300 * MS);
    world.restart_placer();
    world.disk().set_full(false);
    world.wait_hundredths(200);
    check_single_start(&world);
    let job = world
        .reported
        .iter()
        .find(|(job, _)| world.copies[*job].idempotency == Some(Idempotency::NonIdempotent))
        .unwrap();
    assert_eq!(outcome(&job.1[0]), "placed");
}

/// Runs one job of each class until its end is reported, once for every third step of the disk, at which the power
/// fails.
#[test]
fn every_job_has_one_outcome_wherever_the_power_fails_in_a_small_run() {
    let run = |step: Option<u64>| {
        let mut world = World::with_state_folder(2, step.unwrap_or(0));
        world.run_for(20 * MS);
        let before = world.disk().operation_count();
        if let Some(step) = step {
            world.cut_power_at_step(before + step);
        }
        for class in ["safe", "keyed", "unsafe"] {
            world.submit(class, 1, 30);
        }
        let until = world.now + 150 * MS;
        while world.now < until && !world.is_power_lost() {
            world.wait_any();
            world.run_for(200);
        }
        (world.disk().operation_count() - before, world)
    };
    let (steps, _) = run(None);
    let mut power_cuts = 0;
    for step in (0..steps).step_by(3) {
        let (_, mut world) = run(Some(step));
        power_cuts += usize::from(world.is_power_lost());
        world.cut_power();
        world.wait_hundredths(250);
        check_invariants(&world);
        assert_eq!(world.reported.len(), 3, "step {step}");
    }
    assert!(
        power_cuts > 30,
        "the power failed in {power_cuts} runs; the disk makes {steps} steps"
    );
}

/// Copies that a former incarnation started count for constraints, whether known from the ledger or from nodes.
#[test]
fn constraints_hold_over_a_restart() {
    let one_per_node = "constraint='require apart from copies by machine'";
    let mut world = World::with_state_folder(4, 2);
    world.run_for(50 * MS);
    world.submit_with("safe", 2, 3_000, one_per_node);
    world.wait_hundredths(10);
    for _ in 0..3 {
        world.restart_placer();
        world.run_for(2 * MS);
    }
    world.submit_with("safe", 2, 3_000, one_per_node);
    world.wait_hundredths(100);
    assert_eq!(world.constraint_violations, Vec::<String>::new());
    let nodes: std::collections::BTreeSet<usize> = world.offers_to_others("").into_iter().collect();
    assert_eq!(nodes.len(), 4, "four copies need four nodes");
    world.wait_hundredths(500);
    check_invariants(&world);
}

/// A placer that can't open its state folder runs without it. It rejects non-idempotent tasks, as the ledger that it
/// could not read may hold them already.
#[test]
fn a_read_only_folder_is_reported_and_unsafe_jobs_are_rejected() {
    let mut world = World::with_state_folder(2, 1);
    world.run_for(50 * MS);
    world.disk().set_read_only(true);
    world.restart_placer();
    world.run_for(50 * MS);
    world.submit("safe", 2, 50);
    world.submit("unsafe", 2, 50);
    world.wait_hundredths(200);
    assert_eq!(world.event_count("state_unavailable"), 1);
    assert_eq!((world.reported.len(), world.warned.len()), (2, 2));
    assert!(
        world.errors.len() == 1 && world.errors[0].contains("must not start twice"),
        "{:?}",
        world.errors
    );
}

/// Two placers with the same name, started from copies of one state folder, would both adopt the same task. The node
/// serves the one with the higher incarnation and closes all links of the other, whose messages it does not read.
#[test]
fn a_node_serves_only_the_newer_of_two_placers_with_the_same_name() {
    use reedring_node_protocol::Message;
    use reedring_node_simulator::{Config, Effect, Groups, Node};
    let (mut node, mut groups) = (Node::new(Config::named("n"), 1, 1, 0), Groups::default());
    let hello = |incarnation, link| Message::Hello {
        placer: "p".to_owned(),
        incarnation,
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
    // If the older incarnation is linked first, the hello of the newer one closes its link.
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
