//! Links to hosts: which hosts get one when links are scarce, and what is sent on it.

mod world;

use reedring_platform::Input;
use reedring_platform::decide::LinkEnd;
use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::client::{FromClient, PlacementRequest, ToClient};
use reedring_platform_protocol::host::ToHost;
use world::{CLASSES, MS, SECOND, World, host_entry, hosts, placement_request, watch_response};

#[test]
fn no_link_is_made_for_a_host_that_left_to_an_address_reused_by_another() {
    let mut world = World::new(9, &[host_entry("h-1", 1, "east", "active", 0)]);
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 1_000));
    world.run(50 * MS);
    let link = world.to_hosts[0].0;
    // Another host reuses its address.
    world.process_input(Input::DiscoveryUpdate(watch_response(
        2,
        false,
        &[
            host_entry("h-1", 1, "east", "left", 0),
            host_entry("h-2", 1, "east", "active", 5),
        ],
    )));
    let down = LinkEnd::Reset;
    world.process_input(Input::LinkDown {
        link,
        end: down,
        messages_begun: 1,
    });
    assert_eq!(
        world.outcomes[&1].task_ends, 1,
        "the tasks of a host that left must be lost"
    );
    let made = world.engine.sizes().links;
    assert_eq!(made, 0, "no link may be made to the former address of h-1");
    world.send_request(conn, placement_request(2, "play", 1_000));
    world.run(50 * MS);
    assert_eq!(world.outcomes[&2].answers, 1);
}

/// The client hands over one running task at each of these hosts.
fn hand_over(world: &mut World, conn: u64, hosts: std::ops::RangeInclusive<u16>) {
    for n in hosts {
        world.send_request(
            conn,
            PlacementRequest {
                runs_at: Some(format!("h-{n}")),
                ..placement_request(u64::from(n), "play", 4_294_967)
            },
        );
    }
    world.run(SECOND);
}

/// Whether the ends of the tasks 1 to `count` were all sent to clients.
fn all_ends_sent(world: &World, count: u16) -> bool {
    let is_sent = |id: u64| {
        world
            .to_clients
            .iter()
            .any(|(_, m)| matches!(m, ToClient::Release { id: ended, .. } if *ended == id))
    };
    (1..=u64::from(count)).all(is_sent)
}

/// Guards against spare links that take the places of links to hosts with tasks.
#[test]
fn every_host_with_tasks_keeps_a_link_while_the_limit_allows_it() {
    let mut world = World::new(23, &hosts(22));
    let conn = world.connect_client();
    for id in 100..200 {
        world.send_request(conn, placement_request(id, CLASSES[id as usize % 3], 1_000));
    }
    world.run(SECOND);
    hand_over(&mut world, conn, 1..=22);
    (1..=22).for_each(|n| world.finish_task(u64::from(n), n));
    assert!(all_ends_sent(&world, 22), "all ends must be sent at once");
}

/// Guards against late ends: with tasks at more hosts than there are descriptors, an end was sent 6 s too late.
#[test]
fn ends_at_more_hosts_than_links_are_sent_within_eight_seconds() {
    // Short of descriptors, the placer gives closed links up before their hosts have closed them.
    for closed_link_end in [LinkEnd::Closed, LinkEnd::Incomplete] {
        ends_at_more_hosts_than_links(closed_link_end);
    }
}

fn ends_at_more_hosts_than_links(closed_link_end: LinkEnd) {
    let mut world = World::new(24, &hosts(100));
    world.closed_link_end = closed_link_end;
    let conn = world.connect_client();
    hand_over(&mut world, conn, 1..=100);
    let made = world.links_made;
    world.run(10 * SECOND);
    // Each host is connected to every 3.5 s at most.
    let made = world.links_made - made;
    assert!(made <= 300, "{closed_link_end:?}: {made} links were made");
    assert!(world.engine.sizes().links <= world.max_links());
    (1..=100).for_each(|n| world.finish_task(u64::from(n), n));
    for id in 200..216 {
        // Requests need links in the meantime.
        world.send_request(conn, placement_request(id, "play", 1_000));
        world.run(500 * MS);
        assert!(world.engine.sizes().links <= world.max_links());
    }
    assert!(
        all_ends_sent(&world, 100),
        "{} requests are open",
        world.engine.sizes().requests
    );
    assert!(
        (200..216).all(|id| world.outcomes[&id].answers == 1),
        "every request must be answered although links are scarce"
    );
}

/// An attempt is given up while it waits for a link: it must not reach its host when the link comes up, as the next
/// attempt may be in flight elsewhere, and it counts as never run.
#[test]
fn an_attempt_given_up_while_it_waits_for_a_link_is_never_sent() {
    let mut world = World::new(25, &hosts(2));
    let conn = world.connect_client();
    world.connect_delay = Some(900 * MS);
    world.send_request(conn, placement_request(1, "print", 3_000));
    let links = world.all_links();
    assert_eq!(links.len(), 1);
    // The client cancels the first request, and the second one reaches its deadline.
    world.process_input(Input::ClientMessage(
        conn,
        Ok(FromClient::Release {
            id: 1,
            cause: GIVEN_UP,
        }),
    ));
    world.send_request(conn, placement_request(2, "print", 300));
    world.run(3 * SECOND);
    let requests_sent = world
        .to_hosts
        .iter()
        .filter(|(_, m)| matches!(m, ToHost::PlacementRequest { .. }))
        .count();
    assert_eq!(
        (requests_sent, world.to_hosts.len()),
        (0, 0),
        "{:?}",
        world.to_hosts
    );
    assert_eq!(
        world.outcomes[&2].refusals, 1,
        "the request was never sent, so it must be refused and not failed"
    );
    assert_eq!(world.engine.sizes().requests, 0);
}

/// The host starts to drain while an attempt waits for a link. It must not be sent when the link comes up, as the grace
/// period of the drain may be over.
#[test]
fn an_attempt_that_waits_for_a_link_is_not_sent_to_a_draining_host() {
    for is_resend in [false, true] {
        let mut world = World::new(26, &hosts(1));
        let conn = world.connect_client();
        world.connect_delay = (!is_resend).then_some(900 * MS);
        world.send_request(conn, placement_request(1, "print", 3_000));
        if is_resend {
            // Its link is closed before a byte of it was written, so it waits for another link.
            world.run(10 * MS);
            world.hosts_ignore_releases = true;
            world.send_request(conn, placement_request(2, "print", 3_000));
            world.connect_failure = Some(LinkEnd::Closed);
        }
        world.process_input(Input::DiscoveryUpdate(watch_response(
            2,
            false,
            &[host_entry("h-1", 1, "west", "leaving", 0)],
        )));
        let before = world.to_hosts.len();
        for link in world.open_links() {
            world.process_input(Input::LinkDown {
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
            "is_resend {is_resend}: {after:?}"
        );
    }
}

/// Guards against closing a link to free its place for one to a host that is not in the endpoint list, which can't be
/// connected.
#[test]
fn no_link_is_closed_for_one_to_an_unknown_host() {
    let mut world = World::new(29, &hosts(24));
    let conn = world.connect_client();
    hand_over(&mut world, conn, 1..=24);
    let up = world.open_links();
    assert_eq!(up.len(), world.max_links());
    world.send_request(
        conn,
        PlacementRequest {
            runs_at: Some("h-nowhere".to_owned()),
            ..placement_request(30, "play", 4_294_967)
        },
    );
    world.process_input(Input::ClientMessage(
        conn,
        Ok(FromClient::Release {
            id: 30,
            cause: GIVEN_UP,
        }),
    ));
    assert_eq!(world.open_links(), up);
}
