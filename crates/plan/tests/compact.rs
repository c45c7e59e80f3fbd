//! Orders without what their nodes have already, and what a node makes of them.

use reedring_plan::{
    AcceptedVersion, AcceptorReport, AcceptorState, Ballot, Compactor, ConfigDocument,
    ConfigRequest, ConfigVersion, DeltaStep, Edit, RequestRejection, delta,
};

const BALLOT: Ballot = Ballot { round: 3, by: 9 };

fn plan(number: u64, tenants: &[&str]) -> ConfigDocument {
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
    plan(1, &["a", "b"])
}

fn two() -> ConfigDocument {
    plan(2, &["a", "c"])
}

fn accept(kept: &ConfigDocument) -> ConfigRequest {
    let (version, text) = (kept.version(), kept.text().to_owned());
    ConfigRequest::Accept {
        follows: one().version(),
        ballot: BALLOT,
        version,
        text,
        list: 4,
    }
}

fn joint(kept: &ConfigDocument, text: &str) -> ConfigRequest {
    ConfigRequest::EnterJoint {
        follows: one().version(),
        version: kept.version(),
        text: text.to_owned(),
        list: 4,
    }
}

fn force(kept: &ConfigDocument, text: &str) -> ConfigRequest {
    ConfigRequest::Commit {
        version: kept.version(),
        text: text.to_owned(),
        list: 4,
    }
}

fn fetch(version: ConfigVersion, have: Option<ConfigVersion>) -> ConfigRequest {
    ConfigRequest::Fetch { version, have }
}

/// A node of version 3 that has plan 1 in force, and keeps this one beside it.
fn record(next: Option<&ConfigDocument>) -> AcceptorReport {
    let introduced = |kept: &ConfigDocument| AcceptedVersion {
        ballot: BALLOT,
        version: kept.version(),
        joint: false,
    };
    AcceptorReport {
        force: one().version(),
        next: next.map(introduced),
        deltas: true,
        ..AcceptorReport::default()
    }
}

/// The table of `Compactor::compact`.
#[test]
fn orders_leave_out_what_a_node_of_version_3_has() {
    let (one, two, rival, three) = (one(), two(), plan(2, &["a", "d"]), plan(3, &[]));
    let all_new = ConfigDocument::new(2, "[site]\nplacers = 9\n").unwrap();
    let delta = delta::between(&one, &two).unwrap();
    let by_delta = |step| ConfigRequest::ByDelta {
        step,
        delta: delta.clone(),
        list: 4,
    };
    let shorter = by_delta(DeltaStep::Accept { ballot: BALLOT });
    let without = record(None);
    let keeps = record(Some(&two));
    let keeps_rival = record(Some(&rival));
    let elsewhere = AcceptorReport {
        force: rival.version(),
        ..without
    };
    let (next, third) = (two.version(), three.version());
    for (order, record, want) in [
        (fetch(next, None), without, fetch(next, Some(one.version()))),
        (fetch(third, None), without, fetch(third, None)),
        (
            fetch(one.version(), None),
            without,
            fetch(one.version(), None),
        ),
        (accept(&two), without, shorter.clone()),
        (accept(&two), keeps_rival, shorter.clone()),
        (accept(&two), elsewhere, accept(&two)),
        (accept(&all_new), without, accept(&all_new)),
        (joint(&two, two.text()), keeps, joint(&two, "")),
        (
            joint(&two, two.text()),
            without,
            by_delta(DeltaStep::EnterJoint),
        ),
        (joint(&two, two.text()), elsewhere, joint(&two, two.text())),
        (
            joint(&two, two.text()),
            keeps_rival,
            by_delta(DeltaStep::EnterJoint),
        ),
        (force(&two, two.text()), keeps, force(&two, "")),
        (
            force(&two, two.text()),
            without,
            by_delta(DeltaStep::Commit),
        ),
        (force(&two, two.text()), elsewhere, force(&two, two.text())),
        (
            force(&two, two.text()),
            keeps_rival,
            by_delta(DeltaStep::Commit),
        ),
    ] {
        let mut compactor = Compactor::default();
        assert_eq!(compactor.compact(order.clone(), &record, Some(&one)), want);
        // The same for the next node, of what was kept.
        assert_eq!(compactor.compact(order.clone(), &record, Some(&one)), want);
        // One that reads no deltas is asked as it always was.
        let former = AcceptorReport {
            deltas: false,
            ..record
        };
        assert_eq!(compactor.compact(order.clone(), &former, Some(&one)), order);
        // Where the text of no plan is here, nothing is asked by it.
        let without_base = compactor.compact(order.clone(), &record, None);
        if matches!(
            order,
            ConfigRequest::Fetch { .. } | ConfigRequest::Accept { .. }
        ) || record.next.is_none()
        {
            assert_eq!(without_base, order);
        }
    }
}

/// In every state, an order by delta does the very same as the one with the text, or is declined as that is.
#[test]
fn an_order_by_delta_does_what_the_one_with_the_text_does() {
    let (one, two) = (one(), two());
    let delta = delta::between(&one, &two).unwrap();
    let start = AcceptorState::default()
        .after(&force(&one, one.text()), true)
        .unwrap();
    let prepare = |round| ConfigRequest::Prepare {
        follows: one.version(),
        ballot: Ballot { round, by: 9 },
        list: 4,
    };
    let promised = start.after(&prepare(3), true).unwrap();
    let outbid = start.after(&prepare(4), true).unwrap();
    let decided = promised.after(&joint(&two, two.text()), true).unwrap();
    let listed = AcceptorState {
        list: 5,
        ..start.clone()
    };
    for (step, with_text) in [
        (DeltaStep::Accept { ballot: BALLOT }, accept(&two)),
        (DeltaStep::EnterJoint, joint(&two, two.text())),
        (DeltaStep::Commit, force(&two, two.text())),
    ] {
        let by_delta = ConfigRequest::ByDelta {
            step,
            delta: delta.clone(),
            list: 4,
        };
        for state in [&start, &promised, &outbid, &decided, &listed] {
            for settled in [true, false] {
                assert_eq!(
                    state.after(&by_delta, settled),
                    state.after(&with_text, settled)
                );
            }
        }
        assert!(start.after(&by_delta, true).is_ok());
    }
}

#[test]
fn a_delta_that_does_not_fit_is_declined_and_changes_nothing() {
    let (one, two, other) = (one(), two(), plan(1, &["x"]));
    let right = delta::between(&one, &two).unwrap();
    let order = |delta| ConfigRequest::ByDelta {
        step: DeltaStep::Accept { ballot: BALLOT },
        delta,
        list: 4,
    };
    let empty = AcceptorState::default();
    assert_eq!(
        empty.after(&order(right.clone()), true),
        Err(RequestRejection::OtherForce(ConfigVersion::default()))
    );
    let elsewhere = empty.after(&force(&other, other.text()), true).unwrap();
    assert_eq!(
        elsewhere.after(&order(right.clone()), true),
        Err(RequestRejection::OtherForce(other.version()))
    );
    let here = empty.after(&force(&one, one.text()), true).unwrap();
    let mut wrong = right.clone();
    wrong.edits.retain(|edit| matches!(edit, Edit::Put { .. }));
    assert!(matches!(
        here.after(&order(wrong), true),
        Err(RequestRejection::Delta(_))
    ));
}

/// Without its text an order is for those that keep the plan: no other plan, and none at all, comes of it.
#[test]
fn an_order_without_its_text_is_of_use_only_where_the_plan_is_kept() {
    let (one, two, rival) = (one(), two(), plan(2, &["a", "d"]));
    let start = AcceptorState::default()
        .after(&force(&one, one.text()), true)
        .unwrap();
    let kept = start.after(&accept(&two), true).unwrap();
    for order in [joint as fn(&ConfigDocument, &str) -> ConfigRequest, force] {
        assert_eq!(
            kept.after(&order(&two, ""), true),
            kept.after(&order(&two, two.text()), true)
        );
        assert!(matches!(
            start.after(&order(&two, ""), true),
            Err(RequestRejection::Text(_))
        ));
        assert!(matches!(
            kept.after(&order(&rival, ""), true),
            Err(RequestRejection::Text(_))
        ));
    }
    let decided = kept.after(&joint(&two, ""), true).unwrap();
    assert_eq!(
        decided.after(&force(&two, ""), true).unwrap().force(),
        two.version()
    );
}

#[test]
fn a_node_tells_what_changed_only_from_the_plan_in_force_to_the_next() {
    let (one, two, three) = (one(), two(), plan(3, &["a"]));
    let start = AcceptorState::default()
        .after(&force(&one, one.text()), true)
        .unwrap();
    let kept = start.after(&accept(&two), true).unwrap();
    assert_eq!(
        kept.delta(one.version(), two.version()),
        delta::between(&one, &two).ok()
    );
    assert_eq!(start.delta(one.version(), two.version()), None);
    assert_eq!(kept.delta(one.version(), three.version()), None);
    assert_eq!(kept.delta(plan(1, &["x"]).version(), two.version()), None);
}
