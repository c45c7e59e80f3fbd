//! The work of an idle placer: a change of the node list causes outputs only for the nodes that it concerns, and the
//! placer wakes up for the configuration agreement only if there is something to check.

mod configuration_world;

use configuration_world::{MS, World};
use reedring_core::event::Event;
use reedring_core::{Input, Output};
use reedring_node_protocol::{ConfigRequest, Message};
use reedring_plan::SuspendReason;

const SECOND: u64 = 1_000 * MS;

/// One placer that acts by plan 1 and its nodes, one second after a heartbeat to all nodes.
fn after_heartbeat(nodes: usize) -> World {
    let mut world = World::new(1, nodes);
    world.run_until_active(9, 31 * SECOND);
    assert_eq!(
        world.active_plans[0].0, 1,
        "the placer does not act by plan 1; events: {:?}",
        world.events
    );
    let before = world.messages;
    for _ in 0..12 {
        if world.messages == before {
            world.run_until_active(9, SECOND);
        }
    }
    assert!(
        world.messages > before,
        "no heartbeat within 12 s; next wake {:?}, events {:?}",
        world.cores[0].next_wake(),
        world.events
    );
    world.run_until_active(9, SECOND);
    world
}

/// The outputs of the placer until none are left.
fn outputs(world: &mut World) -> Vec<Output> {
    let now = world.now;
    world.cores[0].flush(now);
    std::iter::from_fn(|| world.cores[0].poll()).collect()
}

/// The outputs after a change of the node list that moves one node to another rack.
fn move_one_node_to_another_rack(nodes: usize) -> (World, Vec<Output>) {
    let mut world = after_heartbeat(nodes);
    world.node_list.revision += 1;
    world.node_list.nodes[1].rack = "another".to_owned();
    let (now, list) = (world.now, world.node_list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list));
    let outputs = outputs(&mut world);
    (world, outputs)
}

#[test]
fn a_change_of_one_rack_sends_nothing_to_nodes() {
    let (_, few) = move_one_node_to_another_rack(9);
    let (_, many) = move_one_node_to_another_rack(300);
    assert_eq!(
        few.len(),
        many.len(),
        "outputs with 9 nodes {few:?}, with 300 nodes {many:?}"
    );
    let not_to_a_node = |output: &&Output| {
        !matches!(
            output,
            Output::Send { .. } | Output::Connect { .. } | Output::Disconnect { .. }
        )
    };
    assert_eq!(
        many.iter().filter(not_to_a_node).count(),
        many.len(),
        "{many:?}"
    );
}

#[test]
fn the_next_heartbeat_sends_each_node_the_new_list_revision() {
    let (mut world, _) = move_one_node_to_another_rack(9);
    let mut revisions: Vec<u64> = Vec::new();
    let end = world.now + 11 * SECOND;
    while world.now < end && revisions.is_empty() {
        world.now = world.cores[0]
            .next_wake()
            .expect("the placer has a timer for its heartbeat")
            .max(world.now + MS);
        revisions = outputs(&mut world)
            .into_iter()
            .filter_map(|output| match output {
                Output::Send {
                    message: Message::ConfigRequest(ConfigRequest::Query { stamp }),
                    ..
                } => Some(stamp.list_revision),
                _ => None,
            })
            .collect();
    }
    assert!(
        revisions.len() > 4 && revisions.iter().all(|revision| *revision == 2),
        "{revisions:?}"
    );
}

#[test]
fn a_node_in_another_hall_changes_its_zone_and_keeps_its_link() {
    let mut world = after_heartbeat(9);
    world.node_list.nodes[1].hall = "north".to_owned();
    let (now, list) = (world.now, world.node_list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list.clone()));
    let changed = outputs(&mut world);
    let changes_zone = |output: &Output| matches!(output, Output::ChangeZone { node, zone } if node == "node-1" && zone == "north");
    assert_eq!(
        changed.iter().filter(|output| changes_zone(output)).count(),
        1,
        "{changed:?}"
    );
    let changes_link =
        |output: &&Output| matches!(output, Output::Connect { .. } | Output::Disconnect { .. });
    assert_eq!(
        changed.iter().filter(changes_link).count(),
        0,
        "{changed:?}"
    );
    // The same list again changes no zone.
    world.cores[0].handle(now, Input::NodeListChanged(list));
    assert!(!outputs(&mut world).iter().any(changes_zone));
}

/// How often the placer wakes within ten seconds in which it receives no messages.
fn count_wakes(world: &mut World) -> usize {
    let (end, mut wakes) = (world.now + 10 * SECOND, 0);
    while let Some(at) = world.cores[0]
        .next_wake()
        .map(|at| at.max(world.now + MS))
        .filter(|at| *at < end)
    {
        world.now = at;
        outputs(world);
        wakes += 1;
    }
    world.now = end;
    wakes
}

/// Every node sends the placer its acceptor report.
fn report_from_all_nodes(world: &mut World) {
    for (n, node) in world.nodes.iter().enumerate() {
        let input = Input::Message {
            node: format!("node-{n}"),
            message: Message::AcceptorReport(node.record(world.now)),
        };
        world.cores[0].handle(world.now, input);
    }
}

#[test]
fn an_isolated_placer_rarely_wakes_and_acts_again_once_nodes_report() {
    let mut world = after_heartbeat(9);
    // The placer receives no messages for 40 s, longer than its lease.
    for _ in 0..4 {
        count_wakes(&mut world);
    }
    let count = count_wakes(&mut world);
    assert!(
        count <= 4,
        "{count} wakes in ten seconds without any message, at most 4 are allowed"
    );
    // Reports that repeat what the nodes reported before make the placer act again within 200 ms.
    report_from_all_nodes(&mut world);
    let end = world.now + 200 * MS;
    let mut acts = false;
    while world.now < end && !acts {
        world.now += 10 * MS;
        acts = outputs(&mut world)
            .iter()
            .any(|output| matches!(output, Output::Event(Event::ConfigurationActive { .. })));
    }
    assert!(acts, "the placer does not act again within 200 ms");
}

#[test]
fn a_listed_node_that_never_connected_causes_few_wakes() {
    let mut world = after_heartbeat(9);
    let unconnected = reedring_settings::NodeEntry::at("node-99", ([127, 0, 0, 1], 9).into());
    world.node_list.nodes.push(unconnected);
    let (now, list) = (world.now, world.node_list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list));
    outputs(&mut world);
    let count = count_wakes(&mut world);
    assert!(
        count <= 6,
        "{count} wakes in ten seconds, at most 6 are allowed"
    );
}

#[test]
fn an_isolated_placer_suspends_dispatch_when_its_lease_ends() {
    const LEASE: u64 = 30 * SECOND;
    let mut world = after_heartbeat(9);
    report_from_all_nodes(&mut world);
    let (reported_at, mut stopped) = (world.now, None);
    while world.now < reported_at + 2 * LEASE && stopped.is_none() {
        world.now = world.cores[0]
            .next_wake()
            .expect("the placer has a timer for its lease")
            .max(world.now + MS);
        let stops = |output: &Output| {
            matches!(
                output,
                Output::Event(Event::DispatchSuspended {
                    reason: SuspendReason::NoQuorum,
                    ..
                })
            )
        };
        stopped = outputs(&mut world).iter().any(stops).then_some(world.now);
    }
    assert_eq!(stopped, Some(reported_at + LEASE));
}
