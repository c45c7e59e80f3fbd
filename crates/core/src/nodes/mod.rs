//! The registry of nodes: the entry of each in the node list, its connection, and its state as last announced to the
//! decision module.
//!
//! The registry owns every [`Node`], and only this module changes one. It decides when a node is announced to the decision
//! module, and passes on the beliefs that a former incarnation of the placer stored about it.

mod announcements;
mod connections;
mod list;
mod node;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use reedring::{AttemptId, MachineId, Micros};
use reedring_node_protocol::RejectionReason;
use reedring_settings::{Health, Site};
use reedring_state::NodeBeliefs;

use crate::context::Context;
use crate::ids::NodeNumber;
pub(crate) use node::{Node, NodeLoad};

/// Assigns numbers to the names of racks or zones, from 0 in the order in which they are first used.
#[derive(Debug, Default)]
struct LocationNumbers(BTreeMap<String, u16>);

impl LocationNumbers {
    /// The number of a name; an unknown name gets the next free one.
    fn number(&mut self, name: &str) -> u16 {
        let next = self.0.len() as u16;
        *self.0.entry(name.to_owned()).or_insert(next)
    }
}

/// The startup of the placer, on which announcements of nodes and answers to submissions depend.
#[derive(Clone, Copy, Debug, Default)]
struct StartupState {
    /// When this incarnation of the placer started.
    started_at: Micros,
    /// Whether every offer of the former incarnation to a node that is warming up is known from the ledger.
    slow_start_budgets_restored: bool,
    /// The time until which the placer waits for the nodes to report the tasks that they hold.
    reconcile_until: Micros,
}

/// What a new node list changes for the connection to one node.
pub(crate) enum LinkChange {
    /// The node is new in the list, or listed again.
    Connect(NodeNumber),
    /// The node has another address.
    Reconnect(NodeNumber),
    /// The node is in another zone, at the same address.
    ChangeZone(NodeNumber),
    /// The node is no longer listed.
    Unlisted(NodeNumber),
}

/// The changes that a new node list brings.
#[derive(Default)]
pub(crate) struct ListChanges {
    pub links: Vec<LinkChange>,
    /// Names of new nodes that are ignored because another node's name has the same machine id.
    pub collisions: Vec<String>,
}

/// The state of a connection before it was lost or could not be made.
pub(crate) struct LostLink {
    /// The number of handshakes with the node so far, which identifies its last connection.
    pub connection: u64,
    /// Whether the handshake was completed on it.
    pub was_up: bool,
    /// Whether no event is logged: the connection was down already, or the node's health is not ready.
    pub is_expected: bool,
}

/// All nodes that were listed in this incarnation or restored from the ledger. None is ever removed.
#[derive(Debug, Default)]
pub(crate) struct NodeRegistry {
    nodes: BTreeMap<NodeNumber, Node>,
    numbers_by_name: BTreeMap<String, NodeNumber>,
    numbers_by_machine: BTreeMap<MachineId, NodeNumber>,
    zones: LocationNumbers,
    racks: LocationNumbers,
    /// The names of the node kinds in the settings, by kind number.
    kinds: Vec<String>,
    startup: StartupState,
    /// The revision of the node list; 0 before the first list.
    list_revision: u64,
    /// The beliefs of a former incarnation about nodes, by node name, until they are passed to the decision module.
    restored_beliefs: BTreeMap<String, NodeBeliefs>,
}

impl NodeRegistry {
    pub fn new(kinds: Vec<String>, started_at: Micros, reconcile_until: Micros) -> Self {
        let startup = StartupState {
            started_at,
            slow_start_budgets_restored: false,
            reconcile_until,
        };
        Self {
            kinds,
            startup,
            ..Self::default()
        }
    }

    /// Sets whether every offer of the former incarnation to a node that is warming up is known from the ledger.
    pub fn set_budgets_restored(&mut self, restored: bool) {
        self.startup.slow_start_budgets_restored = restored;
    }

    // ---- Queries ----

    pub fn get(&self, number: NodeNumber) -> Option<&Node> {
        self.nodes.get(&number)
    }

    /// All nodes, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (NodeNumber, &Node)> {
        self.nodes.iter().map(|(number, node)| (*number, node))
    }

    pub fn number(&self, name: &str) -> Option<NodeNumber> {
        self.numbers_by_name.get(name).copied()
    }

    pub fn by_machine(&self, machine: MachineId) -> Option<NodeNumber> {
        self.numbers_by_machine.get(&machine).copied()
    }

    /// The name of a node; empty if there is no node of this number.
    pub fn name(&self, number: NodeNumber) -> String {
        self.get(number)
            .map(|node| node.name.clone())
            .unwrap_or_default()
    }

    pub fn machine(&self, number: NodeNumber) -> Option<MachineId> {
        self.get(number).map(Node::machine)
    }

    pub fn is_up(&self, number: NodeNumber) -> bool {
        self.get(number).is_some_and(Node::is_up)
    }

    /// Whether this connection was the last one to the node, and the node is not connected now.
    pub fn is_still_down(&self, number: NodeNumber, connection: u64) -> bool {
        self.get(number)
            .is_some_and(|node| node.connections == connection && !node.is_up())
    }

    /// The node's own incarnation; `None` until its handshake or the ledger names it.
    pub fn incarnation(&self, number: NodeNumber) -> Option<u64> {
        self.get(number).and_then(Node::incarnation)
    }

    /// The health of the node with this name; `None` if there is no such node.
    pub fn health_of(&self, name: &str) -> Option<Health> {
        self.get(self.number(name)?).map(Node::health)
    }

    /// The name of a node kind; empty if the settings have no such kind.
    pub fn kind_name(&self, kind: u16) -> &str {
        self.kinds.get(usize::from(kind)).map_or("", String::as_str)
    }

    pub const fn list_revision(&self) -> u64 {
        self.list_revision
    }

    /// The time until which the placer waits for the nodes to report the tasks that they hold.
    pub const fn reconcile_until(&self) -> Micros {
        self.startup.reconcile_until
    }

    /// Whether every listed node has reported the tasks that it holds since this placer started.
    pub fn all_reconciled(&self) -> bool {
        self.nodes
            .values()
            .filter(|node| node.listed)
            .all(|node| node.reconciled)
    }

    /// Whether the node is in its slow start: it started less than `site.warm_after_us` ago. A node whose start is not known
    /// counts as warm.
    pub fn is_warming_up(&self, number: NodeNumber, now: Micros, site: &Site) -> bool {
        let started_at = self.get(number).and_then(|node| node.started_at);
        started_at
            .zip(site.warm_after_us)
            .is_some_and(|(at, warm)| now < at.saturating_add(warm))
    }

    // ---- Attempts ----

    pub fn add_attempt(&mut self, number: NodeNumber, id: AttemptId) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.attempts.insert(id);
        }
    }

    /// Restores an attempt of a former incarnation of the placer. `incarnation` is that of the node at the time, if known.
    pub fn restore_attempt(&mut self, number: NodeNumber, id: AttemptId, incarnation: Option<u64>) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.attempts.insert(id);
            // The newest incarnation is kept: a node whose handshake names another one has restarted, and holds none of
            // these attempts.
            node.incarnation = node.incarnation.max(incarnation);
        }
    }

    /// Removes a closed attempt. An unlisted node is disconnected once it has no attempts left.
    pub fn remove_attempt(&mut self, number: NodeNumber, id: AttemptId, cx: &mut Context) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.attempts.remove(&id);
            if !node.listed && node.attempts.is_empty() {
                self.disconnect(number, cx);
            }
        }
    }

    /// Counts an offer that the node rejected.
    pub fn count_rejection(&mut self, number: NodeNumber, reason: RejectionReason) {
        if let Some(node) = self.nodes.get_mut(&number) {
            *node.rejections.entry(reason).or_default() += 1;
        }
    }

    /// Sets until when late answers of a node that is warming up count against it.
    pub fn set_overdue_until(&mut self, number: NodeNumber, until: Micros) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.overdue_until = until;
        }
    }
}
