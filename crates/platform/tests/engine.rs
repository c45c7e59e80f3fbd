//! The engine in simulated time: each request gets at most one final answer and has at most one attempt in flight, and
//! the engine's state stays bounded.

mod world;

use proptest::prelude::*;
use reedring_platform::Input;
use reedring_platform_protocol::client::{FromClient, ToClient};
use reedring_platform_protocol::host::FromHost;
use world::{
    CLASSES, MS, SECOND, World, host_entry, hosts, placement_request, task_end, watch_response,
};

/// Runs random steps: clients connect and depart, hosts answer, refuse, fail, are silent or reset links.
fn simulate_faults(seed: u64, steps: u32) -> World {
    let mut world = World::new(seed, &hosts(4));
    world.hosts_are_faulty = true;
    let (mut id, mut rev) = (0, 1);
    for _ in 0..steps {
        let conns: Vec<u64> = world.clients.iter().copied().collect();
        let at = world.random_below(conns.len().max(1) as u32) as usize;
        match world.random_below(20) {
            0..2 => drop(world.connect_client()),
            2 if !conns.is_empty() => {
                let conn = conns[at];
                world.close_client(conn);
            }
            3 => {
                rev += 1;
                let n = 1 + world.random_below(4) as u16;
                let health = ["active", "leaving"][world.random_below(2) as usize];
                let site = if n.is_multiple_of(2) { "east" } else { "west" };
                world.process_input(Input::DiscoveryUpdate(watch_response(
                    rev,
                    false,
                    &[host_entry(&format!("h-{n}"), n, site, health, 0)],
                )));
            }
            17 if !conns.is_empty() => {
                let conn = conns[at];
                world.end_stream(conn);
            }
            4 if !conns.is_empty() && id > 0 => {
                // The ID may belong to another client, whose request must not be cancelled.
                let id = 1 + u64::from(world.random_below(id as u32));
                world.cancel_request(conns[at], id);
            }
            _ if !conns.is_empty() => {
                id += 1;
                let class = CLASSES[world.random_below(3) as usize];
                let left = 500 + u64::from(world.random_below(4_000));
                world.send_request(conns[at], placement_request(id, class, left));
            }
            _ => {}
        }
        let pause = u64::from(world.random_below(60)) * MS;
        world.run(pause);
    }
    world.run(30 * SECOND);
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn no_request_gets_two_final_answers_under_random_faults(seed in any::<u64>()) {
        // `World` checks at each message that no request has two attempts in flight, and that no unsafe request is
        // repeated.
        let world = simulate_faults(seed, 150);
        for (id, outcome) in &world.outcomes {
            let finals = outcome.final_answers();
            prop_assert!(finals <= 1, "{id}: {outcome:?}");
        }
        let sizes = world.engine.sizes();
        prop_assert_eq!(sizes.health_checks, 0);
        prop_assert!(sizes.clients <= 16 && sizes.links <= 24, "{:?}", sizes);
    }

    #[test]
    fn equal_inputs_give_equal_outputs(seed in any::<u64>()) {
        let [first, second] = [0, 1].map(|_| simulate_faults(seed, 60));
        prop_assert_eq!(first.to_clients, second.to_clients);
        prop_assert_eq!(first.to_hosts, second.to_hosts);
    }
}

#[test]
fn requests_of_a_connected_client_are_answered_within_their_time() {
    for seed in 0..24 {
        let mut world = World::new(seed, &hosts(4));
        world.hosts_are_faulty = true;
        let conn = world.connect_client();
        for id in 1..=60 {
            world.send_request(conn, placement_request(id, CLASSES[id as usize % 3], 1_500));
            world.run(20 * MS);
        }
        world.run(1_500 * MS);
        for (id, outcome) in &world.outcomes {
            assert_eq!(outcome.final_answers(), 1, "{seed}: {id}: {outcome:?}");
        }
    }
}

#[test]
fn a_request_gets_one_final_answer_despite_a_repeated_link_up_and_an_ignored_message() {
    let mut world = World::new(8, &hosts(1));
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "print", 900));
    world.run(10 * MS);
    // The link is reported up again, and its host sends a message that the engine ignores.
    let link = world.to_hosts[0].0;
    world.process_input(Input::LinkUp(link));
    world.process_input(Input::HostMessage(link, FromHost::Ignored));
    world.hosts_are_faulty = true;
    let before = world.engine.sizes().links;
    assert_eq!(before, 1);
    world.run(SECOND);
    assert_eq!(world.outcomes[&1].answers + world.outcomes[&1].failures, 1);
}

#[test]
fn a_placer_that_shuts_down_answers_all_requests_and_fails_health_checks() {
    let mut world = World::new(11, &hosts(2));
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 1_000));
    world.process_input(Input::Terminate);
    world.process_input(Input::ClientMessage(conn, Ok(FromClient::HealthCheck(5))));
    assert!(world.to_clients.contains(&(
        conn,
        ToClient::HealthCheckResult {
            id: 5,
            passed: false
        }
    )));
    world.run(600 * MS);
    // Requests may still arrive during shutdown, also on new connections.
    let late = world.connect_client();
    world.send_request(late, placement_request(2, "play", 1_000));
    assert!(!world.finished);
    world.run(SECOND);
    assert!(world.finished);
    assert_eq!(
        (world.outcomes[&1].answers, world.outcomes[&2].answers),
        (1, 1)
    );
}

#[test]
fn state_does_not_grow_with_hosts_and_clients_that_departed() {
    let mut world = World::new(12, &[host_entry("h-0", 1, "east", "active", 0)]);
    let mut largest = world.engine.sizes();
    for n in 1..600_u64 {
        let (old, new) = (format!("h-{}", n - 1), format!("h-{n}"));
        let address = |n: u64| 1 + (n % 7) as u16;
        world.process_input(Input::DiscoveryUpdate(watch_response(
            2 * n,
            false,
            &[host_entry(&new, address(n), "east", "active", 1)],
        )));
        world.process_input(Input::DiscoveryUpdate(watch_response(
            2 * n + 1,
            false,
            &[host_entry(&old, address(n - 1), "east", "left", 1)],
        )));
        let conn = world.connect_client();
        world.send_request(conn, placement_request(n, CLASSES[n as usize % 3], 1_000));
        world.run(SECOND);
        world.close_client(conn);
        if n == 300 {
            largest = world.engine.sizes();
        }
    }
    world.run(60 * SECOND);
    let sizes = world.engine.sizes();
    assert!(
        sizes.hosts <= 3 && sizes.requests <= 3 && sizes.task_ends == 0,
        "{sizes:?}"
    );
    assert!(sizes.module.iter().all(|size| *size < 20), "{sizes:?}");
    assert!(
        sizes.timers <= largest.timers + 4,
        "{sizes:?}, {largest:?} before"
    );
    assert!(world.engine.poll().is_none());
}

/// Guards against timers that fill the memory: that of an attempt stayed until the time for which its client had said it
/// would wait, up to 71 minutes, although the request was taken back at once.
#[test]
fn no_timers_are_kept_of_requests_that_were_taken_back_or_answered() {
    const LONGEST_WAIT_MS: u64 = 4_294_967;
    let mut world = World::new(13, &hosts(2));
    let conn = world.connect_client();
    for batch in 0..100_u64 {
        for id in batch * 100 + 1..=(batch + 1) * 100 {
            let class = CLASSES[id as usize % 3];
            let request = placement_request(id, class, LONGEST_WAIT_MS);
            let request = Ok(FromClient::PlacementRequest(Box::new(request)));
            world
                .engine
                .handle(world.now, Input::ClientMessage(conn, request));
        }
        // The first half is taken back before it is submitted, the second one while its attempts are in flight, but for
        // some that are answered.
        for id in batch * 100 + 1..=batch * 100 + 90 {
            if id % 100 > 50 {
                world.run(MS);
            }
            world.cancel_request(conn, id);
        }
        world.run(100 * MS);
        for id in batch * 100 + 91..=(batch + 1) * 100 {
            world.cancel_request(conn, id);
        }
    }
    world.run(10 * SECOND);
    let sizes = world.engine.sizes();
    assert_eq!((sizes.requests, sizes.module[1]), (0, 0), "{sizes:?}");
    assert!(sizes.timers < 100, "{sizes:?}");
}

#[test]
fn a_request_that_arrives_after_may_exit_is_answered_and_may_exit_is_reported_again() {
    let mut world = World::new(27, &hosts(2));
    let conn = world.connect_client();
    world.process_input(Input::Terminate);
    world.run(1_100 * MS);
    assert!(world.finished);
    // The event loop lagged behind: this request had arrived before the engine reported that it may exit.
    world.finished = false;
    world.send_request(conn, placement_request(1, "play", 1_000));
    assert!(!world.finished);
    world.run(SECOND);
    world.process_input(Input::HostMessage(world.to_hosts[0].0, task_end(1)));
    assert_eq!(
        (
            world.outcomes[&1].answers,
            world.outcomes[&1].task_ends,
            world.finished
        ),
        (1, 1, true)
    );
}
