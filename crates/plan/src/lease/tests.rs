use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigVersion,
};

use super::*;
use crate::cluster::PeerState;

fn version(number: u64, digest: u8) -> ConfigVersion {
    ConfigVersion {
        number,
        digest: ConfigDigest([digest; 16]),
    }
}

/// Three voters with the same report: this committed configuration, and `next` accepted, and joint if `joint` is set.
fn cluster_of(committed: ConfigVersion, next: Option<ConfigVersion>, joint: bool) -> ClusterView {
    let ballot = Ballot {
        round: 1,
        proposer: 1,
    };
    let next = next.map(|version| AcceptedVersion {
        ballot,
        version,
        joint,
    });
    let report = AcceptorReport {
        committed,
        accepted: next,
        ..AcceptorReport::default()
    };
    ClusterView {
        nodes: (0..3).map(|n| (n, PeerState::Reported(report))).collect(),
        ..ClusterView::default()
    }
}

/// The state of a placer that can apply every configuration and whose lease has not expired.
fn state_with_recent_contact(
    local: LocalConfig,
    cluster: &ClusterView,
    known: ConfigVersion,
) -> LeaseState {
    let inputs = LeaseInputs {
        local,
        cluster,
        known_committed: known,
        contact: QuorumContact::Recent,
    };
    lease_state(&inputs, |_| Usability::Usable)
}

/// The inputs of one call of [`lease_state`].
#[derive(Debug)]
struct Case {
    committed: ConfigVersion,
    chosen: Option<ConfigVersion>,
    local: LocalConfig,
    contact: QuorumContact,
    /// The usability of configuration 1.
    first: Usability,
    /// The usability of every other configuration.
    others: Usability,
}

impl Case {
    fn usability(&self, version: ConfigVersion) -> Usability {
        if version.number == 1 {
            self.first
        } else {
            self.others
        }
    }

    fn check(&self) {
        let cluster = cluster_of(self.committed, self.chosen, false);
        let inputs = LeaseInputs {
            local: self.local,
            cluster: &cluster,
            known_committed: ConfigVersion::default(),
            contact: self.contact,
        };
        match lease_state(&inputs, |version| self.usability(version)) {
            LeaseState::Unmanaged => {
                panic!("unmanaged although the nodes persist configurations: {self:?}")
            }
            LeaseState::Active(active) => self.check_active(active),
            LeaseState::Suspended(reason) => self.check_suspended(reason),
        }
    }

    fn check_active(&self, active: ActiveConfig) {
        let (committed, local) = (self.committed, self.local);
        let is_usable = |version| self.usability(version) == Usability::Usable;
        assert_eq!(self.contact, QuorumContact::Recent, "{self:?}");
        assert_eq!(active.committed, committed, "{self:?}");
        assert!(committed.number == 0 || is_usable(committed), "{self:?}");
        assert!(
            active.next.is_none() || active.next == self.chosen,
            "{self:?}"
        );
        assert!(active.next.is_none_or(is_usable), "{self:?}");
        let stamped = active.version().version;
        assert!(
            stamped.number > 0,
            "an active placer applies no configuration: {self:?}"
        );
        let is_before_local = stamped.number + 1 == local.version.number;
        assert!(
            !local.pinned || stamped == local.version || is_before_local,
            "{self:?}"
        );
    }

    fn check_suspended(&self, reason: SuspendReason) {
        let (committed, local) = (self.committed, self.local);
        let is_recent = self.contact == QuorumContact::Recent;
        assert_eq!(reason == SuspendReason::NoQuorum, !is_recent, "{self:?}");
        if is_recent {
            let none_committed = committed.number == 0;
            let unusable = self.usability(committed) != Usability::Usable && !none_committed;
            let pinned = local.pinned && local.version != committed;
            assert!(unusable || pinned || none_committed, "{self:?}: {reason:?}");
            assert!(
                !reason.is_fenced() || !none_committed,
                "{self:?}: {reason:?}"
            );
        }
    }
}

const CONTACTS: [QuorumContact; 3] = [
    QuorumContact::Never,
    QuorumContact::Recent,
    QuorumContact::Expired,
];
const USABILITIES: [Usability; 3] = [Usability::Missing, Usability::Usable, Usability::Unusable];

/// Checks invariants of the result for every combination of the inputs.
#[test]
fn a_placer_applies_only_usable_configurations_that_are_committed_or_chosen() {
    let none = ConfigVersion::default();
    let (one, two, rival) = (version(1, 1), version(2, 2), version(2, 3));
    for committed in [none, one] {
        for chosen in [None, Some(two), Some(rival)] {
            for own in [one, two, version(5, 5)] {
                for pinned in [false, true] {
                    let local = LocalConfig {
                        version: own,
                        pinned,
                    };
                    for contact in CONTACTS {
                        for first in USABILITIES {
                            for others in USABILITIES {
                                let case = Case {
                                    committed,
                                    chosen,
                                    local,
                                    contact,
                                    first,
                                    others,
                                };
                                case.check();
                            }
                        }
                    }
                }
            }
        }
    }
}

#[test]
fn placers_are_unmanaged_where_a_majority_of_the_nodes_is_legacy() {
    let mut cluster = cluster_of(version(1, 1), None, false);
    cluster.nodes.insert(0, PeerState::Legacy);
    let local = LocalConfig {
        version: version(7, 7),
        pinned: false,
    };
    let state =
        |cluster: &ClusterView| state_with_recent_contact(local, cluster, ConfigVersion::default());
    assert!(
        matches!(state(&cluster), LeaseState::Active(_)),
        "one legacy node of three"
    );
    cluster.nodes.insert(1, PeerState::Legacy);
    assert_eq!(state(&cluster), LeaseState::Unmanaged);
}

#[test]
fn a_committed_configuration_that_the_placer_knows_stays_active_after_all_nodes_lost_it() {
    let local = LocalConfig {
        version: version(1, 1),
        pinned: false,
    };
    let empty = cluster_of(ConfigVersion::default(), None, false);
    let state = state_with_recent_contact(local, &empty, version(2, 2));
    assert!(
        matches!(state, LeaseState::Active(active) if active.committed == version(2, 2)),
        "{state:?}"
    );
}

#[test]
fn a_local_file_with_the_next_configuration_is_ahead_until_that_is_joint() {
    let (one, two) = (version(1, 1), version(2, 2));
    let local = LocalConfig {
        version: two,
        pinned: true,
    };
    let state = |next| {
        state_with_recent_contact(
            local,
            &cluster_of(one, next, true),
            ConfigVersion::default(),
        )
    };
    let active = |next, local_ahead| {
        LeaseState::Active(ActiveConfig {
            committed: one,
            next,
            local_ahead,
        })
    };
    assert_eq!(state(None), active(None, Some(two)));
    assert_eq!(state(Some(two)), active(Some(two), None));
}

/// A lease of 100 µs, with answers of nodes 0, 1, ... at these times. Nodes without a time have not answered.
fn lease_with_answers(answers: &[u64]) -> ReadLease {
    let mut lease = ReadLease::new(100);
    for (node, at) in (0..).zip(answers) {
        lease.record_answer(node, *at);
    }
    lease
}

fn five_voters() -> ClusterView {
    ClusterView {
        nodes: (0..5).map(|node| (node, PeerState::Legacy)).collect(),
        ..ClusterView::default()
    }
}

#[test]
fn a_lease_expires_its_duration_after_the_oldest_answer_of_the_latest_majority() {
    let cluster = five_voters();
    for (answers, expires_at) in [
        (vec![], None),
        (vec![10, 20], None),
        (vec![30, 10, 20], Some(110)),
        (vec![30, 10, 20, 40], Some(120)),
        (vec![50, 10, 50, 10, 50], Some(150)),
    ] {
        let mut lease = lease_with_answers(&answers);
        assert_eq!(lease.expires_at(&cluster), expires_at, "{answers:?}");
        let Some(expires_at) = expires_at else {
            assert_eq!(
                lease.update_quorum_contact(50, &cluster),
                QuorumContact::Never
            );
            continue;
        };
        assert_eq!(
            lease.update_quorum_contact(expires_at - 1, &cluster),
            QuorumContact::Recent
        );
        assert_eq!(
            lease.update_quorum_contact(expires_at, &cluster),
            QuorumContact::Expired
        );
    }
}
