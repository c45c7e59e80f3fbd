//! Clients that depart at any stage of a request: no attempt is started for them afterwards. Also floods of requests
//! that are cancelled or wait for their turn.

mod world;

use reedring_platform::Input;
use reedring_platform::decide::LinkEnd;
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::host::ToHost;
use reedring_platform_protocol::{FAILED, GIVEN_UP, REFUSED};
use world::{
    MS, PENDING_REQUEST_BYTES, REQUEST_RECORD_BYTES, SECOND, World, host_entry, placement_request,
    watch_response,
};

/// Ways of departing: the client closes its sending side, disconnects, or cancels request 1.
const DEPARTURES: [fn(&mut World, u64); 3] = [
    |world, conn| world.end_stream(conn),
    |world, conn| world.close_client(conn),
    |world, conn| world.cancel_request(conn, 1),
];

fn world(health: &str) -> World {
    World::new(
        5,
        &[
            host_entry("h-1", 1, "east", health, 0),
            host_entry("h-2", 2, "east", health, 0),
        ],
    )
}

fn requests_sent(world: &World) -> usize {
    world
        .to_hosts
        .iter()
        .filter(|(_, message)| matches!(message, ToHost::PlacementRequest { .. }))
        .count()
}

fn causes(world: &World) -> Vec<u8> {
    let cause = |message: &ToClient| match message {
        ToClient::Release { cause, .. } => Some(*cause),
        _ => None,
    };
    world
        .to_clients
        .iter()
        .filter_map(|(_, message)| cause(message))
        .collect()
}

/// A request waits, as all hosts are draining. When its client closes its sending side it is refused at once, and it is
/// not placed once a host becomes active.
#[test]
fn a_waiting_request_ends_with_its_client() {
    for (depart, answers) in DEPARTURES.into_iter().zip([1, 0, 0]) {
        let mut world = world("leaving");
        let conn = world.connect_client();
        world.send_request(conn, placement_request(1, "print", 5_000));
        world.run(300 * MS);
        assert!(world.to_clients.is_empty());
        depart(&mut world, conn);
        // Refused and not failed, as the request never ran.
        assert_eq!(causes(&world), vec![REFUSED; answers]);
        let active = [host_entry("h-1", 1, "east", "active", 0)];
        world.process_input(Input::DiscoveryUpdate(watch_response(2, false, &active)));
        world.run(6 * SECOND);
        assert_eq!(requests_sent(&world), 0);
    }
}

/// The attempt waits for a link that comes up only 0.3 s after the client departed.
#[test]
fn an_attempt_that_waits_for_a_link_is_not_sent_after_its_client_departed() {
    for (depart, answers) in DEPARTURES.into_iter().zip([1, 0, 0]) {
        let mut world = world("active");
        world.connect_delay = Some(400 * MS);
        let conn = world.connect_client();
        world.send_request(conn, placement_request(1, "play", 5_000));
        world.run(100 * MS);
        assert!(!world.all_links().is_empty());
        depart(&mut world, conn);
        world.run(90 * MS);
        assert_eq!(
            causes(&world),
            vec![REFUSED; answers],
            "must be answered within 0.1 s"
        );
        world.run(5 * SECOND);
        assert_eq!(requests_sent(&world), 0);
    }
}

/// The attempt is in flight: its answer is delivered to a client that closed its sending side; for the other departures
/// the attempt is given up by a release to the host.
#[test]
fn no_attempt_follows_the_one_in_flight_when_the_client_departs() {
    for (depart, can_read) in DEPARTURES.into_iter().zip([true, false, false]) {
        // The host answers late, or the link is reset.
        for breaks in [false, true] {
            let mut world = world("active");
            let conn = world.connect_client();
            world.send_request(conn, placement_request(1, "play", 5_000));
            // Until the link is up and the request is sent, but not answered yet.
            while requests_sent(&world) == 0 {
                world.run(MS / 4);
            }
            let (link, _) = world.to_hosts[0];
            depart(&mut world, conn);
            let given_up = world.to_hosts.iter().any(|(_, message)| {
                matches!(
                    message,
                    ToHost::Release {
                        id: 1,
                        cause: GIVEN_UP
                    }
                )
            });
            assert_eq!(given_up, !can_read);
            if breaks {
                world.process_input(Input::LinkDown {
                    link,
                    end: LinkEnd::Reset,
                    messages_begun: u64::MAX,
                });
            }
            world.run(6 * SECOND);
            assert_eq!(requests_sent(&world), 1, "no attempt may follow");
            let outcome = &world.outcomes[&1];
            assert_eq!(outcome.answers, u32::from(can_read && !breaks));
            // Refused although it may have run: its class is safe to repeat.
            assert_eq!(
                causes(&world),
                vec![REFUSED; usize::from(can_read && breaks)]
            );
        }
    }
}

/// The link breaks before a byte of the attempt was written. It is sent again, but not for a client that departed.
#[test]
fn an_unwritten_attempt_is_not_sent_again_for_a_client_that_departed() {
    for (depart, final_answers) in DEPARTURES.into_iter().zip([1, 0, 0]) {
        let mut world = World::with_settings(
            5,
            &[host_entry("h-1", 1, "east", "active", 0)],
            |settings| {
                settings.module.rules.may_stop = false;
            },
        );
        world.hosts_ignore_requests = true;
        let conn = world.connect_client();
        world.send_request(conn, placement_request(1, "play", 5_000));
        world.run(20 * MS);
        // A second request is sent on the same link, and a spare link is made.
        let remaining = world.connect_client();
        world.send_request(remaining, placement_request(2, "play", 5_000));
        world.run(20 * MS);
        assert_eq!(world.open_links().len(), 2);
        let (link, _) = world.to_hosts[0];
        depart(&mut world, conn);
        world.run(50 * MS);
        world.process_input(Input::LinkDown {
            link,
            end: LinkEnd::Reset,
            messages_begun: 0,
        });
        world.run(6 * SECOND);
        let sent = |id: u64| {
            let of = |message: &ToHost| matches!(message, ToHost::PlacementRequest { id: of, .. } if *of == id);
            world
                .to_hosts
                .iter()
                .filter(|(_, message)| of(message))
                .count()
        };
        assert_eq!(
            (sent(1), world.outcomes[&1].final_answers()),
            (1, final_answers)
        );
        assert_eq!(
            sent(2),
            2,
            "the request of the remaining client must be sent again"
        );
    }
}

/// If the settings forbid to stop attempts, one that still waits for a link is withdrawn all the same.
#[test]
fn an_attempt_that_waits_for_a_link_is_withdrawn_even_if_attempts_may_not_be_stopped() {
    for depart in DEPARTURES {
        let hosts = [host_entry("h-1", 1, "east", "active", 0)];
        let mut world =
            World::with_settings(5, &hosts, |settings| settings.module.rules.may_stop = false);
        world.connect_delay = Some(400 * MS);
        let conn = world.connect_client();
        world.send_request(conn, placement_request(1, "play", 5_000));
        world.run(100 * MS);
        depart(&mut world, conn);
        world.run(5 * SECOND);
        assert_eq!(requests_sent(&world), 0);
    }
}

/// Guards against running a keyed task twice: a repeat is decided within the deduplication window, but its link comes
/// up only after the window, when hosts no longer recognize repeats.
#[test]
fn a_keyed_request_is_repeated_only_within_its_deduplication_window() {
    for (connect_delay, sent) in [(100 * MS, 2), (400 * MS, 1)] {
        let hosts = [host_entry("h-1", 1, "east", "active", 0)];
        let mut world = World::with_settings(5, &hosts, |settings| {
            (
                settings.module.rules.may_stop,
                settings.module.rules.may_probe,
            ) = (false, false);
        });
        world.hosts_ignore_requests = true;
        let conn = world.connect_client();
        world.send_request(conn, placement_request(1, "take", 9_000));
        world.run(4_800 * MS);
        let (link, _) = world.to_hosts[0];
        world.connect_delay = Some(connect_delay);
        // The window of 5 s ends in 0.2 s. All links end, the spare ones first, so that a repeat needs a new link.
        let spare = world.all_links().into_iter().filter(|other| *other != link);
        for link in spare.chain([link]).collect::<Vec<_>>() {
            world.process_input(Input::LinkDown {
                link,
                end: LinkEnd::Reset,
                messages_begun: u64::MAX,
            });
        }
        assert_eq!(requests_sent(&world), 1);
        world.run(9 * SECOND);
        assert_eq!(
            (requests_sent(&world), world.outcomes[&1].final_answers()),
            (sent, 1)
        );
    }
}

/// A client sends requests, closes its sending side at once, and still reads.
#[test]
fn requests_followed_at_once_by_the_end_of_stream_are_answered() {
    let mut world = world("active");
    let conn = world.connect_client();
    for id in 1..=3 {
        world.outcomes.entry(id).or_default().class = "play".to_owned();
        let request = Ok(
            reedring_platform_protocol::client::FromClient::PlacementRequest(Box::new(
                placement_request(id, "play", 5_000),
            )),
        );
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, request));
    }
    world
        .engine
        .handle(world.now, Input::ClientEndOfStream(conn));
    world.run(SECOND);
    assert!(
        (1..=3).all(|id| world.outcomes[&id].answers == 1),
        "{:?}",
        world.to_clients
    );
    assert!(
        !world.clients.contains(&conn),
        "the connection must be closed after the answers"
    );
}

/// A flood of requests is cancelled by messages that are still to be read: none of the requests may be sent to a host.
#[test]
fn a_flood_that_is_cancelled_in_unread_input_causes_no_attempt() {
    use reedring_platform_protocol::client::FromClient;
    let mut world = world("active");
    let (flood, other) = (world.connect_client(), world.connect_client());
    let requests_sent_up_to = |world: &World, last: u64| {
        let of = |message: &ToHost| matches!(message, ToHost::PlacementRequest { id, .. } if *id <= last);
        world
            .to_hosts
            .iter()
            .filter(|(_, message)| of(message))
            .count()
    };
    let count = 600;
    for id in 1..=count {
        let request = FromClient::PlacementRequest(Box::new(placement_request(id, "play", 5_000)));
        world
            .engine
            .handle(world.now, Input::ClientMessage(flood, Ok(request)));
    }
    world.engine.handle(
        world.now,
        Input::ClientInputRead {
            conn: flood,
            has_more: true,
        },
    );
    world.outcomes.entry(9_000).or_default().class = "play".to_owned();
    let request = FromClient::PlacementRequest(Box::new(placement_request(9_000, "play", 5_000)));
    world
        .engine
        .handle(world.now, Input::ClientMessage(other, Ok(request)));
    world.run(20 * MS);
    assert_eq!(
        requests_sent_up_to(&world, count),
        0,
        "more input is to be read first"
    );
    assert_eq!(
        requests_sent(&world),
        1,
        "other clients must not wait for the flood"
    );
    for id in 1..=count {
        world.engine.handle(
            world.now,
            Input::ClientMessage(
                flood,
                Ok(FromClient::Release {
                    id,
                    cause: GIVEN_UP,
                }),
            ),
        );
    }
    world.engine.handle(
        world.now,
        Input::ClientInputRead {
            conn: flood,
            has_more: false,
        },
    );
    world.run(SECOND);
    assert_eq!(requests_sent_up_to(&world, count), 0);
    assert_eq!(world.outcomes[&9_000].answers, 1);
    assert_eq!(world.engine.sizes().requests, 1);
}

/// Guards against requests that are sent for a client that has gone: it closed its connection behind much unread input, and the
/// requests in it were sent to hosts for as long as it took to read them. `World` checks each sending.
#[test]
fn requests_read_after_the_end_of_their_client_is_known_are_answered_without_an_attempt() {
    let mut world = world("active");
    let conn = world.connect_client();
    for id in 1..=2 {
        world.send_request(conn, placement_request(id, "play", 5_000));
    }
    world.mark_departed(conn);
    world.process_input(Input::ClientEnding(conn));
    for batch in 0..20_u64 {
        for id in 100 * (batch + 1)..100 * (batch + 1) + 50 {
            world.send_request(conn, placement_request(id, "play", 5_000));
            world.mark_departed(conn);
        }
        world.process_input(Input::ClientInputRead {
            conn,
            has_more: true,
        });
        world.run(30 * MS);
    }
    assert!(requests_sent(&world) >= 2, "the first two are in time");
    assert!(
        requests_sent(&world) <= 52,
        "nothing read after the grace period is sent"
    );
    assert!(world.clients.contains(&conn), "more input is to be read");
    world.end_stream(conn);
    world.run(SECOND);
    assert!(!world.clients.contains(&conn));
    for (id, outcome) in &world.outcomes {
        assert_eq!(outcome.final_answers(), 1, "{id}: {outcome:?}");
    }
    assert_eq!(world.engine.sizes().clients, 0);
}

/// A flood that is not cancelled: other clients get their turns, and the pending requests are bounded in bytes.
#[test]
fn a_flood_takes_turns_with_other_clients_and_its_pending_requests_are_bounded() {
    use reedring_platform_protocol::client::FromClient;
    let mut world = world("active");
    let (flood, other) = (world.connect_client(), world.connect_client());
    let send = |world: &mut World, conn, id| {
        let request = FromClient::PlacementRequest(Box::new(placement_request(id, "play", 5_000)));
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, Ok(request)));
    };
    let count = 6_000;
    (1..=count).for_each(|id| send(&mut world, flood, id));
    send(&mut world, other, 9_000);
    world.engine.flush(world.now);
    let mut outputs = Vec::new();
    while let Some(output) = world.engine.poll() {
        outputs.push(output);
    }
    let rejected = outputs.iter().filter(|output| {
        matches!(
            output,
            reedring_platform::Output::ToClient(_, ToClient::Release { cause: FAILED, .. })
        )
    });
    assert!(
        rejected.count() > 1_000,
        "requests over the bound must be rejected"
    );
    assert!(world.engine.has_backlog());
    let sizes = world.engine.sizes();
    assert!(sizes.requests < 5_000, "{sizes:?}");
    assert!(
        sizes.module[1] <= 32,
        "the decision module must get one turn's worth of requests: {sizes:?}"
    );
}

/// Guards against one client whose requests wait for long and keep those of all others out.
#[test]
fn pending_requests_of_one_client_leave_room_for_others() {
    use reedring_platform::Output;
    use reedring_platform_protocol::client::FromClient;
    const LONG_MS: u64 = 3_000_000;
    let mut world = world("active");
    world.hosts_ignore_requests = true;
    let clients: Vec<u64> = (0..4).map(|_| world.connect_client()).collect();
    let mut rejected = [0; 4];
    for (index, conn) in clients.iter().enumerate() {
        for id in 1..=6_000 {
            let id = index as u64 * 10_000 + id;
            let request = placement_request(id, "play", LONG_MS);
            let request = FromClient::PlacementRequest(Box::new(request));
            let input = Input::ClientMessage(*conn, Ok(request));
            world.engine.handle(world.now, input);
            while let Some(output) = world.engine.poll() {
                let is_rejected = |message: &ToClient| matches!(message, ToClient::Release { id: of, cause: FAILED, .. } if *of == id);
                if let Output::ToClient(_, message) = output
                    && is_rejected(&message)
                {
                    rejected[index] += 1;
                }
            }
        }
    }
    // Each one gets half of what those before it left, so the fourth a sixteenth.
    let accepted = rejected.map(|count| 6_000 - count);
    let sixteenth = PENDING_REQUEST_BYTES / (REQUEST_RECORD_BYTES + 100) / 16;
    assert!(
        accepted.iter().all(|count| *count >= sixteenth),
        "{accepted:?}"
    );
    let half = PENDING_REQUEST_BYTES / REQUEST_RECORD_BYTES / 2;
    assert!(accepted[0] <= half, "{accepted:?}");
}

/// The remaining time in a request to a host counts from when it is sent, not from when the host was chosen.
#[test]
fn the_remaining_time_in_a_request_counts_from_its_sending() {
    let mut world = world("active");
    world.connect_delay = Some(400 * MS);
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 5_000));
    world.run(SECOND);
    let left = world
        .to_hosts
        .iter()
        .find_map(|(_, message)| match message {
            ToHost::PlacementRequest { left_ms, .. } => Some(*left_ms),
            _ => None,
        });
    assert!(left.is_some_and(|left| left <= 4_600), "{left:?}");
}

/// A request reaches its deadline while it waits for its turn behind a flood of the same client.
#[test]
fn a_request_overdue_behind_a_flood_is_refused_within_its_time() {
    use reedring_platform::Output;
    use reedring_platform_protocol::client::FromClient;
    let mut world = world("active");
    let conn = world.connect_client();
    for id in 1..=1_000 {
        let left = if id == 1_000 { 30 } else { 5_000 };
        let request = FromClient::PlacementRequest(Box::new(placement_request(id, "print", left)));
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, Ok(request)));
    }
    // Each turn takes 10 ms of simulated time.
    let mut answered = false;
    for turn in 0..3 {
        world.engine.flush(world.now + turn * 10 * MS);
        while let Some(output) = world.engine.poll() {
            let of = |message: &ToClient| {
                matches!(
                    message,
                    ToClient::Release {
                        id: 1_000,
                        cause: REFUSED,
                        ..
                    }
                )
            };
            answered |=
                matches!(&output, Output::ToClient(to, message) if *to == conn && of(message));
        }
    }
    assert!(
        answered,
        "the request has 30 ms, and must be refused by the turn at 20 ms"
    );
    assert!(world.engine.has_backlog());
}
