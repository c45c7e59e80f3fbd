//! Requests without_next what their nodes have already, and what an acceptor makes of them.

use reedring_plan::{
    AcceptedVersion, AcceptorReport, AcceptorState, Ballot, ConfigDocument, ConfigRequest,
    ConfigVersion, DeltaStep, Edit, RequestCompactor, RequestRejection, delta,
};

const BALLOT: Ballot = Ballot {
    round: 3,
    proposer: 9,
};

fn config(number: u64, tenants: &[&str]) -> ConfigDocument {
    let mut text =
        "[site]\nplacers = 3\nyes_when = \"running\"\nreports = \"answers\"\n".to_owned();
    for class in 0..10 {
        text.push_str(&format!(
            "\n[[class]]\nname = \"c{class}\"\nrepeat = \"safe\"\naim = \"100ms\"\n"
        ));
    }
    for tenant in tenants {
        text.push_str(&format!("\n[[tenant]]\nname = \"{tenant}\"\n"));
    }
    ConfigDocument::new(number, &text).unwrap()
}

fn one() -> ConfigDocument {
    config(1, &["a", "b"])
}

fn two() -> ConfigDocument {
    config(2, &["a", "c"])
}

fn accept(document: &ConfigDocument) -> ConfigRequest {
    let (version, text) = (document.version(), document.text().to_owned());
    ConfigRequest::Accept {
        follows: one().version(),
        ballot: BALLOT,
        version,
        text,
        list: 4,
    }
}

fn enter_joint(document: &ConfigDocument, text: &str) -> ConfigRequest {
    ConfigRequest::EnterJoint {
        follows: one().version(),
        version: document.version(),
        text: text.to_owned(),
        list: 4,
    }
}

fn commit(document: &ConfigDocument, text: &str) -> ConfigRequest {
    ConfigRequest::Commit {
        version: document.version(),
        text: text.to_owned(),
        list: 4,
    }
}

fn fetch(version: ConfigVersion, have: Option<ConfigVersion>) -> ConfigRequest {
    ConfigRequest::Fetch { version, have }
}

/// A node of version 3 that has committed configuration 1, and accepted this one.
fn report(next: Option<&ConfigDocument>) -> AcceptorReport {
    let accepted = |document: &ConfigDocument| AcceptedVersion {
        ballot: BALLOT,
        version: document.version(),
        joint: false,
    };
    AcceptorReport {
        committed: one().version(),
        accepted: next.map(accepted),
        reads_deltas: true,
        ..AcceptorReport::default()
    }
}

/// The table of `RequestCompactor::compact`.
#[test]
fn requests_leave_out_what_a_node_of_version_3_has() {
    let (one, two, rival, three) = (one(), two(), config(2, &["a", "d"]), config(3, &[]));
    let all_new = ConfigDocument::new(2, "[site]\nplacers = 9\n").unwrap();
    let delta = delta::between(&one, &two).unwrap();
    let by_delta = |step| ConfigRequest::ByDelta {
        step,
        delta: delta.clone(),
        list: 4,
    };
    let shorter = by_delta(DeltaStep::Accept { ballot: BALLOT });
    let without_next = report(None);
    let has_two = report(Some(&two));
    let has_rival = report(Some(&rival));
    let elsewhere = AcceptorReport {
        committed: rival.version(),
        ..without_next
    };
    let (next, third) = (two.version(), three.version());
    for (request, report, expected) in [
        (
            fetch(next, None),
            without_next,
            fetch(next, Some(one.version())),
        ),
        (fetch(third, None), without_next, fetch(third, None)),
        (
            fetch(one.version(), None),
            without_next,
            fetch(one.version(), None),
        ),
        (accept(&two), without_next, shorter.clone()),
        (accept(&two), has_rival, shorter.clone()),
        (accept(&two), elsewhere, accept(&two)),
        (accept(&all_new), without_next, accept(&all_new)),
        (
            enter_joint(&two, two.text()),
            has_two,
            enter_joint(&two, ""),
        ),
        (
            enter_joint(&two, two.text()),
            without_next,
            by_delta(DeltaStep::EnterJoint),
        ),
        (
            enter_joint(&two, two.text()),
            elsewhere,
            enter_joint(&two, two.text()),
        ),
        (
            enter_joint(&two, two.text()),
            has_rival,
            by_delta(DeltaStep::EnterJoint),
        ),
        (commit(&two, two.text()), has_two, commit(&two, "")),
        (
            commit(&two, two.text()),
            without_next,
            by_delta(DeltaStep::Commit),
        ),
        (
            commit(&two, two.text()),
            elsewhere,
            commit(&two, two.text()),
        ),
        (
            commit(&two, two.text()),
            has_rival,
            by_delta(DeltaStep::Commit),
        ),
    ] {
        let mut compactor = RequestCompactor::default();
        assert_eq!(
            compactor.compact(request.clone(), &report, Some(&one)),
            expected
        );
        // The same for the next node, of what was cached.
        assert_eq!(
            compactor.compact(request.clone(), &report, Some(&one)),
            expected
        );
        // One that reads no deltas is asked as it always was.
        let without_deltas = AcceptorReport {
            reads_deltas: false,
            ..report
        };
        assert_eq!(
            compactor.compact(request.clone(), &without_deltas, Some(&one)),
            request
        );
        // Where the text of no configuration is here, nothing is shortened by it.
        let without_base = compactor.compact(request.clone(), &report, None);
        if matches!(
            request,
            ConfigRequest::Fetch { .. } | ConfigRequest::Accept { .. }
        ) || report.accepted.is_none()
        {
            assert_eq!(without_base, request);
        }
    }
}

/// In every state, a request by delta does the very same as the one with the text, or is rejected as that is.
#[test]
fn a_request_by_delta_does_what_the_one_with_the_text_does() {
    let (one, two) = (one(), two());
    let delta = delta::between(&one, &two).unwrap();
    let start = AcceptorState::default()
        .apply(&commit(&one, one.text()), true)
        .unwrap();
    let prepare = |round| ConfigRequest::Prepare {
        follows: one.version(),
        ballot: Ballot { round, proposer: 9 },
        list: 4,
    };
    let promised = start.apply(&prepare(3), true).unwrap();
    let preempted = start.apply(&prepare(4), true).unwrap();
    let chosen = promised
        .apply(&enter_joint(&two, two.text()), true)
        .unwrap();
    let with_newer_list = AcceptorState {
        list_revision: 5,
        ..start.clone()
    };
    for (step, with_text) in [
        (DeltaStep::Accept { ballot: BALLOT }, accept(&two)),
        (DeltaStep::EnterJoint, enter_joint(&two, two.text())),
        (DeltaStep::Commit, commit(&two, two.text())),
    ] {
        let by_delta = ConfigRequest::ByDelta {
            step,
            delta: delta.clone(),
            list: 4,
        };
        for state in [&start, &promised, &preempted, &chosen, &with_newer_list] {
            for has_settled in [true, false] {
                assert_eq!(
                    state.apply(&by_delta, has_settled),
                    state.apply(&with_text, has_settled)
                );
            }
        }
        assert!(start.apply(&by_delta, true).is_ok());
    }
}

#[test]
fn a_delta_that_does_not_fit_is_rejected_and_changes_nothing() {
    let (one, two, other) = (one(), two(), config(1, &["x"]));
    let right = delta::between(&one, &two).unwrap();
    let request = |delta| ConfigRequest::ByDelta {
        step: DeltaStep::Accept { ballot: BALLOT },
        delta,
        list: 4,
    };
    let empty = AcceptorState::default();
    assert_eq!(
        empty.apply(&request(right.clone()), true),
        Err(RequestRejection::CommittedMismatch(ConfigVersion::default()))
    );
    let elsewhere = empty.apply(&commit(&other, other.text()), true).unwrap();
    assert_eq!(
        elsewhere.apply(&request(right.clone()), true),
        Err(RequestRejection::CommittedMismatch(other.version()))
    );
    let here = empty.apply(&commit(&one, one.text()), true).unwrap();
    let mut wrong = right.clone();
    wrong.edits.retain(|edit| matches!(edit, Edit::Put { .. }));
    assert!(matches!(
        here.apply(&request(wrong), true),
        Err(RequestRejection::Delta(_))
    ));
}

/// Without its text a request is for those that have accepted the configuration: no other one, and none at all, comes of
/// it.
#[test]
fn a_request_without_its_text_is_of_use_only_where_the_configuration_is_accepted() {
    let (one, two, rival) = (one(), two(), config(2, &["a", "d"]));
    let start = AcceptorState::default()
        .apply(&commit(&one, one.text()), true)
        .unwrap();
    let document = start.apply(&accept(&two), true).unwrap();
    for request in [
        enter_joint as fn(&ConfigDocument, &str) -> ConfigRequest,
        commit,
    ] {
        assert_eq!(
            document.apply(&request(&two, ""), true),
            document.apply(&request(&two, two.text()), true)
        );
        assert!(matches!(
            start.apply(&request(&two, ""), true),
            Err(RequestRejection::Document(_))
        ));
        assert!(matches!(
            document.apply(&request(&rival, ""), true),
            Err(RequestRejection::Document(_))
        ));
    }
    let chosen = document.apply(&enter_joint(&two, ""), true).unwrap();
    assert_eq!(
        chosen
            .apply(&commit(&two, ""), true)
            .unwrap()
            .committed_version(),
        two.version()
    );
}

#[test]
fn an_acceptor_has_a_delta_only_from_the_committed_configuration_to_the_next() {
    let (one, two, three) = (one(), two(), config(3, &["a"]));
    let start = AcceptorState::default()
        .apply(&commit(&one, one.text()), true)
        .unwrap();
    let document = start.apply(&accept(&two), true).unwrap();
    assert_eq!(
        document.delta(one.version(), two.version()),
        delta::between(&one, &two).ok()
    );
    assert_eq!(start.delta(one.version(), two.version()), None);
    assert_eq!(document.delta(one.version(), three.version()), None);
    assert_eq!(
        document.delta(config(1, &["x"]).version(), two.version()),
        None
    );
}
