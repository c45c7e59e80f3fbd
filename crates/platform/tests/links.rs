//! Connections to hosts: who gets one while places are scarce, and what leaves on it.

mod world;

use reedring_platform::Input;
use reedring_platform::decide::LinkEnd;
use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::client::{FromClient, PlacementRequest, ToClient};
use reedring_platform_protocol::host::ToHost;
use world::{CLASSES, MS, SECOND, World, hosts, line, setup, told};

#[test]
fn the_address_of_a_host_that_left_is_not_connected_to_for_it() {
    let mut world = World::new(9, &[line("h-1", 1, "east", "active", 0)]);
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 1_000));
    world.run(50 * MS);
    let link = world.to_hosts[0].0;
    // Another host takes its address.
    world.tell(Input::DiscoveryUpdate(told(
        2,
        false,
        &[
            line("h-1", 1, "east", "left", 0),
            line("h-2", 1, "east", "active", 5),
        ],
    )));
    let down = LinkEnd::Reset;
    world.tell(Input::LinkDown {
        link,
        end: down,
        messages_begun: 1,
    });
    assert_eq!(world.heard[&1].ends, 1, "its tasks are over with it");
    let made = world.engine.sizes().links;
    assert_eq!(made, 0, "nothing is at h-1's address that concerns it");
    world.ask(conn, setup(2, "play", 1_000));
    world.run(50 * MS);
    assert_eq!(world.heard[&2].answers, 1);
}

/// Tasks that stand at these hosts are handed over.
fn hand_over(world: &mut World, conn: u64, hosts: std::ops::RangeInclusive<u16>) {
    for n in hosts {
        world.ask(
            conn,
            PlacementRequest {
                runs_at: Some(format!("h-{n}")),
                ..setup(u64::from(n), "play", 4_294_967)
            },
        );
    }
    world.run(SECOND);
}

/// Whether a client was told the ends of all of these tasks.
fn told_all(world: &World, count: u16) -> bool {
    let told = |id: u64| {
        world
            .to_clients
            .iter()
            .any(|(_, m)| matches!(m, ToClient::Release { id: told, .. } if *told == id))
    };
    (1..=u64::from(count)).all(told)
}

/// Seen on calm+mass: connections made ahead held the places of those to hosts with tasks.
#[test]
fn every_host_with_tasks_keeps_a_connection_while_there_are_places() {
    let mut world = World::new(23, &hosts(22));
    let conn = world.connect();
    for id in 100..200 {
        world.ask(conn, setup(id, CLASSES[id as usize % 3], 1_000));
    }
    world.run(SECOND);
    hand_over(&mut world, conn, 1..=22);
    (1..=22).for_each(|n| world.finish(u64::from(n), n));
    assert!(told_all(&world, 22), "all at once");
}

/// Seen on calm+mass: with tasks at more hosts than descriptors, an end was told 6 s after its time.
#[test]
fn ends_at_more_hosts_than_descriptors_are_told_within_eight_seconds() {
    let mut world = World::new(24, &hosts(100));
    let conn = world.connect();
    hand_over(&mut world, conn, 1..=100);
    world.run(10 * SECOND);
    assert!(world.engine.sizes().links <= world.most_links());
    (1..=100).for_each(|n| world.finish(u64::from(n), n));
    for id in 200..216 {
        // Offers need places meanwhile.
        world.ask(conn, setup(id, "play", 1_000));
        world.run(500 * MS);
        assert!(world.engine.sizes().links <= world.most_links());
    }
    assert!(
        told_all(&world, 100),
        "{} are open",
        world.engine.sizes().requests
    );
    assert!(
        (200..216).all(|id| world.heard[&id].answers == 1),
        "and no offer ended for want of a place"
    );
}

/// A set-up that waits for a connection to stand is taken back with its attempt: it must not reach its host while the
/// next one is out elsewhere, and it never ran.
#[test]
fn what_waits_for_a_connection_never_leaves_once_it_is_given_up() {
    let mut world = World::new(25, &hosts(2));
    let conn = world.connect();
    world.slow = Some(900 * MS);
    world.ask(conn, setup(1, "print", 3_000));
    let asked = world.asked_links();
    assert_eq!(asked.len(), 1);
    // Its client does not wait for it, and neither does a second one whose time ends.
    world.tell(Input::ClientMessage(
        conn,
        Ok(FromClient::Release {
            id: 1,
            cause: GIVEN_UP,
        }),
    ));
    world.ask(conn, setup(2, "print", 300));
    world.run(3 * SECOND);
    let setups = world
        .to_hosts
        .iter()
        .filter(|(_, m)| matches!(m, ToHost::PlacementRequest { .. }))
        .count();
    assert_eq!(
        (setups, world.to_hosts.len()),
        (0, 0),
        "{:?}",
        world.to_hosts
    );
    assert_eq!(
        world.heard[&2].refusals, 1,
        "it never left, so asking again is harmless"
    );
    assert_eq!(world.engine.sizes().requests, 0);
}

/// Connections that come up late carry nothing to a host that was told to drain meanwhile: the grace may be over.
#[test]
fn what_waits_for_a_connection_does_not_leave_for_a_host_that_drains() {
    for again in [false, true] {
        let mut world = World::new(26, &hosts(1));
        let conn = world.connect();
        world.slow = (!again).then_some(900 * MS);
        world.ask(conn, setup(1, "print", 3_000));
        if again {
            // It crossed the close of its connection; not a byte of it left.
            world.run(10 * MS);
            world.deaf = true;
            world.ask(conn, setup(2, "print", 3_000));
            world.connects = Some(LinkEnd::Closed);
        }
        world.tell(Input::DiscoveryUpdate(told(
            2,
            false,
            &[line("h-1", 1, "west", "leaving", 0)],
        )));
        let before = world.to_hosts.len();
        for link in world.links_up() {
            world.tell(Input::LinkDown {
                link,
                end: LinkEnd::Closed,
                messages_begun: 0,
            });
        }
        world.run(2 * SECOND);
        let after = &world.to_hosts[before..];
        assert!(
            !after
                .iter()
                .any(|(_, m)| matches!(m, ToHost::PlacementRequest { .. })),
            "{again}: {after:?}"
        );
    }
}

/// Found on rereading: a connection made room for one to a host that no line names, which can't be made.
#[test]
fn nothing_makes_room_for_a_connection_that_cannot_be_made() {
    let mut world = World::new(29, &hosts(24));
    let conn = world.connect();
    hand_over(&mut world, conn, 1..=24);
    let up = world.links_up();
    assert_eq!(up.len(), world.most_links());
    world.ask(
        conn,
        PlacementRequest {
            runs_at: Some("h-nowhere".to_owned()),
            ..setup(30, "play", 4_294_967)
        },
    );
    world.tell(Input::ClientMessage(
        conn,
        Ok(FromClient::Release {
            id: 30,
            cause: GIVEN_UP,
        }),
    ));
    assert_eq!(world.links_up(), up);
}
