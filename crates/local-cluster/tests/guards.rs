//! The audit finds what the guards guard against: the same short day is clean with them, and broken
//! without each one.

use reedring_audit::Rule;
use reedring_local_cluster::Sabotage;
use reedring_local_cluster::badday::Script;

const SETTINGS: &str = r#"
lasts = "LASTS"
placers = 2
settings = """
[site]
placers = 2
max_attempts = 4
may_probe = true
drain_grace = "300ms"
warm_after = "2s"
cold_window = "500ms"
cold_offers = 8.0
[links]
reattach = "200ms"
stop_wait = "200ms"
[[kind]]
name = "k"
cores = 8.0
memory = 24.0
[[class]]
name = "play"
repeat = "safe"
aim = "200ms"
give_up = "1.5s"
[[class]]
name = "edition"
repeat = "unsafe"
aim = "200ms"
give_up = "2.5s"
[[class]]
name = "apart"
repeat = "safe"
aim = "200ms"
give_up = "1.5s"
spread = { over = "machine", most = 1 }
"""
"#;

fn script(lasts: &str, demand: &[(&str, f64, &str, f64)], events: &str) -> Script {
    let mut text = SETTINGS.replacen("LASTS", lasts, 1);
    for n in 1..=4 {
        text +=
            &format!("[[node]]\nname = \"node-{n}\"\ncores = 8.0\nmemory = 24.0\nlook_ms = 1.0\n");
    }
    for (class, rate, life, cores) in demand {
        text += &format!(
            "[[demand]]\nclass = \"{class}\"\nrate = {rate:.1}\nlife = \"{life}\"\ncores = {cores:.2}\nmemory = 0.1\n\
             services = 2\n"
        );
    }
    Script::parse(&(text + events), "guards").unwrap()
}

/// The rules broken on a day, each once.
fn broken(script: &Script, sabotage: Sabotage) -> Vec<Rule> {
    let day = script.play_sabotaged(Some(1), None, sabotage).unwrap();
    let mut rules: Vec<Rule> = day
        .report
        .breaches
        .iter()
        .map(|breach| breach.rule)
        .collect();
    rules.sort();
    rules.dedup();
    eprintln!("{:?} {:?}", day.report, day.tally);
    rules
}

fn only(script: &Script, sabotage: Sabotage, rule: Rule) {
    assert_eq!(broken(script, Sabotage::default()), []);
    assert_eq!(broken(script, sabotage), [rule]);
}

fn told(from: &'static str, to: &'static str) -> Sabotage {
    Sabotage {
        settings: vec![(from, to)],
        blind_to_drains: false,
    }
}

#[test]
fn without_the_deadline_owners_are_answered_too_late() {
    let full = script("2s", &[("play", 20.0, "4s", 2.0)], "");
    only(
        &full,
        told("give_up = \"1.5s\"", "give_up = \"4s\""),
        Rule::OneOutcome,
    );
}

#[test]
fn without_its_class_an_unsafe_task_is_sent_again() {
    let events = "[[event]]\nat = \"800ms\"\ndo = \"hang\"\ncount = 2\nfor = \"2s\"\n";
    let day = script("2s", &[("edition", 20.0, "100ms", 0.1)], events);
    only(
        &day,
        told("repeat = \"unsafe\"", "repeat = \"safe\""),
        Rule::NoSecondRun,
    );
}

#[test]
fn without_the_list_a_drained_node_gets_work() {
    let events =
        "[[event]]\nat = \"800ms\"\ndo = \"drain\"\ncount = 2\nfor = \"2s\"\nquiet = true\n";
    let day = script("2s", &[("play", 40.0, "100ms", 0.1)], events);
    only(
        &day,
        Sabotage {
            blind_to_drains: true,
            ..Sabotage::default()
        },
        Rule::DrainsKept,
    );
}

#[test]
fn without_the_budget_a_cold_node_is_pushed_over() {
    let day = script("2s", &[("play", 60.0, "100ms", 0.1)], "");
    only(
        &day,
        told("cold_offers = 8.0", "cold_offers = 8000.0"),
        Rule::ColdNodes,
    );
}

#[test]
fn without_the_spread_services_stand_together() {
    let day = script("2s", &[("apart", 20.0, "300ms", 0.1)], "");
    only(&day, told("most = 1", "most = 100"), Rule::Spread);
}
