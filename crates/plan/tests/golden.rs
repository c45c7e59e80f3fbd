//! Acceptor states that commit 073fcce wrote: what a node has on its disk opens with equal values, and is written
//! again with equal bytes. The files are never written anew.

use std::collections::BTreeMap;

use reedring_plan::*;

fn plan(number: u64, text: &str) -> ConfigDocument {
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

/// A state in each phase of a change, by the orders that lead to it, with the file that holds it.
fn states() -> Vec<(&'static str, &'static [u8], AcceptorState)> {
    let (one, two) = (plan(1, first_text()), plan(2, second_text()));
    let (follows, version) = (one.version(), two.version());
    let text = || second_text().to_owned();
    let force = |kept: &ConfigDocument, list| ConfigRequest::Commit {
        version: kept.version(),
        text: kept.text().to_owned(),
        list,
    };
    let after = |memory: &AcceptorState, order: ConfigRequest| memory.apply(&order, true).unwrap();

    let empty = AcceptorState::default();
    let first = after(&empty, force(&one, 40));
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
    let done = after(&joint, force(&two, 43));
    vec![
        ("empty", include_bytes!("golden/empty.bin"), empty),
        ("first", include_bytes!("golden/first.bin"), first),
        ("promised", include_bytes!("golden/promised.bin"), promised),
        ("accepted", include_bytes!("golden/accepted.bin"), accepted),
        ("joint", include_bytes!("golden/joint.bin"), joint),
        ("done", include_bytes!("golden/done.bin"), done),
        (
            "each-field",
            include_bytes!("golden/each-field.bin"),
            each_field(),
        ),
    ]
}

/// Every field with a value that no other field has.
fn each_field() -> AcceptorState {
    let seen = |n: u64| PlacerSighting {
        level: 2 + n,
        at_s: 1_700_000_000 + n,
        build: 0xdead_0000 + n as u32,
    };
    let seen: BTreeMap<u64, PlacerSighting> = (0..5)
        .map(|n| (n * 0x0101_0101_0101_0101, seen(n)))
        .collect();
    AcceptorState {
        committed: Some(plan(0x1122_3344_5566, first_text())),
        accepted: Some(AcceptedConfig {
            ballot: ballot(5),
            document: plan(0x1122_3344_5567, second_text()),
            joint: true,
        }),
        promised: ballot(6),
        list_revision: 0x0a0b_0c0d_0e0f,
        replaced_configs: 0x0102_0304,
        installed_by_catch_up: true,
        placers: seen,
    }
}

#[test]
fn golden_states_are_read_with_equal_values_and_written_with_equal_bytes() {
    for (name, bytes, state) in states() {
        assert!(
            AcceptorState::decode(bytes).as_ref() == Ok(&state),
            "{name} is read as another state"
        );
        assert!(state.encode() == bytes, "{name} is written as other bytes");
    }
}

/// What placers are told of a state, and which offers it admits, follow from the same bytes.
#[test]
fn golden_states_keep_their_floors() {
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

/// A plan's version holds the digest of its text: other digests would make all that is stored unreadable.
#[test]
fn golden_digests_are_those_of_their_texts() {
    let digests = [(first_text(), FIRST_DIGEST), (second_text(), SECOND_DIGEST)];
    for (text, digest) in digests {
        assert_eq!(plan(1, text).version().digest, ConfigDigest(digest));
    }
}

const FIRST_DIGEST: [u8; 16] = [
    0xc5, 0x44, 0x8f, 0xe0, 0x90, 0xa3, 0x72, 0x2d, 0x84, 0x95, 0xb8, 0x11, 0xae, 0xaf, 0x0f, 0x02,
];
const SECOND_DIGEST: [u8; 16] = [
    0x48, 0xa2, 0x3a, 0x21, 0xca, 0x2c, 0x28, 0xa9, 0x7e, 0xad, 0x49, 0x6a, 0xb2, 0x8d, 0xf5, 0x6d,
];
