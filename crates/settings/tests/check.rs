//! Checks that the example files are accepted, and that problems are reported with line, key and fix.

use reedring_settings::{ComesAgain, NodeList, Settings};

const EXAMPLE: &str = include_str!("../../../deploy/reedring.toml");
const NODES: &str = include_str!("../../../deploy/nodes.toml");

fn problems(text: &str) -> String {
    Settings::parse(text, "x.toml")
        .expect_err("the settings contain a mistake")
        .to_string()
}

/// The example settings with the first occurrence of `old` replaced.
fn example_with(old: &str, new: &str) -> String {
    assert!(
        EXAMPLE.contains(old),
        "the example does not contain `{old}`"
    );
    EXAMPLE.replacen(old, new, 1)
}

#[test]
fn the_example_settings_and_node_list_are_accepted() {
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
fn each_mistake_is_reported_with_line_key_and_fix() {
    let cases = [
        (
            example_with("placers = 1 ", "placer = 1 "),
            "placer",
            "unknown field",
        ),
        (
            example_with("listen = \"127.0.0.1:4710\"", "listen = \"localhost\""),
            "placer.listen",
            "no address",
        ),
        (
            example_with("aim = \"700ms\"", "aim = \"700\""),
            "",
            "not a time",
        ),
        (
            example_with("aim = \"700ms\"", "aim = \"9s\""),
            "class[0].aim",
            "at most give_up",
        ),
        (
            example_with("kind = \"node-64\"", "kind = \"node-46\""),
            "class[2].kind",
            "did you mean `node-64`?",
        ),
        (
            example_with("window = \"5s\"", ""),
            "class[1].window",
            "needs `window`",
        ),
        (
            example_with("aim = \"700ms\"", "aim = \"700ms\"\nwindow = \"1s\""),
            "class[0].window",
            "remove it",
        ),
        (
            example_with("cold_offers = 40.0", ""),
            "site.cold_offers",
            "go together",
        ),
        (
            example_with("reports = \"never\"", "reports = \"probes\""),
            "site.report_fields",
            "must hold",
        ),
        (
            example_with("max_attempts = 4", "max_attempts = 0"),
            "site.max_attempts",
            "at least 1",
        ),
        (
            example_with("class=edition tenant", "clas=edition tenant"),
            "category[1].native",
            "did you mean `class`?",
        ),
        (
            example_with("tenant=archive", "tenant=archiv"),
            "category[0].native",
            "did you mean `archive`?",
        ),
        (
            example_with("name = \"archive\"", "name = \"radio\""),
            "tenant[1].name",
            "is defined twice",
        ),
        (
            example_with(
                "give_up = \"9.5s\"",
                "give_up = \"9.5s\"\ncomes_again = \"always\"",
            ),
            "class[2].comes_again",
            "only a safe class",
        ),
        ("[placer".to_owned(), "", ""),
    ];
    for (text, key, fix) in cases {
        let message = problems(&text);
        assert!(message.starts_with("x.toml:"), "{message}");
        assert!(
            message.contains(key) && message.contains(fix),
            "expected key `{key}` and fix `{fix}`: {message}"
        );
    }
    let line = EXAMPLE
        .lines()
        .position(|line| line.starts_with("kind = \"node-64\""))
        .unwrap()
        + 1;
    assert!(
        problems(&example_with("kind = \"node-64\"", "kind = \"x\""))
            .starts_with(&format!("x.toml:{line}:"))
    );
}

#[test]
fn all_mistakes_are_reported_at_once() {
    let text = example_with("max_attempts = 4", "max_attempts = 0").replacen(
        "\"node-64\"\ncores = 10.0",
        "\"no\"",
        1,
    );
    assert_eq!(problems(&text).lines().count(), 2, "{}", problems(&text));
}

#[test]
fn node_lists_are_checked_against_the_settings() {
    let settings = Settings::parse(EXAMPLE, "reedring.toml").unwrap();
    let problems_of = |text: &str| {
        NodeList::parse(text, "n.toml", &settings)
            .expect_err("the node list contains a mistake")
            .to_string()
    };
    assert!(problems_of(&NODES.replace("node-32", "node-23")).contains("did you mean `node-32`?"));
    assert!(problems_of(&NODES.replace("7002", "7001")).contains("address of `node-1` too"));
    assert!(problems_of(&NODES.replace("127.0.0.1:7001", "here")).contains("no address"));
    assert!(problems_of(&NODES.replace("kind = \"node-32\"\n", "")).contains("several kinds"));
    assert!(problems_of("[[nodes]]\n").contains("unknown field"));
    let marked = |value: &str| {
        NODES.replace(
            "rack = \"a1\"",
            &format!("rack = \"a1\"\ncontrol = {value}"),
        )
    };
    let line = NODES
        .lines()
        .position(|line| line == "rack = \"a1\"")
        .unwrap()
        + 2;
    let not_boolean = problems_of(&marked("\"yes\""));
    assert!(
        not_boolean.starts_with(&format!("n.toml:{line}:"))
            && not_boolean.contains("expected a boolean"),
        "{not_boolean}"
    );
    let all_gone = problems_of(&marked("true\nhealth = \"gone\""));
    assert!(
        all_gone.starts_with(&format!("n.toml:{line}:")) && all_gone.contains("node[0].control"),
        "{all_gone}"
    );
    assert_eq!(all_gone.lines().count(), 1, "{all_gone}");
    assert!(
        NodeList::parse("", "n.toml", &settings)
            .unwrap()
            .nodes
            .is_empty()
    );
}

#[test]
fn the_control_machines_are_the_nodes_marked_in_the_list() {
    let settings = Settings::parse(EXAMPLE, "reedring.toml").unwrap();
    let control = |text: &str| {
        let list = NodeList::parse(text, "n.toml", &settings).unwrap();
        list.control()
            .map(|node| node.name.clone())
            .collect::<Vec<_>>()
    };
    assert_eq!(control(NODES), Vec::<String>::new());
    let two_marked = NODES
        .replace("rack = \"a1\"", "control = true")
        .replace("rack = \"c1\"", "control = true");
    assert_eq!(control(&two_marked), ["node-1", "node-3"]);
    assert_eq!(
        control(&NODES.replace("rack = \"a1\"", "control = false")),
        Vec::<String>::new()
    );
    // A control machine that is gone is accepted if another one is not gone.
    let one_gone = two_marked.replacen("control = true", "control = true\nhealth = \"gone\"", 1);
    assert_eq!(control(&one_gone).len(), 2);
}
