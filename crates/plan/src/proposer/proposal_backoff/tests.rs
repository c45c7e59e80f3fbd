use reedring_node_protocol::{AcceptorReport, VersionStamp};

use super::*;
use crate::cluster::PeerState;

fn backoff(incarnation: u64) -> ProposalBackoff {
    ProposalBackoff::new(Incarnation(incarnation))
}

fn query(node: NodeNumber) -> NodeRequest {
    NodeRequest {
        node,
        request: ConfigRequest::Query {
            stamp: VersionStamp::default(),
        },
    }
}

fn fetch(node: NodeNumber) -> NodeRequest {
    NodeRequest {
        node,
        request: ConfigRequest::Fetch {
            version: ConfigVersion::default(),
            have: None,
        },
    }
}

#[test]
fn a_request_is_repeated_only_after_the_retry_time_or_a_reconnect() {
    let mut backoff = backoff(1);
    let queries = || vec![query(1), query(2)];
    assert_eq!(backoff.due_requests(0, queries()).len(), 2);
    assert_eq!(backoff.due_requests(RETRY_US - 1, queries()).len(), 0);
    backoff.reset_node(2);
    assert_eq!(backoff.due_requests(RETRY_US - 1, queries()), [query(2)]);
    assert_eq!(backoff.due_requests(RETRY_US, queries()), [query(1)]);
    // Two different requests to one node do not make each other due again.
    let both = || vec![query(7), fetch(7)];
    assert_eq!(backoff.due_requests(RETRY_US, both()).len(), 2);
    assert_eq!(backoff.due_requests(RETRY_US + 1, both()).len(), 0);
    // A text is fetched from one node at a time, and from another node only after the timeout.
    let timeout = RETRY_US + FETCH_TIMEOUT_US;
    assert_eq!(backoff.due_requests(timeout - 1, vec![fetch(1)]), []);
    assert_eq!(backoff.due_requests(timeout, vec![fetch(1)]).len(), 1);
    assert_eq!(backoff.due_requests(timeout, vec![fetch(2)]), []);
    backoff.reset_node(1);
    assert_eq!(backoff.due_requests(timeout, vec![fetch(2)]).len(), 1);
}

/// A cluster of one node, which has committed the configuration of this number and promised this ballot.
fn cluster_of(number: u64, promised: Ballot) -> ClusterView {
    let committed = ConfigVersion {
        number,
        ..ConfigVersion::default()
    };
    let report = AcceptorReport {
        committed,
        promised,
        ..AcceptorReport::default()
    };
    ClusterView {
        nodes: [(0, PeerState::Reported(report))].into(),
        ..ClusterView::default()
    }
}

#[test]
fn the_preemption_delay_starts_again_after_another_committed_configuration() {
    let cluster = |number, round| cluster_of(number, Ballot { round, proposer: 9 });
    let mut backoff = backoff(1);
    backoff.may_preempt(0, &cluster(1, 7));
    assert!(
        !backoff.may_preempt(5_000_000, &cluster(2, 1)),
        "a smaller ballot for the successor of another configuration is a new one"
    );
}

#[test]
fn a_ballot_is_preempted_only_after_a_delay_that_differs_between_placers() {
    let cluster = |round, proposer| cluster_of(0, Ballot { round, proposer });
    let first_preemption_ms = |incarnation| {
        let mut backoff = backoff(incarnation);
        assert!(
            backoff.may_preempt(0, &cluster(0, 0)),
            "there is no ballot to preempt"
        );
        let at_ms = (0..700)
            .find(|ms| backoff.may_preempt(ms * 1_000, &cluster(1, 9)))
            .unwrap();
        assert!((300..=600).contains(&at_ms), "{at_ms}");
        assert!(
            !backoff.may_preempt(at_ms * 1_000, &cluster(2, 9)),
            "a new ballot restarts the delay"
        );
        at_ms
    };
    assert_ne!(first_preemption_ms(1), first_preemption_ms(2));
}
