//! What nodes reported of the configurations that they store.

use std::collections::BTreeMap;

use reedring::Micros;
use reedring_node_protocol::AcceptorReport;
use reedring_plan::{ClusterView, Membership, PeerState, ReadLease};
use reedring_settings::Health;

use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;

/// What each node reported last, and when.
#[derive(Debug)]
pub(super) struct Peers {
    states: BTreeMap<NodeNumber, PeerState>,
    /// The read lease, which these reports renew.
    pub lease: ReadLease,
}

impl Peers {
    /// Of a placer whose read lease is this long, before any report.
    pub fn new(lease_us: Micros) -> Self {
        Self {
            states: BTreeMap::new(),
            lease: ReadLease::new(lease_us),
        }
    }

    /// A node reported what it stores; whether that matters to the agreement.
    pub fn reported(&mut self, now: Micros, node: NodeNumber, record: AcceptorReport) -> bool {
        let before = self.states.insert(node, PeerState::Reported(record));
        self.lease.record_answer(node.0, now);
        // What only says that the node is there need not be evaluated at once.
        let is_same = |old: &AcceptorReport| {
            AcceptorReport {
                floor_age_ms: record.floor_age_ms,
                ..*old
            } == record
        };
        !before
            .as_ref()
            .and_then(PeerState::report)
            .is_some_and(is_same)
    }

    /// A node speaks version 1 of the protocol, and stores nothing.
    pub fn stores_nothing(&mut self, now: Micros, node: NodeNumber) {
        self.states.insert(node, PeerState::Legacy);
        self.lease.record_answer(node.0, now);
    }

    /// What is known of a node.
    pub fn state(&self, node: NodeNumber) -> Option<&PeerState> {
        self.states.get(&node)
    }

    /// What a node reported last.
    pub fn record(&self, node: NodeNumber) -> Option<&AcceptorReport> {
        self.state(node).and_then(PeerState::report)
    }

    /// What a node reported last, as it is by now if nothing happened to it.
    pub fn aged_state(&self, now: Micros, node: NodeNumber) -> PeerState {
        let mut state = self.state(node).copied().unwrap_or_default();
        if let PeerState::Reported(record) = &mut state {
            let answered = self.lease.last_answer(node.0);
            let since = answered.map_or(0, |at| now.saturating_sub(at));
            record.floor_age_ms = record.floor_age_ms.saturating_add(since / 1_000);
        }
        state
    }

    /// All nodes, as the node list and the nodes themselves have it.
    pub fn view(&self, nodes: &NodeRegistry) -> ClusterView {
        let listed = || nodes.iter().filter(|(_, node)| node.is_listed());
        let reachable = listed().filter(|(_, node)| node.health() != Health::Gone);
        let state = |number: NodeNumber| self.state(number).copied().unwrap_or_default();
        // Control machines that are gone leave fewer voters, and never every node as one.
        let control = listed().filter(|(_, node)| node.entry().control);
        ClusterView {
            list_revision: nodes.list_revision(),
            membership: Membership::from_control_nodes(
                control.map(|(number, _)| number.0).collect(),
            ),
            nodes: reachable
                .map(|(number, _)| (number.0, state(number)))
                .collect(),
        }
    }
}
