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

/// Every state in which an acceptor can be between two configurations, by name.
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

/// Requests of each kind, after each configuration, for each configuration, with several ballots.
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

/// Every request in every state, against what must never be.
#[test]
fn no_request_lowers_a_floor_or_a_ballot_or_undoes_what_is_chosen() {
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
        "one configuration a number: {case}"
    );
    if let Some(chosen) = old.joint() {
        let stays = new
            .joint()
            .is_some_and(|joint| joint.document == chosen.document);
        let is_replaced = is.number >= chosen.document.version().number;
        assert!(stays || is_replaced, "{case}");
    }
    if let Some(accepted) = &new.accepted {
        let number = accepted.document.version().number;
        assert!(is.number == 0 || number == is.number + 1, "{case}");
    }
    // A vote for a ballot is never changed.
    if let (Some(old), Some(new)) = (&old.accepted, &new.accepted) {
        assert!(new.joint || new.ballot >= old.ballot, "{case}");
    }
}

#[test]
fn a_vote_is_cast_for_the_next_number_alone_and_never_under_a_greater_ballot() {
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
        "any number begins"
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
fn a_text_that_is_not_of_its_digest_is_named_and_changes_nothing() {
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
fn a_node_that_lost_its_state_votes_for_nothing_before_it_has_settled() {
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
        "it takes what is chosen"
    );
    // Where nothing is committed there is nothing that it could have voted after.
    let begin = prepare(ConfigVersion::default(), 1);
    assert!(AcceptorState::default().apply(&begin, false).is_ok());
}

#[test]
fn a_sender_with_an_older_node_list_changes_nothing() {
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

/// Every stamp at every state.
#[test]
fn an_offer_is_admitted_at_the_floor_and_one_level_above_it_alone() {
    let (one, two, rival) = (config(1, "one"), config(2, "two"), config(2, "rival"));
    let stamp = |document: &ConfigDocument, joint| VersionStamp {
        version: document.version(),
        joint,
        ..VersionStamp::default()
    };
    // By none, one, joint two, two, joint rival, rival.
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
fn placers_are_bounded_and_the_one_seen_longest_ago_is_dropped() {
    let mut state = AcceptorState::default();
    let sighting = |at_s| PlacerSighting {
        level: 2,
        at_s,
        build: 1,
    };
    for placer in 0..MAX_PLACERS as u64 + 10 {
        assert!(
            state.record_placer(placer, sighting(100 + placer)),
            "a new one is worth persisting"
        );
    }
    assert_eq!(state.placers.len(), MAX_PLACERS);
    assert!(!state.placers.contains_key(&9) && state.placers.contains_key(&10));
    assert!(
        !state.record_placer(10, sighting(9_999)),
        "its time alone is not"
    );
    let with_other_level = PlacerSighting {
        level: 4,
        ..sighting(9_999)
    };
    assert!(state.record_placer(10, with_other_level));
}
