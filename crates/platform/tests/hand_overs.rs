//! Tasks that clients hand over as running: false ones hold a bounded amount of memory, and true ones are served beside
//! them.

mod world;

use std::collections::VecDeque;

use reedring_platform::{ConnId, Input};
use reedring_platform_protocol::client::{PlacementRequest, ToClient};
use reedring_platform_protocol::host::ToHost;
use world::{
    DISPLACED_TASKS, MS, SECOND, UNCONFIRMED_TASKS, World, host_entry, hosts, placement_request,
    task_end, watch_response,
};

const HOSTS: u16 = 3;
/// Ids from here on are false: no host knows them.
const FALSE_IDS: u64 = 1_000_000;
const FALSE_TASKS_EACH: u64 = 400;
/// Time in which a bad client comes, hands over its tasks and goes.
const BAD_CLIENT_INTERVAL: u64 = SECOND;

fn hand_over(id: u64, host: u64) -> PlacementRequest {
    PlacementRequest {
        runs_at: Some(format!("h-{host}")),
        ..placement_request(id, "play", 8_000)
    }
}

/// The `number`-th bad client hands over tasks that no host knows, and departs.
fn bad_client(world: &mut World, number: u64) {
    let conn = world.connect_client();
    for index in 0..FALSE_TASKS_EACH {
        let id = FALSE_IDS + number * FALSE_TASKS_EACH + index;
        world.send_request(conn, hand_over(id, 1 + id % u64::from(HOSTS)));
    }
    world.close_client(conn);
}

/// An owner hands over tasks with ids from `first` on that run at the hosts, and returns its connection.
fn owner_hands_over(world: &mut World, first: u64, count: u64) -> ConnId {
    let conn = world.connect_client();
    for id in first..first + count {
        let host = 1 + id % u64::from(HOSTS);
        world.running_tasks.insert(id, host as u16);
        world.send_request(conn, hand_over(id, host));
    }
    conn
}

/// Ids of the tasks whose ends were sent to clients, without false ones.
fn ended(world: &World) -> Vec<u64> {
    let ends = world
        .to_clients
        .iter()
        .filter_map(|(_, message)| match message {
            ToClient::Release { id, .. } if *id < FALSE_IDS => Some(*id),
            _ => None,
        });
    ends.collect()
}

/// Guards against a placer that is killed for its memory: each task that a client handed over was kept for good, with its
/// description, though no host knew it.
#[test]
fn false_tasks_hold_a_bounded_number_of_records() {
    let mut world = World::new(1, &hosts(HOSTS));
    for number in 0..40 {
        bad_client(&mut world, number);
        let sizes = world.engine.sizes();
        assert!(sizes.requests <= UNCONFIRMED_TASKS, "{sizes:?}");
        world.run(BAD_CLIENT_INTERVAL);
        let sizes = world.engine.sizes();
        assert!(sizes.module[2] <= UNCONFIRMED_TASKS, "{sizes:?}");
        assert!(sizes.displaced_tasks <= DISPLACED_TASKS, "{sizes:?}");
    }
    world.run(60 * SECOND);
    let sizes = world.engine.sizes();
    assert_eq!(sizes.hosts, usize::from(HOSTS), "{sizes:?}");
    assert!(sizes.timers < 100, "{sizes:?}");
}

/// Guards against a bound that cuts usual owners off: hundreds of tasks are handed over before, during and after a flood of
/// false ones, and the end of each reaches an owner, with nothing else under its id.
#[test]
fn owners_that_hand_over_hundreds_of_tasks_are_served_beside_false_ones() {
    const TASKS: u64 = 300;
    const TASK_INTERVAL: u64 = 100 * MS;
    for owner_comes_after in [0, 5, 20] {
        let mut world = World::new(2, &hosts(HOSTS));
        for number in 0..owner_comes_after {
            bad_client(&mut world, number);
            world.run(BAD_CLIENT_INTERVAL);
        }
        owner_hands_over(&mut world, 1, TASKS);
        let mut expected = Vec::new();
        for id in 1..=TASKS {
            if id % 10 == 0 {
                bad_client(&mut world, 100 + id);
            }
            world.run(TASK_INTERVAL);
            assert_eq!(ended(&world), expected, "after {owner_comes_after}");
            let port = world.running_tasks[&id];
            world.finish_task(id, port);
            expected.push(id);
        }
        world.run(9 * SECOND);
        assert_eq!(ended(&world), expected, "after {owner_comes_after}");
    }
}

/// An owner with a few tasks of long lives is served through a long flood.
#[test]
fn an_owner_with_few_quiet_tasks_outlasts_a_flood() {
    let mut world = World::new(3, &hosts(HOSTS));
    owner_hands_over(&mut world, 1, 3);
    for number in 0..60 {
        bad_client(&mut world, number);
        world.run(BAD_CLIENT_INTERVAL);
    }
    assert!(ended(&world).is_empty());
    for id in 1..=3 {
        let port = world.running_tasks[&id];
        world.finish_task(id, port);
    }
    assert_eq!(ended(&world), [1, 2, 3]);
}

/// Hands over more tasks that run than may be unconfirmed. Those with ids 1 and 2 are displaced; returns the connection that
/// they were handed over on.
fn displace_two_true_tasks(world: &mut World) -> ConnId {
    let conn = owner_hands_over(world, 1, UNCONFIRMED_TASKS as u64);
    world.run(SECOND);
    owner_hands_over(world, 5_000, 2);
    world.run(SECOND);
    let sizes = world.engine.sizes();
    assert_eq!(
        (sizes.requests, sizes.displaced_tasks),
        (UNCONFIRMED_TASKS, 2)
    );
    conn
}

/// Guards against true tasks that are cut by the placer: a task that is displaced might exist after all. It runs on, nothing
/// is sent about it, and its end is passed on when its host reports it.
#[test]
fn a_displaced_task_runs_on_and_its_end_is_passed_on_once() {
    let mut world = World::new(4, &hosts(HOSTS));
    let conn = displace_two_true_tasks(&mut world);
    assert_eq!(stopped(&world), [0; 0]);
    assert_eq!(ended(&world), [0; 0]);
    for id in [1, 2, 3, 5_000] {
        let port = world.running_tasks[&id];
        world.finish_task(id, port);
        // Hosts repeat an end on the next link.
        let link = world.open_links()[0];
        world.process_input(Input::HostMessage(link, task_end(id)));
    }
    assert_eq!(ended(&world), [1, 2, 3, 5_000]);
    assert!(world.clients.contains(&conn));
    assert_eq!(world.engine.sizes().displaced_tasks, 0);
}

#[test]
fn a_displaced_task_that_its_client_releases_is_stopped() {
    let mut world = World::new(7, &hosts(HOSTS));
    let conn = displace_two_true_tasks(&mut world);
    world.cancel_request(conn, 1);
    world.run(SECOND);
    assert_eq!(stopped(&world), [1]);
    assert!(!world.running_tasks.contains_key(&1));
    assert_eq!(
        ended(&world),
        [0; 0],
        "its client ended it and is owed no release"
    );
}

#[test]
fn the_displaced_tasks_of_a_host_that_leaves_end() {
    let mut world = World::new(8, &hosts(HOSTS));
    displace_two_true_tasks(&mut world);
    // Task 1 runs at h-2, task 2 at h-3.
    world.process_input(Input::DiscoveryUpdate(watch_response(
        2,
        false,
        &[host_entry("h-2", 2, "east", "left", 0)],
    )));
    let ended = ended(&world);
    assert!(ended.contains(&1) && !ended.contains(&2), "{ended:?}");
    assert_eq!(world.engine.sizes().displaced_tasks, 1);
}

/// A displaced task that is handed over again is tracked again, and another one is displaced.
#[test]
fn a_displaced_task_that_is_handed_over_again_is_tracked() {
    let mut world = World::new(9, &hosts(HOSTS));
    let conn = displace_two_true_tasks(&mut world);
    world.send_request(conn, hand_over(1, 2));
    world.run(SECOND);
    let sizes = world.engine.sizes();
    assert_eq!(
        (sizes.requests, sizes.displaced_tasks),
        (UNCONFIRMED_TASKS, 2)
    );
    let port = world.running_tasks[&1];
    world.finish_task(1, port);
    assert_eq!(ended(&world), [1]);
}

/// Guards against a record of a host that stays for good: its only task was handed over under a name that is not listed,
/// and ended by its client.
#[test]
fn nothing_is_kept_of_unknown_hosts_whose_tasks_ended() {
    let mut world = World::new(5, &hosts(HOSTS));
    let conn = world.connect_client();
    for id in 1..=200 {
        world.send_request(conn, hand_over(id, 1_000 + id));
        world.cancel_request(conn, id);
        world.run(50 * MS);
    }
    world.run(20 * SECOND);
    let sizes = world.engine.sizes();
    assert_eq!((sizes.hosts, sizes.requests), (usize::from(HOSTS), 0));
}

/// A bad client hands over a task that no host knows on a connection of its own, which it closes after `open_for`. Connections
/// that are open are in `open`, with the time of their close.
fn bad_client_with_one_task(
    world: &mut World,
    open: &mut VecDeque<(u64, ConnId)>,
    id: u64,
    open_for: u64,
) {
    while open
        .front()
        .is_some_and(|(closes_at, _)| *closes_at <= world.now)
    {
        if let Some((_, conn)) = open.pop_front() {
            world.close_client(conn);
        }
    }
    let conn = world.connect_client();
    world.send_request(conn, hand_over(id, 1 + id % u64::from(HOSTS)));
    open.push_back((world.now + open_for, conn));
}

/// Runs a flood of `count` false tasks, a connection for each, that stays open for `open_for`.
fn flood_of_connections(world: &mut World, first: u64, count: u64, open_for: u64) {
    const INTERVAL: u64 = MS;
    // Fewer connections are open at a time than the placer accepts.
    const MOST_OPEN: u64 = 8;
    let interval = INTERVAL.max(open_for / MOST_OPEN);
    let mut open = VecDeque::new();
    for id in first..first + count {
        bad_client_with_one_task(world, &mut open, id, open_for);
        world.run(interval);
    }
    for (_, conn) in open {
        world.close_client(conn);
    }
}

/// Ids of the tasks that hosts were asked to stop, without false ones.
fn stopped(world: &World) -> Vec<u64> {
    let stops = world
        .to_hosts
        .iter()
        .filter_map(|(_, message)| match message {
            ToHost::Release { id, .. } if *id < FALSE_IDS => Some(*id),
            _ => None,
        });
    stops.collect()
}

/// Checks that nothing was done to the tasks with ids up to `count`, and that the end of each is passed on.
fn check_served(world: &mut World, count: u64, name: &str) {
    assert_eq!(stopped(world), [0; 0], "{name}: stopped by the placer");
    assert_eq!(ended(world), [0; 0], "{name}: reported as over");
    for id in 1..=count {
        let port = world.running_tasks[&id];
        world.finish_task(id, port);
    }
    // An owner whose connection has gone comes again with a request.
    let conn = world.connect_client();
    world.send_request(conn, placement_request(u64::MAX, "play", 1_000));
    world.run(SECOND);
    let mut told = ended(world);
    told.sort_unstable();
    assert_eq!(told, (1..=count).collect::<Vec<u64>>(), "{name}");
}

/// Guards against true tasks that are cut for false ones: a flood that uses a connection for each task was many groups of
/// one task, and an owner with a few quiet ones was the largest group.
#[test]
fn an_owner_of_few_quiet_tasks_outlasts_a_flood_of_connections() {
    const TASKS: u64 = 6;
    const FLOOD: u64 = 3 * UNCONFIRMED_TASKS as u64;
    for open_for in [0, 20 * MS] {
        let mut world = World::new(6, &hosts(HOSTS));
        owner_hands_over(&mut world, 1, TASKS);
        world.run(2 * SECOND);
        flood_of_connections(&mut world, FALSE_IDS, FLOOD, open_for);
        check_served(&mut world, TASKS, &format!("open for {open_for} us"));
    }
}

/// An owner whose connections carry no request closes them after 4 s, while its tasks run on.
const OWNER_CLOSES_AFTER: u64 = 4 * SECOND;

/// The same, for an owner whose connection is gone when the flood comes: its tasks and those of the flood come from
/// connections that have ended.
#[test]
fn few_quiet_tasks_of_a_connection_that_has_gone_outlast_a_flood_of_connections() {
    const TASKS: u64 = 6;
    const FLOOD: u64 = 3 * UNCONFIRMED_TASKS as u64;
    for open_for in [0, 20 * MS] {
        let mut world = World::new(10, &hosts(HOSTS));
        let owner = owner_hands_over(&mut world, 1, TASKS);
        world.run(OWNER_CLOSES_AFTER);
        world.close_client(owner);
        flood_of_connections(&mut world, FALSE_IDS, FLOOD, open_for);
        check_served(&mut world, TASKS, &format!("open for {open_for} us"));
    }
}

/// The same, for an owner that comes while the flood has filled the bound, and closes its connection while it goes on.
#[test]
fn an_owner_that_comes_during_a_flood_of_connections_is_served() {
    const TASKS: u64 = 6;
    const FLOOD: u64 = 2 * UNCONFIRMED_TASKS as u64;
    let mut world = World::new(11, &hosts(HOSTS));
    flood_of_connections(&mut world, FALSE_IDS, FLOOD, 0);
    let owner = owner_hands_over(&mut world, 1, TASKS);
    flood_of_connections(&mut world, 2 * FALSE_IDS, OWNER_CLOSES_AFTER / MS, 0);
    world.close_client(owner);
    flood_of_connections(&mut world, 3 * FALSE_IDS, FLOOD, 100 * MS);
    check_served(&mut world, TASKS, "during a flood");
}

/// The same, for an owner whose connection is reset right after the hand-over, before the flood. Its tasks count as those of
/// a client that came and went, of which the newest are displaced first.
#[test]
fn tasks_of_a_connection_that_was_reset_at_once_outlast_a_later_flood() {
    const TASKS: u64 = 6;
    const FLOOD: u64 = 3 * UNCONFIRMED_TASKS as u64;
    let mut world = World::new(12, &hosts(HOSTS));
    let owner = owner_hands_over(&mut world, 1, TASKS);
    world.close_client(owner);
    flood_of_connections(&mut world, FALSE_IDS, FLOOD, 0);
    check_served(&mut world, TASKS, "reset at once");
}

/// The same beside clients that stay connected and hand over false tasks all the time. Their groups get larger than the
/// owner's, and count what was displaced of them.
#[test]
fn an_owner_of_few_quiet_tasks_outlasts_clients_that_stay_connected() {
    const TASKS: u64 = 30;
    const BAD_CLIENTS: u64 = 8;
    let mut world = World::new(13, &hosts(HOSTS));
    owner_hands_over(&mut world, 1, TASKS);
    let bad: Vec<ConnId> = (0..BAD_CLIENTS).map(|_| world.connect_client()).collect();
    for index in 0..4 * UNCONFIRMED_TASKS as u64 {
        let id = FALSE_IDS + index;
        let conn = bad[(index % BAD_CLIENTS) as usize];
        world.send_request(conn, hand_over(id, 1 + id % u64::from(HOSTS)));
        world.run(MS);
    }
    check_served(&mut world, TASKS, "clients that stay connected");
}
