//! Changes of a plan with 590 tenants, the target size, in simulated time: the bytes on the links, and settings files
//! that change while placers run.

mod configuration_world;

use configuration_world::{MS, SETTINGS, World, settings, settings_of_teams};
use reedring_core::Input;
use reedring_core::event::Event;
use reedring_node_protocol::{ConfigRequest, Delta, Message, encode};
use reedring_settings::Settings;

const SECOND: u64 = 1_000 * MS;
const TEAMS: usize = 590;
const PLACERS: usize = 3;
/// Nodes, all of which vote on plans.
const NODES: usize = 3;

/// The names of the tenants. The one at index 300 has the number of the change in its name.
fn teams(change: usize) -> Vec<String> {
    let name = |n: usize| {
        if n == 300 {
            format!("team-300-{change}")
        } else {
            format!("team-{n:03}-of-the-site")
        }
    };
    (0..TEAMS).map(name).collect()
}

/// A fleet whose placers all act by plan 1 with 590 tenants.
fn fleet() -> World {
    let mut world = World::new(0, NODES);
    world.active_plans = vec![(0, 0); PLACERS];
    world.reserve_placers(PLACERS);
    (0..PLACERS)
        .for_each(|placer| world.start_placer(placer, settings_of_teams(1, PLACERS, &teams(0)), 1));
    world
        .run_until_active(1, 5 * SECOND)
        .expect("every placer acts by plan 1 within 5 s");
    // Nodes that were notified of plan 1 only after it had been committed vote from 30 s after their start on.
    // Heartbeats are sent every 10 s, and none falls into the start of the test.
    world.run_until_active(9, 35 * SECOND);
    world
}

/// Whether a message is about plans.
fn is_about_plans(message: &Message) -> bool {
    matches!(
        message,
        Message::ConfigRequest(_)
            | Message::AcceptorReport(_)
            | Message::ConfigText { .. }
            | Message::ConfigDelta(_)
    )
}

/// After a change of one tenant, other placers and nodes exchange a delta, not the whole text of the plan.
#[test]
fn a_change_of_one_tenant_is_sent_as_a_delta() {
    let mut world = fleet();
    let text = settings_of_teams(1, PLACERS, &teams(0)).plan_text().len();
    world.record_messages = true;
    world.change_settings_file(0, settings_of_teams(2, PLACERS, &teams(1)));
    world
        .run_until_active(2, 10 * SECOND)
        .expect("every placer acts by the new plan in time");
    world.run_until_active(9, 50 * MS);
    let bytes = |of: &dyn Fn(usize, usize) -> bool, to_node: bool| -> usize {
        let all = world
            .sent_messages
            .iter()
            .filter(|sent| sent.to_node == to_node && of(sent.placer, sent.node));
        all.filter(|sent| is_about_plans(&sent.message))
            .map(|sent| encode(&sent.message).len())
            .sum()
    };
    for follower in 1..PLACERS {
        let of = |placer: usize, _: usize| placer == follower;
        let (read, written) = (bytes(&of, false), bytes(&of, true));
        println!("placer {follower}: {read} bytes read, {written} written; the text has {text}");
        assert!(
            read + written < 2_048,
            "placer {follower}: {read} bytes read, {written} written, expected less than 2048 together"
        );
    }
    for node in 0..NODES {
        let (read, written) = (
            bytes(&|_, n| n == node, true),
            bytes(&|_, n| n == node, false),
        );
        println!("node {node}: {read} bytes read, {written} written");
        assert!(
            read < text,
            "node {node}: {read} bytes read, expected less than the {text} of the text"
        );
    }
}

/// The numbers of the plans that a placer reported as active, in order.
fn active_plan_numbers(world: &World, placer: usize) -> Vec<u64> {
    let number = |(of, event): &(usize, Event)| match event {
        Event::ConfigurationActive { config_version, .. } if *of == placer => {
            Some(config_version.number)
        }
        _ => None,
    };
    let mut numbers: Vec<u64> = world.events.iter().filter_map(number).collect();
    numbers.dedup();
    numbers
}

/// The text of a placer's last event, empty if there is none.
fn last_message(world: &World, placer: usize) -> String {
    world
        .last_event(placer)
        .map_or(String::new(), Event::to_string)
}

/// The settings files of the placers change in turn: each plan comes into force at all placers, once and in order,
/// without a restart.
#[test]
fn plans_of_files_that_change_while_placers_run_come_into_force_in_order() {
    let mut world = fleet();
    for change in 2..=21 {
        let (from, placer) = (world.now, change as usize % PLACERS);
        world.change_settings_file(
            placer,
            settings_of_teams(change, PLACERS, &teams(change as usize)),
        );
        let done = world
            .run_until_active(change, 5 * SECOND)
            .expect("every placer acts by the new plan in time");
        assert!(
            done - from < SECOND,
            "plan {change} took {} ms, expected less than 1 s",
            (done - from) / MS
        );
    }
    for placer in 0..PLACERS {
        assert_eq!(
            active_plan_numbers(&world, placer),
            (1..=21).collect::<Vec<_>>(),
            "{placer}"
        );
    }
}

/// A file changes faster than plans come into force: no plan is lost, and they keep their order.
#[test]
fn plans_of_a_file_that_changes_faster_than_they_commit_are_proposed_in_order() {
    let mut world = fleet();
    for change in 2..=6 {
        world.change_settings_file(
            0,
            settings_of_teams(change, PLACERS, &teams(change as usize)),
        );
        world.run_until_active(9, 2 * MS);
    }
    world
        .run_until_active(6, 10 * SECOND)
        .expect("every placer acts by the new plan in time");
    world.run_until_active(9, SECOND);
    assert_eq!(active_plan_numbers(&world, 0), [1, 2, 3, 4, 5, 6]);
    let expected = settings_of_teams(6, PLACERS, &teams(6))
        .plan()
        .unwrap()
        .unwrap()
        .version();
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.record(world.now).committed == expected)
    );
    // The file goes back from plan 8 to another text of plan 7, so that plan 8 is not proposed.
    let other_text = settings_of_teams(7, PLACERS, &teams(70));
    world.change_settings_file(0, settings_of_teams(7, PLACERS, &teams(7)));
    world.change_settings_file(0, settings_of_teams(8, PLACERS, &teams(8)));
    world.change_settings_file(0, other_text.clone());
    world
        .run_until_active(7, 10 * SECOND)
        .expect("every placer acts by the new plan in time");
    world.run_until_active(8, SECOND);
    assert_eq!(active_plan_numbers(&world, 0).last(), Some(&7));
    let plan_seven = [settings_of_teams(7, PLACERS, &teams(7)), other_text]
        .map(|file| file.plan().unwrap().unwrap().version());
    assert!(
        world
            .nodes
            .iter()
            .all(|node| plan_seven.contains(&node.record(world.now).committed))
    );
}

/// Pending plans follow the file: a text that the file replaces or removes before it is proposed never comes into
/// force.
#[test]
fn pending_plans_are_those_of_the_last_file() {
    let version = |settings: &Settings| settings.plan().unwrap().unwrap().version();
    let file = |number: u64, of: usize| settings_of_teams(number, PLACERS, &teams(of));
    let mut world = fleet();
    world.change_settings_file(0, file(2, 2));
    world.change_settings_file(0, file(3, 3));
    world.change_settings_file(0, file(3, 33));
    world
        .run_until_active(3, 10 * SECOND)
        .expect("every placer acts by the new plan in time");
    world.run_until_active(9, SECOND);
    assert_eq!(active_plan_numbers(&world, 0), [1, 2, 3]);
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.record(world.now).committed == version(&file(3, 33)))
    );
    world.change_settings_file(0, file(4, 4));
    world.change_settings_file(0, file(5, 5));
    world.change_settings_file(0, file(9, 9));
    world.change_settings_file(0, file(4, 44));
    world
        .run_until_active(4, 10 * SECOND)
        .expect("every placer acts by the new plan in time");
    world.run_until_active(9, 2 * SECOND);
    assert_eq!(active_plan_numbers(&world, 0), [1, 2, 3, 4]);
}

/// A delta that does not result in its target plan is reported, and the placer requests the whole text instead.
#[test]
fn after_an_invalid_delta_the_whole_text_is_fetched() {
    let mut world = fleet();
    let version = |number| {
        settings_of_teams(number, PLACERS, &teams(number as usize))
            .plan()
            .unwrap()
            .unwrap()
            .version()
    };
    let invalid = Delta {
        base: settings_of_teams(1, PLACERS, &teams(0))
            .plan()
            .unwrap()
            .unwrap()
            .version(),
        target: version(2),
        edits: Vec::new(),
    };
    let now = world.clock(1);
    world.cores[1].handle(
        now,
        Input::Message {
            node: "node-0".to_owned(),
            message: Message::ConfigDelta(invalid),
        },
    );
    world.process_outputs(1);
    assert!(
        last_message(&world, 1).contains("the result of the delta is invalid"),
        "{}",
        last_message(&world, 1)
    );
    world.record_messages = true;
    world.change_settings_file(0, settings_of_teams(2, PLACERS, &teams(2)));
    world
        .run_until_active(2, 10 * SECOND)
        .expect("every placer acts by the new plan in time");
    let fetches = |placer: usize| -> Vec<bool> {
        let sent = world
            .sent_messages
            .iter()
            .filter(|sent| sent.placer == placer);
        let fetch = |sent: &configuration_world::SentMessage| match &sent.message {
            Message::ConfigRequest(ConfigRequest::Fetch { have, .. }) => Some(have.is_some()),
            _ => None,
        };
        sent.filter_map(fetch).collect()
    };
    assert_eq!(fetches(1), [false]);
    assert_eq!(fetches(2), [true]);
}

#[test]
fn plan_numbers_that_go_back_repeat_or_skip_are_reported_and_change_nothing() {
    let mut world = fleet();
    world.change_settings_file(0, settings_of_teams(2, PLACERS, &teams(2)));
    world
        .run_until_active(2, 5 * SECOND)
        .expect("every placer acts by the new plan in time");
    for (number, teams_of, expected) in [
        (1, 0, "is not the committed one"),
        (2, 70, "is not the committed one"),
        (4, 4, "does not follow plan 2"),
        (
            9,
            4,
            "the next number is 3; change the number, or commit the plans between first",
        ),
    ] {
        world.change_settings_file(0, settings_of_teams(number, PLACERS, &teams(teams_of)));
        world.run_until_active(99, 2 * SECOND);
        assert!(
            last_message(&world, 0).contains(expected),
            "{number}: {}",
            last_message(&world, 0)
        );
        assert!(
            world.active_plans.iter().all(|(plan, _)| *plan == 2),
            "{number}: {:?}",
            world.active_plans
        );
    }
    world.change_settings_file(0, settings_of_teams(3, PLACERS - 1, &teams(3)));
    world.run_until_active(99, 2 * SECOND);
    assert!(
        last_message(&world, 0).contains("site.placers"),
        "{}",
        last_message(&world, 0)
    );
    world.change_settings_file(0, settings_of_teams(3, PLACERS, &teams(3)));
    world
        .run_until_active(3, 5 * SECOND)
        .expect("a valid plan 3 comes into force");
}

/// Changes of settings outside the plan take effect only after a restart, which is reported once; the plan in the same
/// file comes into force.
#[test]
fn settings_outside_the_plan_take_effect_only_after_a_restart() {
    let mut world = fleet();
    let with = |number: u64, own: &str| {
        let text = SETTINGS.replace(
            "[site]",
            &format!("{own}\n[site]\nplacers = {PLACERS}\nmax_attempts = 3"),
        );
        Settings::parse(&format!("{text}[plan]\nnumber = {number}\n"), "file").unwrap()
    };
    let own = "limits = { sessions = 7 }\nlinks = { connect = \"3s\" }";
    world.change_settings_file(1, with(2, own));
    world
        .run_until_active(2, 5 * SECOND)
        .expect("every placer acts by the new plan in time");
    world.change_settings_file(1, with(3, own));
    let reported: Vec<&Event> = world
        .events
        .iter()
        .map(|(_, event)| event)
        .filter(|event| matches!(event, Event::SettingsRestartRequired { .. }))
        .collect();
    assert_eq!(
        reported,
        [&Event::SettingsRestartRequired {
            tables: vec!["limits", "links"]
        }]
    );
    // A placer that was started without a plan ignores one that its file gets later.
    let mut world = World::new(0, NODES);
    world.reserve_placers(1);
    world.active_plans = vec![(0, 0)];
    world.start_placer(0, settings(0, 1), 1);
    world.change_settings_file(0, settings(1, 1));
    world.run_until_active(9, SECOND);
    assert!(
        world
            .events
            .iter()
            .any(|(_, event)| *event == Event::SettingsChangeIgnored),
        "{:?}",
        world.events
    );
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.record(world.now).committed.number == 0)
    );
}
