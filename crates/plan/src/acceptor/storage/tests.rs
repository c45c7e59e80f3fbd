use super::*;
use crate::acceptor::MAX_PLACERS;

/// A state in which no field has its default value.
fn full_state() -> AcceptorState {
    let document = |number, text| ConfigDocument::new(number, text).unwrap();
    let record = |n: u64| PlacerRecord {
        level: 2 + n,
        last_seen_s: 1_700_000_000 + n,
        build: 77,
    };
    AcceptorState {
        committed: Some(document(1, "one")),
        accepted: Some(AcceptedConfig {
            ballot: Ballot {
                round: 3,
                proposer: 9,
            },
            document: document(2, "two"),
            joint: true,
        }),
        promised: Ballot {
            round: 4,
            proposer: 8,
        },
        list_revision: 12,
        replaced_configs: 3,
        installed_by_catch_up: true,
        placers: (0..5).map(|n| (n, record(n))).collect(),
    }
}

#[test]
fn a_stored_state_is_read_back_and_truncated_or_changed_bytes_are_rejected() {
    for state in [AcceptorState::default(), full_state()] {
        let bytes = state.encode();
        assert_eq!(AcceptorState::decode(&bytes), Ok(state.clone()));
        for cut in 0..bytes.len() {
            assert!(
                AcceptorState::decode(&bytes[..cut]).is_err(),
                "cut at {cut}"
            );
        }
        for offset in 0..bytes.len() {
            for bit in 0..8 {
                let mut changed = bytes.clone();
                changed[offset] ^= 1 << bit;
                assert!(
                    AcceptorState::decode(&changed).is_err(),
                    "bit {bit} of byte {offset}"
                );
            }
        }
    }
}

/// `docs/plan.md` states this bound for operators.
#[test]
fn each_recorded_placer_adds_less_than_64_bytes() {
    let mut state = AcceptorState::default();
    let empty = state.encode().len();
    for placer in 0..MAX_PLACERS as u64 {
        let largest = PlacerRecord {
            level: 1 << 31,
            last_seen_s: 1 << 31,
            build: u32::MAX,
        };
        state.placers.insert(placer, largest);
    }
    assert!((state.encode().len() - empty) / MAX_PLACERS < 64);
}
