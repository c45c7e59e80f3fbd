//! Links that hosts forget or the placer closes: the ends of tasks that hosts report meanwhile reach their clients.

mod world;

use std::collections::BTreeSet;

use reedring_platform::decide::LinkEnd;
use reedring_platform::{Input, LinkId};
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::host::FromHost;
use world::{MS, SECOND, World, host_entry, hosts, placement_request, task_end, watch_response};

/// Within this time after a task's end its client must be notified if the host could not report the end at once.
const UNREPORTED_END_LIMIT: u64 = 8 * SECOND;

/// A world in which the task of request 1 runs at the only host.
fn one_running_task(seed: u64) -> World {
    let mut world = World::new(seed, &hosts(1));
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "print", 1_000));
    world.run(100 * MS);
    assert_eq!(world.outcomes[&1].answers, 1);
    world
}

/// Guards against lost ends of tasks: a host that has forgotten the idle link reported the end on the next one, which
/// was made for a liveness check and closed unread, as the forgotten link was taken to be the better one.
#[test]
fn an_end_reported_on_the_next_link_reaches_the_client_after_the_host_forgot_the_others() {
    for quiet_s in [0, 1, 4, 33, 90] {
        let mut world = one_running_task(quiet_s);
        world.run(quiet_s * SECOND);
        world.forget_links();
        world.finish_task(1, 1);
        world.run(UNREPORTED_END_LIMIT);
        assert_eq!(world.outcomes[&1].task_ends, 1, "{quiet_s} s of quiet");
    }
}

/// A link on which nothing was sent or received for half of the time after which hosts close idle links is replaced, so that
/// none gets as old as hosts forget; until then links for liveness checks are closed again. The number of links does not
/// grow.
#[test]
fn liveness_checks_replace_links_that_were_not_used_for_long() {
    let mut world = one_running_task(2);
    // A second attempt in flight makes a standby link.
    world.send_request(1, placement_request(2, "play", 1_000));
    world.run(100 * MS);
    let before = world.open_links();
    world.run(14 * SECOND);
    assert_eq!(world.open_links(), before);
    world.run(8 * SECOND);
    let after = world.open_links();
    assert_eq!(after.len(), before.len());
    assert!(
        before.iter().all(|link| !after.contains(link)),
        "{before:?} {after:?}"
    );
    assert_eq!(world.engine.sizes().links, after.len());
}

/// Runs the world until a link of `links` is closed, and returns it.
fn run_until_closed(world: &mut World, links: &[LinkId]) -> LinkId {
    for _ in 0..4_000 {
        let open: BTreeSet<LinkId> = world.all_links().into_iter().collect();
        if let Some(closed) = links.iter().find(|link| !open.contains(link)) {
            return *closed;
        }
        world.run(10 * MS);
    }
    panic!("none of the links {links:?} was closed");
}

/// Whether the end of the task of request 1 was sent to its client.
fn is_end_sent(world: &World) -> bool {
    let is_end = |message: &ToClient| matches!(message, ToClient::Release { id: 1, .. });
    world.to_clients.iter().any(|(_, message)| is_end(message))
}

/// Guards against ends that cross the close of a link: whatever the reason of the close, a host may send until it learns
/// of it, and the client is notified within 1 s.
#[test]
fn an_end_that_crosses_the_close_of_its_link_reaches_the_client() {
    type Cause = (&'static str, fn(&mut World));
    let causes: [Cause; 4] = [
        ("the host has another address", |world| {
            world.process_input(Input::DiscoveryUpdate(watch_response(
                2,
                false,
                &[host_entry("h-1", 9, "west", "active", 0)],
            )));
        }),
        ("an attempt timed out on it", |world| {
            world.hosts_ignore_requests = true;
            world.send_request(1, placement_request(2, "print", 300));
        }),
        ("closed for links to other hosts", |world| {
            let others: Vec<String> = (2..=40)
                .map(|n| host_entry(&format!("h-{n}"), n, "east", "active", 0))
                .collect();
            world.process_input(Input::DiscoveryUpdate(watch_response(2, false, &others)));
            for id in 2..=120 {
                world.send_request(1, placement_request(id, "play", 1_000));
            }
        }),
        ("replaced after a liveness check", |_| ()),
    ];
    for (name, cause) in causes {
        let mut world = one_running_task(3);
        world.close_delay = 50 * MS;
        let links = world.open_links();
        cause(&mut world);
        let closed = run_until_closed(&mut world, &links);
        assert!(!is_end_sent(&world), "{name}: ended too early");
        world.process_input(Input::HostMessage(closed, task_end(1)));
        assert!(is_end_sent(&world), "{name}: the end was not passed on");
        world.run(SECOND);
        assert_eq!(world.engine.sizes().closing_links, 0, "{name}");
    }
}

/// A refusal of an attempt that was given up on a closed link must not end the task that runs at the same host under the
/// same id: it was started by a later attempt.
#[test]
fn a_late_refusal_on_a_closed_link_does_not_end_a_running_task() {
    let mut world = one_running_task(4);
    world.close_delay = 50 * MS;
    let links = world.open_links();
    let closed = run_until_closed(&mut world, &links);
    let refusal = FromHost::Release {
        id: 1,
        cause: reedring_platform_protocol::REFUSED,
        reason: None,
        figures: Default::default(),
    };
    world.process_input(Input::HostMessage(closed, refusal));
    world.run(SECOND);
    assert!(!is_end_sent(&world));
    // A closed link that ends with a reset is no sign that the host's tasks are lost.
    let reset = Input::LinkDown {
        link: closed,
        end: LinkEnd::Reset,
        messages_begun: 1,
    };
    world.process_input(reset);
    world.run(4 * SECOND);
    assert!(!is_end_sent(&world));
}

/// How a link ends whose host may have sent something on it that was not received.
const ENDS_WITH_LOST_INPUT: [LinkEnd; 3] =
    [LinkEnd::Unreadable, LinkEnd::Reset, LinkEnd::Incomplete];

/// Runs the world for `duration` while the host sends something on each established link every 20 ms.
fn run_busy(world: &mut World, duration: u64) {
    let until = world.now + duration;
    while world.now < until {
        for link in world.open_links() {
            world.process_input(Input::HostMessage(link, FromHost::Ignored));
        }
        world.run(20 * MS);
    }
}

/// A world in which the task of request 1 runs at the only host, which has two links.
fn busy_host(seed: u64) -> World {
    let mut world = one_running_task(seed);
    world.send_request(1, placement_request(2, "play", 1_000));
    world.run(100 * MS);
    assert_eq!(world.open_links().len(), 2);
    world
}

/// Guards against lost ends of tasks: the end was lost with one link of a host whose other link carried messages all the
/// time, so the placer made no new link, on which the host would have repeated it.
#[test]
fn an_end_lost_with_one_link_of_a_busy_host_reaches_the_client() {
    for end in ENDS_WITH_LOST_INPUT {
        for index in [0, 1] {
            let mut world = busy_host(5);
            let link = world.open_links()[index];
            world.lose_task_end(1, 1);
            world.process_input(Input::LinkDown {
                link,
                end,
                messages_begun: 1,
            });
            run_busy(&mut world, UNREPORTED_END_LIMIT);
            assert_eq!(world.outcomes[&1].task_ends, 1, "{end:?}, link {index}");
        }
    }
}

/// A host accepts links in any order, so one that was already being made when input was lost may have been accepted before
/// the end was sent. The end is repeated on the one after that.
#[test]
fn a_link_that_was_being_made_when_input_was_lost_does_not_count_as_the_next_one() {
    let mut world = busy_host(7);
    let lost = world.open_links()[0];
    world.connect_delay = Some(20 * MS);
    for id in 3..9 {
        world.send_request(1, placement_request(id, "play", 1_000));
    }
    let connecting: Vec<LinkId> = world.all_links();
    assert!(connecting.len() > 2, "{connecting:?}");
    world.process_input(Input::LinkDown {
        link: lost,
        end: LinkEnd::Unreadable,
        messages_begun: 1,
    });
    run_busy(&mut world, 30 * MS);
    assert!(
        connecting[2..]
            .iter()
            .all(|link| world.open_links().contains(link)),
        "the links that were being made are established"
    );
    // The host sent the end on the lost link after it had accepted these.
    world.lose_task_end(1, 1);
    run_busy(&mut world, UNREPORTED_END_LIMIT);
    assert_eq!(world.outcomes[&1].task_ends, 1);
}

/// A link that the placer has closed may carry an end until its host learns of that. If it breaks before, or is given up as
/// its host does not close it, the host is connected to again.
#[test]
fn an_end_lost_with_a_closed_link_of_a_busy_host_reaches_the_client() {
    for end in ENDS_WITH_LOST_INPUT {
        let mut world = one_running_task(8);
        world.close_delay = 60 * SECOND;
        let links = world.open_links();
        let closed = run_until_closed(&mut world, &links);
        world.lose_task_end(1, 1);
        world.process_input(Input::LinkDown {
            link: closed,
            end,
            messages_begun: u64::MAX,
        });
        run_busy(&mut world, UNREPORTED_END_LIMIT);
        assert_eq!(world.outcomes[&1].task_ends, 1, "{end:?}");
    }
}

/// The cost of a lost link: one connection to its host if that runs tasks, and none otherwise.
#[test]
fn one_link_is_made_after_input_was_lost_and_none_if_no_task_runs() {
    for runs_tasks in [true, false] {
        let mut world = busy_host(9);
        if !runs_tasks {
            world.finish_task(1, 1);
            world.finish_task(2, 1);
        }
        let before = world.links_made;
        let link = world.open_links()[0];
        world.process_input(Input::LinkDown {
            link,
            end: LinkEnd::Unreadable,
            messages_begun: 1,
        });
        run_busy(&mut world, 20 * SECOND);
        assert_eq!(
            world.links_made - before,
            u64::from(runs_tasks),
            "runs tasks: {runs_tasks}"
        );
    }
}

/// Guards against connections without end to a host that breaks each link as soon as it is established.
#[test]
fn a_host_that_breaks_each_new_link_is_connected_to_once_a_second_in_the_end() {
    const TIME_S: u64 = 20;
    // The first delays are shorter than a second.
    const MOST_LINKS: u64 = TIME_S + 6;
    for end in ENDS_WITH_LOST_INPUT {
        let mut world = busy_host(10);
        let kept = world.open_links()[0];
        let before = world.links_made;
        for _ in 0..TIME_S * 1_000 {
            let broken = world.open_links().into_iter().filter(|link| *link != kept);
            for link in broken.collect::<Vec<LinkId>>() {
                world.process_input(Input::LinkDown {
                    link,
                    end,
                    messages_begun: 0,
                });
            }
            world.process_input(Input::HostMessage(kept, FromHost::Ignored));
            world.run(MS);
        }
        let made = world.links_made - before;
        assert!(made <= MOST_LINKS, "{end:?}: {made}");
    }
}

/// A message on another link, handled in the same pass as the end of a link, does not show what was lost with that link.
#[test]
fn an_end_lost_with_a_link_reaches_the_client_though_another_link_brings_a_message_at_once() {
    for end in ENDS_WITH_LOST_INPUT {
        let mut world = busy_host(6);
        let [lost, other] = world.open_links()[..] else {
            panic!("two links");
        };
        world.lose_task_end(1, 1);
        let down = Input::LinkDown {
            link: lost,
            end,
            messages_begun: 1,
        };
        world.process_inputs([down, Input::HostMessage(other, FromHost::Ignored)]);
        run_busy(&mut world, UNREPORTED_END_LIMIT);
        assert_eq!(world.outcomes[&1].task_ends, 1, "{end:?}");
    }
}
