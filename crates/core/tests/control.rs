//! Control machines that vote on plans and nodes that learn, in simulated time: what a change costs, who is told, and
//! when placers stop.

mod plans;

use plans::{MS, World, settings};
use reedring_core::Input;
use reedring_drmaa::JobSpec;
use reedring_drmaa::rpc::{Call, CallKey, Range};
use reedring_settings::Settings;

const SECOND: u64 = 1_000 * MS;
const CONTROL: usize = 5;

/// The time after which nodes that came without memory vote, and with that a lease.
const SETTLED: u64 = 31 * SECOND;

/// Runs until all placers act by plan 1, where `World` counts what a placer's file says as well.
fn first_plan(world: &mut World) {
    world.until_all(9, 2 * SECOND);
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

/// Messages of plans for one change at ten placers, from its start until it is in force and for a second after.
fn change(control: usize, others: usize) -> u64 {
    let mut world = World::with_control(10, control, others);
    first_plan(&mut world);
    world.until_all(9, SETTLED);
    let before = world.plan_messages;
    world.start(0, settings(2, 10), 2);
    world.until_all(2, 60 * SECOND).expect("the change");
    world.until_all(9, SECOND);
    world.plan_messages - before
}

#[test]
fn the_messages_of_a_change_do_not_grow_with_the_learners() {
    let (few, many) = (change(CONTROL, 50), change(CONTROL, 400));
    eprintln!(
        "messages of plans for a change at 10 placers, 5 voters: {few} at 50 learners, {many} at 400"
    );
    assert!(
        few > 0 && many <= few + few / 10,
        "{few} at 50 learners, {many} at 400"
    );
    // Beside a fleet where every node votes.
    let all = change(0, 55);
    eprintln!("where all of 55 nodes vote: {all}");
    assert!(
        all > 5 * few,
        "{all} where all of 55 nodes vote, {few} with five voters"
    );
}

/// Nothing is sent to learners for the lease either.
#[test]
fn quiet_placers_ask_voters_alone() {
    let quiet = |others: usize| {
        let mut world = World::with_control(3, CONTROL, others);
        world.until_all(9, SETTLED);
        let before = world.plan_messages;
        world.until_all(9, 10 * 60 * SECOND);
        world.plan_messages - before
    };
    let (few, many) = (quiet(10), quiet(100));
    // One round of heartbeats more or less: three placers, five voters, there and back.
    assert!(
        few > 300 && few.abs_diff(many) <= 30,
        "{few} messages in ten minutes at 10 learners, {many} at 100"
    );
}

/// Learners that are heard are no majority, and voters that are heard are one.
#[test]
fn placers_stop_after_their_lease_without_most_voters_and_come_back_by_themselves() {
    let mut world = World::with_control(2, CONTROL, 20);
    first_plan(&mut world);
    world.cut_off.extend([0, 1]);
    world.until_all(9, 60 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "two of five: {:#?}",
            world.events
        )
    });
    world.cut_off.insert(2);
    world.until_all(9, 15 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "its lease runs"
        )
    });
    world.until_all(9, 25 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("dispatch is suspended: no majority")
        )
    });
    world.cut_off.clear();
    world.until_all(9, 2 * SECOND);
    (0..2).for_each(|placer| {
        assert!(
            world
                .last_configuration_message(placer)
                .contains("active configuration: 1/"),
            "one round"
        )
    });
}

/// Learners that nobody reaches for an hour hold up no change, and go by it with the first offer after.
#[test]
fn a_change_needs_no_learner() {
    let mut world = World::with_control(2, CONTROL, 20);
    first_plan(&mut world);
    world.until_all(9, SETTLED);
    world.cut_off.extend(CONTROL..CONTROL + 20);
    let from = world.now;
    world.start(0, settings(2, 2), 2);
    let done = world.until_all(2, 60 * SECOND).expect("in force");
    assert!(done - from < SECOND, "{} ms", (done - from) / MS);
}

const COLD: &str = "warm_after = \"60s\"\ncold_window = \"2s\"\ncold_offers = 8.0\nmean_cores";

fn cold_settings(plan: u64, placers: usize) -> Settings {
    let site = plans::SETTINGS.replace("[site]", &format!("[site]\nplacers = {placers}"));
    let text = site.replace("mean_cores", COLD);
    Settings::parse(&format!("{text}[plan]\nnumber = {plan}\n"), "test")
        .expect("the test's own settings")
}

/// A learner that starts again is told by each placer by what it acts, and nobody else is.
#[test]
fn a_cold_learner_is_told_by_what_placers_act_and_no_other_node_is() {
    const PLACERS: usize = 3;
    let mut world = World::with_control(0, CONTROL, 20);
    world.acts = vec![(0, 0); PLACERS];
    world.lives_for(PLACERS);
    (0..PLACERS).for_each(|placer| world.start(placer, cold_settings(1, PLACERS), 1));
    first_plan(&mut world);
    // All nodes have been cold, and are warm now.
    world.until_all(9, 65 * SECOND);
    world.raises.clear();
    let cold = CONTROL + 3;
    world.replace_node(cold, 2);
    world.until_all(9, 5 * SECOND);
    assert_eq!(world.raises.keys().copied().collect::<Vec<_>>(), [cold]);
    assert_eq!(world.raises[&cold], PLACERS as u64, "once by each placer");
    let record = world.nodes[cold].record(world.now);
    assert_eq!((record.floor(), record.is_learner), (1, true));
    // The next plan: told to this one cold node, by each placer.
    world.raises.clear();
    world.start(0, cold_settings(2, PLACERS), 2);
    world.until_all(2, 30 * SECOND).expect("in force");
    world.until_all(9, 2 * SECOND);
    assert_eq!(world.raises.keys().copied().collect::<Vec<_>>(), [cold]);
    assert_eq!(world.nodes[cold].record(world.now).floor(), 3);
}

fn submit(world: &mut World, number: u64, native: &str) {
    submit_bulk(world, number, 50, &format!("life=1ms {native}"));
}

fn submit_bulk(world: &mut World, number: u64, jobs: u64, native: &str) {
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
    world.turn(0);
}

/// Control machines are set aside: neither the module nor a constraint places anything there.
#[test]
fn no_task_is_placed_on_control_machines() {
    let mut world = World::with_control(1, 3, 3);
    first_plan(&mut world);
    for call in 1..=4 {
        submit(
            &mut world,
            call,
            ["", "\nrequire node != node-9"][usize::from(call % 2 == 0)],
        );
        world.until_all(9, SECOND);
    }
    assert!(
        world.offers.keys().all(|node| *node >= 3),
        "{:?}",
        world.offers
    );
    assert_eq!(world.offers.len(), 3, "{:?}", world.offers);
    // One that becomes a control machine gets nothing new.
    world.mark_control(&[0, 1, 2, 4, 5]);
    world.until_all(9, SECOND);
    world.offers.clear();
    submit(&mut world, 5, "");
    world.until_all(9, SECOND);
    assert_eq!(world.offers.keys().copied().collect::<Vec<_>>(), [3]);
}

/// The safe order of steps: machines that keep the plan in force are marked, and nodes that do not vote any more are
/// still told what is decided, as they check offers by that.
/// A hall of control machines alone has no copies for ever: counted, it would keep the other halls at one copy each.
#[test]
fn an_even_spread_goes_by_the_halls_that_can_take_tasks() {
    let mut world = World::with_control(1, 3, 2);
    for (n, node) in world.list.nodes.iter_mut().enumerate() {
        node.hall = ["control", "control", "control", "east", "west"][n].to_owned();
    }
    let (now, list) = (world.now, world.list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list));
    first_plan(&mut world);
    submit_bulk(
        &mut world,
        1,
        6,
        "life=60s service=v constraint='require spread by hall within 1'",
    );
    world.until_all(9, 3 * SECOND);
    assert_eq!(world.offers, [(3, 3), (4, 3)].into());
}

#[test]
fn a_list_that_marks_machines_which_keep_the_plan_goes_on_at_once() {
    let mut world = World::new(3, 9);
    first_plan(&mut world);
    world.until_all(9, SETTLED);
    world.mark_control(&[0, 1, 2]);
    world.until_all(9, SECOND);
    let from = world.now;
    world.start(0, settings(2, 3), 2);
    let done = world
        .until_all(2, 60 * SECOND)
        .unwrap_or_else(|| panic!("{:#?}", world.events));
    assert!(done - from < SECOND, "{} ms", (done - from) / MS);
    world.until_all(9, SECOND);
    let force: Vec<u64> = world
        .nodes
        .iter()
        .map(|node| node.record(world.now).committed.number)
        .collect();
    assert_eq!(force, [2; 9]);
    // Those that do not vote are no majority either.
    world.cut_off.extend([0, 1]);
    world.until_all(9, 40 * SECOND);
    assert!((0..3).all(|placer| {
        world
            .last_configuration_message(placer)
            .contains("dispatch is suspended: no majority")
    }));
}

/// The unsafe order: machines that never kept a plan are marked. They are taught the one in force, and vote for nothing
/// before they have settled.
#[test]
fn a_list_that_marks_empty_machines_teaches_them_before_anything_is_brought_in() {
    let mut world = World::new(3, 9);
    first_plan(&mut world);
    world.until_all(9, SETTLED);
    (0..3).for_each(|n| world.replace_node(n, 2));
    world.mark_control(&[0, 1, 2]);
    let from = world.now;
    world.start(0, settings(2, 3), 2);
    world.until_all(9, 5 * SECOND);
    for n in 0..3 {
        let record = world.nodes[n].record(world.now);
        assert_eq!(
            (
                record.committed.number,
                record.accepted,
                record.cannot_persist
            ),
            (1, None, true),
            "taught, and no vote"
        );
    }
    let done = world.until_all(2, 60 * SECOND).expect("in force");
    assert!(done - from >= 29 * SECOND, "{} ms", (done - from) / MS);
}

/// Voters that have all lost their memory where learners know of a plan: no older one begins anew.
#[test]
fn a_placer_that_knows_no_plan_brings_none_older_than_learners_know() {
    let mut world = World::with_control(1, 3, 4);
    first_plan(&mut world);
    world.until_all(9, SETTLED);
    world.start(0, settings(2, 1), 2);
    world
        .until_all(2, 30 * SECOND)
        .unwrap_or_else(|| panic!("{:#?}", world.events));
    world.until_all(9, SECOND);
    submit(&mut world, 1, "");
    world.until_all(9, SECOND);
    assert!((3..7).any(|n| world.nodes[n].record(world.now).floor() == 3));
    (0..3).for_each(|n| world.replace_node(n, 2));
    world.start(0, settings(1, 1), 3);
    world.until_all(9, 60 * SECOND);
    let line = world.last_configuration_message(0);
    assert!(
        line.contains("plan.number: learners know of plan 2/"),
        "{line}"
    );
    assert!((0..3).all(|n| world.nodes[n].record(world.now).committed.number == 0));
    // The plan that they know of may begin.
    world.start(0, settings(2, 1), 4);
    world.until_all(2, 60 * SECOND).expect("in force again");
}
