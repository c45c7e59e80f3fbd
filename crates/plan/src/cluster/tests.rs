use reedring_node_protocol::{AcceptedVersion, ConfigDigest};

use super::*;

fn version(number: u64, digest: u8) -> ConfigVersion {
    ConfigVersion {
        number,
        digest: ConfigDigest([digest; 16]),
    }
}

/// The configuration 2 that an acceptor reports as accepted, where configuration 1 is committed.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    digest: u8,
    round: u64,
    joint: bool,
    /// The acceptor can't persist its state.
    cannot_persist: bool,
}

/// A vote with a ballot of this round for the configuration with this digest.
fn vote(digest: u8, round: u64) -> Option<Accepted> {
    Some(Accepted {
        digest,
        round,
        joint: false,
        cannot_persist: false,
    })
}

/// The configuration with this digest in its joint phase.
fn joint(digest: u8) -> Option<Accepted> {
    vote(digest, 1).map(|accepted| Accepted {
        joint: true,
        ..accepted
    })
}

/// The same, reported by an acceptor that can't persist its state.
fn not_persisted(accepted: Option<Accepted>) -> Option<Accepted> {
    accepted.map(|accepted| Accepted {
        cannot_persist: true,
        ..accepted
    })
}

fn report(accepted: &Option<Accepted>) -> AcceptorReport {
    let next = accepted.map(|accepted| AcceptedVersion {
        ballot: Ballot {
            round: accepted.round,
            proposer: 1,
        },
        version: version(2, accepted.digest),
        joint: accepted.joint,
    });
    AcceptorReport {
        committed: version(1, 1),
        accepted: next,
        cannot_persist: accepted.is_some_and(|accepted| accepted.cannot_persist),
        ..AcceptorReport::default()
    }
}

/// Five nodes, 0 to 4, with these reports.
fn cluster_of(reports: &[Option<Accepted>; 5]) -> ClusterView {
    let peers = reports.iter().map(report).map(PeerState::Reported);
    ClusterView {
        nodes: (0..).zip(peers).collect(),
        ..ClusterView::default()
    }
}

#[test]
fn a_configuration_is_chosen_once_a_majority_accepted_it_with_one_ballot_or_one_node_is_joint() {
    let (a, a2, b) = (vote(7, 1), vote(7, 2), vote(8, 2));
    for (reports, chosen) in [
        ([None; 5], None),
        ([a, a, None, None, None], None),
        ([a, a, a, None, None], Some(7)),
        ([a, a, a2, a2, None], None),
        ([a, a, b, b, b], Some(8)),
        ([a, a, not_persisted(a), None, None], None),
        ([a, a, joint(8), None, None], Some(8)),
    ] {
        let cluster = cluster_of(&reports);
        let expected = chosen.map(|digest| version(2, digest));
        assert_eq!(cluster.chosen(version(1, 1)), expected, "{reports:?}");
        assert_eq!(
            cluster.chosen(version(3, 3)),
            None,
            "reports of another committed configuration prove nothing"
        );
    }
}

#[test]
fn the_joint_count_includes_later_configurations_and_only_persisted_states() {
    let reports = [
        joint(7),
        joint(7),
        not_persisted(joint(7)),
        vote(7, 1),
        None,
    ];
    let mut cluster = cluster_of(&reports);
    assert_eq!(cluster.joint_count(version(2, 7)), 2);
    let later = AcceptorReport {
        committed: version(3, 3),
        ..AcceptorReport::default()
    };
    cluster.nodes.insert(4, PeerState::Reported(later));
    assert_eq!(cluster.joint_count(version(2, 7)), 3);
    assert_eq!(
        (cluster.quorum_size(), cluster.committed()),
        (3, version(3, 3))
    );
}

/// The same cluster, in which only nodes 0 to 2 vote.
fn with_three_voters(mut cluster: ClusterView) -> ClusterView {
    cluster.membership = Membership::from_control_nodes([0, 1, 2].into());
    cluster
}

#[test]
fn majorities_count_only_voters() {
    let vote = vote(7, 1);
    for (reports, chosen) in [
        ([vote, None, None, vote, vote], None),
        ([None, None, None, vote, vote], None),
        ([vote, vote, None, None, None], Some(7)),
        // The non-voter is joint, which a placer requests only after it counted a majority.
        ([None, None, None, joint(7), None], Some(7)),
    ] {
        let cluster = with_three_voters(cluster_of(&reports));
        let expected = chosen.map(|digest| version(2, digest));
        assert_eq!(
            (cluster.quorum_size(), cluster.chosen(version(1, 1))),
            (2, expected),
            "{reports:?}"
        );
    }
    let joint = joint(7);
    let cluster = with_three_voters(cluster_of(&[joint, None, None, joint, joint]));
    assert_eq!(cluster.joint_count(version(2, 7)), 1);
}

#[test]
fn a_quorum_needs_a_majority_of_the_voters_whatever_other_nodes_answer() {
    let all = cluster_of(&[None; 5]);
    for (answered, quorum_of_all, quorum_of_three) in [
        (vec![0, 1], false, true),
        (vec![0, 3, 4], true, false),
        (vec![3, 4], false, false),
        (vec![0, 1, 2], true, true),
        (vec![0, 1, 2, 3, 4], true, true),
    ] {
        let has_answered = |node: NodeNumber| answered.contains(&node);
        assert_eq!(all.has_quorum(has_answered), quorum_of_all, "{answered:?}");
        assert_eq!(
            with_three_voters(all.clone()).has_quorum(has_answered),
            quorum_of_three,
            "{answered:?}"
        );
    }
    // If all control machines are removed from the list, the other nodes do not become voters.
    let mut removed = with_three_voters(all);
    removed.nodes.retain(|node, _| *node > 2);
    assert!(!removed.has_quorum(|_| true));
}

#[test]
fn the_report_of_a_learner_counts_as_no_vote_and_proves_only_the_newest_learned_configuration() {
    let mut cluster = with_three_voters(cluster_of(&[None; 5]));
    let learned = AcceptedVersion {
        ballot: Ballot::default(),
        version: version(9, 9),
        joint: true,
    };
    let learner = AcceptorReport {
        accepted: Some(learned),
        is_learner: true,
        ..AcceptorReport::default()
    };
    for node in 1..5 {
        cluster.nodes.insert(node, PeerState::Reported(learner));
    }
    assert_eq!(
        (cluster.committed(), cluster.newest_learned()),
        (version(1, 1), version(9, 9))
    );
    assert_eq!(
        (
            cluster.chosen(ConfigVersion::default()),
            cluster.joint_count(version(9, 9))
        ),
        (None, 0)
    );
    // A control machine that is configured as a learner by mistake can't vote, but still counts for the quorum size.
    assert_eq!(
        (cluster.quorum_size(), cluster.voting_acceptors().count()),
        (2, 1)
    );
}

#[test]
fn a_legacy_quorum_needs_a_majority_of_legacy_voters_whatever_other_nodes_are() {
    let mut cluster = with_three_voters(cluster_of(&[None; 5]));
    cluster.nodes.insert(3, PeerState::Legacy);
    cluster.nodes.insert(4, PeerState::Legacy);
    cluster.nodes.insert(0, PeerState::Legacy);
    assert!(!cluster.has_legacy_quorum(), "one voter of three");
    cluster.nodes.insert(1, PeerState::Legacy);
    assert!(cluster.has_legacy_quorum());
}
