//! Control machines and learners, with whole programs.

use std::path::Path;
use std::time::Duration;

use reedring_system_tests::control::{self, cold_learner, learner, learner_name, voter_name};
use reedring_system_tests::versions::{SETTLES, acts_by, keeping, settings};
use reedring_system_tests::{Fleet, Load, Mode, NodeFile, Outcomes};

const OWNERS: Duration = Duration::from_secs(40);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_reedring-system-tests"))
}

/// Three placers, and six learners, beside these control machines.
fn fleet(voters: Vec<NodeFile>) -> Fleet {
    control::fleet(program(), 1, 3, voters, vec![learner(); 6]).unwrap()
}

fn marks(fleet: &Fleet) -> Vec<(String, usize)> {
    let placers = fleet.placers().into_iter();
    placers
        .map(|name| (name.clone(), fleet.placer(&name).unwrap().line_count()))
        .collect()
}

/// One placer comes back with the plan of this number, for three placers.
fn bring(fleet: &mut Fleet, name: &str, number: u64) {
    bring_settings(fleet, name, &settings(number, 3));
}

/// Restarts one placer with these settings.
fn bring_settings(fleet: &mut Fleet, name: &str, settings: &str) {
    fleet.end_placer(name).unwrap();
    fleet.settings_of(name, settings);
    fleet.start_placer(name).unwrap();
}

/// The settings of this number for three placers, under which a node warms up for longer than any test runs. Only
/// learners that are warming up are asked to raise their floor, and so report it to a placer that has connected already.
fn settings_with_long_warm_up(number: u64) -> String {
    let usual = settings(number, 3);
    let long = usual.replace("warm_after = \"18s\"", "warm_after = \"10m\"");
    assert_ne!(long, usual, "the settings state no warm-up of 18 s");
    long
}

fn comes_in_force(fleet: &Fleet, from: &[(String, usize)], number: u64) {
    for (name, mark) in from {
        acts_by(fleet, name, *mark, number, SETTLES).unwrap();
    }
}

fn work(fleet: &Fleet) -> Vec<Load> {
    let start = |name: String| {
        let every = Some(Duration::from_millis(50));
        Load::start(
            &fleet.contact(&name),
            &["play", "capture", "edition"],
            2,
            100,
            every,
        )
        .unwrap()
    };
    fleet.placers().into_iter().map(start).collect()
}

fn all_told(loads: Vec<Load>) -> Outcomes {
    let mut outcomes = Outcomes::default();
    loads
        .into_iter()
        .for_each(|load| outcomes.add(load.end(OWNERS).unwrap()));
    assert_eq!(outcomes.untold, Vec::<String>::new(), "{outcomes:?}");
    outcomes
}

/// Five jobs at one placer.
fn five(fleet: &Fleet, name: &str) -> Outcomes {
    all_told(vec![
        Load::start(&fleet.contact(name), &["play"], 5, 50, None).unwrap(),
    ])
}

fn placed(outcomes: &Outcomes) -> usize {
    outcomes.ended.get("placed").copied().unwrap_or(0)
}

fn node_lines(fleet: &Fleet, placer: &str) -> Vec<String> {
    fleet
        .ask(&["nodes", "--contact", &fleet.contact(placer)])
        .unwrap()
}

fn clean(fleet: Fleet) {
    let report = fleet.audit().unwrap();
    assert_eq!(report.breaches, [], "{:#?}", report.plans);
}

#[test]
fn drawn_rounds_of_killed_control_machines_keep_every_rule() {
    for seed in 1..=2 {
        let played = control::round(program(), seed).unwrap();
        assert!(played.round.is_clean() && played.kills > 0, "{played}");
    }
}

/// A change needs a majority of three, and `reedring nodes` says who votes. A node that was killed is level again when it
/// is back.
#[test]
fn a_change_comes_in_force_while_one_control_machine_is_down() {
    let mut fleet = fleet(vec![keeping(); 3]);
    let loads = work(&fleet);
    fleet.kill_node(&voter_name(2));
    let from = marks(&fleet);
    bring(&mut fleet, "placer-1", 2);
    comes_in_force(&fleet, &from[1..], 2);
    fleet.start_node(&voter_name(2)).unwrap();
    let outcomes = all_told(loads);
    assert!(placed(&outcomes) > 0, "{outcomes:?}");
    let deadline = std::time::Instant::now() + SETTLES;
    let lines = loop {
        let lines = node_lines(&fleet, "placer-2");
        let voters = lines
            .iter()
            .filter(|line| line.contains("plan 2/") && line.contains("voter"))
            .count();
        if voters == 3 || std::time::Instant::now() > deadline {
            break lines;
        }
        std::thread::sleep(Duration::from_millis(200));
    };
    let of = |word: &str| lines.iter().filter(|line| line.contains(word)).count();
    assert_eq!((of("voter"), of("learner, from")), (3, 6), "{lines:#?}");
    clean(fleet);
}

#[test]
fn a_full_disk_at_one_control_machine_is_told_and_harms_nothing() {
    let full = NodeFile {
        file_kib: Some(0),
        ..keeping()
    };
    let mut fleet = fleet(vec![keeping(), keeping(), full]);
    let loads = work(&fleet);
    let from = marks(&fleet);
    bring(&mut fleet, "placer-1", 2);
    comes_in_force(&fleet, &from[1..], 2);
    all_told(loads);
    let lines = node_lines(&fleet, "placer-2");
    let told = lines
        .iter()
        .filter(|line| line.contains("voter") && line.contains("can't keep more"))
        .count();
    assert_eq!(told, 1, "{lines:#?}");
    assert_eq!(placed(&five(&fleet, "placer-2")), 5);
    clean(fleet);
}

/// Six learners that are heard are no majority.
#[test]
fn placers_that_lost_most_control_machines_stop_after_their_lease_and_come_back() {
    let mut fleet = fleet(vec![keeping(); 3]);
    let from = marks(&fleet);
    (1..=2).for_each(|n| fleet.kill_node(&voter_name(n)));
    assert_eq!(placed(&five(&fleet, "placer-1")), 5, "within the lease");
    for (name, mark) in &from {
        fleet
            .wait_placer(name, *mark, SETTLES, |line| {
                line.contains("no majority of the voters")
            })
            .unwrap();
    }
    let outcomes = five(&fleet, "placer-1");
    assert_eq!(outcomes.ended.get("refused"), Some(&5), "{outcomes:?}");
    let from = marks(&fleet);
    (1..=2).for_each(|n| fleet.start_node(&voter_name(n)).unwrap());
    comes_in_force(&fleet, &from, 1);
    assert_eq!(placed(&five(&fleet, "placer-1")), 5);
    clean(fleet);
}

/// A zone of learners, some of them cold, that no placer reaches: a change does without it, and it takes tasks by the new
/// plan once it is back.
#[test]
fn a_zone_of_learners_that_is_cut_off_holds_up_no_change() {
    let learners = vec![
        learner(),
        learner(),
        learner(),
        cold_learner(),
        learner(),
        cold_learner(),
    ];
    let mut fleet = control::fleet(program(), 1, 3, vec![keeping(); 3], learners).unwrap();
    let zone: Vec<String> = (4..=6).map(learner_name).collect();
    let away = |_: &str, node: &str| zone.iter().any(|name| name == node);
    fleet.relays.set(away, |mode: &mut Mode| {
        (mode.cut, mode.refuses) = (mode.cut + 1, true)
    });
    let loads = work(&fleet);
    let from = marks(&fleet);
    bring_settings(&mut fleet, "placer-1", &settings_with_long_warm_up(2));
    comes_in_force(&fleet, &from[1..], 2);
    all_told(loads);
    fleet
        .relays
        .set(away, |mode: &mut Mode| mode.refuses = false);
    // Nothing else takes tasks now.
    (1..=3).for_each(|n| fleet.list(&learner_name(n), false));
    fleet.tell_list().unwrap();
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!(placed(&five(&fleet, "placer-2")), 5);
    let lines = node_lines(&fleet, "placer-2");
    assert!(
        lines
            .iter()
            .any(|line| line.contains("learner, from plan 2/")),
        "{lines:#?}"
    );
    clean(fleet);
}

/// A region with a placer and learners that no control machine reaches: its placer sends nothing after its lease, though
/// its learners are there; what runs goes on; once healed it is level within a round.
#[test]
fn a_region_without_control_machines_sends_nothing_after_its_lease_and_is_level_once_healed() {
    let mut fleet = fleet(vec![keeping(); 3]);
    let runs = Load::start(&fleet.contact("placer-3"), &["edition"], 3, 12_000, None).unwrap();
    let from = marks(&fleet);
    let cut = |placer: &str, node: &str| placer == "placer-3" && node.starts_with("control-");
    fleet.relays.set(cut, |mode: &mut Mode| {
        (mode.cut, mode.refuses) = (mode.cut + 1, true)
    });
    fleet
        .wait_placer("placer-3", from[2].1, SETTLES, |line| {
            line.contains("no majority of the voters")
        })
        .unwrap();
    bring(&mut fleet, "placer-1", 2);
    comes_in_force(&fleet, &from[1..2], 2);
    assert_eq!(five(&fleet, "placer-3").ended.get("refused"), Some(&5));
    assert_eq!(placed(&five(&fleet, "placer-2")), 5);
    let mark = fleet.placer("placer-3").unwrap().line_count();
    fleet
        .relays
        .set(cut, |mode: &mut Mode| mode.refuses = false);
    acts_by(&fleet, "placer-3", mark, 2, SETTLES).unwrap();
    assert_eq!(placed(&five(&fleet, "placer-3")), 5);
    let outcomes = all_told(vec![runs]);
    assert_eq!(
        outcomes.ended.get("placed"),
        Some(&3),
        "what ran went on: {outcomes:?}"
    );
    clean(fleet);
}
