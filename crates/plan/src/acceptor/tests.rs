use reedring_node_protocol::{ConfigRequest, MAX_PLAN, VersionStamp};

use super::*;

fn config(number: u64, text: &str) -> ConfigDocument {
    ConfigDocument::new(number, text).unwrap()
}

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 7 }
}

fn prepare(follows: ConfigVersion, round: u64) -> ConfigRequest {
    ConfigRequest::Prepare {
        follows,
        ballot: ballot(round),
        list: 0,
    }
}

fn accept(follows: ConfigVersion, round: u64, document: &ConfigDocument) -> ConfigRequest {
    ConfigRequest::Accept {
        follows,
        ballot: ballot(round),
        version: document.version(),
        text: document.text().to_owned(),
        list: 0,
    }
}

fn enter_joint(follows: ConfigVersion, document: &ConfigDocument) -> ConfigRequest {
    ConfigRequest::EnterJoint {
        follows,
        version: document.version(),
        text: document.text().to_owned(),
        list: 0,
    }
}

fn commit(document: &ConfigDocument) -> ConfigRequest {
    ConfigRequest::Commit {
        version: document.version(),
        text: document.text().to_owned(),
        list: 0,
    }
}

/// A state of an acceptor in each phase from no configuration to the second one, by name.
fn states() -> BTreeMap<&'static str, AcceptorState> {
    let (one, two) = (config(1, "one"), config(2, "two"));
    let empty = AcceptorState::default();
    let first = empty.apply(&commit(&one), true).unwrap();
    let promised = first.apply(&prepare(one.version(), 3), true).unwrap();
    let accept_two = accept(one.version(), 3, &two);
    let accepted = promised.apply(&accept_two, true).unwrap();
    let enter_joint_two = enter_joint(one.version(), &two);
    let joint = accepted.apply(&enter_joint_two, true).unwrap();
    let second = joint.apply(&commit(&two), true).unwrap();
    BTreeMap::from([
        ("empty", empty),
        ("first", first),
        ("promised", promised),
        ("accepted", accepted),
        ("joint", joint),
        ("second", second),
    ])
}

/// Requests of each kind except by delta, for each configuration and each predecessor, with several ballots. "rival"
/// has the same number as "two".
fn requests() -> Vec<ConfigRequest> {
    let none = ConfigVersion::default();
    let (one, two) = (config(1, "one"), config(2, "two"));
    let (rival, four) = (config(2, "rival"), config(4, "four"));
    let documents = [&one, &two, &rival, &four];
    let mut all = vec![
        ConfigRequest::Query {
            stamp: VersionStamp::default(),
        },
        ConfigRequest::Fetch {
            version: two.version(),
            have: None,
        },
        ConfigRequest::RaiseFloor {
            stamp: VersionStamp {
                version: four.version(),
                ..VersionStamp::default()
            },
        },
    ];
    for follows in [none, one.version(), two.version()] {
        for round in [1, 3, 5] {
            all.push(prepare(follows, round));
            all.extend(documents.map(|document| accept(follows, round, document)));
        }
        all.extend(documents.map(|document| enter_joint(follows, document)));
    }
    all.extend(documents.map(commit));
    all
}

/// Applies every request to every state and checks the invariants of each transition.
#[test]
fn no_request_lowers_a_floor_or_a_ballot_or_discards_a_chosen_configuration() {
    for (name, state) in states() {
        for request in requests() {
            let Ok(new) = state.apply(&request, true) else {
                continue;
            };
            check_transition(&state, &new, &format!("{name}, {request:?}: {new:?}"));
        }
    }
}

fn check_transition(old: &AcceptorState, new: &AcceptorState, case: &str) {
    let (was, is) = (old.committed_version(), new.committed_version());
    assert!(new.floor() >= old.floor(), "{case}");
    assert!(was != is || new.promised >= old.promised, "{case}");
    assert!(is.number >= was.number, "{case}");
    assert!(
        was == is || is.number > was.number,
        "another configuration of the committed number: {case}"
    );
    if let Some(chosen) = old.joint() {
        let is_retained = new
            .joint()
            .is_some_and(|joint| joint.document == chosen.document);
        let is_replaced = is.number >= chosen.document.version().number;
        assert!(is_retained || is_replaced, "{case}");
    }
    if let Some(accepted) = &new.accepted {
        let number = accepted.document.version().number;
        assert!(is.number == 0 || number == is.number + 1, "{case}");
    }
    // A vote is replaced only by one with a ballot that is at least as great.
    if let (Some(old), Some(new)) = (&old.accepted, &new.accepted) {
        assert!(new.joint || new.ballot >= old.ballot, "{case}");
    }
}

#[test]
fn an_acceptor_votes_only_for_the_next_number_and_rejects_ballots_below_its_promise() {
    let states = states();
    let (one, two, four) = (config(1, "one"), config(2, "two"), config(4, "four"));
    let vote = |state: &str, request: ConfigRequest| states[state].apply(&request, true).map(drop);
    assert_eq!(vote("promised", accept(one.version(), 3, &two)), Ok(()));
    assert_eq!(
        vote("promised", accept(one.version(), 1, &two)),
        Err(RequestRejection::Preempted)
    );
    let gap = RequestRejection::NumberGap {
        requested: 4,
        committed: 1,
    };
    assert_eq!(vote("first", accept(one.version(), 1, &four)), Err(gap));
    assert_eq!(
        vote("empty", accept(ConfigVersion::default(), 1, &four)),
        Ok(()),
        "the first configuration may have any number"
    );
    assert_eq!(
        vote("second", accept(one.version(), 9, &two)),
        Err(RequestRejection::CommittedMismatch(two.version()))
    );
    assert_eq!(
        vote("joint", accept(one.version(), 9, &two)),
        Err(RequestRejection::AlreadyChosen(two.version()))
    );
}

#[test]
fn a_text_with_another_digest_or_over_the_size_limit_is_rejected_with_the_reason() {
    let (one, two) = (config(1, "one"), config(2, "two"));
    let first = AcceptorState::default().apply(&commit(&one), true).unwrap();
    let message = |text: String| {
        let request = ConfigRequest::Commit {
            version: two.version(),
            text,
            list: 0,
        };
        first.apply(&request, true).unwrap_err().to_string()
    };
    assert!(message("tow".to_owned()).starts_with("plan 2: the text has digest"));
    assert!(message("x".repeat(MAX_PLAN + 1)).contains("at most"));
}

#[test]
fn a_node_that_lost_its_state_does_not_vote_before_its_settling_time_is_over() {
    let (one, two) = (config(1, "one"), config(2, "two"));
    let first = AcceptorState::default()
        .apply(&commit(&one), false)
        .unwrap();
    let prepare_two = prepare(one.version(), 3);
    assert_eq!(
        first.apply(&prepare_two, false),
        Err(RequestRejection::VotesUnknown)
    );
    assert_eq!(
        first.apply(&accept(one.version(), 3, &two), false),
        Err(RequestRejection::VotesUnknown)
    );
    assert!(first.apply(&prepare_two, true).is_ok());
    assert!(
        first
            .apply(&enter_joint(one.version(), &two), false)
            .is_ok(),
        "it enters the joint phase of a chosen configuration"
    );
    // With nothing committed, a node votes at once.
    let first_prepare = prepare(ConfigVersion::default(), 1);
    assert!(
        AcceptorState::default()
            .apply(&first_prepare, false)
            .is_ok()
    );
}

#[test]
fn a_request_with_an_older_node_list_revision_is_rejected() {
    let one = config(1, "one");
    let request = |list| ConfigRequest::Commit {
        version: one.version(),
        text: "one".into(),
        list,
    };
    let state = AcceptorState {
        list_revision: 5,
        ..AcceptorState::default()
    };
    assert_eq!(
        state.apply(&request(4), true),
        Err(RequestRejection::StaleNodeList {
            sender: 4,
            known: 5
        })
    );
    assert_eq!(state.apply(&request(6), true).unwrap().list_revision, 6);
}

/// Checks every stamp against every state.
#[test]
fn an_offer_is_admitted_only_at_the_floor_and_one_level_above_it() {
    let (one, two, rival) = (config(1, "one"), config(2, "two"), config(2, "rival"));
    let stamp = |document: &ConfigDocument, joint| VersionStamp {
        version: document.version(),
        joint,
        ..VersionStamp::default()
    };
    // In this order: no stamp, one, joint two, two, joint rival, rival.
    let stamps = [
        None,
        Some(stamp(&one, false)),
        Some(stamp(&two, true)),
        Some(stamp(&two, false)),
        Some(stamp(&rival, true)),
        Some(stamp(&rival, false)),
    ];
    let admitted = BTreeMap::from([
        ("empty", [true, false, false, false, false, false]),
        ("first", [true, true, true, false, true, false]),
        ("promised", [true, true, true, false, true, false]),
        ("accepted", [true, true, true, false, true, false]),
        ("joint", [false, false, true, true, false, false]),
        ("second", [false, false, false, true, false, false]),
    ]);
    assert_eq!(states().len(), admitted.len());
    for (name, state) in states() {
        let found = stamps.map(|stamp| state.check_offer(stamp.as_ref()).is_ok());
        assert_eq!(found, admitted[name], "{name}");
    }
}

#[test]
fn recorded_placers_are_bounded_and_the_one_seen_longest_ago_is_removed() {
    let mut state = AcceptorState::default();
    let record = |last_seen_s| PlacerRecord {
        level: 2,
        last_seen_s,
        build: 1,
    };
    for placer in 0..MAX_PLACERS as u64 + 10 {
        assert!(
            state.record_placer(placer, record(100 + placer)),
            "a new placer must be persisted"
        );
    }
    assert_eq!(state.placers.len(), MAX_PLACERS);
    assert!(!state.placers.contains_key(&9) && state.placers.contains_key(&10));
    assert!(
        !state.record_placer(10, record(9_999)),
        "a new time alone need not be persisted"
    );
    let with_other_level = PlacerRecord {
        level: 4,
        ..record(9_999)
    };
    assert!(state.record_placer(10, with_other_level));
}
