//! Changes of the plan at the target size's 590 teams, in simulated time: what crosses the links, and files that change
//! while a placer runs.

mod plans;

use plans::{MS, SETTINGS, World, settings, settings_of_teams};
use reedring_core::Input;
use reedring_core::event::Event;
use reedring_node_protocol::{ConfigRequest, Delta, Message, encode};
use reedring_settings::Settings;

const SECOND: u64 = 1_000 * MS;
const TEAMS: usize = 590;
const PLACERS: usize = 3;
/// Nodes that keep plans.
const NODES: usize = 3;

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

/// A fleet whose placers all act by plan 1 of 590 teams.
fn fleet() -> World {
    let mut world = World::new(0, NODES);
    world.acts = vec![(0, 0); PLACERS];
    world.lives_for(PLACERS);
    (0..PLACERS)
        .for_each(|placer| world.start(placer, settings_of_teams(1, PLACERS, &teams(0)), 1));
    world.until_all(1, 5 * SECOND).expect("the first plan");
    // Nodes that heard of it when it was in force already vote once they have settled; heartbeats are every 10 s, and
    // none falls into what follows.
    world.until_all(9, 35 * SECOND);
    world
}

fn is_plan(message: &Message) -> bool {
    matches!(
        message,
        Message::ConfigRequest(_)
            | Message::AcceptorReport(_)
            | Message::ConfigText { .. }
            | Message::ConfigDelta(_)
    )
}

/// One team's change costs a placer that follows, and a node, a delta and not the text.
#[test]
fn a_change_of_one_team_costs_a_delta_and_not_the_text() {
    let mut world = fleet();
    let text = settings_of_teams(1, PLACERS, &teams(0)).plan_text().len();
    world.records = true;
    world.change_file(0, settings_of_teams(2, PLACERS, &teams(1)));
    world.until_all(2, 10 * SECOND).expect("in force");
    world.until_all(9, 50 * MS);
    let bytes = |of: &dyn Fn(usize, usize) -> bool, to_node: bool| -> usize {
        let all = world
            .sent
            .iter()
            .filter(|sent| sent.to_node == to_node && of(sent.placer, sent.node));
        all.filter(|sent| is_plan(&sent.message))
            .map(|sent| encode(&sent.message).len())
            .sum()
    };
    for follower in 1..PLACERS {
        let of = |placer: usize, _: usize| placer == follower;
        let (read, written) = (bytes(&of, false), bytes(&of, true));
        println!(
            "placer {follower}: {read} bytes read, {written} written, beside a text of {text}"
        );
        assert!(read + written < 2_048, "{read} read, {written} written");
    }
    for node in 0..NODES {
        let (read, written) = (
            bytes(&|_, n| n == node, true),
            bytes(&|_, n| n == node, false),
        );
        println!("node {node}: {read} bytes read, {written} written");
        assert!(
            read < text,
            "{read} bytes read at a node, a text has {text}"
        );
    }
}

/// Numbers of the plans that a placer told that it acts by, in order.
fn acted_by(world: &World, placer: usize) -> Vec<u64> {
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

fn last_message(world: &World, placer: usize) -> String {
    world
        .last_event(placer)
        .map_or(String::new(), Event::to_string)
}

/// One file after another, at placers in turn: every plan is in force everywhere, once and in order, without a restart.
#[test]
fn files_that_change_while_placers_run_bring_their_plans_in() {
    let mut world = fleet();
    for change in 2..=21 {
        let (from, placer) = (world.now, change as usize % PLACERS);
        world.change_file(
            placer,
            settings_of_teams(change, PLACERS, &teams(change as usize)),
        );
        let done = world.until_all(change, 5 * SECOND).expect("in force");
        assert!(done - from < SECOND, "{} ms", (done - from) / MS);
    }
    for placer in 0..PLACERS {
        assert_eq!(
            acted_by(&world, placer),
            (1..=21).collect::<Vec<_>>(),
            "{placer}"
        );
    }
}

/// Files that change faster than a plan comes in force: none is lost, and none passes another.
#[test]
fn plans_of_a_file_that_changes_again_too_soon_wait_for_their_turn() {
    let mut world = fleet();
    for change in 2..=6 {
        world.change_file(
            0,
            settings_of_teams(change, PLACERS, &teams(change as usize)),
        );
        world.until_all(9, 2 * MS);
    }
    world.until_all(6, 10 * SECOND).expect("in force");
    world.until_all(9, SECOND);
    assert_eq!(acted_by(&world, 0), [1, 2, 3, 4, 5, 6]);
    let want = settings_of_teams(6, PLACERS, &teams(6))
        .plan()
        .unwrap()
        .unwrap()
        .version();
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.record(world.now).committed == want)
    );
    // One that is taken back before its turn is not brought in.
    let rival = settings_of_teams(7, PLACERS, &teams(70));
    world.change_file(0, settings_of_teams(7, PLACERS, &teams(7)));
    world.change_file(0, settings_of_teams(8, PLACERS, &teams(8)));
    world.change_file(0, rival.clone());
    world.until_all(7, 10 * SECOND).expect("in force");
    world.until_all(8, SECOND);
    assert_eq!(acted_by(&world, 0).last(), Some(&7));
    let seven = [settings_of_teams(7, PLACERS, &teams(7)), rival]
        .map(|file| file.plan().unwrap().unwrap().version());
    assert!(
        world
            .nodes
            .iter()
            .all(|node| seven.contains(&node.record(world.now).committed))
    );
}

/// What waits follows the file: a text that is replaced before its turn is not brought in, nor is one that was taken back.
#[test]
fn what_waits_is_what_the_file_says_last() {
    let version = |settings: &Settings| settings.plan().unwrap().unwrap().version();
    let file = |number: u64, of: usize| settings_of_teams(number, PLACERS, &teams(of));
    let mut world = fleet();
    world.change_file(0, file(2, 2));
    world.change_file(0, file(3, 3));
    world.change_file(0, file(3, 33));
    world.until_all(3, 10 * SECOND).expect("in force");
    world.until_all(9, SECOND);
    assert_eq!(acted_by(&world, 0), [1, 2, 3]);
    assert!(
        world
            .nodes
            .iter()
            .all(|node| node.record(world.now).committed == version(&file(3, 33)))
    );
    world.change_file(0, file(4, 4));
    world.change_file(0, file(5, 5));
    world.change_file(0, file(9, 9));
    world.change_file(0, file(4, 44));
    world.until_all(4, 10 * SECOND).expect("in force");
    world.until_all(9, 2 * SECOND);
    assert_eq!(acted_by(&world, 0), [1, 2, 3, 4]);
}

/// A delta that does not make its plan is told, and the whole text is asked for.
#[test]
fn after_a_wrong_delta_the_text_is_fetched_whole() {
    let mut world = fleet();
    let version = |number| {
        settings_of_teams(number, PLACERS, &teams(number as usize))
            .plan()
            .unwrap()
            .unwrap()
            .version()
    };
    let wrong = Delta {
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
            message: Message::ConfigDelta(wrong),
        },
    );
    world.turn(1);
    assert!(
        last_message(&world, 1).contains("what comes of the delta"),
        "{}",
        last_message(&world, 1)
    );
    world.records = true;
    world.change_file(0, settings_of_teams(2, PLACERS, &teams(2)));
    world.until_all(2, 10 * SECOND).expect("in force");
    let fetches = |placer: usize| -> Vec<bool> {
        let sent = world.sent.iter().filter(|sent| sent.placer == placer);
        let fetch = |sent: &plans::Sent| match &sent.message {
            Message::ConfigRequest(ConfigRequest::Fetch { have, .. }) => Some(have.is_some()),
            _ => None,
        };
        sent.filter_map(fetch).collect()
    };
    assert_eq!(fetches(1), [false]);
    assert_eq!(fetches(2), [true]);
}

#[test]
fn numbers_that_go_back_repeat_or_skip_are_told_and_change_nothing() {
    let mut world = fleet();
    world.change_file(0, settings_of_teams(2, PLACERS, &teams(2)));
    world.until_all(2, 5 * SECOND).expect("in force");
    for (number, teams_of, wanted) in [
        (1, 0, "is not the committed one"),
        (2, 70, "is not the committed one"),
        (4, 4, "does not follow plan 2"),
        (
            9,
            4,
            "the next number is 3; change the number, or commit the plans between first",
        ),
    ] {
        world.change_file(0, settings_of_teams(number, PLACERS, &teams(teams_of)));
        world.until_all(99, 2 * SECOND);
        assert!(
            last_message(&world, 0).contains(wanted),
            "{number}: {}",
            last_message(&world, 0)
        );
        assert!(
            world.acts.iter().all(|(plan, _)| *plan == 2),
            "{number}: {:?}",
            world.acts
        );
    }
    world.change_file(0, settings_of_teams(3, PLACERS - 1, &teams(3)));
    world.until_all(99, 2 * SECOND);
    assert!(
        last_message(&world, 0).contains("site.placers"),
        "{}",
        last_message(&world, 0)
    );
    world.change_file(0, settings_of_teams(3, PLACERS, &teams(3)));
    world
        .until_all(3, 5 * SECOND)
        .expect("the right one is taken up");
}

/// A placer's own tables hold until it is started again; one line says so, and the plan beside them comes in.
#[test]
fn own_tables_are_not_taken_up_while_a_placer_runs() {
    let mut world = fleet();
    let with = |number: u64, own: &str| {
        let text = SETTINGS.replace(
            "[site]",
            &format!("{own}\n[site]\nplacers = {PLACERS}\nmax_attempts = 3"),
        );
        Settings::parse(&format!("{text}[plan]\nnumber = {number}\n"), "file").unwrap()
    };
    let own = "limits = { sessions = 7 }\nlinks = { connect = \"3s\" }";
    world.change_file(1, with(2, own));
    world.until_all(2, 5 * SECOND).expect("in force");
    world.change_file(1, with(3, own));
    let told: Vec<&Event> = world
        .events
        .iter()
        .map(|(_, event)| event)
        .filter(|event| matches!(event, Event::SettingsRestartRequired { .. }))
        .collect();
    assert_eq!(
        told,
        [&Event::SettingsRestartRequired {
            tables: vec!["limits", "links"]
        }]
    );
    // One that tells no plan takes up none.
    let mut world = World::new(0, NODES);
    world.lives_for(1);
    world.acts = vec![(0, 0)];
    world.start(0, settings(0, 1), 1);
    world.change_file(0, settings(1, 1));
    world.until_all(9, SECOND);
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
