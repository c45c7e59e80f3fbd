//! The examples are accepted; each kind of mistake is named with its line, key and fix.

use reedring_settings::{ComesAgain, NodeList, Settings};

const EXAMPLE: &str = include_str!("../../../deploy/reedring.toml");
const NODES: &str = include_str!("../../../deploy/nodes.toml");

fn problems(text: &str) -> String {
    Settings::parse(text, "x.toml")
        .expect_err("the text is wrong")
        .to_string()
}

/// The example with one line replaced.
fn with(line: &str, by: &str) -> String {
    assert!(EXAMPLE.contains(line), "the example has no `{line}`");
    EXAMPLE.replacen(line, by, 1)
}

#[test]
fn the_examples_are_accepted() {
    let settings = Settings::parse(EXAMPLE, "reedring.toml").unwrap();
    assert_eq!(settings.classes.len(), 3);
    assert_eq!(settings.classes[0].comes_again, ComesAgain::Always);
    assert_eq!(settings.classes[1].comes_again, ComesAgain::Ended);
    assert_eq!(settings.classes[2].comes_again, ComesAgain::Never);
    assert_eq!(settings.classes[2].kind, Some(1));
    assert_eq!(settings.module(Some(0)).rules.max_attempts, Some(4));
    let nodes = NodeList::parse(NODES, "nodes.toml", &settings).unwrap();
    assert_eq!(nodes.nodes.len(), 3);
}

#[test]
fn mistakes_are_named_with_line_key_and_fix() {
    let cases = [
        (
            with("placers = 1 ", "placer = 1 "),
            "placer",
            "unknown field",
        ),
        (
            with("listen = \"127.0.0.1:4710\"", "listen = \"localhost\""),
            "placer.listen",
            "no address",
        ),
        (with("aim = \"700ms\"", "aim = \"700\""), "", "not a time"),
        (
            with("aim = \"700ms\"", "aim = \"9s\""),
            "class[0].aim",
            "at most give_up",
        ),
        (
            with("kind = \"node-64\"", "kind = \"node-46\""),
            "class[2].kind",
            "did you mean `node-64`?",
        ),
        (
            with("window = \"5s\"", ""),
            "class[1].window",
            "needs `window`",
        ),
        (
            with("aim = \"700ms\"", "aim = \"700ms\"\nwindow = \"1s\""),
            "class[0].window",
            "remove it",
        ),
        (
            with("cold_offers = 40.0", ""),
            "site.cold_offers",
            "go together",
        ),
        (
            with("reports = \"never\"", "reports = \"probes\""),
            "site.report_fields",
            "must hold",
        ),
        (
            with("max_attempts = 4", "max_attempts = 0"),
            "site.max_attempts",
            "at least 1",
        ),
        (
            with("class=edition tenant", "clas=edition tenant"),
            "category[1].native",
            "did you mean `class`?",
        ),
        (
            with("tenant=archive", "tenant=archiv"),
            "category[0].native",
            "did you mean `archive`?",
        ),
        (
            with("name = \"archive\"", "name = \"radio\""),
            "tenant[1].name",
            "stands twice",
        ),
        (
            with(
                "give_up = \"9.5s\"",
                "give_up = \"9.5s\"\ncomes_again = \"always\"",
            ),
            "class[2].comes_again",
            "only a safe class",
        ),
        ("[placer".to_owned(), "", ""),
    ];
    for (text, key, fix) in cases {
        let told = problems(&text);
        assert!(told.starts_with("x.toml:"), "{told}");
        assert!(
            told.contains(key) && told.contains(fix),
            "want {key} and {fix}: {told}"
        );
    }
    let line = EXAMPLE
        .lines()
        .position(|line| line.starts_with("kind = \"node-64\""))
        .unwrap()
        + 1;
    assert!(
        problems(&with("kind = \"node-64\"", "kind = \"x\""))
            .starts_with(&format!("x.toml:{line}:"))
    );
}

#[test]
fn all_mistakes_are_told_at_once() {
    let text = with("max_attempts = 4", "max_attempts = 0").replacen(
        "\"node-64\"\ncores = 10.0",
        "\"no\"",
        1,
    );
    assert_eq!(problems(&text).lines().count(), 2, "{}", problems(&text));
}

#[test]
fn node_lists_are_checked_against_the_settings() {
    let settings = Settings::parse(EXAMPLE, "reedring.toml").unwrap();
    let told = |text: &str| {
        NodeList::parse(text, "n.toml", &settings)
            .expect_err("wrong")
            .to_string()
    };
    assert!(told(&NODES.replace("node-32", "node-23")).contains("did you mean `node-32`?"));
    assert!(told(&NODES.replace("7002", "7001")).contains("address of `node-1` too"));
    assert!(told(&NODES.replace("127.0.0.1:7001", "here")).contains("no address"));
    assert!(told(&NODES.replace("kind = \"node-32\"\n", "")).contains("several kinds"));
    assert!(told("[[nodes]]\n").contains("unknown field"));
    let marked =
        |word: &str| NODES.replace("rack = \"a1\"", &format!("rack = \"a1\"\ncontrol = {word}"));
    let line = NODES
        .lines()
        .position(|line| line == "rack = \"a1\"")
        .unwrap()
        + 2;
    let wrong = told(&marked("\"yes\""));
    assert!(
        wrong.starts_with(&format!("n.toml:{line}:")) && wrong.contains("expected a boolean"),
        "{wrong}"
    );
    let gone = told(&marked("true\nhealth = \"gone\""));
    assert!(
        gone.starts_with(&format!("n.toml:{line}:")) && gone.contains("node[0].control"),
        "{gone}"
    );
    assert_eq!(gone.lines().count(), 1, "{gone}");
    assert!(
        NodeList::parse("", "n.toml", &settings)
            .unwrap()
            .nodes
            .is_empty()
    );
}

#[test]
fn control_machines_are_those_that_the_list_marks() {
    let settings = Settings::parse(EXAMPLE, "reedring.toml").unwrap();
    let control = |text: &str| {
        let list = NodeList::parse(text, "n.toml", &settings).unwrap();
        list.control()
            .map(|node| node.name.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(control(NODES), Vec::<String>::new());
    let two = NODES
        .replace("rack = \"a1\"", "control = true")
        .replace("rack = \"c1\"", "control = true");
    assert_eq!(control(&two), ["node-1", "node-3"]);
    assert_eq!(
        control(&NODES.replace("rack = \"a1\"", "control = false")),
        Vec::<String>::new()
    );
    // One that is gone, beside one that is up.
    let one = two.replacen("control = true", "control = true\nhealth = \"gone\"", 1);
    assert_eq!(control(&one).len(), 2);
}
