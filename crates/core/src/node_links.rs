//! Changes of the node list and of connections to nodes, applied to the registry and to the attempts at the nodes.

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

/// The contents of a node's handshake, and the name of the node that was connected to.
pub(crate) struct NodeHandshake {
    /// The name in the node list of the node that was connected to.
    pub listed_as: String,
    /// The name that the node reports, which must be the same.
    pub reported_name: String,
    /// The node's own incarnation.
    pub incarnation: u64,
    /// Milliseconds since the node started.
    pub up_ms: u64,
    /// Whether the node can suspend tasks.
    pub can_suspend: bool,
}

/// Applies a complete node list. Returns whether it was applied: its revision must not be lower than that of the current one.
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
    lifecycle.retract_offers_to_unready_nodes(now);
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
            link_lost(lifecycle, now, number, "its listed address changed");
            lifecycle.nodes.connect(number, lifecycle.cx);
        }
        LinkChange::ChangeZone(number) => lifecycle.nodes.change_zone(number, lifecycle.cx),
        LinkChange::Unlisted(number) => node_unlisted(lifecycle, now, number),
    }
}

/// Handles a node that is no longer listed. Its attempts are awaited on its connection; if it is not connected, they are
/// given up.
fn node_unlisted(lifecycle: &mut JobLifecycle<'_>, now: Micros, number: NodeNumber) {
    let Some(node) = lifecycle.nodes.get(number) else {
        return;
    };
    if !node.has_attempts() {
        lifecycle.nodes.disconnect(number, lifecycle.cx);
    } else if !node.is_up() {
        lifecycle.close_unanswered_attempts(now, number);
    }
}

/// Handles a completed handshake. Returns the node's number, or `None` if the node is unknown or reports another name than
/// the listed one. The node reports the tasks that it holds next.
pub(crate) fn link_up(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    handshake: NodeHandshake,
) -> Option<NodeNumber> {
    let number = lifecycle.nodes.number(&handshake.listed_as)?;
    if handshake.reported_name != handshake.listed_as {
        let address = lifecycle.nodes.get(number).map(Node::address)?;
        let (node, reported) = (handshake.listed_as, handshake.reported_name);
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
    let NodeHandshake {
        incarnation,
        up_ms,
        can_suspend,
        ..
    } = handshake;
    if !lifecycle
        .nodes
        .handshake_done(number, now, incarnation, up_ms, can_suspend)
    {
        lifecycle.node_restarted(now, number);
    }
    Some(number)
}

/// Handles a page of the tasks that a node holds. Returns whether it was the last page.
pub(crate) fn holdings_reported(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    number: NodeNumber,
    page: Vec<InFlightTask>,
    last: bool,
) -> bool {
    let Some(held) = lifecycle.nodes.add_held_tasks_page(number, page, last) else {
        return false;
    };
    lifecycle.node_reconciled(now, number, held);
    lifecycle.nodes.announce(number, now, lifecycle.cx);
    true
}

/// Handles a connection to a node that was lost or could not be made.
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

/// Drains a node, or ends its drain, at an operator's request. The change is persisted.
///
/// # Errors
/// If there is no node of this name.
pub(crate) fn set_drained(
    lifecycle: &mut JobLifecycle<'_>,
    now: Micros,
    name: &str,
    drained: bool,
) -> Result<Answer> {
    let Some(number) = lifecycle.nodes.set_drained(name, drained) else {
        return Err(unknown_node_error(lifecycle, name));
    };
    lifecycle.queue.record(Change::Drain {
        node: name.to_owned(),
        draining: drained,
    });
    lifecycle.retract_offers_to_unready_nodes(now);
    lifecycle.constraints.nodes_changed(lifecycle.nodes);
    lifecycle.nodes.announce(number, now, lifecycle.cx);
    let node = name.to_owned();
    lifecycle.cx.log(match drained {
        true => Event::NodeDrained { node },
        false => Event::NodeUndrained { node },
    });
    Ok(Answer::Done)
}

fn unknown_node_error(lifecycle: &JobLifecycle<'_>, name: &str) -> Error {
    let known: Vec<&str> = lifecycle
        .nodes
        .iter()
        .map(|(_, node)| node.name())
        .collect();
    let suggestion = nearest(name, &known)
        .map(|near| format!("; did you mean `{near}`?"))
        .unwrap_or_default();
    Error::new(
        ErrorCode::InvalidArgument,
        format!("the list has no node `{name}`{suggestion}"),
    )
}
