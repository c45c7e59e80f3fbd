//! Stops of tasks: repeated until the host confirms them, whatever happens to the link that they were sent on.

mod world;

use reedring_platform::decide::LinkEnd;
use reedring_platform::{Input, LinkId};
use reedring_platform_protocol::host::{FromHost, ToHost};
use world::{MS, SECOND, World, host_entry, hosts, placement_request, watch_response};

/// Within this time after its client released it, a task is stopped: the time in which its end would be passed on.
const STOP_LIMIT: u64 = 8 * SECOND;

/// A world in which the tasks of `count` requests run at the only host, over several links.
fn running_tasks(count: u64) -> World {
    let mut world = World::new(40, &hosts(1));
    let conn = world.connect_client();
    for id in 1..=count {
        world.send_request(conn, placement_request(id, "play", 2_000));
        if id < 5 {
            world.run(MS);
        }
    }
    world.run(2 * SECOND);
    assert_eq!(world.running_tasks.len() as u64, count);
    world
}

/// The links on which a host was asked to stop a task.
fn stops_of(world: &World, id: u64) -> Vec<LinkId> {
    let is_stop = |message: &ToHost| matches!(message, ToHost::Release { id: of, .. } if *of == id);
    let stops = world
        .to_hosts
        .iter()
        .filter(|(_, message)| is_stop(message));
    stops.map(|(link, _)| *link).collect()
}

/// On a calm day a host gets each stop once, also if links come and go afterwards.
#[test]
fn a_stop_that_its_host_confirms_is_sent_once() {
    let mut world = running_tasks(20);
    for id in 1..=20 {
        world.cancel_request(1, id);
    }
    world.run(SECOND);
    world.send_request(1, placement_request(100, "play", 2_000));
    world.run(60 * SECOND);
    for id in 1..=20 {
        assert_eq!(stops_of(&world, id).len(), 1, "{id}");
    }
    assert_eq!(world.running_tasks.len(), 1);
    assert_eq!(world.engine.sizes().pending_stops, 0);
}

/// Guards against tasks that run on though their owner ended them: the stop was lost with the link that it was sent on, and
/// repeated on no other one.
#[test]
fn a_stop_that_is_lost_with_its_link_reaches_the_host_on_another() {
    for end in [
        LinkEnd::Reset,
        LinkEnd::Closed,
        LinkEnd::Unreadable,
        LinkEnd::Incomplete,
    ] {
        for drains in [false, true] {
            let mut world = running_tasks(6);
            if drains {
                let entry = host_entry("h-1", 1, "west", "leaving", 0);
                world.process_input(Input::DiscoveryUpdate(watch_response(2, false, &[entry])));
                world.connect_failure = Some(LinkEnd::Refused);
            }
            world.hosts_ignore_releases = true;
            for id in 1..=6 {
                world.cancel_request(1, id);
            }
            let link = stops_of(&world, 1)[0];
            world.hosts_ignore_releases = false;
            world.process_input(Input::LinkDown {
                link,
                end,
                messages_begun: u64::MAX,
            });
            for _ in 0..STOP_LIMIT / SECOND {
                for link in world.open_links() {
                    world.process_input(Input::HostMessage(link, FromHost::Ignored));
                }
                world.run(SECOND);
            }
            assert!(
                world.running_tasks.is_empty(),
                "{end:?}, drains: {drains}: {:?}",
                world.running_tasks
            );
            assert_eq!(world.engine.sizes().pending_stops, 0);
        }
    }
}

/// A stop that waits for its link to be established is not confirmed by the close of that link, on which nothing was sent.
#[test]
fn a_stop_that_waited_for_a_link_which_is_closed_reaches_the_host() {
    let mut world = running_tasks(1);
    world.connect_delay = Some(200 * MS);
    for link in world.open_links() {
        world.process_input(Input::LinkDown {
            link,
            end: LinkEnd::Closed,
            messages_begun: u64::MAX,
        });
    }
    world.run(100 * MS);
    world.cancel_request(1, 1);
    assert_eq!(stops_of(&world, 1), [0; 0], "no link is established");
    // The host has another address, so the link to the former one is closed.
    let entry = host_entry("h-1", 9, "west", "active", 0);
    world.process_input(Input::DiscoveryUpdate(watch_response(2, false, &[entry])));
    world.run(STOP_LIMIT);
    assert_eq!(stops_of(&world, 1).len(), 1);
    assert!(world.running_tasks.is_empty());
}

/// Hosts forget links without a word: they get the stop on a link that they know.
#[test]
fn a_stop_sent_on_a_forgotten_link_reaches_the_host() {
    for forgets_silently in [false, true] {
        let mut world = running_tasks(200);
        world.hosts_ignore_releases = true;
        if !forgets_silently {
            // The host resets a link when something arrives on it.
            world.forget_links();
        }
        for id in 1..=200 {
            world.cancel_request(1, id);
        }
        world.run(500 * MS);
        world.hosts_ignore_releases = false;
        world.run(STOP_LIMIT);
        assert_eq!(world.running_tasks.len(), 0, "silently: {forgets_silently}");
    }
}

/// A host that confirms nothing is asked for about a minute, and nothing is kept after that.
#[test]
fn a_host_that_confirms_no_stop_is_asked_a_limited_number_of_times() {
    let mut world = running_tasks(1);
    world.hosts_ignore_releases = true;
    world.cancel_request(1, 1);
    world.run(120 * SECOND);
    let sends = stops_of(&world, 1).len();
    assert!((5..=10).contains(&sends), "{sends}");
    let sizes = world.engine.sizes();
    assert_eq!((sizes.pending_stops, sizes.requests), (0, 0));
}

/// A host that confirms a release without the end of a task, as it has no such task, is not asked again.
#[test]
fn a_stop_whose_receipt_the_host_confirms_is_not_repeated() {
    let mut world = running_tasks(1);
    world.hosts_ignore_releases = true;
    world.cancel_request(1, 1);
    let link = stops_of(&world, 1)[0];
    world.process_input(Input::HostMessage(link, FromHost::ReleaseConfirmed(1)));
    world.run(30 * SECOND);
    assert_eq!(stops_of(&world, 1).len(), 1);
}

/// The stops of a host that left are dropped, and a later request with the same id is not stopped by an earlier stop.
#[test]
fn stops_of_a_host_that_left_are_dropped() {
    let mut world = running_tasks(3);
    world.hosts_ignore_releases = true;
    for id in 1..=3 {
        world.cancel_request(1, id);
    }
    let entry = host_entry("h-1", 1, "west", "left", 0);
    world.process_input(Input::DiscoveryUpdate(watch_response(2, false, &[entry])));
    assert_eq!(world.engine.sizes().pending_stops, 0);
}
