//! Checks the plan of a settings file: its canonical text, its separation from the tables of the single placer, and the
//! adoption of the plan of another placer.

use reedring_plan::delta::{apply, between};
use reedring_settings::{Class, Settings};

const EXAMPLE: &str = include_str!("../../../deploy/reedring.toml");

fn parse(text: &str) -> Settings {
    Settings::parse(text, "x.toml").unwrap()
}

#[test]
fn a_canonical_text_is_parsed_to_the_same_plan() {
    let settings = parse(EXAMPLE);
    let (text, plan) = (settings.plan_text(), settings.plan().unwrap().unwrap());
    let parsed = settings.with_plan(&text, "plan").unwrap();
    assert_eq!(parsed, settings);
    assert_eq!(parsed.plan().unwrap().unwrap(), plan);
    assert_eq!(parsed.bounds(), settings.bounds());
    assert_eq!(
        settings.with_bounds(&settings.bounds()),
        settings,
        "settings must not change when their own bounds are applied"
    );
}

#[test]
fn the_digest_depends_on_the_values_of_the_plan_and_not_on_how_the_file_writes_them() {
    let base = parse(EXAMPLE).plan().unwrap().unwrap().version();
    let same = [
        EXAMPLE.replace("drain_grace = \"500ms\"", "drain_grace = \"0.5s\""),
        EXAMPLE.replace("max_attempts = 4", "# as usual"),
        EXAMPLE.replace("name = \"placer-1\"", "name = \"placer-2\""),
        EXAMPLE.replace("connections = 1000", "connections = 7"),
    ];
    for text in same {
        assert_ne!(text, EXAMPLE);
        assert_eq!(parse(&text).plan().unwrap().unwrap().version(), base);
    }
    let other = [
        EXAMPLE.replace("cold_offers = 40.0", "cold_offers = 41.0"),
        EXAMPLE.replace("window = \"5s\"", "window = \"4s\""),
        EXAMPLE
            .replace("name = \"archive\"", "name = \"archives\"")
            .replace("tenant=archive ", "tenant=archives "),
    ];
    for text in other {
        assert_ne!(text, EXAMPLE);
        assert_ne!(
            parse(&text).plan().unwrap().unwrap().version().digest,
            base.digest
        );
    }
}

#[test]
fn without_a_plan_table_there_is_no_plan_and_wrong_plan_tables_are_reported() {
    let without = EXAMPLE.replace("[plan]\nnumber = 1", "");
    assert_eq!(parse(&without).plan().unwrap(), None);
    let wrong = |by: &str| {
        let text = EXAMPLE.replace("[plan]\nnumber = 1", by);
        Settings::parse(&text, "x.toml").unwrap_err().to_string()
    };
    assert!(wrong("[plan]\nnumber = 0").contains("plan.number: plans are numbered from 1"));
    assert!(wrong("[plan]\nnumber = 1\nlease = \"10ms\"").contains("plan.lease: under 1s"));
    assert!(wrong("[plan]\nnumber = 1\nleese = \"10s\"").contains("leese"));
}

/// A plan text from elsewhere is parsed completely or rejected with the place of the problem; no text causes a panic.
#[test]
fn a_received_plan_text_is_checked_as_a_whole() {
    let settings = parse(EXAMPLE);
    let text = settings.plan_text();
    let wrong = |text: &str| settings.with_plan(text, "plan 2").unwrap_err().to_string();
    assert!(
        wrong(&format!("{text}\n[limits]\nconnections = 1\n"))
            .contains("a plan has no table `limits`")
    );
    assert!(wrong(&text.replace("placers = 1", "placers = 0")).contains("plan 2:2: site.placers"));
    assert!(
        wrong(&text.replace("placers = 1", "placers = 1\nnew_figure = 3")).contains("new_figure")
    );
    for cut in (0..text.len())
        .step_by(7)
        .filter(|cut| text.is_char_boundary(*cut))
    {
        let _ = settings.with_plan(&text[..cut], "plan 2");
    }
}

/// Existing classes keep their numbers, and removed classes stay in place, closed.
#[test]
fn classes_kinds_and_tenants_keep_their_numbers_when_the_plan_changes() {
    let used = parse(EXAMPLE);
    let text = used.plan_text();
    let (head, rest) = text.split_once("[[class]]\nname = \"play\"").unwrap();
    let (play, tail) = rest.split_once("[[class]]").unwrap();
    let (classes, tenants) = tail.split_once("[[tenant]]").unwrap();
    let renamed = play.replace("aim = \"700ms\"", "aim = \"650ms\"");
    let new =
        format!("{head}[[class]]{classes}[[class]]\nname = \"listen\"{renamed}[[tenant]]{tenants}");
    let new = used.with_plan(&new, "plan 2").unwrap();
    assert_eq!(
        new.classes
            .iter()
            .map(|class| &class.name[..])
            .collect::<Vec<_>>(),
        ["capture", "edition", "listen"]
    );
    let renumbered = new.with_numbers_of(&used);
    let names: Vec<(&str, bool)> = renumbered
        .classes
        .iter()
        .map(|Class { name, closed, .. }| (&name[..], *closed))
        .collect();
    assert_eq!(
        names,
        [
            ("play", true),
            ("capture", false),
            ("edition", false),
            ("listen", false)
        ]
    );
    assert_eq!(renumbered.classes[2].kind, used.classes[2].kind);
    assert_eq!(
        (&renumbered.kinds, &renumbered.tenants),
        (&used.kinds, &used.tenants)
    );
}

/// A delta edits whole sections of the canonical text. Values that look like section headers must not be taken for
/// sections, in any form in which the canonical text writes strings.
#[test]
fn canonical_texts_have_deltas_whatever_their_values_look_like() {
    const ODD: &str = r#####"
[[category]]
name = 'odd \ "name" # [[tenant]]'
native = "class=edition tenant=radio life=40s"

[[constraint]]
name = "several-lines"
text = """
require name = 'x

[[tenant]]
name = \"y\"
\\\\'
"""
"#####;
    let number =
        |number: u64, text: &str| text.replace("number = 1", &format!("number = {number}"));
    let plan = |text: &str| parse(text).plan().unwrap().unwrap();
    let first = plan(EXAMPLE);
    let second = plan(&number(2, &format!("{EXAMPLE}{ODD}")));
    let third = plan(&number(
        3,
        &EXAMPLE.replace("cold_offers = 40.0", "cold_offers = 41.0"),
    ));
    assert!(
        second.text().contains("\n\n[[tenant]]\nname = \"y\"\n"),
        "{}",
        second.text()
    );
    for (base, target, edits) in [(&first, &second, 2), (&second, &third, 3)] {
        let delta = between(base, target).unwrap();
        assert_eq!(delta.edits.len(), edits, "{:?}", delta.edits);
        assert_eq!(&apply(base, &delta).unwrap(), target);
    }
}
