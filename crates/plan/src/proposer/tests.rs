use reedring_node_protocol::{AcceptedVersion, AcceptorReport, Ballot};

use super::*;
use crate::cluster::PeerState;
use crate::membership::Membership;

/// The incarnation of the placer under test.
const OWN: Incarnation = Incarnation(9);
/// The ballot with which it begins among nodes that have promised none.
const FIRST: Ballot = Ballot {
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

/// A vote of another placer's ballot.
fn vote(round: u64, document: &ConfigDocument) -> Option<AcceptedVersion> {
    Some(AcceptedVersion {
        ballot: Ballot { round, proposer: 5 },
        version: document.version(),
        joint: false,
    })
}

/// The same, once the node has entered the joint phase.
fn joint(round: u64, document: &ConfigDocument) -> Option<AcceptedVersion> {
    vote(round, document).map(|vote| AcceptedVersion {
        joint: true,
        ..vote
    })
}

/// A node that has committed configuration 1.
fn report(promised: Ballot, next: Option<AcceptedVersion>) -> AcceptorReport {
    AcceptorReport {
        committed: config(1, "one").version(),
        promised,
        accepted: next,
        ..AcceptorReport::default()
    }
}

/// A node that has committed configuration 1, and promised and accepted nothing.
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

/// The same nodes, of which 0 to 2 vote; others persist configurations and do not vote, or learn.
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

/// The nodes that get a request of a kind.
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

/// Checks that all requests, and at least one, prepare this ballot.
fn check_all_prepare(progress: &ChangeProgress, expected: Ballot) {
    assert!(!progress.requests.is_empty());
    for NodeRequest { request, .. } in &progress.requests {
        let ConfigRequest::Prepare { ballot, .. } = request else {
            panic!("{request:?}")
        };
        assert_eq!(*ballot, expected);
    }
}

/// Checks that all requests ask to accept this configuration.
fn check_all_accept(progress: &ChangeProgress, expected: &ConfigDocument) {
    for NodeRequest { request, .. } in &progress.requests {
        let ConfigRequest::Accept { version, .. } = request else {
            panic!("{request:?}")
        };
        assert_eq!(*version, expected.version(), "{request:?}");
    }
}

/// It prepares, and once a majority has promised it asks to accept the newest configuration that they accepted, else its
/// own.
#[test]
fn the_newest_configuration_accepted_among_those_that_promised_is_proposed() {
    let (a, b) = (config(2, "a"), config(2, "b"));
    // What two of three nodes that promised had accepted, and what must be proposed then.
    for (accepted, expected) in [
        ([None, None], &a),
        ([vote(0, &b), None], &b),
        ([vote(0, &a), vote(1, &b)], &b),
        ([vote(1, &a), vote(0, &b)], &a),
    ] {
        let mut proposer = Proposer::new(OWN);
        let progress = advance(&mut proposer, &cluster_of(&[idle(); 3]), Some(&a));
        assert_eq!(progress.phase, ChangePhase::Proposed);
        assert_eq!(progress.requests.len(), 3);
        check_all_prepare(&progress, FIRST);
        // One promise is no majority.
        let one = [report(FIRST, accepted[0]), idle(), idle()];
        let progress = advance(&mut proposer, &cluster_of(&one), Some(&a));
        check_all_prepare(&progress, FIRST);
        let two = [
            report(FIRST, accepted[0]),
            report(FIRST, accepted[1]),
            idle(),
        ];
        let progress = advance(&mut proposer, &cluster_of(&two), Some(&a));
        assert!(!progress.requests.is_empty());
        check_all_accept(&progress, expected);
        for NodeRequest { request, .. } in &progress.requests {
            assert!(
                matches!(request, ConfigRequest::Accept { ballot, .. } if *ballot == FIRST),
                "{request:?}"
            );
        }
        // A promise that comes later changes nothing of that ballot.
        let three = [two[0], two[1], report(FIRST, vote(3, &b))];
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
    let stuck = AcceptorReport {
        cannot_persist: true,
        ..joint
    };
    for (reports, enter_joint, commit) in [
        ([voted, voted, voted], vec![0, 1, 2], vec![]),
        ([joint, voted, voted], vec![1, 2], vec![]),
        ([joint, joint, voted], vec![2], vec![0, 1]),
        ([joint, joint, joint], vec![], vec![0, 1, 2]),
        ([joint, stuck, voted], vec![2], vec![]),
    ] {
        let progress = advance(&mut Proposer::new(OWN), &cluster_of(&reports), None);
        assert_eq!(progress.phase, ChangePhase::Joint(a.version()));
        assert_eq!(nodes_of(&progress, is_enter_joint), enter_joint);
        assert_eq!(nodes_of(&progress, is_commit), commit);
    }
}

#[test]
fn nodes_that_are_behind_are_told_and_texts_that_are_missing_are_fetched() {
    let one = config(1, "one");
    let cluster = cluster_of(&[idle(), AcceptorReport::default()]);
    let progress = advance(&mut Proposer::new(OWN), &cluster, None);
    assert_eq!(progress.phase, ChangePhase::Idle);
    let [NodeRequest { node: 1, request }] = &progress.requests[..] else {
        panic!("{progress:?}")
    };
    assert!(
        matches!(request, ConfigRequest::Commit { version, .. } if *version == one.version()),
        "{request:?}"
    );
    let no_documents = DocumentCache::default();
    let mut proposer = Proposer::new(OWN);
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

/// A ballot of another is left alone until it has had its time, and is then completed, not undone.
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
    let mut proposer = Proposer::new(OWN);
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
fn ballots_are_for_voters_and_what_is_chosen_is_told_to_all_acceptors() {
    let (a, b) = (config(2, "a"), config(2, "b"));
    let learner = AcceptorReport {
        is_learner: true,
        cannot_persist: true,
        ..AcceptorReport::default()
    };
    let mut proposer = Proposer::new(OWN);
    let mut advance_with_fourth = |voters: [AcceptorReport; 3], fourth| {
        let [first, second, third] = voters;
        let cluster = with_three_voters(&[first, second, third, fourth, learner]);
        advance(&mut proposer, &cluster, Some(&a))
    };
    let progress = advance_with_fourth([idle(); 3], idle());
    assert_eq!(nodes_of(&progress, is_prepare), [0, 1, 2]);
    assert_eq!(progress.requests.len(), 3, "{progress:?}");
    // Two voters have promised; a node that does not vote changes neither the count nor what is proposed.
    let promised = report(FIRST, None);
    let non_voter = report(FIRST, vote(1, &b));
    let progress = advance_with_fourth([promised, idle(), idle()], non_voter);
    assert_eq!(nodes_of(&progress, is_accept), Vec::<NodeNumber>::new());
    let progress = advance_with_fourth([promised, promised, idle()], non_voter);
    check_all_accept(&progress, &a);
    assert_eq!(nodes_of(&progress, is_accept), [0, 1, 2]);
    let voted = report(FIRST, vote(1, &a));
    let progress = advance_with_fourth([voted, voted, idle()], idle());
    assert_eq!(progress.phase, ChangePhase::Joint(a.version()));
    assert_eq!(nodes_of(&progress, is_enter_joint), [0, 1, 2, 3]);
    assert_eq!(progress.requests.len(), 4, "{progress:?}");
}

#[test]
fn a_majority_of_the_voters_is_joint_before_anything_is_committed() {
    let a = config(2, "a");
    let (voted, joint) = (report(FIRST, vote(1, &a)), report(FIRST, joint(1, &a)));
    for (reports, commit) in [
        ([joint, voted, voted, joint, joint], vec![]),
        ([joint, joint, voted, joint, voted], vec![0, 1, 3]),
    ] {
        let cluster = with_three_voters(&reports);
        let progress = advance(&mut Proposer::new(OWN), &cluster, None);
        assert_eq!(nodes_of(&progress, is_commit), commit);
    }
}

/// A list that marks control machines which never had the committed configuration: they are told it, and nothing is chosen
/// before a majority of them has it.
#[test]
fn empty_voters_get_the_committed_configuration_before_they_vote() {
    let (one, two) = (config(1, "one"), config(2, "a"));
    let empty = AcceptorReport::default();
    let mut proposer = Proposer::new(OWN);
    let cluster = with_three_voters(&[empty, empty, empty, idle(), idle()]);
    let progress = advance(&mut proposer, &cluster, Some(&two));
    assert_eq!(progress.requests.len(), 3, "{progress:?}");
    for NodeRequest { request, .. } in &progress.requests {
        assert!(
            matches!(request, ConfigRequest::Commit { version, .. } if *version == one.version()),
            "{request:?}"
        );
    }
    // One of three: a ballot may be prepared there, and nothing can be accepted.
    let mut reports = [idle(), empty, empty, idle(), idle()];
    let progress = advance(&mut proposer, &with_three_voters(&reports), Some(&two));
    assert_eq!(nodes_of(&progress, is_commit), [1, 2]);
    reports[0] = report(FIRST, None);
    let progress = advance(&mut proposer, &with_three_voters(&reports), Some(&two));
    assert_eq!(nodes_of(&progress, is_accept), Vec::<NodeNumber>::new());
}

/// Nodes that do not vote and learners report nothing that would start a ballot.
#[test]
fn what_non_voters_accepted_without_a_choice_starts_no_ballot() {
    let voted = report(FIRST, vote(1, &config(2, "b")));
    let cluster = with_three_voters(&[idle(), idle(), idle(), voted, voted]);
    let progress = advance(&mut Proposer::new(OWN), &cluster, None);
    assert_eq!(progress.phase, ChangePhase::Idle);
    assert_eq!(progress.requests, []);
}
