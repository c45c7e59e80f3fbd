//! Error messages, limits, schema checks, explanations and version comparison, each on chosen texts.

use reedring_constraint::*;

fn parse_error(text: &str) -> String {
    Constraint::parse(text).expect_err(text).to_string()
}

#[test]
fn an_error_shows_its_position_and_a_fix() {
    let cases = [
        ("require hal = a", "did you mean `hall`?"),
        ("require hall a", "expected `=`"),
        ("require hall = ", "found the end"),
        ("require hall in a", "write it as {\"a\", \"b\"}"),
        ("require hall < a", "texts have no order"),
        ("require hall has a", "is one text, not a set"),
        ("require hall = 3", "write it in quotes"),
        (
            "require attr.cores < \"3\"",
            "write a number without quotes",
        ),
        ("require attr.x in {}", "an empty set"),
        ("require apart copies by hall", "expected `from`"),
        ("require near copes by hall", "did you mean `copies`?"),
        (
            "require near copies by room",
            "expected `machine`, `rack` or `hall`",
        ),
        (
            "require near label tier by hall",
            "`=` and the label's value",
        ),
        ("spread by hall at mots 2", "did you mean `most`?"),
        ("spread by hall at most 0", "a whole number from 1"),
        ("spread by hall at most 1.5", "a whole number from 1"),
        ("require (hall = a", "opened here"),
        ("require hall = \"a", "a quote is not closed"),
        ("require hall = a adn rack = b", "did you mean `and`?"),
        ("require hall = a & rack = b", "`&` means nothing here"),
        ("use nothing", "the settings name no constraint `nothing`"),
        ("require hall = a and hall = b", "can't both hold"),
        (
            "require hall = a; require hall in {\"b\", \"c\"}",
            "can't both hold",
        ),
        ("require attr.n > 5; require attr.n <= 5", "can't both hold"),
        ("require kind = x and kind != x", "can't both hold"),
    ];
    for (text, want) in cases {
        let shown = parse_error(text);
        assert!(shown.contains(want), "{text}: want {want}:\n{shown}");
        assert!(shown.contains('^'), "{text}:\n{shown}");
    }
}

#[test]
fn comparisons_that_can_hold_together_are_accepted() {
    for text in [
        "require hall = a or hall = b",
        "prefer hall = a; prefer hall = b",
        "require hall in {\"a\", \"b\"} and hall = b",
        "require attr.n >= 5; require attr.n <= 5",
        "require not (hall = a and hall = b)",
    ] {
        Constraint::parse(text).unwrap();
    }
}

#[test]
fn escapes_non_ascii_letters_and_line_ends_are_parsed() {
    let text = "require name = \"Haus \\\"Öpfel\\\" \\\\ 3\"\n\n  prefer hall = größe.1\nrequire (hall = a\n or rack = b)";
    let read = Constraint::parse(text).unwrap();
    assert_eq!(read.clauses.len(), 3);
    assert_eq!(Constraint::parse(&read.to_string()).unwrap(), read);
    assert!(Constraint::parse("").unwrap().clauses.is_empty());
}

#[test]
fn a_text_beyond_a_limit_is_rejected_with_that_limit() {
    let long = format!("require hall = \"{}\"", "x".repeat(MAX_TEXT));
    assert!(parse_error(&long).contains("at most 10000 fit"));
    let fits = format!("require hall = \"{}\"", "x".repeat(MAX_TEXT - 20));
    Constraint::parse(&fits).unwrap();
    let deep = format!("require {}hall = a{}", "(".repeat(5_000), ")".repeat(4_000));
    assert!(parse_error(&deep).contains("more than 50 levels"));
    assert!(
        parse_error(&format!("require {} hall = a", "not ".repeat(2_000)))
            .contains("more than 50 levels")
    );
    let many = "require hall = a;".repeat(MAX_CLAUSES + 1);
    assert!(parse_error(&many).contains("more than 64 clauses"));
}

#[test]
fn a_schema_rejects_unknown_kinds_and_attributes_and_wrong_types() {
    let mut node = FleetNode::named("n").hall("a").attr("kernel", "v6.1");
    node.attrs.insert("gpus".into(), Attr::Number(2.0));
    let schema = Schema::of(vec!["big".into()], &Fleet::new(vec![node]));
    let check = |text: &str| {
        schema
            .check(&Constraint::parse(text).unwrap(), text)
            .map_err(|m| m.to_string())
    };
    assert!(
        check("require kind = bigg")
            .unwrap_err()
            .contains("did you mean `big`?")
    );
    assert!(
        check("require attr.gpu > 1")
            .unwrap_err()
            .contains("did you mean `gpus`?")
    );
    assert!(
        check("require attr.gpus = two")
            .unwrap_err()
            .contains("is a number on the node list")
    );
    assert!(
        check("require attr.kernel > 6")
            .unwrap_err()
            .contains("is a version")
    );
    check("require kind = big and attr.gpus >= 2 and attr.kernel >= v6").unwrap();
}

/// Indexes of the nodes that are open under a constraint if there are no copies.
fn open(text: &str, fleet: &Fleet) -> Vec<usize> {
    let compiled = Compiled::new(&Constraint::parse(text).unwrap(), fleet);
    compiled
        .open(fleet, &Census::default(), &OwnService::new("c", "s"), 0)
        .machines
        .ones()
        .collect()
}

fn fleet() -> Fleet {
    let node = |n: usize| {
        let mut node = FleetNode::named(&format!("n{n}"))
            .hall(["a", "b"][n % 2])
            .rack(["1", "2"][n / 2 % 2]);
        node.kind = ["big", "small"][n / 4 % 2].to_owned();
        node
    };
    Fleet::new((0..8).map(node).collect())
}

#[test]
fn an_explanation_names_the_last_removing_clause_and_a_minimal_conflict() {
    let explain = |text: &str| {
        let constraint = Constraint::parse(text).unwrap();
        Compiled::new(&constraint, &fleet()).explain(
            &fleet(),
            &Census::default(),
            &OwnService::new("c", "s"),
        )
    };
    let never = explain("require kind = big; require hall = x; require rack = \"1\"");
    assert_eq!(
        (never.verdict, never.last_removing, never.conflict.clone()),
        (Verdict::Never, Some(1), vec![1])
    );
    assert_eq!(
        (
            never.clauses[0].removed_in_order,
            never.clauses[1].removed_alone
        ),
        (4, 8)
    );
    // Each clause by itself leaves machines; of the pairs, only the first and the last clause conflict.
    let together =
        explain("require name in {\"n0\", \"n1\"}; require rack = \"1\"; require kind = small");
    assert_eq!(
        (together.verdict, together.conflict.clone()),
        (Verdict::Never, vec![0, 2])
    );
    assert!(
        together.to_string().contains("conflict only together"),
        "{together}"
    );
    assert_eq!(explain("require hall = a").open, 4);
}

#[test]
fn versions_compare_by_their_parts() {
    let node = |name: &str, version: &str| FleetNode::named(name).attr("os", version);
    let fleet = Fleet::new(vec![
        node("a", "v6.1"),
        node("b", "v6.10.2"),
        node("c", "v5"),
        node("d", "six"),
    ]);
    let open = |text: &str| open(text, &fleet);
    assert_eq!(open("require attr.os >= v6.2"), [1]);
    assert_eq!(open("require attr.os = v6.1.0"), [0]);
    assert_eq!(open("require attr.os < v6"), [2]);
    assert_eq!(open("require attr.os = six"), [3]);
    // An attribute that is missing or of another type satisfies no comparison, so `not` of a comparison holds.
    assert_eq!(open("require not attr.os >= v1"), [3]);
    assert_eq!(open("require attr.none != x"), Vec::<usize>::new());
}

#[test]
fn a_node_without_rack_or_hall_is_in_no_such_domain() {
    let fleet = Fleet::new(vec![FleetNode::named("a"), FleetNode::named("b").hall("h")]);
    let open = |text: &str| open(text, &fleet);
    assert_eq!(open("require apart from copies by hall"), [1]);
    assert_eq!(open("spread by rack at most 1"), Vec::<usize>::new());
    assert_eq!(open("spread by machine at most 1"), [0, 1]);
    assert_eq!(open("spread by hall at least 2"), Vec::<usize>::new());
}

/// The first word of each line of the corpus is `good` if the text must parse and `bad` if it must be rejected.
#[test]
fn each_corpus_text_is_parsed_or_rejected_as_marked() {
    for (n, line) in include_str!("corpus.txt").lines().enumerate() {
        let (want, text) = line.split_once(' ').unwrap_or((line, ""));
        let text = text.replace("\\n", "\n");
        match (want, Constraint::parse(&text)) {
            ("good", Ok(read)) => {
                assert_eq!(
                    Constraint::parse(&read.to_string()).unwrap(),
                    read,
                    "line {}",
                    n + 1
                )
            }
            ("bad", Err(error)) => assert!(!error.to_string().is_empty()),
            (_, got) => panic!("line {}: {text}: {got:?}", n + 1),
        }
    }
}
