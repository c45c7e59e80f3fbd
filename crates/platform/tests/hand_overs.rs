//! Tasks that clients hand over as running: false ones hold a bounded amount of memory, and true ones are served beside
//! them.

mod world;

use reedring_platform::ConnId;
use reedring_platform_protocol::client::{PlacementRequest, ToClient};
use world::{MS, SECOND, UNCONFIRMED_TASKS, World, hosts, placement_request};

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

/// A discarded task might exist after all: its host is asked to stop it, and its client is notified, so that the client may
/// request it anew.
#[test]
fn a_discarded_task_is_stopped_and_its_client_notified() {
    let mut world = World::new(4, &hosts(HOSTS));
    let conn = owner_hands_over(&mut world, 1, UNCONFIRMED_TASKS as u64);
    world.run(SECOND);
    assert!(ended(&world).is_empty());
    owner_hands_over(&mut world, 5_000, 2);
    world.run(SECOND);
    assert_eq!(ended(&world), [1, 2]);
    assert!(!world.running_tasks.contains_key(&1) && !world.running_tasks.contains_key(&2));
    assert!(world.running_tasks.contains_key(&3) && world.running_tasks.contains_key(&5_000));
    assert!(world.clients.contains(&conn));
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
