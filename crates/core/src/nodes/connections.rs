//! Connections to nodes, and the handshakes on them.

use reedring::Micros;
use reedring_node_protocol::InFlightTask;
use reedring_settings::Health;

use super::node::Link;
use super::{LostLink, Node, NodeRegistry};
use crate::context::Context;
use crate::ids::NodeNumber;
use crate::io::Output;

impl NodeRegistry {
    /// Has the shell connect to a node.
    pub fn connect(&mut self, number: NodeNumber, cx: &mut Context) {
        // A node that was unlisted with tasks kept its connection; another would void what is sent on it now.
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

    /// Has the shell end the connection to a node; nothing may be sent on it any more.
    pub fn disconnect(&mut self, number: NodeNumber, cx: &mut Context) {
        if let Some(node) = self.nodes.get_mut(&number) {
            node.link = Link::Down;
            cx.output(Output::Disconnect {
                node: node.name.clone(),
            });
        }
    }

    /// Tells the shell of another zone of a node.
    pub fn change_zone(&mut self, number: NodeNumber, cx: &mut Context) {
        if let Some(node) = self.get(number) {
            let (node, zone) = (node.name.clone(), node.entry.hall.clone());
            cx.output(Output::ChangeZone { node, zone });
        }
    }

    /// The handshake with a node is done; whether it is still the incarnation that was known before.
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

    /// Takes in a part of what a node holds; all of it, once it was the last part.
    pub fn holdings_page(
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

    /// The connection to a node was lost, or could not be made.
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
