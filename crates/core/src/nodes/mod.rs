//! The registry of nodes: which there are, how each is connected, and what the decision module knows of them.
//!
//! It owns every [`Node`]; nobody else changes one. It decides when a node is announced to the decision module, and
//! hands over what a former incarnation of the placer learned of it.

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

/// Numbers for racks and zones, in the order in which they are first named.
#[derive(Debug, Default)]
struct PlaceNumbers(BTreeMap<String, u16>);

impl PlaceNumbers {
    fn number(&mut self, name: &str) -> u16 {
        let next = self.0.len() as u16;
        *self.0.entry(name.to_owned()).or_insert(next)
    }
}

/// What the placer's own start means for nodes that are warming up.
#[derive(Clone, Copy, Debug, Default)]
struct StartupState {
    started_at: Micros,
    /// Every offer of the former incarnation to a node that is warming up is known.
    slow_start_budgets_restored: bool,
    /// Until when nodes are waited for to report what they hold.
    reconcile_until: Micros,
}

/// What a new node list means for the connection to one node.
pub(crate) enum LinkChange {
    Connect(NodeNumber),
    /// It moved to another address.
    Reconnect(NodeNumber),
    /// It is in another zone, at the same address.
    ChangeZone(NodeNumber),
    /// It is no longer listed.
    Unlisted(NodeNumber),
}

/// What a new node list changes.
#[derive(Default)]
pub(crate) struct ListChanges {
    pub links: Vec<LinkChange>,
    /// Nodes whose names can't be told apart from others' by their machine ids.
    pub collisions: Vec<String>,
}

/// What a connection that was lost, or could not be made, was before.
pub(crate) struct LostLink {
    pub connection: u64,
    /// The handshake was done on it.
    pub was_up: bool,
    /// Operators know already that the node can't be reached, or need not know.
    pub is_expected: bool,
}

/// All nodes that were ever listed in this incarnation.
#[derive(Debug, Default)]
pub(crate) struct NodeRegistry {
    nodes: BTreeMap<NodeNumber, Node>,
    numbers: BTreeMap<String, NodeNumber>,
    machines: BTreeMap<MachineId, NodeNumber>,
    zones: PlaceNumbers,
    racks: PlaceNumbers,
    /// Names of the settings' kinds.
    kinds: Vec<String>,
    startup: StartupState,
    /// Revision of the node list; 0 where it has none.
    list_revision: u64,
    /// What a former incarnation learned of nodes that have not connected yet.
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

    /// Every offer of the former incarnation to a node that is warming up is known, or not.
    pub fn set_budgets_restored(&mut self, restored: bool) {
        self.startup.slow_start_budgets_restored = restored;
    }

    // ---- Reading ----

    pub fn get(&self, number: NodeNumber) -> Option<&Node> {
        self.nodes.get(&number)
    }

    /// All nodes, by their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (NodeNumber, &Node)> {
        self.nodes.iter().map(|(number, node)| (*number, node))
    }

    pub fn number(&self, name: &str) -> Option<NodeNumber> {
        self.numbers.get(name).copied()
    }

    pub fn by_machine(&self, machine: MachineId) -> Option<NodeNumber> {
        self.machines.get(&machine).copied()
    }

    /// The name of a node, as far as it is known.
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

    /// Whether this connection to a node is its last one, and is down.
    pub fn is_still_down(&self, number: NodeNumber, connection: u64) -> bool {
        self.get(number)
            .is_some_and(|node| node.connections == connection && !node.is_up())
    }

    /// The node's own incarnation, once known.
    pub fn incarnation(&self, number: NodeNumber) -> Option<u64> {
        self.get(number).and_then(Node::incarnation)
    }

    pub fn health_of(&self, name: &str) -> Option<Health> {
        self.get(self.number(name)?).map(Node::health)
    }

    pub fn kind_name(&self, kind: u16) -> &str {
        self.kinds.get(usize::from(kind)).map_or("", String::as_str)
    }

    pub const fn list_revision(&self) -> u64 {
        self.list_revision
    }

    /// Until when nodes are waited for to report what they hold.
    pub const fn reconcile_until(&self) -> Micros {
        self.startup.reconcile_until
    }

    /// Every listed node has reported what it holds since this placer started.
    pub fn all_reconciled(&self) -> bool {
        self.nodes
            .values()
            .filter(|node| node.listed)
            .all(|node| node.reconciled)
    }

    /// It has started lately, and bears little.
    pub fn is_warming_up(&self, number: NodeNumber, now: Micros, site: &Site) -> bool {
        let started_at = self.get(number).and_then(|node| node.started_at);
        started_at
            .zip(site.warm_after_us)
            .is_some_and(|(at, warm)| now < at.saturating_add(warm))
    }

    // ---- What is at a node ----

    pub fn add_attempt(&mut self, number: NodeNumber, id: AttemptId) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.attempts.insert(id);
        }
    }

    /// An attempt of a former incarnation was at this incarnation of a node, or at an older one.
    pub fn restore_attempt(&mut self, number: NodeNumber, id: AttemptId, incarnation: Option<u64>) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.attempts.insert(id);
            // A node that restarted since holds nothing of what it was given.
            node.incarnation = node.incarnation.max(incarnation);
        }
    }

    /// An attempt is closed. An unlisted node is disconnected with its last one.
    pub fn remove_attempt(&mut self, number: NodeNumber, id: AttemptId, cx: &mut Context) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.attempts.remove(&id);
            if !node.listed && node.attempts.is_empty() {
                self.disconnect(number, cx);
            }
        }
    }

    pub fn count_rejection(&mut self, number: NodeNumber, reason: RejectionReason) {
        if let Some(node) = self.nodes.get_mut(&number) {
            *node.rejections.entry(reason).or_default() += 1;
        }
    }

    /// A node that is warming up answered late, which counts until then.
    pub fn set_overdue_until(&mut self, number: NodeNumber, until: Micros) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.overdue_until = until;
        }
    }
}
