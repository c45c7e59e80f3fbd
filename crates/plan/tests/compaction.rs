//! Requests that omit or shorten a text which their nodes have already, and how an acceptor applies them.

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

/// The configuration that is committed in these tests.
fn one() -> ConfigDocument {
    config(1, &["a", "b"])
}

/// The successor of configuration 1, which differs from it in one tenant.
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

/// The report of a node that supports deltas (protocol version 3), has committed configuration 1 and accepted `next`.
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

/// Checks the rows of the table of `RequestCompactor::compact`.
#[test]
fn requests_to_a_node_that_supports_deltas_omit_what_it_has() {
    let (one, two, rival, three) = (one(), two(), config(2, &["a", "d"]), config(3, &[]));
    let all_new = ConfigDocument::new(2, "[site]\nplacers = 9\n").unwrap();
    let delta = delta::between(&one, &two).unwrap();
    let by_delta = |step| ConfigRequest::ByDelta {
        step,
        delta: delta.clone(),
        list: 4,
    };
    let shorter = by_delta(DeltaStep::Accept { ballot: BALLOT });
    let none_accepted = report(None);
    let two_accepted = report(Some(&two));
    let rival_accepted = report(Some(&rival));
    let other_committed = AcceptorReport {
        committed: rival.version(),
        ..none_accepted
    };
    let (next, third) = (two.version(), three.version());
    for (request, report, expected) in [
        (
            fetch(next, None),
            none_accepted,
            fetch(next, Some(one.version())),
        ),
        (fetch(third, None), none_accepted, fetch(third, None)),
        (
            fetch(one.version(), None),
            none_accepted,
            fetch(one.version(), None),
        ),
        (accept(&two), none_accepted, shorter.clone()),
        (accept(&two), rival_accepted, shorter.clone()),
        (accept(&two), other_committed, accept(&two)),
        (accept(&all_new), none_accepted, accept(&all_new)),
        (
            enter_joint(&two, two.text()),
            two_accepted,
            enter_joint(&two, ""),
        ),
        (
            enter_joint(&two, two.text()),
            none_accepted,
            by_delta(DeltaStep::EnterJoint),
        ),
        (
            enter_joint(&two, two.text()),
            other_committed,
            enter_joint(&two, two.text()),
        ),
        (
            enter_joint(&two, two.text()),
            rival_accepted,
            by_delta(DeltaStep::EnterJoint),
        ),
        (commit(&two, two.text()), two_accepted, commit(&two, "")),
        (
            commit(&two, two.text()),
            none_accepted,
            by_delta(DeltaStep::Commit),
        ),
        (
            commit(&two, two.text()),
            other_committed,
            commit(&two, two.text()),
        ),
        (
            commit(&two, two.text()),
            rival_accepted,
            by_delta(DeltaStep::Commit),
        ),
    ] {
        let mut compactor = RequestCompactor::default();
        assert_eq!(
            compactor.compact(request.clone(), &report, Some(&one)),
            expected
        );
        // The result for the next node, which uses the cached delta, is the same.
        assert_eq!(
            compactor.compact(request.clone(), &report, Some(&one)),
            expected
        );
        // For a node that does not support deltas the request is unchanged.
        let without_deltas = AcceptorReport {
            reads_deltas: false,
            ..report
        };
        assert_eq!(
            compactor.compact(request.clone(), &without_deltas, Some(&one)),
            request
        );
        // Without a base there is no delta, so only a text that the node has accepted can be omitted.
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

/// Checks the equivalence for each kind of request in states where it is applied and where it is rejected.
#[test]
fn a_request_by_delta_has_the_same_result_as_the_one_with_the_text() {
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
fn a_delta_with_another_base_or_another_result_is_rejected() {
    let (one, two, other) = (one(), two(), config(1, &["x"]));
    let valid_delta = delta::between(&one, &two).unwrap();
    let request = |delta| ConfigRequest::ByDelta {
        step: DeltaStep::Accept { ballot: BALLOT },
        delta,
        list: 4,
    };
    let empty = AcceptorState::default();
    assert_eq!(
        empty.apply(&request(valid_delta.clone()), true),
        Err(RequestRejection::CommittedMismatch(ConfigVersion::default()))
    );
    let other_committed = empty.apply(&commit(&other, other.text()), true).unwrap();
    assert_eq!(
        other_committed.apply(&request(valid_delta.clone()), true),
        Err(RequestRejection::CommittedMismatch(other.version()))
    );
    let here = empty.apply(&commit(&one, one.text()), true).unwrap();
    let mut wrong_delta = valid_delta.clone();
    wrong_delta
        .edits
        .retain(|edit| matches!(edit, Edit::Put { .. }));
    assert!(matches!(
        here.apply(&request(wrong_delta), true),
        Err(RequestRejection::Delta(_))
    ));
}

/// A request without a text has the result of the one with the text where the configuration is accepted, and is
/// rejected everywhere else.
#[test]
fn a_request_without_a_text_is_applied_only_where_the_configuration_is_accepted() {
    let (one, two, rival) = (one(), two(), config(2, &["a", "d"]));
    let start = AcceptorState::default()
        .apply(&commit(&one, one.text()), true)
        .unwrap();
    let accepted = start.apply(&accept(&two), true).unwrap();
    for request in [
        enter_joint as fn(&ConfigDocument, &str) -> ConfigRequest,
        commit,
    ] {
        assert_eq!(
            accepted.apply(&request(&two, ""), true),
            accepted.apply(&request(&two, two.text()), true)
        );
        assert!(matches!(
            start.apply(&request(&two, ""), true),
            Err(RequestRejection::Document(_))
        ));
        assert!(matches!(
            accepted.apply(&request(&rival, ""), true),
            Err(RequestRejection::Document(_))
        ));
    }
    let chosen = accepted.apply(&enter_joint(&two, ""), true).unwrap();
    assert_eq!(
        chosen
            .apply(&commit(&two, ""), true)
            .unwrap()
            .committed_version(),
        two.version()
    );
}

#[test]
fn an_acceptor_returns_a_delta_only_from_the_committed_configuration_to_the_accepted_one() {
    let (one, two, three) = (one(), two(), config(3, &["a"]));
    let start = AcceptorState::default()
        .apply(&commit(&one, one.text()), true)
        .unwrap();
    let accepted = start.apply(&accept(&two), true).unwrap();
    assert_eq!(
        accepted.delta(one.version(), two.version()),
        delta::between(&one, &two).ok()
    );
    assert_eq!(start.delta(one.version(), two.version()), None);
    assert_eq!(accepted.delta(one.version(), three.version()), None);
    assert_eq!(
        accepted.delta(config(1, &["x"]).version(), two.version()),
        None
    );
}
