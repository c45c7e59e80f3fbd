//! Control machines that vote on plans and nodes that only learn them, in simulated time: the messages that a change
//! takes, the nodes that are notified, and when placers suspend dispatch.

mod configuration_world;

use configuration_world::{MS, World, settings};
use reedring_core::Input;
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Call, CallKey, Range};
use reedring_settings::Settings;

const SECOND: u64 = 1_000 * MS;
/// The number of control machines in most tests.
const CONTROL: usize = 5;

/// The time in microseconds after which nodes that started without stored state vote. It exceeds the lease of a placer
/// too.
const VOTE_AFTER: u64 = 31 * SECOND;

/// Runs for two seconds and checks by their events that all placers act by plan 1. `World::active_plans` also counts a
/// plan that a placer only has from its settings file.
fn check_first_plan_active(world: &mut World) {
    world.run_until_active(9, 2 * SECOND);
    for placer in 0..world.cores.len() {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "{:#?}",
            world.events
        );
    }
}

/// The number of messages about plans for one change at ten placers, from the restart that proposes it until one second
/// after all act by it.
fn messages_of_a_change(control: usize, others: usize) -> u64 {
    let mut world = World::with_control(10, control, others);
    check_first_plan_active(&mut world);
    world.run_until_active(9, VOTE_AFTER);
    let before = world.plan_messages;
    world.start_placer(0, settings(2, 10), 2);
    world
        .run_until_active(2, 60 * SECOND)
        .expect("every placer acts by plan 2 within a minute");
    world.run_until_active(9, SECOND);
    world.plan_messages - before
}

#[test]
fn the_messages_of_a_change_do_not_grow_with_the_learners() {
    let (few, many) = (
        messages_of_a_change(CONTROL, 50),
        messages_of_a_change(CONTROL, 400),
    );
    eprintln!(
        "messages about plans for a change at 10 placers, 5 voters: {few} with 50 learners, {many} with 400"
    );
    assert!(
        few > 0 && many <= few + few / 10,
        "{few} messages with 50 learners, {many} with 400"
    );
    // For comparison, a fleet in which every node votes.
    let all = messages_of_a_change(0, 55);
    eprintln!("messages if all of 55 nodes vote: {all}");
    assert!(
        all > 5 * few,
        "{all} messages if all of 55 nodes vote, {few} with five voters"
    );
}

/// Placers renew their leases by messages to voters alone, so that their number does not grow with the learners.
#[test]
fn idle_placers_send_requests_only_to_voters() {
    let idle_messages = |others: usize| {
        let mut world = World::with_control(3, CONTROL, others);
        world.run_until_active(9, VOTE_AFTER);
        let before = world.plan_messages;
        world.run_until_active(9, 10 * 60 * SECOND);
        world.plan_messages - before
    };
    let (few, many) = (idle_messages(10), idle_messages(100));
    // The two runs may differ by one round of heartbeats: 3 placers times 5 voters, request and report.
    assert!(
        few > 300 && few.abs_diff(many) <= 30,
        "{few} messages in ten minutes at 10 learners, {many} at 100"
    );
}

/// Only reports of voters count for the majority that renews a lease.
#[test]
fn placers_without_a_majority_of_voters_suspend_dispatch_when_their_lease_ends_and_resume_by_themselves()
 {
    let mut world = World::with_control(2, CONTROL, 20);
    check_first_plan_active(&mut world);
    world.cut_off.extend([0, 1]);
    world.run_until_active(9, 60 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "two of five voters are cut off, a majority is left: {:#?}",
            world.events
        )
    });
    world.cut_off.insert(2);
    world.run_until_active(9, 15 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "the lease has not ended yet"
        )
    });
    world.run_until_active(9, 25 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("dispatch is suspended: no majority")
        )
    });
    world.cut_off.clear();
    world.run_until_active(9, 2 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "a majority of voters is reachable again"
        )
    });
}

/// A plan comes into force while all learners are unreachable.
#[test]
fn a_change_comes_into_force_without_any_learner() {
    let mut world = World::with_control(2, CONTROL, 20);
    check_first_plan_active(&mut world);
    world.run_until_active(9, VOTE_AFTER);
    world.cut_off.extend(CONTROL..CONTROL + 20);
    let from = world.now;
    world.start_placer(0, settings(2, 2), 2);
    let done = world
        .run_until_active(2, 60 * SECOND)
        .expect("every placer acts by plan 2 within a minute");
    assert!(
        done - from < SECOND,
        "the change took {} ms, expected less than 1 s",
        (done - from) / MS
    );
}

/// A node is cold for a minute after its start, and then takes at most eight offers in two seconds. The text is
/// inserted before the setting `mean_cores`.
const COLD: &str = "warm_after = \"60s\"\ncold_window = \"2s\"\ncold_offers = 8.0\nmean_cores";

/// Settings like those of `settings`, with a slow start of cold nodes.
fn cold_settings(plan: u64, placers: usize) -> Settings {
    let site =
        configuration_world::SETTINGS.replace("[site]", &format!("[site]\nplacers = {placers}"));
    let text = site.replace("mean_cores", COLD);
    Settings::parse(&format!("{text}[plan]\nnumber = {plan}\n"), "test")
        .expect("the settings of the test are valid")
}

/// Each placer raises the floor of a learner that has restarted to the plan by which it acts, and sends that to no
/// other node.
#[test]
fn only_a_cold_learner_has_its_floor_raised_by_placers() {
    const PLACERS: usize = 3;
    let mut world = World::with_control(0, CONTROL, 20);
    world.active_plans = vec![(0, 0); PLACERS];
    world.reserve_placers(PLACERS);
    (0..PLACERS).for_each(|placer| world.start_placer(placer, cold_settings(1, PLACERS), 1));
    check_first_plan_active(&mut world);
    // 65 s after their start, all nodes are warm.
    world.run_until_active(9, 65 * SECOND);
    world.floor_raises.clear();
    let cold = CONTROL + 3;
    world.replace_node(cold, 2);
    world.run_until_active(9, 5 * SECOND);
    assert_eq!(
        world.floor_raises.keys().copied().collect::<Vec<_>>(),
        [cold]
    );
    assert_eq!(
        world.floor_raises[&cold], PLACERS as u64,
        "each placer raises its floor once"
    );
    let record = world.nodes[cold].record(world.now);
    assert_eq!((record.floor(), record.is_learner), (1, true));
    // The next plan too is sent only to the one cold node.
    world.floor_raises.clear();
    world.start_placer(0, cold_settings(2, PLACERS), 2);
    world
        .run_until_active(2, 30 * SECOND)
        .expect("every placer acts by plan 2 in time");
    world.run_until_active(9, 2 * SECOND);
    assert_eq!(
        world.floor_raises.keys().copied().collect::<Vec<_>>(),
        [cold]
    );
    assert_eq!(world.nodes[cold].record(world.now).floor(), 3);
}

/// Submits 50 jobs to the first placer, by the call of this number.
fn submit(world: &mut World, number: u64, native: &str) {
    submit_jobs(world, number, 50, &format!("life=1ms {native}"));
}

/// Submits this many jobs to the first placer. Call 1 opens the session first.
fn submit_jobs(world: &mut World, number: u64, jobs: u64, native: &str) {
    if number == 1 {
        let init = Call::Init {
            session: "s".to_owned(),
        };
        world.cores[0].handle(
            world.now,
            Input::Call {
                conn: 1,
                id: 0,
                call: init,
            },
        );
    }
    let key = CallKey {
        session: "s".to_owned(),
        call: number,
        settled: number,
        sent_to: 1_000,
    };
    let native = format!("class=c cores=0.01 memory=0.01 {native}");
    let job = Box::new(JobSpec {
        command: "work".to_owned(),
        native,
        ..JobSpec::default()
    });
    let range = Range {
        first: 1,
        last: jobs,
        step: 1,
    };
    let call = Call::RunBulkJobs { key, job, range };
    let now = world.now;
    world.cores[0].handle(
        now,
        Input::Call {
            conn: 1,
            id: number,
            call,
        },
    );
    world.process_outputs(0);
}

/// Control machines take no tasks, whether the decision module or a constraint selects the node.
#[test]
fn no_task_is_placed_on_control_machines() {
    let mut world = World::with_control(1, 3, 3);
    check_first_plan_active(&mut world);
    for call in 1..=4 {
        submit(
            &mut world,
            call,
            ["", "\nrequire node != node-9"][usize::from(call % 2 == 0)],
        );
        world.run_until_active(9, SECOND);
    }
    assert!(
        world.offers.keys().all(|node| *node >= 3),
        "{:?}",
        world.offers
    );
    assert_eq!(world.offers.len(), 3, "{:?}", world.offers);
    // A node that becomes a control machine gets no new offers.
    world.mark_control(&[0, 1, 2, 4, 5]);
    world.run_until_active(9, SECOND);
    world.offers.clear();
    submit(&mut world, 5, "");
    world.run_until_active(9, SECOND);
    assert_eq!(world.offers.keys().copied().collect::<Vec<_>>(), [3]);
}

/// A hall with only control machines can never hold a copy. If it counted for an even spread, no other hall could hold
/// more than one.
#[test]
fn an_even_spread_counts_only_halls_that_can_take_tasks() {
    let mut world = World::with_control(1, 3, 2);
    for (n, node) in world.node_list.nodes.iter_mut().enumerate() {
        node.hall = ["control", "control", "control", "east", "west"][n].to_owned();
    }
    let (now, list) = (world.now, world.node_list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list));
    check_first_plan_active(&mut world);
    submit_jobs(
        &mut world,
        1,
        6,
        "life=60s service=v constraint='require spread by hall within 1'",
    );
    world.run_until_active(9, 3 * SECOND);
    assert_eq!(world.offers, [(3, 3), (4, 3)].into());
}

/// The safe order of steps: the machines that are marked as control machines store the committed plan already. Nodes
/// that no longer vote still receive committed plans, as they check offers by them.
#[test]
fn a_change_is_not_delayed_after_nodes_that_store_the_plan_become_control_machines() {
    let mut world = World::new(3, 9);
    check_first_plan_active(&mut world);
    world.run_until_active(9, VOTE_AFTER);
    world.mark_control(&[0, 1, 2]);
    world.run_until_active(9, SECOND);
    let from = world.now;
    world.start_placer(0, settings(2, 3), 2);
    let done = world
        .run_until_active(2, 60 * SECOND)
        .unwrap_or_else(|| panic!("{:#?}", world.events));
    assert!(
        done - from < SECOND,
        "the change took {} ms, expected less than 1 s",
        (done - from) / MS
    );
    world.run_until_active(9, SECOND);
    let committed: Vec<u64> = world
        .nodes
        .iter()
        .map(|node| node.record(world.now).committed.number)
        .collect();
    assert_eq!(committed, [2; 9]);
    // Two of the three voters are cut off; the six learners don't count for the majority.
    world.cut_off.extend([0, 1]);
    world.run_until_active(9, 40 * SECOND);
    assert!((0..3).all(|placer| {
        world
            .last_configuration_message(placer)
            .contains("dispatch is suspended: no majority")
    }));
}

/// The unsafe order of steps: machines without stored state are marked as control machines. They catch up with the
/// committed plan, and do not vote before they have run for 30 s.
#[test]
fn control_machines_without_stored_state_catch_up_before_they_vote() {
    let mut world = World::new(3, 9);
    check_first_plan_active(&mut world);
    world.run_until_active(9, VOTE_AFTER);
    (0..3).for_each(|n| world.replace_node(n, 2));
    world.mark_control(&[0, 1, 2]);
    let from = world.now;
    world.start_placer(0, settings(2, 3), 2);
    world.run_until_active(9, 5 * SECOND);
    for n in 0..3 {
        let record = world.nodes[n].record(world.now);
        assert_eq!(
            (
                record.committed.number,
                record.accepted,
                record.cannot_persist
            ),
            (1, None, true),
            "node {n} has the committed plan and has not voted"
        );
    }
    let done = world
        .run_until_active(2, 60 * SECOND)
        .expect("every placer acts by plan 2 in time");
    assert!(
        done - from >= 29 * SECOND,
        "the change took {} ms, expected at least 29 s",
        (done - from) / MS
    );
}

/// All voters lose their state while learners know of plan 2. A placer whose file has plan 1 must not propose it as the
/// first plan of a new fleet.
#[test]
fn a_placer_proposes_no_plan_older_than_learners_know() {
    let mut world = World::with_control(1, 3, 4);
    check_first_plan_active(&mut world);
    world.run_until_active(9, VOTE_AFTER);
    world.start_placer(0, settings(2, 1), 2);
    world
        .run_until_active(2, 30 * SECOND)
        .unwrap_or_else(|| panic!("{:#?}", world.events));
    world.run_until_active(9, SECOND);
    submit(&mut world, 1, "");
    world.run_until_active(9, SECOND);
    assert!((3..7).any(|n| world.nodes[n].record(world.now).floor() == 3));
    (0..3).for_each(|n| world.replace_node(n, 2));
    world.start_placer(0, settings(1, 1), 3);
    world.run_until_active(9, 60 * SECOND);
    let line = world.last_configuration_message(0);
    assert!(
        line.contains("plan.number: learners know of plan 2/"),
        "{line}"
    );
    assert!((0..3).all(|n| world.nodes[n].record(world.now).committed.number == 0));
    // The plan that learners know of may be proposed.
    world.start_placer(0, settings(2, 1), 4);
    world
        .run_until_active(2, 60 * SECOND)
        .expect("every placer acts by plan 2 again within a minute");
}
