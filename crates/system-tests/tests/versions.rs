//! The fleet's plan, with whole programs.

use std::path::Path;

use std::time::Duration;

use reedring_system_tests::versions::{self, SETTLES, acts_by, keeping, settings, settings_with};
use reedring_system_tests::{Fleet, Load, NodeFile, Outcomes, Site};

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_reedring-system-tests"))
}

/// The need: each placer's own guard notwithstanding, one that was left on an older file pushes cold nodes over.
#[test]
fn without_plans_a_placer_on_an_older_file_pushes_cold_nodes_over() {
    let found = versions::straggler(program(), false).unwrap();
    assert!(found.fallen > 0, "{:?}", found.outcomes);
}

#[test]
fn with_plans_a_placer_on_an_older_file_is_brought_up_and_no_cold_node_falls() {
    let found = versions::straggler(program(), true).unwrap();
    assert_eq!(found.fallen, 0, "{:?}", found.report);
    assert_eq!(found.report.breaches, [], "{:?}", found.report.plans);
    assert_eq!(
        (found.outcomes.taken, found.outcomes.untold.len()),
        (600, 0)
    );
    assert!(found.report.cold_offers > 0, "there was something to judge");
}

/// A fleet whose placers all act by plan 1.
fn fleet(placers: u32, nodes: Vec<NodeFile>) -> Fleet {
    let site = Site {
        program: program().to_owned(),
        seed: 1,
        settings: settings(1, placers),
    };
    let mut fleet = Fleet::new(site).unwrap();
    for (n, file) in nodes.into_iter().enumerate() {
        fleet.add_node(&format!("node-{}", n + 1), file).unwrap();
    }
    for n in 1..=placers {
        fleet.add_placer(&format!("placer-{n}"), None).unwrap();
    }
    for name in fleet.placers() {
        acts_by(&fleet, &name, 0, 1, SETTLES).unwrap();
    }
    fleet
}

/// Marks from which lines of placers are news.
fn marks(fleet: &Fleet) -> Vec<(String, usize)> {
    let placers = fleet.placers().into_iter();
    placers
        .map(|name| (name.clone(), fleet.placer(&name).unwrap().line_count()))
        .collect()
}

/// Starts a placer again with other settings.
fn restart(fleet: &mut Fleet, name: &str, settings: &str) {
    fleet.end_placer(name).unwrap();
    fleet.settings_of(name, settings);
    fleet.start_placer(name).unwrap();
}

/// Work at every placer until it is ended.
fn work(fleet: &Fleet, classes: &[&str]) -> Vec<Load> {
    let start = |name: String| {
        Load::start(
            &fleet.contact(&name),
            classes,
            2,
            100,
            Some(Duration::from_millis(50)),
        )
        .unwrap()
    };
    fleet.placers().into_iter().map(start).collect()
}

fn all_told(loads: Vec<Load>) -> Outcomes {
    let mut outcomes = Outcomes::default();
    loads
        .into_iter()
        .for_each(|load| outcomes.add(load.end(Duration::from_secs(40)).unwrap()));
    assert_eq!(outcomes.untold, Vec::<String>::new(), "{outcomes:?}");
    outcomes
}

fn clean(fleet: Fleet) -> reedring_audit::Report {
    let report = fleet.audit().unwrap();
    assert_eq!(report.breaches, [], "{:#?}", report.plans);
    report
}

#[test]
fn drawn_rounds_of_faults_end_in_force_with_every_rule_kept() {
    for seed in 1..=3 {
        let round = versions::round(program(), seed).unwrap();
        assert!(round.is_clean(), "{round}");
    }
}

/// Pinned to its own file, a straggler takes nothing new, says so, and ends with a code of its own.
#[test]
fn a_straggler_that_takes_no_other_plan_is_shut_out_and_the_others_go_on() {
    let mut fleet = fleet(3, vec![keeping(); 5]);
    let from = marks(&fleet);
    let pinned = settings_with(1, 3, "pinned = true", "");
    restart(&mut fleet, "placer-3", &pinned);
    restart(&mut fleet, "placer-1", &settings(2, 4));
    acts_by(&fleet, "placer-2", from[1].1, 2, SETTLES).unwrap();
    let line = fleet
        .wait_placer("placer-3", 0, SETTLES, |line| {
            line.contains("this placer is fenced")
        })
        .unwrap();
    assert!(line.contains("pinned"), "{line}");
    let load = Load::start(&fleet.contact("placer-3"), &["play"], 1, 50, None).unwrap();
    let outcomes = load.end(SETTLES).unwrap();
    assert_eq!(
        (outcomes.taken, outcomes.turned_away),
        (0, 1),
        "{outcomes:?}"
    );
    let outcomes = all_told(vec![
        Load::start(&fleet.contact("placer-2"), &["play"], 5, 50, None).unwrap(),
    ]);
    assert_eq!(outcomes.ended.get("placed"), Some(&5), "{outcomes:?}");
    assert_eq!(fleet.end_placer("placer-3").unwrap(), Some(3));
    clean(fleet);
}

/// Nodes whose disk is full vote for nothing, say so, and take tasks by the new plan all the same; a majority without
/// them brings it in force.
#[test]
fn nodes_with_a_full_disk_vote_for_nothing_and_serve_on() {
    let full = NodeFile {
        file_kib: Some(0),
        ..keeping()
    };
    let mut fleet = fleet(2, vec![keeping(), keeping(), keeping(), full.clone(), full]);
    let loads = work(&fleet, &["play", "edition"]);
    let from = marks(&fleet);
    restart(&mut fleet, "placer-1", &settings(2, 3));
    acts_by(&fleet, "placer-2", from[1].1, 2, SETTLES).unwrap();
    all_told(loads);
    (1..=3).for_each(|n| fleet.list(&format!("node-{n}"), false));
    fleet.tell_list().unwrap();
    let outcomes = all_told(vec![
        Load::start(&fleet.contact("placer-2"), &["edition"], 5, 50, None).unwrap(),
    ]);
    assert_eq!(outcomes.ended.get("placed"), Some(&5), "{outcomes:?}");
    let lines = fleet
        .ask(&["nodes", "--contact", &fleet.contact("placer-2")])
        .unwrap();
    let full = lines
        .iter()
        .filter(|line| line.contains("plan 2/") && line.contains("can't keep more"))
        .count();
    assert_eq!(full, 2, "{lines:#?}");
    let report = clean(fleet);
    assert!(
        report
            .plans
            .iter()
            .any(|line| line.starts_with("plan 2/") && !line.contains("never")),
        "{report:?}"
    );
}

/// A rolling update: nodes that speak version 1 are served, and while they are the most, plans wait.
#[test]
fn nodes_of_version_1_are_served_and_plans_wait_while_they_are_the_most() {
    let old = NodeFile {
        lines: "plans = false\n".to_owned(),
        ..NodeFile::default()
    };
    let site = Site {
        program: program().to_owned(),
        seed: 1,
        settings: settings(1, 2),
    };
    let mut fleet = Fleet::new(site).unwrap();
    for (n, file) in [old.clone(), old.clone(), old, keeping(), keeping()]
        .into_iter()
        .enumerate()
    {
        fleet.add_node(&format!("node-{}", n + 1), file).unwrap();
    }
    fleet.add_placer("placer-1", None).unwrap();
    fleet
        .wait_placer("placer-1", 0, SETTLES, |line| {
            line.contains("most nodes store none")
        })
        .unwrap();
    let outcomes = all_told(vec![
        Load::start(&fleet.contact("placer-1"), &["play"], 20, 50, None).unwrap(),
    ]);
    assert_eq!(outcomes.ended.get("placed"), Some(&20), "{outcomes:?}");
    // One of them is updated.
    let mark = fleet.placer("placer-1").unwrap().line_count();
    fleet.kill_node("node-1");
    fleet.node_file("node-1", |file| *file = keeping());
    fleet.start_node("node-1").unwrap();
    acts_by(&fleet, "placer-1", mark, 1, SETTLES).unwrap();
    let outcomes = all_told(vec![
        Load::start(&fleet.contact("placer-1"), &["play"], 20, 50, None).unwrap(),
    ]);
    assert_eq!(outcomes.ended.get("placed"), Some(&20), "{outcomes:?}");
    clean(fleet);
}

/// A placer that hears no majority goes on for its lease, then sends nothing, and comes back by itself.
#[test]
fn a_placer_that_is_cut_off_stops_after_its_lease_and_comes_back_by_itself() {
    let fleet = fleet(2, vec![keeping(); 5]);
    let mark = fleet.placer("placer-2").unwrap().line_count();
    let cut = |placer: &str, node: &str| placer == "placer-2" && node != "node-1";
    fleet
        .relays
        .set(cut, |mode| (mode.cut, mode.refuses) = (mode.cut + 1, true));
    let load = Load::start(&fleet.contact("placer-2"), &["play"], 4, 50, None).unwrap();
    let outcomes = all_told(vec![load]);
    assert!(
        outcomes.ended.contains_key("placed"),
        "within the lease one node will do: {outcomes:?}"
    );
    fleet
        .wait_placer("placer-2", mark, SETTLES, |line| {
            line.contains("no majority")
        })
        .unwrap();
    let load = Load::start(&fleet.contact("placer-2"), &["play"], 4, 50, None).unwrap();
    let outcomes = all_told(vec![load]);
    assert_eq!(outcomes.ended.get("refused"), Some(&4), "{outcomes:?}");
    let mark = fleet.placer("placer-2").unwrap().line_count();
    fleet.relays.set(cut, |mode| mode.refuses = false);
    acts_by(&fleet, "placer-2", mark, 1, SETTLES).unwrap();
    clean(fleet);
}

/// Half of the nodes lose their memory in the middle of a change, and a straggler comes back then: no floor falls.
#[test]
fn half_the_nodes_replaced_by_empty_ones_let_no_straggler_in() {
    let mut fleet = fleet(3, vec![keeping(); 6]);
    let loads = work(&fleet, &["play", "capture", "edition"]);
    let from = marks(&fleet);
    restart(&mut fleet, "placer-1", &settings(2, 4));
    acts_by(&fleet, "placer-2", from[1].1, 2, SETTLES).unwrap();
    for n in 1..=3 {
        let node = format!("node-{n}");
        fleet.kill_node(&node);
        fleet.empty_node(&node).unwrap();
        fleet.start_node(&node).unwrap();
    }
    // Its file is still the first plan's.
    fleet.kill_placer("placer-3");
    fleet.start_placer("placer-3").unwrap();
    acts_by(&fleet, "placer-3", 0, 2, SETTLES).unwrap();
    all_told(loads);
    clean(fleet);
}

/// A number that skips, a plan for fewer placers than there are, a list that goes back: each is one line, and what is
/// in force holds. A class that a plan leaves out takes nothing new, and its tasks stand to their end.
#[test]
fn what_can_not_come_in_force_is_told_once_and_a_class_goes_in_order() {
    let mut fleet = fleet(3, vec![keeping(); 5]);
    let said = |fleet: &Fleet, name: &str, from: usize, words: &str| {
        fleet
            .wait_placer(name, from, SETTLES, |line| line.contains(words))
            .unwrap()
    };
    restart(&mut fleet, "placer-1", &settings(4, 3));
    said(&fleet, "placer-1", 0, "plan.number: plan 4");
    restart(&mut fleet, "placer-1", &settings(2, 2));
    said(&fleet, "placer-1", 0, "site.placers: plan 2");
    let mark = fleet.placer("placer-2").unwrap().line_count();
    fleet.tell_list_of("placer-2", 0).unwrap();
    said(&fleet, "placer-2", mark, "node list ignored");
    let stands = Load::start(&fleet.contact("placer-2"), &["edition"], 3, 3_000, None).unwrap();
    let from = marks(&fleet);
    let without = settings(2, 3);
    let (head, _) = without.split_once("[[class]]\nname = \"edition\"").unwrap();
    restart(&mut fleet, "placer-1", head);
    acts_by(&fleet, "placer-2", from[1].1, 2, SETTLES).unwrap();
    let load = Load::start(&fleet.contact("placer-2"), &["edition"], 1, 50, None).unwrap();
    assert_eq!(load.end(SETTLES).unwrap().turned_away, 1);
    let outcomes = all_told(vec![stands]);
    assert_eq!(outcomes.ended.get("placed"), Some(&3), "{outcomes:?}");
    clean(fleet);
}

/// A plan in force on a majority whose nodes then die for good: those that are left never fall behind it, as placers
/// remember.
#[test]
fn a_plan_whose_majority_dies_stays_in_force() {
    let mut fleet = fleet(3, vec![keeping(); 5]);
    let far = |_: &str, node: &str| node == "node-4" || node == "node-5";
    fleet
        .relays
        .set(far, |mode| (mode.cut, mode.refuses) = (mode.cut + 1, true));
    let from = marks(&fleet);
    restart(&mut fleet, "placer-1", &settings(2, 4));
    acts_by(&fleet, "placer-2", from[1].1, 2, SETTLES).unwrap();
    (1..=3).for_each(|n| fleet.kill_node(&format!("node-{n}")));
    (1..=3).for_each(|n| fleet.list(&format!("node-{n}"), false));
    fleet.relays.set(far, |mode| mode.refuses = false);
    fleet.tell_list().unwrap();
    // Its own file is that of plan 1.
    let outcomes = all_told(vec![
        Load::start(&fleet.contact("placer-3"), &["edition"], 5, 50, None).unwrap(),
    ]);
    assert_eq!(outcomes.ended.get("placed"), Some(&5), "{outcomes:?}");
    let lines = fleet
        .ask(&["nodes", "--contact", &fleet.contact("placer-3")])
        .unwrap();
    let kept = lines.iter().filter(|line| line.contains("plan 2/")).count();
    assert_eq!(kept, 2, "{lines:#?}");
    clean(fleet);
}

/// Placers from 3 to 40 while cold nodes come back under load, and to 3 again: nobody is pushed over between.
#[test]
fn many_more_placers_and_few_again_push_no_cold_node_over() {
    let mut fleet = fleet(
        3,
        vec![
            keeping(),
            keeping(),
            versions::cold(),
            versions::cold(),
            versions::cold(),
        ],
    );
    let loads = work(&fleet, &["play"]);
    for (number, placers) in [(2, 40), (3, 3)] {
        let from = marks(&fleet);
        restart(&mut fleet, "placer-1", &settings(number, placers));
        fleet.kill_node(&format!("node-{}", number + 1));
        fleet.start_node(&format!("node-{}", number + 1)).unwrap();
        for (name, mark) in &from[1..] {
            acts_by(&fleet, name, *mark, number, SETTLES).unwrap();
        }
    }
    all_told(loads);
    assert!((3..=5).all(|n| fleet.node_listens(&format!("node-{n}"))));
    clean(fleet);
}

/// A placer whose disk is full keeps nothing, says so, and is brought up all the same.
#[test]
fn a_placer_with_a_full_disk_is_brought_up() {
    let mut fleet = fleet(2, vec![keeping(); 3]);
    fleet.end_placer("placer-2").unwrap();
    fleet.limit_placer("placer-2", Some(0));
    fleet.start_placer("placer-2").unwrap();
    fleet
        .wait_placer("placer-2", 0, SETTLES, |line| {
            line.contains("nothing is persisted across a restart")
        })
        .unwrap();
    acts_by(&fleet, "placer-2", 0, 1, SETTLES).unwrap();
    let mark = fleet.placer("placer-2").unwrap().line_count();
    restart(&mut fleet, "placer-1", &settings(2, 3));
    acts_by(&fleet, "placer-2", mark, 2, SETTLES).unwrap();
    let outcomes = all_told(vec![
        Load::start(&fleet.contact("placer-2"), &["play"], 5, 50, None).unwrap(),
    ]);
    assert_eq!(outcomes.ended.get("placed"), Some(&5), "{outcomes:?}");
}

/// The last placer of the old plan has unsafe tasks out when the floor rises, and hears of neither: each has one outcome
/// and runs once at most, and the placer is brought up once it hears again.
#[test]
fn unsafe_tasks_unanswered_at_the_last_placer_of_the_old_plan_have_one_outcome() {
    let mut fleet = fleet(2, vec![keeping(); 3]);
    let from = marks(&fleet);
    let deaf = |held: bool| move |mode: &mut reedring_system_tests::Mode| mode.holds_back = held;
    fleet
        .relays
        .set(|placer, _| placer == "placer-2", deaf(true));
    let load = Load::start(&fleet.contact("placer-2"), &["edition"], 6, 200, None).unwrap();
    restart(&mut fleet, "placer-1", &settings(2, 3));
    acts_by(&fleet, "placer-1", 0, 2, SETTLES).unwrap();
    fleet
        .relays
        .set(|placer, _| placer == "placer-2", deaf(false));
    acts_by(&fleet, "placer-2", from[1].1, 2, SETTLES).unwrap();
    let outcomes = all_told(vec![load]);
    assert_eq!(outcomes.taken, 6, "{outcomes:?}");
    clean(fleet);
}
