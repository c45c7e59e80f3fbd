//! When a placer may ask again, and when it may outbid another: so that many of them neither flood nodes nor outbid
//! each other for ever.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use reedring_node_protocol::{Ballot, ConfigRequest, ConfigVersion, DeltaStep};

use crate::fleet::ClusterView;

/// Microseconds after which an order that nothing came of is sent again.
const AGAIN_US: u64 = 500_000;
/// Microseconds for which a ballot of another placer is left alone; each placer adds up to as much again, by its
/// own life.
const LEAVE_US: u64 = 300_000;
/// Microseconds for which one node's answer to a fetch is waited for before another one is asked.
const FETCH_US: u64 = 100_000;

/// The pace of one placer's orders.
#[derive(Clone, Debug, Default)]
pub struct ProposalBackoff {
    /// The greatest ballot for the successor of which plan, and since when it is that.
    rival: (ConfigVersion, Ballot, u64),
    /// The plan in force and the decided one, as they were seen last, and since when.
    seen: (ConfigVersion, Option<ConfigVersion>, u64),
    /// The plan whose text or delta was asked for last, and when.
    fetched: Option<(ConfigVersion, u64)>,
    /// What was sent to each node, and when.
    sent: BTreeMap<(u32, u64), u64>,
}

/// Bits of a mark that tell the kind of an order.
const KIND_BITS: u32 = 4;

/// Tells two orders to a node apart.
fn mark(order: &ConfigRequest) -> u64 {
    match order {
        ConfigRequest::Query { stamp } => 1 + (stamp.level() << KIND_BITS),
        ConfigRequest::Fetch {
            version,
            have: None,
        } => 2 + (version.number << KIND_BITS),
        ConfigRequest::Prepare { ballot, .. } => 3 + (ballot.round << KIND_BITS),
        ConfigRequest::Accept { ballot, .. }
        | ConfigRequest::ByDelta {
            step: DeltaStep::Accept { ballot },
            ..
        } => 4 + (ballot.round << KIND_BITS),
        ConfigRequest::ByDelta {
            step: DeltaStep::EnterJoint,
            delta,
            ..
        } => 5 + (delta.target.number << KIND_BITS),
        ConfigRequest::ByDelta {
            step: DeltaStep::Commit,
            delta,
            ..
        } => 6 + (delta.target.number << KIND_BITS),
        ConfigRequest::EnterJoint { version, text, .. } if !text.is_empty() => {
            5 + (version.number << KIND_BITS)
        }
        ConfigRequest::Commit { version, text, .. } if !text.is_empty() => {
            6 + (version.number << KIND_BITS)
        }
        ConfigRequest::RaiseFloor { stamp } => 7 + (stamp.version.number << KIND_BITS),
        // A node that lacks what was left out is sent the whole at once.
        ConfigRequest::Fetch {
            version,
            have: Some(_),
        } => 8 + (version.number << KIND_BITS),
        ConfigRequest::EnterJoint { version, .. } => 9 + (version.number << KIND_BITS),
        ConfigRequest::Commit { version, .. } => 10 + (version.number << KIND_BITS),
    }
}

/// Microseconds by which placers wait differently long, drawn from their lives.
fn spread(life: u64) -> u64 {
    life.wrapping_mul(0x9e37_79b9_7f4a_7c15) % LEAVE_US
}

impl ProposalBackoff {
    /// Whether the greatest ballot has had its time. A first ballot may be made at once.
    pub fn may_outbid(&mut self, now: u64, life: u64, fleet: &ClusterView) -> bool {
        let force = fleet.force();
        let records = fleet.votes().filter(|(_, record)| record.force == force);
        let greatest = records
            .map(|(_, record)| record.promised)
            .max()
            .unwrap_or_default();
        // Ballots begin anew after each plan: one that was greater then says nothing now.
        if (force, greatest) != (self.rival.0, self.rival.1) {
            self.rival = (force, greatest, now);
        }
        greatest.round == 0 || now >= self.rival.2 + LEAVE_US + spread(life)
    }

    /// Whether a decided plan may be brought on by whoever did not decide it: once its maker has had its time.
    pub fn may_carry_on(&mut self, now: u64, life: u64, fleet: &ClusterView) -> bool {
        let force = fleet.force();
        let decided = fleet.decided(force);
        if (force, decided) != (self.seen.0, self.seen.1) {
            self.seen = (force, decided, now);
        }
        let next = fleet.votes().filter_map(|(_, record)| record.next);
        let own_ballot = next
            .filter(|next| Some(next.version) == decided)
            .any(|next| next.ballot.by == life);
        own_ballot || now >= self.seen.2 + LEAVE_US + spread(life)
    }

    /// Leaves out what was asked of a node, and has not had its time.
    pub fn due(
        &mut self,
        now: u64,
        orders: Vec<(u32, ConfigRequest)>,
    ) -> Vec<(u32, ConfigRequest)> {
        self.sent.retain(|_, at| now < at.saturating_add(AGAIN_US));
        let mut due = orders;
        due.retain(|(node, order)| {
            if let ConfigRequest::Fetch { version, .. } = order
                && self
                    .fetched
                    .is_some_and(|(plan, at)| plan == *version && now < at.saturating_add(FETCH_US))
            {
                return false;
            }
            match self.sent.entry((*node, mark(order))) {
                Entry::Occupied(_) => false,
                Entry::Vacant(entry) => {
                    entry.insert(now);
                    if let ConfigRequest::Fetch { version, .. } = order {
                        self.fetched = Some((*version, now));
                    }
                    true
                }
            }
        });
        due
    }

    /// A node's link is another now: what was asked on the one before may be lost.
    pub fn forget(&mut self, node: u32) {
        self.sent.retain(|(to, _), _| *to != node);
        self.fetched = None;
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::fleet::PeerState;
    use reedring_node_protocol::AcceptorReport;

    #[test]
    fn the_same_is_not_asked_again_before_its_time_and_something_else_is() {
        let mut pace = ProposalBackoff::default();
        let one = ConfigRequest::Query {
            stamp: reedring_node_protocol::VersionStamp::default(),
        };
        let ask = || vec![(1, one.clone()), (2, one.clone())];
        assert_eq!(pace.due(0, ask()).len(), 2);
        assert_eq!(pace.due(AGAIN_US - 1, ask()).len(), 0);
        pace.forget(2);
        assert_eq!(pace.due(AGAIN_US - 1, ask()), [(2, one.clone())]);
        assert_eq!(pace.due(AGAIN_US, ask()), [(1, one.clone())]);
        // Two things in turn are not asked over and over.
        let both = || {
            vec![
                (7, one.clone()),
                (
                    7,
                    ConfigRequest::Fetch {
                        version: reedring_node_protocol::ConfigVersion::default(),
                        have: None,
                    },
                ),
            ]
        };
        assert_eq!(pace.due(AGAIN_US, both()).len(), 2);
        assert_eq!(pace.due(AGAIN_US + 1, both()).len(), 0);
        // One node at a time is asked for a plan; another one once the first has had its time.
        let fetch = ConfigRequest::Fetch {
            version: reedring_node_protocol::ConfigVersion::default(),
            have: None,
        };
        assert_eq!(
            pace.due(AGAIN_US + FETCH_US - 1, vec![(1, fetch.clone())]),
            []
        );
        assert_eq!(
            pace.due(AGAIN_US + FETCH_US, vec![(1, fetch.clone())])
                .len(),
            1
        );
        assert_eq!(pace.due(AGAIN_US + FETCH_US, vec![(2, fetch.clone())]), []);
        pace.forget(1);
        assert_eq!(pace.due(AGAIN_US + FETCH_US, vec![(2, fetch)]).len(), 1);
    }

    #[test]
    fn a_ballot_after_another_plan_has_a_time_of_its_own() {
        let told = |number, round| {
            let force = ConfigVersion {
                number,
                ..ConfigVersion::default()
            };
            let record = AcceptorReport {
                force,
                promised: Ballot { round, by: 9 },
                ..AcceptorReport::default()
            };
            ClusterView {
                nodes: [(0, PeerState::Told(record))].into(),
                ..ClusterView::default()
            }
        };
        let mut pace = ProposalBackoff::default();
        pace.may_outbid(0, 1, &told(1, 7));
        assert!(
            !pace.may_outbid(5_000_000, 1, &told(2, 1)),
            "a smaller one, after the next plan, is new"
        );
    }

    #[test]
    fn a_ballot_is_left_alone_and_two_placers_do_not_wait_for_the_same_time() {
        let told = |round, by| {
            let record = AcceptorReport {
                promised: Ballot { round, by },
                ..AcceptorReport::default()
            };
            ClusterView {
                nodes: [(0, PeerState::Told(record))].into(),
                ..ClusterView::default()
            }
        };
        let first = |life| {
            let mut pace = ProposalBackoff::default();
            assert!(pace.may_outbid(0, life, &told(0, 0)), "nothing to outbid");
            let at = (0..700)
                .find(|ms| pace.may_outbid(ms * 1_000, life, &told(1, 9)))
                .unwrap();
            assert!((300..=600).contains(&at), "{at}");
            assert!(
                !pace.may_outbid(at * 1_000, life, &told(2, 9)),
                "a new one has its own time"
            );
            at
        };
        assert_ne!(first(1), first(2));
    }
}
