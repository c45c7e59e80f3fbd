//! A node's folder that commit 073fcce wrote: its two slots open with equal values, and the same states kept again give
//! files with equal bytes. The files are never written anew.

use reedring_node_protocol::{Ballot, ConfigRequest};
use reedring_node_simulator::{Keep, Slots};
use reedring_plan::{AcceptorState, ConfigDocument, PlacerRecord};
use reedring_state::{Folder, SimFolder};

const SLOT_A: &[u8] = include_bytes!("golden/plan.a");
const SLOT_B: &[u8] = include_bytes!("golden/plan.b");

/// Three states that a node keeps one after another: a plan, a placer seen, the next plan decided.
fn states() -> [AcceptorState; 3] {
    let plan = |number, text| ConfigDocument::new(number, text).unwrap();
    let (one, two) = (
        plan(1, "[site]\nplacers = 3\n"),
        plan(2, "[site]\nplacers = 4\n"),
    );
    let force = ConfigRequest::Commit {
        version: one.version(),
        text: one.text().to_owned(),
        list: 40,
    };
    let first = AcceptorState::default().apply(&force, true).unwrap();
    let mut second = first.clone();
    second.record_placer(
        0x0102_0304_0506_0708,
        PlacerRecord {
            level: 2,
            last_seen_s: 1_700_000_000,
            build: 0xdead_beef,
        },
    );
    let ballot = Ballot {
        round: 3,
        proposer: 9,
    };
    let (follows, version, text) = (one.version(), two.version(), two.text().to_owned());
    let accept = ConfigRequest::Accept {
        follows,
        ballot,
        version,
        text: text.clone(),
        list: 41,
    };
    let joint = ConfigRequest::EnterJoint {
        follows,
        version,
        text,
        list: 41,
    };
    let third = second
        .apply(&accept, true)
        .unwrap()
        .apply(&joint, true)
        .unwrap();
    [first, second, third]
}

/// The folder as it was left: the second state in one slot, the third in the other.
fn golden_folder() -> SimFolder {
    let folder = SimFolder::default();
    folder.write("plan.a", SLOT_A).unwrap();
    folder.write("plan.b", SLOT_B).unwrap();
    folder
}

fn kept(folder: &SimFolder) -> [Vec<u8>; 2] {
    ["plan.a", "plan.b"].map(|slot| folder.read(slot).unwrap().unwrap_or_default())
}

#[test]
fn a_golden_folder_opens_with_its_last_state() {
    let [_, _, third] = states();
    let opened = Slots::open(golden_folder()).unwrap();
    assert!(opened.memory == third, "another state was read");
    assert!(opened.passed_by.is_empty());
}

#[test]
fn each_golden_slot_alone_opens_with_its_state() {
    let [_, second, third] = states();
    for (slot, bytes, state) in [("plan.a", SLOT_A, third), ("plan.b", SLOT_B, second)] {
        let folder = SimFolder::default();
        folder.write(slot, bytes).unwrap();
        let opened = Slots::open(folder).unwrap();
        assert!(opened.memory == state, "{slot} is read as another state");
        assert!(opened.passed_by.is_empty(), "{slot}");
    }
}

#[test]
fn the_same_states_kept_again_give_the_golden_bytes() {
    let folder = SimFolder::default();
    let mut slots = Slots::open(folder.clone()).unwrap().slots;
    for state in states() {
        slots.keep(&state.encode()).unwrap();
    }
    assert!(kept(&folder) == [SLOT_A, SLOT_B], "other bytes");
}

/// What is kept after a restart goes on where the golden folder ends.
#[test]
fn a_golden_folder_is_written_on_in_the_older_slot() {
    let [_, _, third] = states();
    let folder = golden_folder();
    let mut slots = Slots::open(folder.clone()).unwrap().slots;
    slots.keep(&third.encode()).unwrap();
    let [a, b] = kept(&folder);
    assert!(a == SLOT_A, "the state before stays");
    assert_eq!(b[..8], 4_u64.to_be_bytes());
    assert!(
        b[8..b.len() - 4] == third.encode(),
        "the state stands after its sequence"
    );
    assert_eq!(
        b[b.len() - 4..],
        crc32c::crc32c(&b[..b.len() - 4]).to_be_bytes()
    );
}
