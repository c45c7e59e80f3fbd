//! What nodes reported of the configurations that they store.

use std::collections::BTreeMap;

use reedring::Micros;
use reedring_node_protocol::AcceptorReport;
use reedring_plan::{ClusterView, Membership, PeerState};
use reedring_settings::Health;

use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;

/// What each node reported last, and when.
#[derive(Debug, Default)]
pub(super) struct Peers {
    states: BTreeMap<NodeNumber, PeerState>,
    /// When each node reported last, on a connection that may have ended since.
    heard_at: BTreeMap<NodeNumber, Micros>,
}

impl Peers {
    /// A node reported what it stores; whether that matters to the agreement.
    pub fn reported(&mut self, now: Micros, node: NodeNumber, record: AcceptorReport) -> bool {
        let before = self.states.insert(node, PeerState::Told(record));
        self.heard_at.insert(node, now);
        // What only says that the node is there need not be evaluated at once.
        let is_same = |old: &AcceptorReport| {
            AcceptorReport {
                floor_ms: record.floor_ms,
                ..*old
            } == record
        };
        !before
            .as_ref()
            .and_then(PeerState::record)
            .is_some_and(is_same)
    }

    /// A node speaks version 1 of the protocol, and stores nothing.
    pub fn stores_nothing(&mut self, now: Micros, node: NodeNumber) {
        self.states.insert(node, PeerState::Old);
        self.heard_at.insert(node, now);
    }

    /// What is known of a node.
    pub fn state(&self, node: NodeNumber) -> Option<&PeerState> {
        self.states.get(&node)
    }

    /// What a node reported last.
    pub fn record(&self, node: NodeNumber) -> Option<&AcceptorReport> {
        self.state(node).and_then(PeerState::record)
    }

    /// What a node reported last, as it is by now if nothing happened to it.
    pub fn aged_state(&self, now: Micros, node: NodeNumber) -> PeerState {
        let mut state = self.state(node).copied().unwrap_or_default();
        if let PeerState::Told(record) = &mut state {
            let since = self
                .heard_at
                .get(&node)
                .map_or(0, |at| now.saturating_sub(*at));
            record.floor_ms = record.floor_ms.saturating_add(since / 1_000);
        }
        state
    }

    /// Whether a node was heard within the lease.
    pub fn is_within_lease(&self, now: Micros, node: NodeNumber, lease_us: Micros) -> bool {
        self.heard_at
            .get(&node)
            .is_some_and(|at| now < at.saturating_add(lease_us))
    }

    /// When the lease lapses unless more voters are heard: a majority of them was heard until then.
    pub fn lease_lapses_at(&self, view: &ClusterView, lease_us: Micros) -> Option<Micros> {
        let heard_at = |(node, _): (u32, &PeerState)| self.heard_at.get(&NodeNumber(node)).copied();
        let mut heard: Vec<Micros> = view.voters().filter_map(heard_at).collect();
        let last_of_majority = view
            .majority()
            .checked_sub(1)
            .filter(|last| *last < heard.len())?;
        let (_, since, _) =
            heard.select_nth_unstable_by(last_of_majority, |one, other| other.cmp(one));
        Some(since.saturating_add(lease_us))
    }

    /// All nodes, as the node list and the nodes themselves have it.
    pub fn view(&self, nodes: &NodeRegistry) -> ClusterView {
        let listed = || nodes.iter().filter(|(_, node)| node.is_listed());
        let reachable = listed().filter(|(_, node)| node.health() != Health::Gone);
        let state = |number: NodeNumber| self.state(number).copied().unwrap_or_default();
        // Control machines that are gone leave fewer voters, and never every node as one.
        let control = listed().filter(|(_, node)| node.entry().control);
        ClusterView {
            list: nodes.list_revision(),
            membership: Membership::of(control.map(|(number, _)| number.0).collect()),
            nodes: reachable
                .map(|(number, _)| (number.0, state(number)))
                .collect(),
        }
    }
}
