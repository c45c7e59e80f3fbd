//! Deltas between configurations: their results, their errors, and their encoding in a frame.

use proptest::prelude::*;
use reedring_node_protocol::{FrameDecoder, Message, decode, encode};
use reedring_plan::delta::{DeltaError, SectionError, apply, between};
use reedring_plan::{
    ConfigDigest, ConfigDocument, ConfigVersion, Delta, DocumentError, Edit, MAX_PLAN, SectionKey,
    Table,
};

/// The number of tenants of a site of the target size.
const TENANTS: usize = 590;

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

/// The text of a site with these tenants and 30 classes, whose `aim` starts at `aim` milliseconds.
fn site_text(names: &[String], aim: u32) -> String {
    let mut sections = vec![site(350)];
    sections.extend((0..30).map(|n| class(&format!("class-{n}"), aim + n)));
    sections.extend(names.iter().map(|name| tenant(name)));
    text_of(&sections)
}

fn tenant_names() -> Vec<String> {
    (0..TENANTS)
        .map(|n| format!("team-{n:03}-of-the-site"))
        .collect()
}

/// Sections of random tables and names. Some values contain text that looks like a section header.
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
    /// For any two lists of sections, in any order, the delta turns the first text into the second.
    #[test]
    fn a_delta_yields_exactly_the_text_of_its_target(old in sections(), new in sections(), rotation in any::<prop::sample::Index>()) {
        let mut rotated = new.clone();
        rotated.rotate_left(rotation.index(new.len()));
        for target in [&new, &rotated] {
            let (base, target) = (config(7, &text_of(&old)), config(8, &text_of(target)));
            let delta = between(&base, &target).unwrap();
            let result = apply(&base, &delta).unwrap();
            prop_assert_eq!(result.text(), target.text());
            prop_assert_eq!(result.version(), target.version());
            let frame = encode(&Message::ConfigDelta(delta.clone()));
            prop_assert_eq!(frame.len(), 12 + delta.encoded_len());
            prop_assert_eq!(decode(&frame).unwrap(), Message::ConfigDelta(delta));
        }
    }

    /// A delta with a changed position or a missing edit yields its target or an error, never another configuration.
    #[test]
    fn a_changed_delta_never_yields_another_configuration(old in sections(), new in sections(), new_position in 0..20_u16, edit in any::<prop::sample::Index>()) {
        let (base, target) = (config(7, &text_of(&old)), config(8, &text_of(&new)));
        let mut delta = between(&base, &target).unwrap();
        if delta.edits.is_empty() {
            return Ok(());
        }
        let edit = edit.index(delta.edits.len());
        match &mut delta.edits[edit] {
            Edit::Put { at, .. } => *at = new_position,
            Edit::Remove { .. } => drop(delta.edits.remove(edit)),
        }
        if let Ok(result) = apply(&base, &delta) {
            prop_assert_eq!(result, target);
        }
    }
}

#[test]
fn a_chain_of_deltas_yields_the_last_text() {
    let mut names = tenant_names();
    let mut documents = vec![config(1, &site_text(&names, 100))];
    names.remove(17);
    names.insert(3, "new".to_owned());
    documents.push(config(2, &site_text(&names, 100)));
    names.swap(40, 41);
    documents.push(config(3, &site_text(&names, 200)));
    let deltas: Vec<Delta> = documents
        .windows(2)
        .map(|pair| between(&pair[0], &pair[1]).unwrap())
        .collect();
    let last = deltas.iter().fold(documents[0].clone(), |base, delta| {
        apply(&base, delta).unwrap()
    });
    assert_eq!(last, documents[2]);
    // A chain in which a delta is missing or repeated is rejected.
    let skipped = apply(&documents[0], &deltas[1]).unwrap_err();
    assert_eq!(
        skipped,
        DeltaError::BaseMismatch {
            expected: documents[1].version(),
            found: documents[0].version()
        }
    );
    let repeated = apply(&last, &deltas[1]).unwrap_err();
    assert_eq!(
        repeated,
        DeltaError::BaseMismatch {
            expected: documents[1].version(),
            found: documents[2].version()
        }
    );
}

/// The order of a delta's edits has no meaning, because each put has its position.
#[test]
fn the_order_of_the_edits_does_not_change_the_result() {
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
fn a_delta_has_edits_only_for_changed_sections_and_one_for_a_moved_section() {
    let (mut names, keys) = (tenant_names(), |delta: &Delta| -> Vec<String> {
        delta
            .edits
            .iter()
            .map(|edit| edit.key().to_string())
            .collect()
    });
    let base = config(1, &site_text(&names, 100));
    assert_eq!(between(&base, &config(2, base.text())).unwrap().edits, []);
    names.swap(40, 41);
    let swapped = between(&base, &config(2, &site_text(&names, 100))).unwrap();
    assert_eq!(keys(&swapped).len(), 1, "{swapped:?}");
    names.swap(40, 41);
    let last = names.pop().unwrap();
    let removed = between(&base, &config(2, &site_text(&names, 100))).unwrap();
    assert_eq!(keys(&removed), [format!("tenant \"{last}\"")]);
    assert!(matches!(removed.edits[0], Edit::Remove { .. }));
}

/// At the target size, the delta for the change of one tenant must be far shorter than the whole text.
#[test]
fn the_delta_for_one_tenant_of_590_has_less_than_300_bytes() {
    let old = tenant_names();
    let base = config(1, &site_text(&old, 100));
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
        let delta = between(&base, &config(2, &site_text(&target, 100))).unwrap();
        let bytes = encode(&Message::ConfigDelta(delta)).len();
        println!(
            "the delta has {bytes} bytes, the text has {}",
            base.text().len()
        );
        assert!(bytes < 300, "{bytes}");
        assert!(base.text().len() > 50 * bytes);
    }
}

/// Each kind of invalid delta is rejected with an error that names the section or the versions.
#[test]
#[allow(clippy::too_many_lines, reason = "a table of cases")]
fn the_error_of_a_delta_that_cannot_be_applied_names_the_place() {
    let base = config(
        1,
        &text_of(&[site(3), class("web", 100), tenant("a"), tenant("b")]),
    );
    let target = config(
        2,
        &text_of(&[site(3), class("web", 100), tenant("a"), tenant("c")]),
    );
    let valid = between(&base, &target).unwrap();
    assert_eq!(apply(&base, &valid).unwrap(), target);
    let with_edits = |edits: Vec<Edit>| Delta {
        edits,
        ..valid.clone()
    };
    let put = |name: &str, at: u16, text: &str| Edit::Put {
        key: tenant_key(name),
        at,
        text: text.to_owned(),
    };
    let remove = |name: &str| Edit::Remove {
        key: tenant_key(name),
    };
    let with_target_number = |number| Delta {
        target: ConfigVersion {
            number,
            ..valid.target
        },
        ..valid.clone()
    };
    let other_version = ConfigVersion {
        number: 1,
        digest: ConfigDigest([9; 16]),
    };
    let invalid_section = |name: &str, line, error| DeltaError::InvalidSection {
        key: tenant_key(name),
        line,
        error,
    };
    let base_mismatch = DeltaError::BaseMismatch {
        expected: other_version,
        found: base.version(),
    };
    let too_long = "x".repeat(MAX_PLAN);
    let two_sections = format!("{}\n{}", tenant("c"), tenant("d"));
    let cases = [
        (
            Delta {
                base: other_version,
                ..valid.clone()
            },
            base_mismatch,
            "the delta changes plan 1/09090909, not plan 1/",
        ),
        (
            with_target_number(1),
            DeltaError::NumberGap { base: 1, target: 1 },
            "plan 1 can't follow plan 1: the next number is 2",
        ),
        (
            with_target_number(3),
            DeltaError::NumberGap { base: 1, target: 3 },
            "plan 3 can't follow plan 1: the next number is 2",
        ),
        (
            with_target_number(0),
            DeltaError::NumberGap { base: 1, target: 0 },
            "plan 0 can't follow plan 1",
        ),
        (
            with_edits(vec![remove("x")]),
            DeltaError::UnknownSection {
                key: tenant_key("x"),
            },
            "tenant \"x\": the delta removes this section, which the base does not have",
        ),
        (
            with_edits(vec![remove("b"), put("b", 3, &tenant("b"))]),
            DeltaError::DuplicateEdit {
                key: tenant_key("b"),
            },
            "tenant \"b\": two edits of one delta change this section",
        ),
        (
            with_edits(vec![put("c", 3, &tenant("c")), put("c", 4, &tenant("c"))]),
            DeltaError::DuplicateEdit {
                key: tenant_key("c"),
            },
            "tenant \"c\": two edits",
        ),
        (
            with_edits(vec![remove("b"), remove("b")]),
            DeltaError::DuplicateEdit {
                key: tenant_key("b"),
            },
            "tenant \"b\"",
        ),
        (
            with_edits(vec![put("c", 5, &tenant("c"))]),
            DeltaError::PositionPastEnd {
                key: tenant_key("c"),
                position: 5,
                sections: 4,
            },
            "tenant \"c\": the delta puts this section at position 5, and 4 sections come before it",
        ),
        (
            with_edits(vec![put("c", 2, &tenant("c")), put("d", 2, &tenant("d"))]),
            DeltaError::PositionPastEnd {
                key: tenant_key("d"),
                position: 2,
                sections: 3,
            },
            "tenant \"d\"",
        ),
        (
            with_edits(vec![put("c", 3, "")]),
            invalid_section("c", 1, SectionError::MissingHeader),
            "tenant \"c\", line 1: a section begins",
        ),
        (
            with_edits(vec![put("c", 3, "[plan]\nnumber = 3\n")]),
            invalid_section("c", 1, SectionError::MissingHeader),
            "line 1",
        ),
        (
            with_edits(vec![put("c", 3, "[[tenant]]\n")]),
            invalid_section("c", 2, SectionError::MissingName),
            "tenant \"c\", line 2",
        ),
        (
            with_edits(vec![put("c", 3, &tenant("d"))]),
            invalid_section("c", 2, SectionError::KeyMismatch),
            "tenant \"c\", line 2",
        ),
        (
            with_edits(vec![put("c", 3, &class("c", 1))]),
            invalid_section("c", 2, SectionError::KeyMismatch),
            "those of another section",
        ),
        (
            with_edits(vec![put("c", 3, &two_sections)]),
            invalid_section("c", 4, SectionError::SecondSection),
            "line 4: another section begins",
        ),
        (
            with_edits(vec![put("c", 3, tenant("c").trim_end())]),
            invalid_section("c", 1, SectionError::MissingSeparator),
            "exactly one empty line",
        ),
        (
            with_edits(vec![put("c", 3, "[[tenant]]\nname = \"c\nrepeat = 1\n")]),
            invalid_section("c", 1, SectionError::UnterminatedString),
            "a string has no closing delimiter",
        ),
        (
            with_edits(vec![put("c", 3, &too_long)]),
            DeltaError::TooLong {
                bytes: MAX_PLAN + 61,
            },
            "at most 49152 are allowed",
        ),
        (
            with_edits(vec![remove("b")]),
            DeltaError::InvalidTarget(DocumentError::DigestMismatch {
                number: 2,
                found: config(2, &text_of(&[site(3), class("web", 100), tenant("a")]))
                    .version()
                    .digest,
                expected: valid.target.digest,
            }),
            "the result of the delta is invalid: plan 2: the text has digest",
        ),
    ];
    for (delta, expected, message_part) in cases {
        let error = apply(&base, &delta).unwrap_err();
        assert_eq!(error, expected);
        assert!(
            error.to_string().contains(message_part),
            "the message {error} lacks {message_part:?}"
        );
    }
}

#[test]
fn a_delta_whose_result_is_over_the_size_limit_is_rejected() {
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

/// There is no delta for a text that can't be restored byte for byte from its sections, for numbers that do not follow
/// each other, and if the delta would be over the size limit.
#[test]
fn there_is_no_delta_for_unstructured_texts_number_gaps_and_oversized_changes() {
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
    // If every section is replaced, the delta has the bytes of the text, and a key and a position for each section.
    let (old, new): (Vec<String>, Vec<String>) = (0..1_200)
        .map(|n| (format!("old-{n:04}-team"), format!("new-{n:04}-team")))
        .unzip();
    let base = config(1, &site_text(&old, 1));
    let target = config(2, &site_text(&new, 1));
    let error = between(&base, &target).unwrap_err();
    assert!(matches!(error, DeltaError::TooLong { .. }), "{error}");
}

/// A frame that is cut at any byte is incomplete, and one with any flipped bit is invalid.
#[test]
fn a_truncated_or_changed_delta_frame_is_rejected() {
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
    for offset in 0..frame.len() {
        for bit in 0..8 {
            let mut changed = frame.clone();
            changed[offset] ^= 1 << bit;
            assert!(decode(&changed).is_err(), "bit {bit} of byte {offset}");
        }
    }
    // A body that was truncated before it was framed has a valid length and checksum, and is rejected by its fields.
    for cut in 8..frame.len() - 4 {
        let mut short = frame[..cut].to_vec();
        short[..4].copy_from_slice(&((cut - 8) as u32).to_be_bytes());
        let checksum = crc32c::crc32c(&short).to_be_bytes();
        short.extend(checksum);
        assert!(decode(&short).is_err(), "body cut at {cut}");
    }
    // A delta in a frame of protocol version 2, which has no deltas, is rejected.
    let mut old_version = frame[..frame.len() - 4].to_vec();
    old_version[4] = 2;
    let checksum = crc32c::crc32c(&old_version).to_be_bytes();
    old_version.extend(checksum);
    assert!(decode(&old_version).is_err());
}
