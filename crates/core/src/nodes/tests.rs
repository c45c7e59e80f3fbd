use reedring_settings::NodeList;

use super::*;
use crate::test_support::{START, connect, context, entry, outputs, registry};

const NODE: NodeNumber = NodeNumber(0);

fn list(revision: u64, nodes: Vec<reedring_settings::NodeEntry>) -> NodeList {
    NodeList { revision, nodes }
}

#[test]
fn a_list_of_a_lower_revision_is_rejected_and_changes_nothing() {
    let mut nodes = registry(&["node-0"]);
    assert_eq!(nodes.apply_list(list(0, Vec::new())).err(), Some(1));
    assert!(nodes.get(NODE).is_some_and(Node::is_listed));
}

#[test]
fn each_kind_of_list_change_yields_its_link_change() {
    let mut nodes = registry(&["node-0", "node-1", "node-2"]);
    let mut moved = entry("node-0");
    moved.address = ([127, 0, 0, 1], 7_001).into();
    let mut other_zone = entry("node-1");
    other_zone.hall = "b".to_owned();
    let changes = nodes
        .apply_list(list(2, vec![moved, other_zone, entry("node-3")]))
        .ok()
        .unwrap();
    assert!(matches!(
        changes.links[..],
        [
            LinkChange::Unlisted(NodeNumber(2)),
            LinkChange::Reconnect(NodeNumber(0)),
            LinkChange::ChangeZone(NodeNumber(1)),
            LinkChange::Connect(NodeNumber(3)),
        ]
    ));
}

#[test]
fn a_node_is_announced_once_it_is_connected_and_again_when_it_changes() {
    let (mut nodes, mut cx) = (registry(&["node-0"]), context());
    nodes.announce_all(START, &mut cx);
    assert_eq!(
        cx.take_module_events().len(),
        0,
        "the node was never connected"
    );
    connect(&mut nodes, NODE);
    nodes.announce_all(START, &mut cx);
    nodes.announce(NODE, START, &mut cx);
    assert_eq!(
        cx.take_module_events().len(),
        1,
        "the second announcement has no change and is not sent"
    );
    assert_eq!(nodes.set_drained("node-0", true), Some(NODE));
    nodes.announce(NODE, START, &mut cx);
    assert_eq!(cx.take_module_events().len(), 1);
}

#[test]
fn an_unlisted_node_is_disconnected_with_its_last_attempt() {
    let (mut nodes, mut cx) = (registry(&["node-0"]), context());
    let ids = [1, 2].map(|request| AttemptId {
        request: reedring::RequestId(request),
        number: 0,
    });
    ids.iter().for_each(|id| nodes.add_attempt(NODE, *id));
    assert!(nodes.apply_list(list(2, Vec::new())).is_ok());
    nodes.remove_attempt(NODE, ids[0], &mut cx);
    assert!(outputs(&mut cx).is_empty());
    nodes.remove_attempt(NODE, ids[1], &mut cx);
    assert_eq!(outputs(&mut cx).len(), 1);
}

#[test]
fn a_timer_of_an_older_connection_is_ignored() {
    let mut nodes = registry(&["node-0"]);
    connect(&mut nodes, NODE);
    let lost = nodes.connection_lost(NODE).unwrap();
    assert!(lost.was_up && !lost.is_expected);
    assert!(nodes.is_still_down(NODE, lost.connection));
    connect(&mut nodes, NODE);
    assert!(nodes.connection_lost(NODE).is_some());
    assert!(!nodes.is_still_down(NODE, lost.connection));
}
