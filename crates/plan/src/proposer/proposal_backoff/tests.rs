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
fn a_request_is_not_sent_again_before_its_time_and_another_one_is() {
    let mut backoff = backoff(1);
    let queries = || vec![query(1), query(2)];
    assert_eq!(backoff.due_requests(0, queries()).len(), 2);
    assert_eq!(backoff.due_requests(RETRY_US - 1, queries()).len(), 0);
    backoff.reset_node(2);
    assert_eq!(backoff.due_requests(RETRY_US - 1, queries()), [query(2)]);
    assert_eq!(backoff.due_requests(RETRY_US, queries()), [query(1)]);
    // Two requests in turn are not sent over and over.
    let both = || vec![query(7), fetch(7)];
    assert_eq!(backoff.due_requests(RETRY_US, both()).len(), 2);
    assert_eq!(backoff.due_requests(RETRY_US + 1, both()).len(), 0);
    // One node at a time is asked for a text; another one once the first has had its time.
    let timeout = RETRY_US + FETCH_TIMEOUT_US;
    assert_eq!(backoff.due_requests(timeout - 1, vec![fetch(1)]), []);
    assert_eq!(backoff.due_requests(timeout, vec![fetch(1)]).len(), 1);
    assert_eq!(backoff.due_requests(timeout, vec![fetch(2)]), []);
    backoff.reset_node(1);
    assert_eq!(backoff.due_requests(timeout, vec![fetch(2)]).len(), 1);
}

/// One node that has committed the configuration of this number and promised this ballot.
fn cluster_of(number: u64, promised: Ballot) -> ClusterView {
    let force = ConfigVersion {
        number,
        ..ConfigVersion::default()
    };
    let report = AcceptorReport {
        committed: force,
        promised,
        ..AcceptorReport::default()
    };
    ClusterView {
        nodes: [(0, PeerState::Reported(report))].into(),
        ..ClusterView::default()
    }
}

#[test]
fn a_ballot_after_another_configuration_has_a_time_of_its_own() {
    let cluster = |number, round| cluster_of(number, Ballot { round, proposer: 9 });
    let mut backoff = backoff(1);
    backoff.may_preempt(0, &cluster(1, 7));
    assert!(
        !backoff.may_preempt(5_000_000, &cluster(2, 1)),
        "a smaller one, after the next configuration, is new"
    );
}

#[test]
fn a_ballot_is_left_alone_and_two_placers_do_not_wait_for_the_same_time() {
    let cluster = |round, by| {
        cluster_of(
            0,
            Ballot {
                round,
                proposer: by,
            },
        )
    };
    let first_preemption_ms = |incarnation| {
        let mut backoff = backoff(incarnation);
        assert!(backoff.may_preempt(0, &cluster(0, 0)), "nothing to preempt");
        let at_ms = (0..700)
            .find(|ms| backoff.may_preempt(ms * 1_000, &cluster(1, 9)))
            .unwrap();
        assert!((300..=600).contains(&at_ms), "{at_ms}");
        assert!(
            !backoff.may_preempt(at_ms * 1_000, &cluster(2, 9)),
            "a new one has its own time"
        );
        at_ms
    };
    assert_ne!(first_preemption_ms(1), first_preemption_ms(2));
}
