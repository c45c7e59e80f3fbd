//! Hosts that run tasks: when their tasks are declared lost, and when links to them are kept or made.

mod world;

use reedring_platform::Input;
use reedring_platform::decide::LinkEnd;
use reedring_platform_protocol::client::{FromClient, PlacementRequest, ToClient};
use reedring_platform_protocol::host::{FromHost, ToHost};
use reedring_platform_protocol::{FAILED, GIVEN_UP};
use world::{MS, SECOND, World, host_entry, hosts, placement_request, task_end, watch_response};

#[test]
fn tasks_of_a_host_that_restarted_are_lost() {
    let mut world = World::new(10, &[host_entry("h-1", 1, "east", "active", 0)]);
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "print", 1_000));
    world.run(50 * MS);
    let born = world.now / 1_000 + 5;
    world.run(20 * MS);
    world.process_input(Input::DiscoveryUpdate(watch_response(
        2,
        false,
        &[host_entry("h-1", 1, "east", "active", born)],
    )));
    assert_eq!(world.outcomes[&1].task_ends, 1);
    assert!(matches!(
        world.to_clients.last(),
        Some((
            _,
            ToClient::Release {
                id: 1,
                cause: FAILED,
                ..
            }
        ))
    ));
}

/// A world in which two tasks run at h-1, and the links on which messages were sent to it.
fn two_running_tasks() -> (World, Vec<u64>) {
    let mut world = World::new(20, &[host_entry("h-1", 1, "east", "active", 0)]);
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 1_000));
    world.send_request(conn, placement_request(2, "print", 1_000));
    world.run(60 * MS);
    assert_eq!(world.engine.sizes().requests, 2);
    let links: Vec<u64> = world.to_hosts.iter().map(|(link, _)| *link).collect();
    (world, links)
}

fn ends(world: &World) -> u32 {
    world
        .outcomes
        .values()
        .map(|outcome| outcome.task_ends)
        .sum()
}

#[test]
fn refused_and_closed_links_of_a_draining_host_do_not_end_its_tasks_but_a_reset_does() {
    let (mut world, links) = two_running_tasks();
    world.connect_failure = Some(LinkEnd::Refused);
    world.process_input(Input::DiscoveryUpdate(watch_response(
        2,
        false,
        &[host_entry("h-1", 1, "east", "leaving", 0)],
    )));
    world.run(5 * SECOND);
    assert_eq!(
        ends(&world),
        0,
        "refused links alone must not make tasks lost"
    );
    world.process_input(Input::HostMessage(links[0], task_end(1)));
    assert_eq!(ends(&world), 1);
    // The host closes an idle link, which must not make tasks lost either.
    world.process_input(Input::LinkDown {
        link: links[1],
        end: LinkEnd::Closed,
        messages_begun: 1,
    });
    world.run(SECOND);
    assert_eq!(ends(&world), 1);
    // A reset shows that the host's process has ended, even if other links stay open and silent.
    world.process_input(Input::LinkDown {
        link: links[0],
        end: LinkEnd::Reset,
        messages_begun: 1,
    });
    world.run(SECOND);
    assert_eq!(ends(&world), 2);
}

/// A draining host refuses connections all the time, so those that were refused before a link was reset prove nothing: the
/// host still sends messages on another link.
#[test]
fn connections_refused_before_a_reset_do_not_end_the_tasks_of_a_draining_host() {
    let (mut world, links) = two_running_tasks();
    let (lost, reset) = (links[0], links[1]);
    world.send_request(1, placement_request(3, "play", 1_000));
    world.send_request(1, placement_request(4, "play", 1_000));
    world.run(60 * MS);
    let kept = *world.open_links().last().expect("a third link");
    assert!(kept != lost && kept != reset);
    world.connect_failure = Some(LinkEnd::Refused);
    world.process_input(Input::DiscoveryUpdate(watch_response(
        2,
        false,
        &[host_entry("h-1", 1, "east", "leaving", 0)],
    )));
    let down = |link, end| Input::LinkDown {
        link,
        end,
        messages_begun: 1,
    };
    world.process_input(down(lost, LinkEnd::Unreadable));
    for step in 0..50 {
        if step == 25 {
            world.process_input(down(reset, LinkEnd::Reset));
        }
        world.process_input(Input::HostMessage(kept, FromHost::Ignored));
        world.run(100 * MS);
    }
    assert_eq!(ends(&world), 0);
}

/// Guards against tasks that never end for their client: the ends at a draining host could not be received on its open
/// links.
#[test]
fn tasks_of_a_host_that_left_or_drains_unreachably_are_lost_within_eight_seconds() {
    for left in [false, true] {
        let (mut world, _) = two_running_tasks();
        world.connect_failure = Some(LinkEnd::Refused);
        world.process_input(Input::DiscoveryUpdate(watch_response(
            2,
            false,
            &[host_entry("h-1", 1, "east", "leaving", 0)],
        )));
        if left {
            world.process_input(Input::DiscoveryUpdate(watch_response(
                3,
                false,
                &[host_entry("h-1", 1, "east", "left", 0)],
            )));
        } else {
            world.run(7_500 * MS);
        }
        assert_eq!(ends(&world), 2, "left: {left}");
    }
}

#[test]
fn tasks_of_an_unreachable_host_are_lost_within_eight_seconds() {
    let (mut world, _) = two_running_tasks();
    world.connect_failure = Some(LinkEnd::ConnectFailed);
    world.run(5 * SECOND);
    assert_eq!(ends(&world), 0, "the network failure may be short");
    world.run(2_800 * MS);
    assert_eq!(ends(&world), 2);
}

#[test]
fn reset_links_do_not_end_tasks_if_the_host_is_reachable() {
    let (mut world, links) = two_running_tasks();
    for link in links {
        world.process_input(Input::LinkDown {
            link,
            end: LinkEnd::Reset,
            messages_begun: 1,
        });
    }
    world.run(20 * SECOND);
    assert_eq!(ends(&world), 0);
    assert!(
        world.engine.sizes().links > 0,
        "a link is needed to receive the ends of its tasks"
    );
}

#[test]
fn a_handed_over_task_at_an_unknown_host_is_lost_within_eight_seconds() {
    let mut world = World::new(21, &hosts(1));
    let conn = world.connect_client();
    world.send_request(
        conn,
        PlacementRequest {
            runs_at: Some("h-9".to_owned()),
            ..placement_request(5, "print", 4_294_967)
        },
    );
    world.run(5 * SECOND);
    assert!(
        world.to_clients.is_empty(),
        "the endpoint list may lag behind"
    );
    world.run(2_800 * MS);
    assert!(matches!(
        world.to_clients[..],
        [(
            _,
            ToClient::Release {
                id: 5,
                cause: FAILED,
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
fn a_task_that_its_client_ended_is_removed_even_if_its_host_is_silent() {
    let (mut world, _) = two_running_tasks();
    let conn = *world.clients.first().unwrap();
    world.hosts_ignore_releases = true;
    world.process_input(Input::ClientMessage(
        conn,
        Ok(FromClient::Release {
            id: 1,
            cause: GIVEN_UP,
        }),
    ));
    world.run(6 * SECOND);
    assert_eq!(world.engine.sizes().requests, 1);
    assert_eq!(
        ends(&world),
        0,
        "the client that ended the task must not be sent its end"
    );
}

#[test]
fn a_complete_list_replaces_the_previous_one_and_older_revisions_are_ignored() {
    let (mut world, _) = two_running_tasks();
    let active = |id, port| host_entry(id, port, "east", "active", 0);
    world.process_input(Input::DiscoveryUpdate(watch_response(
        5,
        true,
        &[active("h-2", 2)],
    )));
    assert_eq!(
        (ends(&world), world.engine.discovery_revision()),
        (2, 5),
        "h-1 must be removed with its tasks"
    );
    world.process_input(Input::DiscoveryUpdate(watch_response(
        4,
        false,
        &[active("h-3", 3)],
    )));
    world.run(4 * SECOND);
    assert_eq!(
        (
            world.engine.discovery_revision(),
            world.engine.sizes().hosts
        ),
        (5, 1),
        "the event with h-3 has an older revision and must be ignored"
    );
}

#[test]
fn idle_links_are_closed_except_one_to_each_host_with_tasks() {
    let mut world = World::new(22, &[host_entry("h-1", 1, "east", "active", 0)]);
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 1_000));
    world.run(60 * MS);
    world.send_request(conn, placement_request(2, "play", 1_000));
    world.run(60 * MS);
    assert_eq!(world.engine.sizes().links, 2, "one link in use, one spare");
    world.run(40 * SECOND);
    assert_eq!(
        world.engine.sizes().links,
        1,
        "a link is needed to receive the ends of tasks"
    );
    let link = world.open_links()[0];
    world.process_input(Input::HostMessage(link, task_end(1)));
    world.process_input(Input::HostMessage(link, task_end(2)));
    world.run(40 * SECOND);
    assert_eq!((world.engine.sizes().links, ends(&world)), (0, 2));
}

/// A world in which the process of h-1 has ended with its tasks 1 and 2, and that of h-9 listens at its address, which the list
/// does not tell yet. Returns the time of the new process's start, in milliseconds.
fn taken_over_address() -> (World, u64) {
    let (mut world, links) = two_running_tasks();
    let took_over_ms = world.now / 1_000;
    for link in links {
        world.process_input(Input::LinkDown {
            link,
            end: LinkEnd::Reset,
            messages_begun: u64::MAX,
        });
    }
    world.run(SECOND);
    (world, took_over_ms)
}

/// The list tells that hosts at the address of h-1 changed.
fn list_change(world: &mut World, revision: u64, hosts: &[String]) {
    let update = watch_response(revision, false, hosts);
    world.process_input(Input::DiscoveryUpdate(update));
    world.run(100 * MS);
}

/// The host at port 1 answers request 3 on the link that it came on.
fn answer_request_3(world: &mut World) {
    let is_request = |message: &ToHost| matches!(message, ToHost::PlacementRequest { id: 3, .. });
    let mut sent = world.to_hosts.iter();
    let sent = sent.find(|(_, message)| is_request(message));
    let link = sent.expect("the request was sent").0;
    let answer = FromHost::Answer {
        id: 3,
        description: "host's for 3".to_owned(),
    };
    world.process_input(Input::HostMessage(link, answer));
}

/// When the process that took over an address answers a request that was sent to its former host.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Answered {
    BeforeOneEvent,
    BeforeTwoEvents,
    BetweenTwoEvents,
}

/// Guards against work that is taken for that of a process which has gone: another host takes its address before the list tells
/// of either, so a task that is placed meanwhile runs at the new process, and the end of the old host does not concern it.
#[test]
fn a_task_placed_at_the_process_that_took_over_an_address_stays_with_it() {
    for answered in [
        Answered::BeforeOneEvent,
        Answered::BeforeTwoEvents,
        Answered::BetweenTwoEvents,
    ] {
        let (mut world, took_over_ms) = taken_over_address();
        let left = host_entry("h-1", 1, "east", "left", 0);
        let started = host_entry("h-9", 1, "east", "active", took_over_ms);
        world.hosts_ignore_requests = true;
        world.send_request(1, placement_request(3, "print", 5_000));
        world.run(100 * MS);
        if answered != Answered::BetweenTwoEvents {
            answer_request_3(&mut world);
        }
        if answered == Answered::BeforeOneEvent {
            list_change(&mut world, 2, &[left, started]);
        } else {
            list_change(&mut world, 2, &[started]);
            if answered == Answered::BetweenTwoEvents {
                answer_request_3(&mut world);
            }
            list_change(&mut world, 3, &[left]);
        }
        for cut in [1, 2] {
            assert_eq!(world.outcomes[&cut].task_ends, 1, "{answered:?}: {cut}");
        }
        world.run(10 * SECOND);
        assert_eq!(world.outcomes[&3].answers, 1, "{answered:?}");
        assert_eq!(world.outcomes[&3].task_ends, 0, "{answered:?}: it stands");
        world.finish_task(3, 1);
        world.run(SECOND);
        assert_eq!(world.outcomes[&3].task_ends, 1, "{answered:?}");
        let sizes = world.engine.sizes();
        assert_eq!((sizes.requests, sizes.hosts), (0, 1), "{answered:?}");
    }
}

/// Without a start in the list, or with one after the link was established, the tasks are those of the host that left.
#[test]
fn tasks_that_a_successor_can_not_have_accepted_end_with_their_host() {
    for started_after_ms in [None, Some(5_000)] {
        let (mut world, took_over_ms) = taken_over_address();
        world.send_request(1, placement_request(3, "print", 5_000));
        world.run(SECOND);
        let started_ms = started_after_ms.map_or(0, |after| took_over_ms + after);
        let left = host_entry("h-1", 1, "east", "left", 0);
        let started = host_entry("h-9", 1, "east", "active", started_ms);
        list_change(&mut world, 2, &[left, started]);
        assert_eq!(ends(&world), 3, "{started_after_ms:?}");
        world.run(10 * SECOND);
        assert_eq!(world.engine.sizes().requests, 0);
    }
}
