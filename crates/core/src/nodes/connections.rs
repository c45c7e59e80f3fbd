//! The connections to nodes: connect, handshake, the report of held tasks, and disconnect.

use reedring::Micros;
use reedring_node_protocol::InFlightTask;
use reedring_settings::Health;

use super::node::Link;
use super::{LostLink, Node, NodeRegistry};
use crate::context::Context;
use crate::ids::NodeNumber;
use crate::io::Output;

impl NodeRegistry {
    /// Asks the shell to connect to a node, unless there is a connection already.
    pub fn connect(&mut self, number: NodeNumber, cx: &mut Context) {
        // A node that was unlisted while it had attempts kept its connection. A second connection would void the messages
        // that are in flight on the first.
        let is_down = |node: &&Node| matches!(node.link, Link::NeverConnected | Link::Down);
        if let Some(node) = self.get(number).filter(is_down) {
            let (node, address, zone) = (node.name.clone(), node.address, node.entry.hall.clone());
            cx.output(Output::Connect {
                node,
                address,
                zone,
            });
        }
    }

    /// Asks the shell to close the connection to a node; no more messages may be sent on it.
    pub fn disconnect(&mut self, number: NodeNumber, cx: &mut Context) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.link = Link::Down;
            cx.output(Output::Disconnect {
                node: node.name.clone(),
            });
        }
    }

    /// Notifies the shell that a node is in another zone.
    pub fn change_zone(&mut self, number: NodeNumber, cx: &mut Context) {
        if let Some(node) = self.get(number) {
            let (node, zone) = (node.name.clone(), node.entry.hall.clone());
            cx.output(Output::ChangeZone { node, zone });
        }
    }

    /// Records a completed handshake. `up_ms` is the number of milliseconds since the node started. Returns whether the node
    /// is still the incarnation that was known before.
    pub fn handshake_done(
        &mut self,
        number: NodeNumber,
        now: Micros,
        incarnation: u64,
        up_ms: u64,
        can_suspend: bool,
    ) -> bool {
        let Some(node) = self.nodes.get_mut(&number) else {
            return false;
        };
        node.connections += 1;
        node.link = Link::Reconciling(Vec::new());
        node.can_suspend = can_suspend;
        node.confirm_incarnation(now, incarnation, up_ms)
    }

    /// Adds a page of the tasks that a node holds. Returns all of them with the last page, after which the node is up.
    pub fn add_held_tasks_page(
        &mut self,
        number: NodeNumber,
        page: Vec<InFlightTask>,
        last: bool,
    ) -> Option<Vec<InFlightTask>> {
        let node = self.nodes.get_mut(&number)?;
        let Link::Reconciling(held) = &mut node.link else {
            return None;
        };
        held.extend(page);
        if !last {
            return None;
        }
        let held = std::mem::take(held);
        node.link = Link::Up;
        node.reconciled = true;
        Some(held)
    }

    /// Records that the connection to a node was lost or could not be made. Returns its state before.
    pub fn connection_lost(&mut self, number: NodeNumber) -> Option<LostLink> {
        let node = self.nodes.get_mut(&number)?;
        let was_up = !matches!(node.link, Link::NeverConnected | Link::Down);
        let is_expected = node.health() != Health::Ready || matches!(node.link, Link::Down);
        node.link = Link::Down;
        Some(LostLink {
            connection: node.connections,
            was_up,
            is_expected,
        })
    }
}
