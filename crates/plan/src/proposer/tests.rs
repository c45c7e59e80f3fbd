use reedring_node_protocol::{AcceptedVersion, AcceptorReport, Ballot};

use super::*;
use crate::cluster::PeerState;
use crate::membership::Membership;

/// The incarnation of the placer under test.
const OWN_INCARNATION: Incarnation = Incarnation(9);
/// The first ballot of the placer under test, where no node has promised any ballot.
const FIRST_BALLOT: Ballot = Ballot {
    round: 1,
    proposer: 9,
};

fn config(number: u64, text: &str) -> ConfigDocument {
    ConfigDocument::new(number, text).unwrap()
}

fn documents() -> DocumentCache {
    let mut documents = DocumentCache::default();
    for document in [config(1, "one"), config(2, "a"), config(2, "b")] {
        documents.insert(&document);
    }
    documents
}

/// A vote with the ballot of another placer.
fn vote(round: u64, document: &ConfigDocument) -> Option<AcceptedVersion> {
    Some(AcceptedVersion {
        ballot: Ballot { round, proposer: 5 },
        version: document.version(),
        joint: false,
    })
}

/// The same vote, at a node that has entered the joint phase.
fn joint(round: u64, document: &ConfigDocument) -> Option<AcceptedVersion> {
    vote(round, document).map(|vote| AcceptedVersion {
        joint: true,
        ..vote
    })
}

/// The report of a node that has committed configuration 1.
fn report(promised: Ballot, next: Option<AcceptedVersion>) -> AcceptorReport {
    AcceptorReport {
        committed: config(1, "one").version(),
        promised,
        accepted: next,
        ..AcceptorReport::default()
    }
}

/// The report of a node that has committed configuration 1, and promised and accepted nothing since.
fn idle() -> AcceptorReport {
    report(Ballot::default(), None)
}

fn cluster_of(reports: &[AcceptorReport]) -> ClusterView {
    let peers = reports.iter().copied().map(PeerState::Reported);
    ClusterView {
        nodes: (0..).zip(peers).collect(),
        ..ClusterView::default()
    }
}

/// The same cluster, in which only nodes 0 to 2 vote. The others are learners, or acceptors that do not vote.
fn with_three_voters(reports: &[AcceptorReport]) -> ClusterView {
    ClusterView {
        membership: Membership::from_control_nodes([0, 1, 2].into()),
        ..cluster_of(reports)
    }
}

fn advance(
    proposer: &mut Proposer,
    cluster: &ClusterView,
    proposal: Option<&ConfigDocument>,
) -> ChangeProgress {
    advance_with(proposer, cluster, proposal, &documents(), false)
}

fn advance_with(
    proposer: &mut Proposer,
    cluster: &ClusterView,
    proposal: Option<&ConfigDocument>,
    documents: &DocumentCache,
    may_preempt: bool,
) -> ChangeProgress {
    proposer.advance(&ProposerInputs {
        cluster,
        known_committed: ConfigVersion::default(),
        proposal,
        documents,
        may_preempt,
    })
}

/// The nodes that get a request for which `is_kind` returns true.
fn nodes_of(progress: &ChangeProgress, is_kind: fn(&ConfigRequest) -> bool) -> Vec<NodeNumber> {
    let requests = progress.requests.iter();
    requests
        .filter(|request| is_kind(&request.request))
        .map(|request| request.node)
        .collect()
}

fn is_prepare(request: &ConfigRequest) -> bool {
    matches!(request, ConfigRequest::Prepare { .. })
}

fn is_accept(request: &ConfigRequest) -> bool {
    matches!(request, ConfigRequest::Accept { .. })
}

fn is_enter_joint(request: &ConfigRequest) -> bool {
    matches!(request, ConfigRequest::EnterJoint { .. })
}

fn is_commit(request: &ConfigRequest) -> bool {
    matches!(request, ConfigRequest::Commit { .. })
}

/// Checks that there are requests, and that all of them are prepare requests for this ballot.
fn check_all_prepare(progress: &ChangeProgress, expected: Ballot) {
    assert!(!progress.requests.is_empty());
    for NodeRequest { request, .. } in &progress.requests {
        let ConfigRequest::Prepare { ballot, .. } = request else {
            panic!("unexpected kind of request: {request:?}")
        };
        assert_eq!(*ballot, expected);
    }
}

/// Checks that all requests are accept requests for this configuration.
fn check_all_accept(progress: &ChangeProgress, expected: &ConfigDocument) {
    for NodeRequest { request, .. } in &progress.requests {
        let ConfigRequest::Accept { version, .. } = request else {
            panic!("unexpected kind of request: {request:?}")
        };
        assert_eq!(*version, expected.version(), "{request:?}");
    }
}

/// A proposer must not replace a configuration that may be chosen already by its own proposal.
#[test]
fn a_ballot_proposes_the_newest_configuration_that_the_promising_majority_accepted() {
    let (a, b) = (config(2, "a"), config(2, "b"));
    // The votes of the two of three nodes that promise the ballot, and the configuration that must be proposed.
    for (accepted, expected) in [
        ([None, None], &a),
        ([vote(0, &b), None], &b),
        ([vote(0, &a), vote(1, &b)], &b),
        ([vote(1, &a), vote(0, &b)], &a),
    ] {
        let mut proposer = Proposer::new(OWN_INCARNATION);
        let progress = advance(&mut proposer, &cluster_of(&[idle(); 3]), Some(&a));
        assert_eq!(progress.phase, ChangePhase::Proposed);
        assert_eq!(progress.requests.len(), 3);
        check_all_prepare(&progress, FIRST_BALLOT);
        // One promise of three is not a majority.
        let one = [report(FIRST_BALLOT, accepted[0]), idle(), idle()];
        let progress = advance(&mut proposer, &cluster_of(&one), Some(&a));
        check_all_prepare(&progress, FIRST_BALLOT);
        let two = [
            report(FIRST_BALLOT, accepted[0]),
            report(FIRST_BALLOT, accepted[1]),
            idle(),
        ];
        let progress = advance(&mut proposer, &cluster_of(&two), Some(&a));
        assert!(!progress.requests.is_empty());
        check_all_accept(&progress, expected);
        for NodeRequest { request, .. } in &progress.requests {
            assert!(
                matches!(request, ConfigRequest::Accept { ballot, .. } if *ballot == FIRST_BALLOT),
                "{request:?}"
            );
        }
        // A promise that arrives later does not change the value of that ballot.
        let three = [two[0], two[1], report(FIRST_BALLOT, vote(3, &b))];
        let progress = advance(&mut proposer, &cluster_of(&three), Some(&a));
        check_all_accept(&progress, expected);
    }
}

#[test]
fn a_chosen_configuration_is_committed_once_a_majority_has_persisted_its_joint_phase() {
    let a = config(2, "a");
    let ballot = Ballot {
        round: 1,
        proposer: 5,
    };
    let (voted, joint) = (report(ballot, vote(1, &a)), report(ballot, joint(1, &a)));
    let joint_not_persisted = AcceptorReport {
        cannot_persist: true,
        ..joint
    };
    for (reports, enter_joint, commit) in [
        ([voted, voted, voted], vec![0, 1, 2], vec![]),
        ([joint, voted, voted], vec![1, 2], vec![]),
        ([joint, joint, voted], vec![2], vec![0, 1]),
        ([joint, joint, joint], vec![], vec![0, 1, 2]),
        ([joint, joint_not_persisted, voted], vec![2], vec![]),
    ] {
        let progress = advance(
            &mut Proposer::new(OWN_INCARNATION),
            &cluster_of(&reports),
            None,
        );
        assert_eq!(progress.phase, ChangePhase::Joint(a.version()));
        assert_eq!(nodes_of(&progress, is_enter_joint), enter_joint);
        assert_eq!(nodes_of(&progress, is_commit), commit);
    }
}

#[test]
fn lagging_nodes_get_the_committed_configuration_and_missing_texts_are_fetched() {
    let one = config(1, "one");
    let cluster = cluster_of(&[idle(), AcceptorReport::default()]);
    let progress = advance(&mut Proposer::new(OWN_INCARNATION), &cluster, None);
    assert_eq!(progress.phase, ChangePhase::Idle);
    let [NodeRequest { node: 1, request }] = &progress.requests[..] else {
        panic!("expected one request, to node 1: {progress:?}")
    };
    assert!(
        matches!(request, ConfigRequest::Commit { version, .. } if *version == one.version()),
        "{request:?}"
    );
    let no_documents = DocumentCache::default();
    let mut proposer = Proposer::new(OWN_INCARNATION);
    let progress = advance_with(&mut proposer, &cluster, None, &no_documents, false);
    let fetch = ConfigRequest::Fetch {
        version: one.version(),
        have: None,
    };
    assert_eq!(
        progress.requests,
        [NodeRequest {
            node: 0,
            request: fetch
        }]
    );
}

/// The placer preempts the other placer's ballot only with `may_preempt`, and then proposes the configuration that the
/// other one proposed, not its own.
#[test]
fn a_change_whose_proposer_failed_is_completed_by_another() {
    let (a, b) = (config(2, "a"), config(2, "b"));
    let other = Ballot {
        round: 4,
        proposer: 5,
    };
    let reports = [
        report(other, vote(4, &a)),
        report(other, None),
        report(other, None),
    ];
    let cluster = cluster_of(&reports);
    let mut proposer = Proposer::new(OWN_INCARNATION);
    let progress = advance(&mut proposer, &cluster, Some(&b));
    assert_eq!(progress.requests, []);
    let progress = advance_with(&mut proposer, &cluster, Some(&b), &documents(), true);
    let own = Ballot {
        round: 5,
        proposer: 9,
    };
    check_all_prepare(&progress, own);
    let promised = [
        report(own, vote(4, &a)),
        report(own, None),
        report(own, None),
    ];
    let progress = advance(&mut proposer, &cluster_of(&promised), Some(&b));
    assert!(!progress.requests.is_empty(), "{progress:?}");
    check_all_accept(&progress, &a);
}

#[test]
fn only_voters_get_ballots_and_all_acceptors_get_the_joint_phase() {
    let (a, b) = (config(2, "a"), config(2, "b"));
    let learner = AcceptorReport {
        is_learner: true,
        cannot_persist: true,
        ..AcceptorReport::default()
    };
    let mut proposer = Proposer::new(OWN_INCARNATION);
    let mut advance_with_fourth = |voters: [AcceptorReport; 3], fourth| {
        let [first, second, third] = voters;
        let cluster = with_three_voters(&[first, second, third, fourth, learner]);
        advance(&mut proposer, &cluster, Some(&a))
    };
    let progress = advance_with_fourth([idle(); 3], idle());
    assert_eq!(nodes_of(&progress, is_prepare), [0, 1, 2]);
    assert_eq!(progress.requests.len(), 3, "{progress:?}");
    // The promise and the vote of a non-voter count neither for the majority nor for the choice of the value.
    let promised = report(FIRST_BALLOT, None);
    let non_voter = report(FIRST_BALLOT, vote(1, &b));
    let progress = advance_with_fourth([promised, idle(), idle()], non_voter);
    assert_eq!(nodes_of(&progress, is_accept), Vec::<NodeNumber>::new());
    let progress = advance_with_fourth([promised, promised, idle()], non_voter);
    check_all_accept(&progress, &a);
    assert_eq!(nodes_of(&progress, is_accept), [0, 1, 2]);
    let voted = report(FIRST_BALLOT, vote(1, &a));
    let progress = advance_with_fourth([voted, voted, idle()], idle());
    assert_eq!(progress.phase, ChangePhase::Joint(a.version()));
    assert_eq!(nodes_of(&progress, is_enter_joint), [0, 1, 2, 3]);
    assert_eq!(progress.requests.len(), 4, "{progress:?}");
}

#[test]
fn a_configuration_is_committed_only_after_a_majority_of_the_voters_is_joint() {
    let a = config(2, "a");
    let (voted, joint) = (
        report(FIRST_BALLOT, vote(1, &a)),
        report(FIRST_BALLOT, joint(1, &a)),
    );
    for (reports, commit) in [
        ([joint, voted, voted, joint, joint], vec![]),
        ([joint, joint, voted, joint, voted], vec![0, 1, 3]),
    ] {
        let cluster = with_three_voters(&reports);
        let progress = advance(&mut Proposer::new(OWN_INCARNATION), &cluster, None);
        assert_eq!(nodes_of(&progress, is_commit), commit);
    }
}

/// A new node list may mark control machines that never had the committed configuration. They must get it first, and no
/// value may be accepted before a majority of them has it.
#[test]
fn empty_voters_get_the_committed_configuration_before_they_vote() {
    let (one, two) = (config(1, "one"), config(2, "a"));
    let empty = AcceptorReport::default();
    let mut proposer = Proposer::new(OWN_INCARNATION);
    let cluster = with_three_voters(&[empty, empty, empty, idle(), idle()]);
    let progress = advance(&mut proposer, &cluster, Some(&two));
    assert_eq!(progress.requests.len(), 3, "{progress:?}");
    for NodeRequest { request, .. } in &progress.requests {
        assert!(
            matches!(request, ConfigRequest::Commit { version, .. } if *version == one.version()),
            "{request:?}"
        );
    }
    // One of three voters has it: a ballot may be prepared there, but no value is proposed.
    let mut reports = [idle(), empty, empty, idle(), idle()];
    let progress = advance(&mut proposer, &with_three_voters(&reports), Some(&two));
    assert_eq!(nodes_of(&progress, is_commit), [1, 2]);
    reports[0] = report(FIRST_BALLOT, None);
    let progress = advance(&mut proposer, &with_three_voters(&reports), Some(&two));
    assert_eq!(nodes_of(&progress, is_accept), Vec::<NodeNumber>::new());
}

/// The votes of non-voters are no reason to start a ballot.
#[test]
fn a_configuration_that_only_non_voters_accepted_starts_no_ballot() {
    let voted = report(FIRST_BALLOT, vote(1, &config(2, "b")));
    let cluster = with_three_voters(&[idle(), idle(), idle(), voted, voted]);
    let progress = advance(&mut Proposer::new(OWN_INCARNATION), &cluster, None);
    assert_eq!(progress.phase, ChangePhase::Idle);
    assert_eq!(progress.requests, []);
}
