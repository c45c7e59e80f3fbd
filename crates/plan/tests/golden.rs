//! Stored acceptor states of an earlier build, which a node may still have on its disk: they must be read with equal
//! values and written with equal bytes. The golden files are never regenerated.

use std::collections::BTreeMap;

use reedring_plan::*;

fn config(number: u64, text: &str) -> ConfigDocument {
    ConfigDocument::new(number, text).unwrap()
}

fn ballot(round: u64) -> Ballot {
    Ballot {
        round,
        proposer: 0x0102_0304_0506_0708,
    }
}

fn first_text() -> &'static str {
    "[site]\nplacers = 3\n\n[[tenant]]\nname = \"ä\"\nshare = 0.5\n"
}

fn second_text() -> &'static str {
    "[site]\nplacers = 4\n"
}

/// A state in each phase of a change, made by the requests that lead to it, with its name and the golden file of it.
fn states() -> Vec<(&'static str, &'static [u8], AcceptorState)> {
    let (one, two) = (config(1, first_text()), config(2, second_text()));
    let (follows, version) = (one.version(), two.version());
    let text = || second_text().to_owned();
    let commit = |document: &ConfigDocument, list| ConfigRequest::Commit {
        version: document.version(),
        text: document.text().to_owned(),
        list,
    };
    let after =
        |state: &AcceptorState, request: ConfigRequest| state.apply(&request, true).unwrap();

    let empty = AcceptorState::default();
    let first = after(&empty, commit(&one, 40));
    let promised = after(
        &first,
        ConfigRequest::Prepare {
            follows,
            ballot: ballot(3),
            list: 41,
        },
    );
    let accepted = after(
        &promised,
        ConfigRequest::Accept {
            follows,
            ballot: ballot(4),
            version,
            text: text(),
            list: 41,
        },
    );
    let joint = after(
        &accepted,
        ConfigRequest::EnterJoint {
            follows,
            version,
            text: text(),
            list: 42,
        },
    );
    let second = after(&joint, commit(&two, 43));
    vec![
        ("empty", include_bytes!("golden/empty.bin"), empty),
        ("first", include_bytes!("golden/first.bin"), first),
        ("promised", include_bytes!("golden/promised.bin"), promised),
        ("accepted", include_bytes!("golden/accepted.bin"), accepted),
        ("joint", include_bytes!("golden/joint.bin"), joint),
        ("done", include_bytes!("golden/done.bin"), second),
        (
            "each-field",
            include_bytes!("golden/each-field.bin"),
            each_field(),
        ),
    ]
}

/// A state in which every field has a value of its own, so that swapped fields are detected.
fn each_field() -> AcceptorState {
    let record = |n: u64| PlacerRecord {
        level: 2 + n,
        last_seen_s: 1_700_000_000 + n,
        build: 0xdead_0000 + n as u32,
    };
    let placers: BTreeMap<u64, PlacerRecord> = (0..5)
        .map(|n| (n * 0x0101_0101_0101_0101, record(n)))
        .collect();
    AcceptorState {
        committed: Some(config(0x1122_3344_5566, first_text())),
        accepted: Some(AcceptedConfig {
            ballot: ballot(5),
            document: config(0x1122_3344_5567, second_text()),
            joint: true,
        }),
        promised: ballot(6),
        list_revision: 0x0a0b_0c0d_0e0f,
        replaced_configs: 0x0102_0304,
        installed_by_catch_up: true,
        placers,
    }
}

#[test]
fn golden_states_are_read_with_equal_values_and_written_with_equal_bytes() {
    for (name, bytes, state) in states() {
        assert!(
            AcceptorState::decode(bytes).as_ref() == Ok(&state),
            "golden/{name}.bin is read as another state"
        );
        assert!(
            state.encode() == bytes,
            "the state of golden/{name}.bin is encoded as other bytes"
        );
    }
}

/// The floors, which decide about the offers that a node admits, follow from the stored bytes.
#[test]
fn golden_states_have_the_expected_floors() {
    let floors = [0, 2, 2, 2, 3, 4, 0x1122_3344_5567 * 2 - 1];
    let states = states();
    assert_eq!(states.len(), floors.len());
    for ((name, bytes, _), floor) in states.into_iter().zip(floors) {
        assert_eq!(
            AcceptorState::decode(bytes).unwrap().floor(),
            floor,
            "{name}"
        );
    }
}

/// Stored configurations are verified by the digest of their text, so another digest function would make every stored
/// state unreadable.
#[test]
fn the_digests_of_the_golden_texts_are_unchanged() {
    let digests = [(first_text(), FIRST_DIGEST), (second_text(), SECOND_DIGEST)];
    for (text, digest) in digests {
        assert_eq!(config(1, text).version().digest, ConfigDigest(digest));
    }
}

const FIRST_DIGEST: [u8; 16] = [
    0xc5, 0x44, 0x8f, 0xe0, 0x90, 0xa3, 0x72, 0x2d, 0x84, 0x95, 0xb8, 0x11, 0xae, 0xaf, 0x0f, 0x02,
];
const SECOND_DIGEST: [u8; 16] = [
    0x48, 0xa2, 0x3a, 0x21, 0xca, 0x2c, 0x28, 0xa9, 0x7e, 0xad, 0x49, 0x6a, 0xb2, 0x8d, 0xf5, 0x6d,
];
