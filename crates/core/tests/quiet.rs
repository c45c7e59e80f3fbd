//! What a placer does while little happens: a change of the list concerns the nodes that it names, and looking at
//! plans waits for something to look at.

mod plans;

use plans::{MS, World};
use reedring_core::event::Event;
use reedring_core::{Input, Output};
use reedring_node_protocol::{ConfigRequest, Message};
use reedring_plan::SuspendReason;

const SECOND: u64 = 1_000 * MS;

/// One placer and its nodes, a moment after all nodes were asked whether they are there.
fn after_heartbeat(nodes: usize) -> World {
    let mut world = World::new(1, nodes);
    world.until_all(9, 31 * SECOND);
    assert_eq!(
        world.acts[0].0, 1,
        "it acts by the first plan: {:?}",
        world.events
    );
    let before = world.messages;
    for _ in 0..12 {
        if world.messages == before {
            world.until_all(9, SECOND);
        }
    }
    assert!(
        world.messages > before,
        "a heartbeat; {:?} {:?}",
        world.cores[0].next_wake(),
        world.events
    );
    world.until_all(9, SECOND);
    world
}

fn outputs(world: &mut World) -> Vec<Output> {
    let now = world.now;
    world.cores[0].flush(now);
    std::iter::from_fn(|| world.cores[0].poll()).collect()
}

/// What is put out for a list in which one node stands in another rack.
fn of_one_rack(nodes: usize) -> (World, Vec<Output>) {
    let mut world = after_heartbeat(nodes);
    world.list.revision += 1;
    world.list.nodes[1].rack = "another".to_owned();
    let (now, list) = (world.now, world.list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list));
    let told = outputs(&mut world);
    (world, told)
}

#[test]
fn a_change_of_one_rack_says_nothing_to_the_other_nodes() {
    let (_, few) = of_one_rack(9);
    let (_, many) = of_one_rack(300);
    assert_eq!(few.len(), many.len(), "{few:?} {many:?}");
    let concerns = |output: &&Output| {
        !matches!(
            output,
            Output::Send { .. } | Output::Connect { .. } | Output::Disconnect { .. }
        )
    };
    assert_eq!(many.iter().filter(concerns).count(), many.len(), "{many:?}");
}

#[test]
fn the_next_heartbeat_tells_each_node_the_new_revision() {
    let (mut world, _) = of_one_rack(9);
    let mut told: Vec<u64> = Vec::new();
    let end = world.now + 11 * SECOND;
    while world.now < end && told.is_empty() {
        world.now = world.cores[0]
            .next_wake()
            .expect("a heartbeat")
            .max(world.now + MS);
        told = outputs(&mut world)
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
        told.len() > 4 && told.iter().all(|list| *list == 2),
        "{told:?}"
    );
}

#[test]
fn a_node_in_another_hall_moves_zone_and_keeps_its_link() {
    let mut world = after_heartbeat(9);
    world.list.nodes[1].hall = "north".to_owned();
    let (now, list) = (world.now, world.list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list.clone()));
    let told = outputs(&mut world);
    let moves = |output: &Output| matches!(output, Output::ChangeZone { node, zone } if node == "node-1" && zone == "north");
    assert_eq!(
        told.iter().filter(|output| moves(output)).count(),
        1,
        "{told:?}"
    );
    let relinks =
        |output: &&Output| matches!(output, Output::Connect { .. } | Output::Disconnect { .. });
    assert_eq!(told.iter().filter(relinks).count(), 0, "{told:?}");
    // Told once: the same list again moves nothing.
    world.cores[0].handle(now, Input::NodeListChanged(list));
    assert!(!outputs(&mut world).iter().any(moves));
}

/// How often a placer that hears nobody wakes within ten seconds.
fn wakes(world: &mut World) -> usize {
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

/// Every node tells the placer what it keeps.
fn hear_all(world: &mut World) {
    for (n, node) in world.nodes.iter().enumerate() {
        let input = Input::Message {
            node: format!("node-{n}"),
            message: Message::AcceptorReport(node.record(world.now)),
        };
        world.cores[0].handle(world.now, input);
    }
}

#[test]
fn a_placer_that_hears_nobody_does_not_look_at_plans_over_and_over_and_comes_back_at_once() {
    let mut world = after_heartbeat(9);
    // Nothing reaches the placer for longer than its lease.
    for _ in 0..4 {
        wakes(&mut world);
    }
    let count = wakes(&mut world);
    assert!(
        count <= 4,
        "{count} looks in ten seconds, with nothing told"
    );
    // Nodes that tell what they had told before are heard within two looks.
    hear_all(&mut world);
    let end = world.now + 200 * MS;
    let mut acts = false;
    while world.now < end && !acts {
        world.now += 10 * MS;
        acts = outputs(&mut world)
            .iter()
            .any(|output| matches!(output, Output::Event(Event::ConfigurationActive { .. })));
    }
    assert!(acts, "it acts again");
}

#[test]
fn a_listed_node_that_was_never_met_does_not_keep_a_placer_busy() {
    let mut world = after_heartbeat(9);
    let unmet = reedring_settings::NodeEntry::at("node-99", ([127, 0, 0, 1], 9).into());
    world.list.nodes.push(unmet);
    let (now, list) = (world.now, world.list.clone());
    world.cores[0].handle(now, Input::NodeListChanged(list));
    outputs(&mut world);
    let count = wakes(&mut world);
    assert!(count <= 6, "{count} looks in ten seconds");
}

#[test]
fn a_placer_that_hears_nobody_sends_nothing_from_the_end_of_its_lease_on() {
    const LEASE: u64 = 30 * SECOND;
    let mut world = after_heartbeat(9);
    hear_all(&mut world);
    let (heard, mut stopped) = (world.now, None);
    while world.now < heard + 2 * LEASE && stopped.is_none() {
        world.now = world.cores[0]
            .next_wake()
            .expect("a look")
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
    assert_eq!(stopped, Some(heard + LEASE));
}
