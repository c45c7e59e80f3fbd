//! Deltas between configurations: what they make, what they reject, and their bytes.

use proptest::prelude::*;
use reedring_node_protocol::{FrameDecoder, Message, decode, encode};
use reedring_plan::delta::{DeltaError, SectionError, apply, between};
use reedring_plan::{
    ConfigDigest, ConfigDocument, ConfigVersion, Delta, DocumentError, Edit, MAX_PLAN, SectionKey,
    Table,
};

/// Teams of the target size.
const TEAMS: usize = 590;

fn config(number: u64, text: &str) -> ConfigDocument {
    ConfigDocument::new(number, text).unwrap()
}

fn text_of(sections: &[String]) -> String {
    sections.join("\n")
}

fn site(placers: u32) -> String {
    format!("[site]\nplacers = {placers}\nyes_when = \"running\"\n")
}

fn tenant(name: &str) -> String {
    format!("[[tenant]]\nname = \"{name}\"\n")
}

fn tenant_key(name: &str) -> SectionKey {
    SectionKey::Named {
        table: Table::Tenant,
        name: format!("\"{name}\""),
    }
}

fn class(name: &str, aim: u32) -> String {
    format!(
        "[[class]]\nname = \"{name}\"\nrepeat = \"safe\"\naim = \"{aim}ms\"\nspread = {{ over = \"rack\", most = 2 }}\n"
    )
}

/// A site with that many teams, of 30 classes.
fn teams(names: &[String], aim: u32) -> String {
    let mut sections = vec![site(350)];
    sections.extend((0..30).map(|n| class(&format!("class-{n}"), aim + n)));
    sections.extend(names.iter().map(|name| tenant(name)));
    text_of(&sections)
}

fn names() -> Vec<String> {
    (0..TEAMS)
        .map(|n| format!("team-{n:03}-of-the-site"))
        .collect()
}

/// Sections of random tables and names; values have what is hard to tell from a header.
fn sections() -> impl Strategy<Value = Vec<String>> {
    let value = prop_oneof![
        "[a-z0-9]{0,8}".prop_map(|value| format!("\"{value}\"")),
        "[a-z]{0,4}".prop_map(|value| format!(
            "\"\"\"\n[[tenant]]\nname = \\\"{value}\\\"\n\n[site]\n\"\"\""
        )),
        "[a-z]{0,4}".prop_map(|value| format!("'''\n[[class]]\n\"{value}'''''")),
        "[a-z]{0,4}".prop_map(|value| format!("'{value}\"'")),
        "[a-z]{0,4}".prop_map(|value| format!("'''{value}''''")),
        "[a-z]{0,4}".prop_map(|value| format!("\"\"\"\n{value}\\\"\"\"\n[[tenant]]\n\"\"\"")),
        "[a-z]{0,4}".prop_map(|value| format!("\"{value}\\\\\\\"\" # [[\" kind]]")),
    ];
    let named = (
        0..Table::ALL.len(),
        "[a-e]{1,2}",
        prop::collection::vec(value, 0..3),
    );
    prop::collection::vec(named, 0..12).prop_map(|all| {
        let mut sections = vec![site(3)];
        let mut known = std::collections::BTreeSet::new();
        for (table, name, values) in all {
            if known.insert((table, name.clone())) {
                let mut text = format!("[[{}]]\nname = \"{name}\"\n", Table::ALL[table].word());
                for (number, value) in values.iter().enumerate() {
                    text.push_str(&format!("key{number} = {value}\n"));
                }
                sections.push(text);
            }
        }
        sections
    })
}

proptest! {
    /// Whatever two texts of sections say, and in whichever order: the delta makes the second of the first.
    #[test]
    fn a_delta_makes_the_very_text_of_its_target(old in sections(), new in sections(), turn in any::<prop::sample::Index>()) {
        let mut turned = new.clone();
        turned.rotate_left(turn.index(new.len()));
        for target in [&new, &turned] {
            let (base, target) = (config(7, &text_of(&old)), config(8, &text_of(target)));
            let delta = between(&base, &target).unwrap();
            let made = apply(&base, &delta).unwrap();
            prop_assert_eq!(made.text(), target.text());
            prop_assert_eq!(made.version(), target.version());
            let frame = encode(&Message::ConfigDelta(delta.clone()));
            prop_assert_eq!(frame.len(), 12 + delta.encoded_len());
            prop_assert_eq!(decode(&frame).unwrap(), Message::ConfigDelta(delta));
        }
    }

    /// A delta that was changed on its way in any field makes its target or nothing.
    #[test]
    fn a_faulty_delta_makes_nothing(old in sections(), new in sections(), at in 0..20_u16, edit in any::<prop::sample::Index>()) {
        let (base, target) = (config(7, &text_of(&old)), config(8, &text_of(&new)));
        let mut delta = between(&base, &target).unwrap();
        if delta.edits.is_empty() {
            return Ok(());
        }
        let edit = edit.index(delta.edits.len());
        match &mut delta.edits[edit] {
            Edit::Put { at: place, .. } => *place = at,
            Edit::Remove { .. } => drop(delta.edits.remove(edit)),
        }
        if let Ok(made) = apply(&base, &delta) {
            prop_assert_eq!(made, target);
        }
    }
}

#[test]
fn a_chain_of_deltas_makes_the_last_text() {
    let mut teams_now = names();
    let mut plans = vec![config(1, &teams(&teams_now, 100))];
    teams_now.remove(17);
    teams_now.insert(3, "new".to_owned());
    plans.push(config(2, &teams(&teams_now, 100)));
    teams_now.swap(40, 41);
    plans.push(config(3, &teams(&teams_now, 200)));
    let deltas: Vec<Delta> = plans
        .windows(2)
        .map(|pair| between(&pair[0], &pair[1]).unwrap())
        .collect();
    let made = deltas
        .iter()
        .fold(plans[0].clone(), |base, delta| apply(&base, delta).unwrap());
    assert_eq!(made, plans[2]);
    // One that is left out, or comes twice, is refused.
    let skipped = apply(&plans[0], &deltas[1]).unwrap_err();
    assert_eq!(
        skipped,
        DeltaError::BaseMismatch {
            expected: plans[1].version(),
            found: plans[0].version()
        }
    );
    let again = apply(&made, &deltas[1]).unwrap_err();
    assert_eq!(
        again,
        DeltaError::BaseMismatch {
            expected: plans[1].version(),
            found: plans[2].version()
        }
    );
}

/// A delta says what the target is, in whichever order its edits stand.
#[test]
fn the_order_of_the_edits_does_not_matter() {
    let base = config(
        1,
        &text_of(&[site(3), tenant("a"), tenant("b"), tenant("c")]),
    );
    let target = config(
        2,
        &text_of(&[site(4), tenant("x"), tenant("b"), tenant("y")]),
    );
    let mut delta = between(&base, &target).unwrap();
    assert_eq!(delta.edits.len(), 5);
    delta.edits.reverse();
    assert_eq!(apply(&base, &delta).unwrap(), target);
}

#[test]
fn only_what_changed_is_named_and_what_moved_is_one_edit() {
    let (mut old, keys) = (names(), |delta: &Delta| -> Vec<String> {
        delta
            .edits
            .iter()
            .map(|edit| edit.key().to_string())
            .collect()
    });
    let base = config(1, &teams(&old, 100));
    assert_eq!(between(&base, &config(2, base.text())).unwrap().edits, []);
    old.swap(40, 41);
    let swapped = between(&base, &config(2, &teams(&old, 100))).unwrap();
    assert_eq!(keys(&swapped).len(), 1, "{swapped:?}");
    old.swap(40, 41);
    let last = old.pop().unwrap();
    let removed = between(&base, &config(2, &teams(&old, 100))).unwrap();
    assert_eq!(keys(&removed), [format!("tenant \"{last}\"")]);
    assert!(matches!(removed.edits[0], Edit::Remove { .. }));
}

/// The target size: what one team's change costs beside the text.
#[test]
fn the_change_of_one_team_among_590_is_under_300_bytes() {
    let old = names();
    let base = config(1, &teams(&old, 100));
    let mut added = old.clone();
    added.insert(300, "team-new-of-the-site".to_owned());
    let mut renamed = old.clone();
    renamed[400] = "team-other-of-the-site".to_owned();
    let removed: Vec<String> = old
        .iter()
        .filter(|name| !name.contains("123"))
        .cloned()
        .collect();
    for target in [added, renamed, removed] {
        let delta = between(&base, &config(2, &teams(&target, 100))).unwrap();
        let bytes = encode(&Message::ConfigDelta(delta)).len();
        println!(
            "a delta of {bytes} bytes beside a text of {}",
            base.text().len()
        );
        assert!(bytes < 300, "{bytes}");
        assert!(base.text().len() > 50 * bytes);
    }
}

/// Every faulty delta is named with the place, and makes nothing.
#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn a_delta_that_cannot_be_applied_says_where() {
    let base = config(
        1,
        &text_of(&[site(3), class("web", 100), tenant("a"), tenant("b")]),
    );
    let target = config(
        2,
        &text_of(&[site(3), class("web", 100), tenant("a"), tenant("c")]),
    );
    let right = between(&base, &target).unwrap();
    assert_eq!(apply(&base, &right).unwrap(), target);
    let with = |edits: Vec<Edit>| Delta {
        edits,
        ..right.clone()
    };
    let put = |name: &str, at: u16, text: &str| Edit::Put {
        key: tenant_key(name),
        at,
        text: text.to_owned(),
    };
    let remove = |name: &str| Edit::Remove {
        key: tenant_key(name),
    };
    let numbered = |number| Delta {
        target: ConfigVersion {
            number,
            ..right.target
        },
        ..right.clone()
    };
    let other = ConfigVersion {
        number: 1,
        digest: ConfigDigest([9; 16]),
    };
    let section = |name: &str, line, error| DeltaError::InvalidSection {
        key: tenant_key(name),
        line,
        error,
    };
    let other_base = DeltaError::BaseMismatch {
        expected: other,
        found: base.version(),
    };
    let long = "x".repeat(MAX_PLAN);
    let two = format!("{}\n{}", tenant("c"), tenant("d"));
    let cases = [
        (
            Delta {
                base: other,
                ..right.clone()
            },
            other_base,
            "the delta changes plan 1/09090909, not plan 1/",
        ),
        (
            numbered(1),
            DeltaError::NumberGap { base: 1, target: 1 },
            "plan 1 can't follow plan 1: the next number is 2",
        ),
        (
            numbered(3),
            DeltaError::NumberGap { base: 1, target: 3 },
            "plan 3 can't follow plan 1: the next number is 2",
        ),
        (
            numbered(0),
            DeltaError::NumberGap { base: 1, target: 0 },
            "plan 0 can't follow plan 1",
        ),
        (
            with(vec![remove("x")]),
            DeltaError::UnknownSection {
                key: tenant_key("x"),
            },
            "tenant \"x\": it is to be removed and is not there",
        ),
        (
            with(vec![remove("b"), put("b", 3, &tenant("b"))]),
            DeltaError::DuplicateEdit {
                key: tenant_key("b"),
            },
            "tenant \"b\": two edits of one delta change it",
        ),
        (
            with(vec![put("c", 3, &tenant("c")), put("c", 4, &tenant("c"))]),
            DeltaError::DuplicateEdit {
                key: tenant_key("c"),
            },
            "tenant \"c\": two edits",
        ),
        (
            with(vec![remove("b"), remove("b")]),
            DeltaError::DuplicateEdit {
                key: tenant_key("b"),
            },
            "tenant \"b\"",
        ),
        (
            with(vec![put("c", 5, &tenant("c"))]),
            DeltaError::PositionPastEnd {
                key: tenant_key("c"),
                position: 5,
                sections: 4,
            },
            "tenant \"c\": it is to be section 5, and only 4 stand before it",
        ),
        (
            with(vec![put("c", 2, &tenant("c")), put("d", 2, &tenant("d"))]),
            DeltaError::PositionPastEnd {
                key: tenant_key("d"),
                position: 2,
                sections: 3,
            },
            "tenant \"d\"",
        ),
        (
            with(vec![put("c", 3, "")]),
            section("c", 1, SectionError::MissingHeader),
            "tenant \"c\", line 1: a section begins",
        ),
        (
            with(vec![put("c", 3, "[plan]\nnumber = 3\n")]),
            section("c", 1, SectionError::MissingHeader),
            "line 1",
        ),
        (
            with(vec![put("c", 3, "[[tenant]]\n")]),
            section("c", 2, SectionError::MissingName),
            "tenant \"c\", line 2",
        ),
        (
            with(vec![put("c", 3, &tenant("d"))]),
            section("c", 2, SectionError::KeyMismatch),
            "tenant \"c\", line 2",
        ),
        (
            with(vec![put("c", 3, &class("c", 1))]),
            section("c", 2, SectionError::KeyMismatch),
            "those of another section",
        ),
        (
            with(vec![put("c", 3, &two)]),
            section("c", 4, SectionError::SecondSection),
            "line 4: another section begins",
        ),
        (
            with(vec![put("c", 3, tenant("c").trim_end())]),
            section("c", 1, SectionError::MissingSeparator),
            "one empty line",
        ),
        (
            with(vec![put("c", 3, "[[tenant]]\nname = \"c\nrepeat = 1\n")]),
            section("c", 1, SectionError::UnterminatedString),
            "a string does not end",
        ),
        (
            with(vec![put("c", 3, &long)]),
            DeltaError::TooLong {
                bytes: MAX_PLAN + 61,
            },
            "at most 49152 fit",
        ),
        (
            with(vec![remove("b")]),
            DeltaError::InvalidTarget(DocumentError::DigestMismatch {
                number: 2,
                found: config(2, &text_of(&[site(3), class("web", 100), tenant("a")]))
                    .version()
                    .digest,
                expected: right.target.digest,
            }),
            "what comes of the delta: plan 2: the text has digest",
        ),
    ];
    for (delta, expected, words) in cases {
        let error = apply(&base, &delta).unwrap_err();
        assert_eq!(error, expected);
        assert!(error.to_string().contains(words), "{error} lacks {words:?}");
    }
}

#[test]
fn a_text_that_would_grow_over_the_bound_is_refused() {
    let full = format!(
        "[[constraint]]\nname = \"long\"\ntext = \"{}\"\n",
        "x".repeat(MAX_PLAN - 300)
    );
    let base = config(1, &text_of(&[site(3), full]));
    let more = format!(
        "[[constraint]]\nname = \"more\"\ntext = \"{}\"\n",
        "x".repeat(300)
    );
    let key = SectionKey::Named {
        table: Table::Constraint,
        name: "\"more\"".to_owned(),
    };
    let target = ConfigVersion {
        number: 2,
        digest: ConfigDigest::default(),
    };
    let edits = vec![Edit::Put {
        key,
        at: 2,
        text: more,
    }];
    let error = apply(
        &base,
        &Delta {
            base: base.version(),
            target,
            edits,
        },
    )
    .unwrap_err();
    assert!(
        matches!(
            error,
            DeltaError::InvalidTarget(DocumentError::TooLong { number: 2, .. })
        ),
        "{error}"
    );
}

/// No delta is made of what it could not give back byte for byte; a delta over the bound is none.
#[test]
fn texts_that_are_no_list_of_sections_have_no_delta() {
    let good = config(1, &text_of(&[site(3), tenant("a")]));
    let long_name = tenant(&"n".repeat(300));
    for (text, line, error) in [
        (String::new(), 1, SectionError::MissingHeader),
        ("placers = 3\n".to_owned(), 1, SectionError::MissingHeader),
        (
            format!("{}\n[limits]\nconnections = 3\n", site(3)),
            5,
            SectionError::MissingHeader,
        ),
        (
            format!("{}\n[[tenant]]\nnick = \"a\"\n", site(3)),
            6,
            SectionError::MissingName,
        ),
        (
            format!("{}\n[[tenant]]\nname = \"\"\"a\"\"\"\n", site(3)),
            6,
            SectionError::MissingName,
        ),
        (text_of(&[site(3), long_name]), 6, SectionError::MissingName),
        (
            text_of(&[site(3), tenant("a"), tenant("a")]),
            8,
            SectionError::DuplicateSection,
        ),
        (
            text_of(&[site(3), site(4)]),
            5,
            SectionError::DuplicateSection,
        ),
        (
            format!("{}\n\n{}", site(3), tenant("a")),
            1,
            SectionError::MissingSeparator,
        ),
        (
            format!("{}{}", site(3), tenant("a")),
            1,
            SectionError::MissingSeparator,
        ),
        (
            format!("{}\n[[tenant]]\nname = \"a\"", site(3)),
            5,
            SectionError::MissingSeparator,
        ),
        (
            format!("{}\n[[tenant]]\nname = \"a\n", site(3)),
            1,
            SectionError::UnterminatedString,
        ),
        (
            format!("{}\n[[tenant]]\nname = '''a\n", site(3)),
            1,
            SectionError::UnterminatedString,
        ),
    ] {
        let other = config(2, &text);
        let expected = DeltaError::UnstructuredText {
            version: other.version(),
            line,
            error,
        };
        assert_eq!(between(&good, &other).unwrap_err(), expected, "{text:?}");
        let base = config(1, &text);
        let found = between(&base, &config(2, good.text())).unwrap_err();
        assert_eq!(
            found,
            DeltaError::UnstructuredText {
                version: base.version(),
                line,
                error
            },
            "{text:?}"
        );
    }
    for number in [0, 1, 3] {
        let version = ConfigVersion {
            number,
            digest: good.version().digest,
        };
        let Ok(target) = ConfigDocument::verify(version, good.text()) else {
            continue;
        };
        assert_eq!(
            between(&good, &target).unwrap_err(),
            DeltaError::NumberGap {
                base: 1,
                target: number
            }
        );
    }
    // Everything anew: as many bytes as the text, and a key and a place for each section.
    let (old, new): (Vec<String>, Vec<String>) = (0..1_200)
        .map(|n| (format!("old-{n:04}-team"), format!("new-{n:04}-team")))
        .unzip();
    let error = between(&config(1, &teams(&old, 1)), &config(2, &teams(&new, 1))).unwrap_err();
    assert!(matches!(error, DeltaError::TooLong { .. }), "{error}");
}

/// The frame: cut at any byte it is no message yet, with any bit flipped it never is one.
#[test]
fn a_delta_that_is_cut_or_garbled_is_never_read() {
    let base = config(
        1,
        &text_of(&[site(3), class("web", 100), tenant("a"), tenant("b")]),
    );
    let target = config(
        2,
        &text_of(&[site(4), class("web", 100), tenant("c"), tenant("a")]),
    );
    let frame = encode(&Message::ConfigDelta(between(&base, &target).unwrap()));
    for cut in 0..frame.len() {
        assert!(decode(&frame[..cut]).is_err(), "cut at {cut}");
        let mut reader = FrameDecoder::default();
        reader.push(&frame[..cut]);
        assert!(matches!(reader.next_message(), Ok(None)), "cut at {cut}");
    }
    for at in 0..frame.len() {
        for bit in 0..8 {
            let mut garbled = frame.clone();
            garbled[at] ^= 1 << bit;
            assert!(decode(&garbled).is_err(), "bit {bit} of byte {at}");
        }
    }
    // A body that was cut before it was framed has a checksum that fits, and is refused by its fields.
    for cut in 8..frame.len() - 4 {
        let mut short = frame[..cut].to_vec();
        short[..4].copy_from_slice(&((cut - 8) as u32).to_be_bytes());
        let sum = crc32c::crc32c(&short).to_be_bytes();
        short.extend(sum);
        assert!(decode(&short).is_err(), "body cut at {cut}");
    }
    // Nor is it read from a frame of a version that has no deltas.
    let mut old = frame[..frame.len() - 4].to_vec();
    old[4] = 2;
    let sum = crc32c::crc32c(&old).to_be_bytes();
    old.extend(sum);
    assert!(decode(&old).is_err());
}
