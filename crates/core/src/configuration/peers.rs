//! The nodes' reports on the configurations that they store.

use std::collections::BTreeMap;

use reedring::Micros;
use reedring_node_protocol::AcceptorReport;
use reedring_plan::{ClusterView, Membership, PeerState, ReadLease};
use reedring_settings::Health;

use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;

/// The last report of each node, and when it arrived.
#[derive(Debug)]
pub(super) struct Peers {
    states: BTreeMap<NodeNumber, PeerState>,
    /// The read lease, which each report renews.
    pub lease: ReadLease,
}

impl Peers {
    /// No reports yet; the read lease lasts `lease_us`.
    pub fn new(lease_us: Micros) -> Self {
        Self {
            states: BTreeMap::new(),
            lease: ReadLease::new(lease_us),
        }
    }

    /// Stores a node's report. Returns whether it differs from the node's last one in anything but the age of the floor.
    pub fn record_report(&mut self, now: Micros, node: NodeNumber, report: AcceptorReport) -> bool {
        let before = self.states.insert(node, PeerState::Reported(report));
        self.lease.record_answer(node.0, now);
        // A report that differs only in the age of the floor shows that the node is reachable. It renews the lease and
        // needs no step of the agreement.
        let is_same_but_age = |old: &AcceptorReport| {
            AcceptorReport {
                floor_age_ms: report.floor_age_ms,
                ..*old
            } == report
        };
        !before
            .as_ref()
            .and_then(PeerState::report)
            .is_some_and(is_same_but_age)
    }

    /// Records that a node speaks version 1 of the protocol, and so stores no configurations.
    pub fn record_legacy_node(&mut self, now: Micros, node: NodeNumber) {
        self.states.insert(node, PeerState::Legacy);
        self.lease.record_answer(node.0, now);
    }

    /// The state of a node as last reported; `None` if it has not connected yet.
    pub fn state(&self, node: NodeNumber) -> Option<&PeerState> {
        self.states.get(&node)
    }

    /// The last report of a node; `None` if it has sent none or speaks version 1 of the protocol.
    pub fn report(&self, node: NodeNumber) -> Option<&AcceptorReport> {
        self.state(node).and_then(PeerState::report)
    }

    /// The state of a node as last reported, with the age of its floor increased by the time since that report.
    pub fn aged_state(&self, now: Micros, node: NodeNumber) -> PeerState {
        let mut state = self.state(node).copied().unwrap_or_default();
        if let PeerState::Reported(report) = &mut state {
            let answered = self.lease.last_answer(node.0);
            let elapsed_us = answered.map_or(0, |at| now.saturating_sub(at));
            report.floor_age_ms = report.floor_age_ms.saturating_add(elapsed_us / 1_000);
        }
        state
    }

    /// The cluster as the agreement evaluates it: the voters by the node list, and the state of each listed node whose
    /// health is not gone.
    pub fn view(&self, nodes: &NodeRegistry) -> ClusterView {
        let listed = || nodes.iter().filter(|(_, node)| node.is_listed());
        let reachable = listed().filter(|(_, node)| node.health() != Health::Gone);
        let state = |number: NodeNumber| self.state(number).copied().unwrap_or_default();
        // Control machines whose health is gone stay members. Without them the set could become empty, and then every
        // node would be a voter.
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
