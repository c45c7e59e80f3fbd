//! How a placer stands: by which plan it acts, or why it sends nothing.

use reedring_node_protocol::ConfigVersion;

use crate::fleet::ClusterView;

/// What a placer can do with a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Usability {
    /// Its text is not here yet.
    Missing,
    /// It can act by it, and by it and the one before.
    Usable,
    /// It can't: the text says what this build does not know, or two plans have no joint form here.
    Unusable,
}

/// What a placer's own file says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LocalConfig {
    /// The plan of its file.
    pub version: ConfigVersion,
    /// It takes no other.
    pub pinned: bool,
}

/// When a majority of the voters was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumContact {
    /// Never in this life.
    Never,
    /// Within the lease.
    Recent,
    /// Longer ago.
    Expired,
}

/// Why nothing may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspendReason {
    /// Too few voters have told what they keep.
    NoMajority,
    /// No plan is in force yet, and none is decided.
    NoPlan,
    /// The text of the plan in force is being fetched.
    Fetching,
    /// Its own file is pinned to another plan than the one in force.
    Pinned,
    /// It can't act by the plan in force.
    Unusable,
}

impl SuspendReason {
    /// In words, for the staff.
    pub const fn word(self) -> &'static str {
        match self {
            Self::NoMajority => "no majority of the voters was heard within the lease",
            Self::NoPlan => "no plan is in force yet",
            Self::Fetching => "the text of the plan in force is being fetched",
            Self::Pinned => "its file is pinned to another plan than the one in force",
            Self::Unusable => "it can't act by the plan in force",
        }
    }

    /// It does not end by itself: the placer is shut out until its staff act.
    pub const fn is_shut_out(self) -> bool {
        matches!(self, Self::Pinned | Self::Unusable)
    }
}

/// By what a placer acts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ActiveConfig {
    /// The plan in force; number 0 where the first one is only decided.
    pub force: ConfigVersion,
    /// The one decided to follow: it acts by the stricter of both.
    pub next: Option<ConfigVersion>,
    /// Its own file has a plan that is not in force yet, and that it stays under as well.
    pub ahead: Option<ConfigVersion>,
}

impl ActiveConfig {
    /// The plan that its offers name, and whether it is joint with the one before.
    pub fn stamp(&self) -> (ConfigVersion, bool) {
        self.next.map_or((self.force, false), |next| (next, true))
    }

    /// The level of its offers.
    pub fn level(&self) -> u64 {
        let (version, joint) = self.stamp();
        reedring_node_protocol::version_level(version, joint)
    }
}

/// How a placer stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Most nodes keep no plans: it acts by its own file, as placers did before there were plans.
    Unmanaged,
    /// It sends nothing.
    Suspended(SuspendReason),
    /// It acts by a plan.
    Active(ActiveConfig),
}

/// How a placer stands.
///
/// | most voters keep nothing | majority heard | in force | decided | own file | is |
/// | --- | --- | --- | --- | --- | --- |
/// | yes | any | any | any | any | unkept: by its own file |
/// | no | never, or long ago | any | any | any | waits: no majority |
/// | no | lately | none | none | any | waits: no plan |
/// | no | lately | none | text missing | any | waits: fetching |
/// | no | lately | text missing | any | any | waits: fetching |
/// | no | lately | bad | any | any | shut out: unusable |
/// | no | lately | not the own one, nor the one that it follows | any | pinned | shut out: pinned |
/// | no | lately | none | bad, or not the own one and pinned | any | waits: no plan, until it is in force |
/// | no | lately | good | missing, bad, or not the own one and pinned | any | acts by the one in force |
/// | no | lately | good or none | good | any | acts by both |
/// | no | lately | good | none | any | acts by the one in force |
///
/// Where it acts and its own file has a later plan than the one that it acts by, it is ahead of it.
pub fn lease_state(
    own: LocalConfig,
    fleet: &ClusterView,
    force: ConfigVersion,
    heard: QuorumContact,
    can: impl Fn(ConfigVersion) -> Usability,
) -> LeaseState {
    if fleet.is_old() {
        return LeaseState::Unmanaged;
    }
    if heard != QuorumContact::Recent {
        return LeaseState::Suspended(SuspendReason::NoMajority);
    }
    let force = force.max(fleet.force());
    let next = fleet.decided(force);
    if force.number > 0 {
        let follows = own.version.number == force.number + 1;
        if own.pinned && own.version != force && !follows {
            return LeaseState::Suspended(SuspendReason::Pinned);
        }
        match can(force) {
            Usability::Missing => return LeaseState::Suspended(SuspendReason::Fetching),
            Usability::Unusable => return LeaseState::Suspended(SuspendReason::Unusable),
            Usability::Usable => {}
        }
    }
    let refused = |next: ConfigVersion| own.pinned && next != own.version;
    let next = match next.map(|next| (next, can(next))) {
        Some((next, Usability::Usable)) if !refused(next) => Some(next),
        Some((_, Usability::Missing)) if force.number == 0 => {
            return LeaseState::Suspended(SuspendReason::Fetching);
        }
        _ => None,
    };
    if force.number == 0 && next.is_none() {
        return LeaseState::Suspended(SuspendReason::NoPlan);
    }
    let ahead = (own.version.number > next.unwrap_or(force).number).then_some(own.version);
    LeaseState::Active(ActiveConfig { force, next, ahead })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::PeerState;
    use reedring_node_protocol::{AcceptedVersion, AcceptorReport, Ballot, ConfigDigest};

    fn version(number: u64, name: u8) -> ConfigVersion {
        ConfigVersion {
            number,
            digest: ConfigDigest([name; 16]),
        }
    }

    /// Three nodes that all tell the same.
    fn fleet(force: ConfigVersion, next: Option<ConfigVersion>, joint: bool) -> ClusterView {
        let ballot = Ballot { round: 1, by: 1 };
        let next = next.map(|version| AcceptedVersion {
            ballot,
            version,
            joint,
        });
        let record = AcceptorReport {
            force,
            next,
            ..AcceptorReport::default()
        };
        ClusterView {
            nodes: (0..3).map(|n| (n, PeerState::Told(record))).collect(),
            ..ClusterView::default()
        }
    }

    /// Every case of the table, against what must hold whatever it says.
    #[test]
    fn a_placer_acts_only_by_plans_that_it_can_use_and_that_a_majority_stands_behind() {
        let (none, one, two, rival) = (
            ConfigVersion::default(),
            version(1, 1),
            version(2, 2),
            version(2, 3),
        );
        for force in [none, one] {
            for next in [None, Some(two), Some(rival)] {
                for own in [one, two, version(5, 5)] {
                    for pinned in [false, true] {
                        for heard in [
                            QuorumContact::Never,
                            QuorumContact::Recent,
                            QuorumContact::Expired,
                        ] {
                            for first in
                                [Usability::Missing, Usability::Usable, Usability::Unusable]
                            {
                                for second in
                                    [Usability::Missing, Usability::Usable, Usability::Unusable]
                                {
                                    let fleet = fleet(force, next, false);
                                    let can = |v: ConfigVersion| {
                                        if v.number == 1 { first } else { second }
                                    };
                                    let own = LocalConfig {
                                        version: own,
                                        pinned,
                                    };
                                    let got = lease_state(own, &fleet, none, heard, can);
                                    let case = format!(
                                        "{force} {next:?} {own:?} {heard:?} {first:?} {second:?}"
                                    );
                                    check(got, own, force, next, heard, can, &case);
                                }
                            }
                        }
                    }
                }
            }
        }
    }

    fn check(
        got: LeaseState,
        own: LocalConfig,
        force: ConfigVersion,
        next: Option<ConfigVersion>,
        heard: QuorumContact,
        can: impl Fn(ConfigVersion) -> Usability,
        case: &str,
    ) {
        match got {
            LeaseState::Unmanaged => panic!("nodes keep plans: {case}"),
            LeaseState::Active(acts) => {
                assert_eq!(heard, QuorumContact::Recent, "{case}");
                assert_eq!(acts.force, force, "{case}");
                assert!(
                    force.number == 0 || can(force) == Usability::Usable,
                    "{case}"
                );
                assert!(acts.next.is_none() || acts.next == next, "{case}");
                assert!(
                    acts.next.is_none_or(|next| can(next) == Usability::Usable),
                    "{case}"
                );
                assert!(
                    acts.stamp().0.number > 0,
                    "it always acts by some plan: {case}"
                );
                let named = acts.stamp().0;
                assert!(
                    !own.pinned || named == own.version || named.number + 1 == own.version.number,
                    "{case}"
                );
            }
            LeaseState::Suspended(why) => {
                assert_eq!(
                    why == SuspendReason::NoMajority,
                    heard != QuorumContact::Recent,
                    "{case}"
                );
                if heard == QuorumContact::Recent {
                    let stuck = can(force) != Usability::Usable && force.number > 0;
                    let pinned = own.pinned && own.version != force;
                    let begins = force.number == 0;
                    assert!(stuck || pinned || begins, "{case}: {why:?}");
                    assert!(!why.is_shut_out() || force.number > 0, "{case}: {why:?}");
                }
            }
        }
    }

    #[test]
    fn most_nodes_of_version_1_leave_each_placer_to_its_own_file() {
        let mut fleet = fleet(version(1, 1), None, false);
        fleet.nodes.insert(0, PeerState::Old);
        let own = LocalConfig {
            version: version(7, 7),
            pinned: false,
        };
        let stands = |fleet: &ClusterView| {
            lease_state(
                own,
                fleet,
                ConfigVersion::default(),
                QuorumContact::Recent,
                |_| Usability::Usable,
            )
        };
        assert!(
            matches!(stands(&fleet), LeaseState::Active(_)),
            "one of three"
        );
        fleet.nodes.insert(1, PeerState::Old);
        assert_eq!(stands(&fleet), LeaseState::Unmanaged);
    }

    #[test]
    fn a_plan_that_the_placer_itself_learned_holds_where_all_nodes_have_lost_it() {
        let own = LocalConfig {
            version: version(1, 1),
            pinned: false,
        };
        let empty = fleet(ConfigVersion::default(), None, false);
        let got = lease_state(own, &empty, version(2, 2), QuorumContact::Recent, |_| {
            Usability::Usable
        });
        assert!(
            matches!(got, LeaseState::Active(acts) if acts.force == version(2, 2)),
            "{got:?}"
        );
    }

    #[test]
    fn a_file_with_the_next_plan_is_ahead_until_that_is_joint() {
        let (one, two) = (version(1, 1), version(2, 2));
        let own = LocalConfig {
            version: two,
            pinned: true,
        };
        let stands = |next| {
            lease_state(
                own,
                &fleet(one, next, true),
                ConfigVersion::default(),
                QuorumContact::Recent,
                |_| Usability::Usable,
            )
        };
        let acts = |next, ahead| {
            LeaseState::Active(ActiveConfig {
                force: one,
                next,
                ahead,
            })
        };
        assert_eq!(stands(None), acts(None, Some(two)));
        assert_eq!(stands(Some(two)), acts(Some(two), None));
    }
}
