//! Hosts that hold tasks: when these are lost, and when the host is connected to.

mod world;

use reedring_platform::Input;
use reedring_platform::decide::LinkEnd;
use reedring_platform_protocol::client::{FromClient, PlacementRequest, ToClient};
use reedring_platform_protocol::{CUT, GIVEN_UP};
use world::{MS, SECOND, World, end, hosts, line, setup, told};

#[test]
fn a_process_that_started_anew_has_lost_what_the_old_one_held() {
    let mut world = World::new(10, &[line("h-1", 1, "east", "active", 0)]);
    let conn = world.connect();
    world.ask(conn, setup(1, "print", 1_000));
    world.run(50 * MS);
    let born = world.now / 1_000 + 5;
    world.run(20 * MS);
    world.tell(Input::DiscoveryUpdate(told(
        2,
        false,
        &[line("h-1", 1, "east", "active", born)],
    )));
    assert_eq!(world.heard[&1].ends, 1);
    assert!(matches!(
        world.to_clients.last(),
        Some((
            _,
            ToClient::Release {
                id: 1,
                cause: CUT,
                ..
            }
        ))
    ));
}

/// A world in which two tasks stand at h-1, whose connections are `links`.
fn standing() -> (World, Vec<u64>) {
    let mut world = World::new(20, &[line("h-1", 1, "east", "active", 0)]);
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 1_000));
    world.ask(conn, setup(2, "print", 1_000));
    world.run(60 * MS);
    assert_eq!(world.engine.sizes().requests, 2);
    let links: Vec<u64> = world.to_hosts.iter().map(|(link, _)| *link).collect();
    (world, links)
}

fn ends(world: &World) -> u32 {
    world.heard.values().map(|heard| heard.ends).sum()
}

#[test]
fn a_host_that_leaves_refuses_connections_and_holds_its_tasks() {
    let (mut world, links) = standing();
    world.connects = Some(LinkEnd::Refused);
    world.tell(Input::DiscoveryUpdate(told(
        2,
        false,
        &[line("h-1", 1, "east", "leaving", 0)],
    )));
    world.run(5 * SECOND);
    assert_eq!(ends(&world), 0, "refusals alone are no sign");
    world.tell(Input::HostMessage(links[0], end(1)));
    assert_eq!(ends(&world), 1);
    // It closes those that are idle; that is no sign either.
    world.tell(Input::LinkDown {
        link: links[1],
        end: LinkEnd::Closed,
        messages_begun: 1,
    });
    world.run(SECOND);
    assert_eq!(ends(&world), 1);
    // Once one is reset, its process is gone; others may stay open and silent.
    world.tell(Input::LinkDown {
        link: links[0],
        end: LinkEnd::Reset,
        messages_begun: 1,
    });
    world.run(SECOND);
    assert_eq!(ends(&world), 2);
}

/// Found on a recorded day: ends at a leaving host could not be heard on its open connections.
#[test]
fn tasks_of_a_host_that_left_or_fell_silent_are_over_within_eight_seconds() {
    for left in [false, true] {
        let (mut world, _) = standing();
        world.connects = Some(LinkEnd::Refused);
        world.tell(Input::DiscoveryUpdate(told(
            2,
            false,
            &[line("h-1", 1, "east", "leaving", 0)],
        )));
        if left {
            world.tell(Input::DiscoveryUpdate(told(
                3,
                false,
                &[line("h-1", 1, "east", "left", 0)],
            )));
        } else {
            world.run(7_500 * MS);
        }
        assert_eq!(ends(&world), 2, "{left}");
    }
}

#[test]
fn tasks_of_a_machine_that_vanished_are_over_within_eight_seconds() {
    let (mut world, _) = standing();
    world.connects = Some(LinkEnd::ConnectFailed);
    world.run(5 * SECOND);
    assert_eq!(ends(&world), 0, "a cut may be short");
    world.run(2_800 * MS);
    assert_eq!(ends(&world), 2);
}

#[test]
fn a_connection_that_broke_is_no_end_where_the_host_answers() {
    let (mut world, links) = standing();
    for link in links {
        world.tell(Input::LinkDown {
            link,
            end: LinkEnd::Reset,
            messages_begun: 1,
        });
    }
    world.run(20 * SECOND);
    assert_eq!(ends(&world), 0);
    assert!(world.engine.sizes().links > 0, "its ends are to be heard");
}

#[test]
fn a_task_at_a_host_that_no_list_names_is_over_in_time() {
    let mut world = World::new(21, &hosts(1));
    let conn = world.connect();
    world.ask(
        conn,
        PlacementRequest {
            runs_at: Some("h-9".to_owned()),
            ..setup(5, "print", 4_294_967)
        },
    );
    world.run(5 * SECOND);
    assert!(world.to_clients.is_empty(), "the list may lag");
    world.run(2_800 * MS);
    assert!(matches!(
        world.to_clients[..],
        [(
            _,
            ToClient::Release {
                id: 5,
                cause: CUT,
                ..
            }
        )]
    ));
    assert_eq!(
        (world.engine.sizes().requests, world.engine.sizes().hosts),
        (0, 1)
    );
}

#[test]
fn a_task_that_its_client_ended_is_forgotten_though_its_host_says_nothing() {
    let (mut world, _) = standing();
    let conn = *world.clients.first().unwrap();
    world.deaf = true;
    world.tell(Input::ClientMessage(
        conn,
        Ok(FromClient::Release {
            id: 1,
            cause: GIVEN_UP,
        }),
    ));
    world.run(6 * SECOND);
    assert_eq!(world.engine.sizes().requests, 1);
    assert_eq!(ends(&world), 0, "who ended it is owed nothing");
}

#[test]
fn a_whole_list_replaces_the_one_before_and_numbers_never_go_back() {
    let (mut world, _) = standing();
    let line = |id, port| line(id, port, "east", "active", 0);
    world.tell(Input::DiscoveryUpdate(told(5, true, &[line("h-2", 2)])));
    assert_eq!(
        (ends(&world), world.engine.discovery_revision()),
        (2, 5),
        "h-1 is gone with all that it held"
    );
    world.tell(Input::DiscoveryUpdate(told(4, false, &[line("h-3", 3)])));
    world.run(4 * SECOND);
    assert_eq!(
        (
            world.engine.discovery_revision(),
            world.engine.sizes().hosts
        ),
        (5, 1),
        "h-3 was told of before"
    );
}

#[test]
fn idle_connections_are_closed_before_their_hosts_do_but_where_tasks_stand() {
    let mut world = World::new(22, &[line("h-1", 1, "east", "active", 0)]);
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 1_000));
    world.run(60 * MS);
    world.ask(conn, setup(2, "play", 1_000));
    world.run(60 * MS);
    assert_eq!(world.engine.sizes().links, 2, "one in use, one ahead");
    world.run(40 * SECOND);
    assert_eq!(world.engine.sizes().links, 1, "the ends are to be heard");
    let link = world.links_up()[0];
    world.tell(Input::HostMessage(link, end(1)));
    world.tell(Input::HostMessage(link, end(2)));
    world.run(40 * SECOND);
    assert_eq!((world.engine.sizes().links, ends(&world)), (0, 2));
}
