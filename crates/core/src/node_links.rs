//! The node list and the connections to nodes: what a change of either means for the registry and for attempts.

use reedring::Micros;
use reedring_drmaa::rpc::Answer;
use reedring_drmaa::template::nearest;
use reedring_drmaa::{Error, ErrorCode, Result};
use reedring_node_protocol::InFlightTask;
use reedring_settings::NodeList;
use reedring_state::Change;

use crate::event::Event;
use crate::ids::NodeNumber;
use crate::lifecycle::JobLifecycle;
use crate::nodes::{LinkChange, ListChanges, Node};
use crate::timers::Timer;

/// What a node says of itself in its handshake.
pub(crate) struct NodeHello {
    /// The name under which it is listed.
    pub listed_as: String,
    /// Its own name, which must be the same.
    pub reported_name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Milliseconds since its start.
    pub up_ms: u64,
    pub can_suspend: bool,
}

/// Takes a whole node list in; whether it was newer than the known one.
pub(crate) fn node_list_changed(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    list: NodeList,
) -> bool {
    let revision = list.revision;
    let changes = match lifecycle.nodes.apply_list(list) {
        Ok(changes) => changes,
        Err(known_revision) => {
            lifecycle.cx.log(Event::NodeListOutdated {
                revision,
                known_revision,
            });
            return false;
        }
    };
    lifecycle.constraints.nodes_changed(lifecycle.nodes);
    lifecycle.blocks.nodes_changed();
    lifecycle.retract_offers_to_closed_nodes(now);
    let ListChanges { links, collisions } = changes;
    for node in collisions {
        lifecycle.cx.log(Event::NodeNameCollision { node });
    }
    for link in links {
        apply_link_change(lifecycle, now, link);
    }
    lifecycle.nodes.announce_all(now, lifecycle.cx);
    true
}

fn apply_link_change(lifecycle: &mut JobLifecycle<'_>, now: Micros, link: LinkChange) {
    match link {
        LinkChange::Connect(number) => lifecycle.nodes.connect(number, lifecycle.cx),
        LinkChange::Reconnect(number) => {
            link_lost(lifecycle, now, number, "it moved to another address");
            lifecycle.nodes.connect(number, lifecycle.cx);
        }
        LinkChange::ChangeZone(number) => lifecycle.nodes.change_zone(number, lifecycle.cx),
        LinkChange::Unlisted(number) => node_unlisted(lifecycle, now, number),
    }
}

/// A node is no longer listed: what it holds is awaited on its connection, and given up where there is none.
fn node_unlisted(lifecycle: &mut JobLifecycle<'_>, now: Micros, number: NodeNumber) {
    let Some(node) = lifecycle.nodes.get(number) else {
        return;
    };
    if !node.has_attempts() {
        lifecycle.nodes.disconnect(number, lifecycle.cx);
    } else if !node.is_up() {
        lifecycle.node_unanswered(now, number);
    }
}

/// The handshake with a node is done; the node, if it is the right one. It reports next what it holds.
pub(crate) fn link_up(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    hello: NodeHello,
) -> Option<NodeNumber> {
    let number = lifecycle.nodes.number(&hello.listed_as)?;
    if hello.reported_name != hello.listed_as {
        let address = lifecycle.nodes.get(number).map(Node::address)?;
        let (node, reported) = (hello.listed_as, hello.reported_name);
        lifecycle.cx.log(Event::NodeNameMismatch {
            node,
            address,
            reported,
        });
        lifecycle.nodes.disconnect(number, lifecycle.cx);
        lifecycle.nodes.announce(number, now, lifecycle.cx);
        return None;
    }
    lifecycle.queue.connection_changed(number);
    let NodeHello {
        incarnation,
        up_ms,
        can_suspend,
        ..
    } = hello;
    if !lifecycle
        .nodes
        .handshake_done(number, now, incarnation, up_ms, can_suspend)
    {
        lifecycle.node_restarted(now, number);
    }
    Some(number)
}

/// Takes in a part of what a node holds; whether that was the last part.
pub(crate) fn holdings_reported(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: NodeNumber,
    page: Vec<InFlightTask>,
    last: bool,
) -> bool {
    let Some(held) = lifecycle.nodes.holdings_page(number, page, last) else {
        return false;
    };
    lifecycle.node_reconciled(now, number, held);
    lifecycle.nodes.announce(number, now, lifecycle.cx);
    true
}

/// The connection to a node was lost, or could not be made.
pub(crate) fn link_down(lifecycle: &mut JobLifecycle<'_>, now: Micros, name: &str, reason: &str) {
    if let Some(number) = lifecycle.nodes.number(name) {
        link_lost(lifecycle, now, number, reason);
    }
}

fn link_lost(lifecycle: &mut JobLifecycle<'_>, now: Micros, node: NodeNumber, reason: &str) {
    lifecycle.queue.connection_changed(node);
    let Some(lost) = lifecycle.nodes.connection_lost(node) else {
        return;
    };
    if lost.was_up {
        let links = &lifecycle.cx.settings().links;
        let (reattach, lost_after) = (links.reattach_us, links.lost_after_us);
        let connection = lost.connection;
        lifecycle
            .cx
            .set_timer(now + reattach, Timer::ReattachTimeout { node, connection });
        lifecycle
            .cx
            .set_timer(now + lost_after, Timer::NodeLost { node, connection });
    }
    if !lost.is_expected {
        let name = lifecycle.nodes.name(node);
        lifecycle.cx.log(Event::NodeDisconnected {
            node: name,
            reason: reason.to_owned(),
        });
    }
    lifecycle.nodes.announce(node, now, lifecycle.cx);
}

/// An operator drains a node, or no longer does.
pub(crate) fn set_drained(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    name: &str,
    drained: bool,
) -> Result<Answer> {
    let Some(number) = lifecycle.nodes.set_drained(name, drained) else {
        return Err(unknown_node(lifecycle, name));
    };
    lifecycle.queue.record(Change::Drain {
        node: name.to_owned(),
        draining: drained,
    });
    lifecycle.retract_offers_to_closed_nodes(now);
    lifecycle.constraints.nodes_changed(lifecycle.nodes);
    lifecycle.nodes.announce(number, now, lifecycle.cx);
    let node = name.to_owned();
    lifecycle.cx.log(match drained {
        true => Event::NodeDrained { node },
        false => Event::NodeUndrained { node },
    });
    Ok(Answer::Done)
}

fn unknown_node(lifecycle: &JobLifecycle<'_>, name: &str) -> Error {
    let known: Vec<&str> = lifecycle
        .nodes
        .iter()
        .map(|(_, node)| node.name())
        .collect();
    let near = nearest(name, &known)
        .map(|near| format!("; did you mean `{near}`?"))
        .unwrap_or_default();
    Error::new(
        ErrorCode::InvalidArgument,
        format!("the list has no node `{name}`{near}"),
    )
}
