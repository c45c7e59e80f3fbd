//! Notification of task ends: which connections they are sent on when that of the request is gone, and what is kept while
//! there is none.

mod world;

use reedring_platform::{ConnId, Input};
use reedring_platform_protocol::client::{
    FromClient, InvalidMessage, MessageError, PlacementRequest, ToClient,
};
use reedring_platform_protocol::host::ToHost;
use world::{MS, SECOND, World, hosts, placement_request};

const TASKS: u64 = 12;
const HOST: u16 = 1;
/// How long owners keep a connection that carries no set-up.
const OWNER_CLOSE_AFTER: u64 = 4 * SECOND;

/// A world in which the tasks 1 to [`TASKS`] run, and whose owner has closed the connection on which it requested them.
fn running_tasks_without_connection(seed: u64) -> World {
    let mut world = World::new(seed, &hosts(HOST));
    let conn = world.connect_client();
    for id in 1..=TASKS {
        world.send_request(conn, placement_request(id, "play", 1_000));
    }
    world.run(OWNER_CLOSE_AFTER);
    assert!((1..=TASKS).all(|id| world.outcomes[&id].answers == 1));
    world.close_client(conn);
    world
}

/// The connections on which the end of a task was sent.
fn notified_conns(world: &World, id: u64) -> Vec<ConnId> {
    let ends = world.to_clients.iter().filter(
        |(_, message)| matches!(message, ToClient::Release { id: ended, .. } if *ended == id),
    );
    ends.map(|(conn, _)| *conn).collect()
}

/// A connection of the owner on which it ends a task.
fn end_task_on_new_connection(world: &mut World, id: u64) -> ConnId {
    let conn = world.connect_client();
    world.cancel_request(conn, id);
    conn
}

/// Guards against ends that are never sent: a connection on which an owner only ended tasks was no route for the ends of its
/// other tasks, so they waited for a request that did not come, and the connection was closed as idle.
#[test]
fn ends_are_sent_on_connections_that_carry_releases_alone() {
    let mut world = running_tasks_without_connection(1);
    let conn = end_task_on_new_connection(&mut world, 1);
    world.run(3 * SECOND);
    assert!(
        world.clients.contains(&conn),
        "an owner's connection is kept"
    );
    world.finish_task(2, HOST);
    assert_eq!(notified_conns(&world, 2), [conn]);
    // The owner is not notified of the task that it ended itself.
    assert!(notified_conns(&world, 1).is_empty());
}

/// The ends of tasks wait for whatever their owner sends next, not only for a request.
#[test]
fn waiting_ends_are_sent_when_an_owner_ends_another_task() {
    let mut world = running_tasks_without_connection(2);
    for id in 2..=6 {
        world.finish_task(id, HOST);
    }
    world.run(2 * SECOND);
    let conn = end_task_on_new_connection(&mut world, 1);
    for id in 2..=6 {
        assert_eq!(notified_conns(&world, id), [conn], "{id}");
    }
}

/// An owner ends a task whose end waits for a connection: it is owed no notification of that one, but of the others.
#[test]
fn a_release_of_a_task_that_has_ended_shows_its_owner() {
    let mut world = running_tasks_without_connection(3);
    world.finish_task(1, HOST);
    world.finish_task(2, HOST);
    let conn = end_task_on_new_connection(&mut world, 1);
    assert_eq!(notified_conns(&world, 2), [conn]);
    assert!(notified_conns(&world, 1).is_empty());
    assert_eq!(world.engine.sizes().task_ends, 1, "the end just sent");
}

/// Ends must not be sent to clients that have shown nothing of an owner: silent ones, health checks, and releases of ids
/// that the placer does not know.
#[test]
fn ends_are_not_sent_on_connections_of_strangers() {
    let mut world = running_tasks_without_connection(4);
    let strangers = [
        world.connect_client(),
        world.connect_client(),
        world.connect_client(),
    ];
    world.process_input(Input::ClientMessage(
        strangers[1],
        Ok(FromClient::HealthCheck(7)),
    ));
    world.cancel_request(strangers[2], 999);
    world.finish_task(2, HOST);
    world.run(SECOND);
    assert!(notified_conns(&world, 2).is_empty());
    let owner = end_task_on_new_connection(&mut world, 1);
    assert_eq!(notified_conns(&world, 2), [owner]);
}

/// Guards against tasks that run on without an owner: the owner ends one on a connection that the placer has just decided
/// to close, or that has ended.
#[test]
fn a_release_counts_although_its_connection_is_closed() {
    for is_closed_by_client in [false, true] {
        let mut world = running_tasks_without_connection(6);
        let conn = world.connect_client();
        if is_closed_by_client {
            world.close_client(conn);
        } else {
            for _ in 0..16 {
                let invalid = InvalidMessage {
                    id: 77,
                    error: MessageError::UnknownType(99),
                };
                world
                    .engine
                    .handle(world.now, Input::ClientMessage(conn, Err(invalid)));
            }
        }
        world.cancel_request(conn, 1);
        let released =
            |(_, message): &(_, ToHost)| matches!(message, ToHost::Release { id: 1, .. });
        assert!(world.to_hosts.iter().any(released), "{is_closed_by_client}");
        world.run(SECOND);
        assert!(!world.running_tasks.contains_key(&1));
        assert!(world.running_tasks.contains_key(&2));
    }
}

/// Guards against ends that fill the memory: tasks handed over at hosts that are not listed end after some seconds, and no
/// connection of an owner is left for the notifications.
#[test]
fn ends_that_wait_for_a_connection_are_bounded() {
    const MOST_ENDS: usize = 2 * 16_384;
    let mut world = World::new(5, &hosts(HOST));
    for round in 0..60_u64 {
        let conn = world.connect_client();
        for index in 0..900 {
            let id = 1 + round * 900 + index;
            let mut request = placement_request(id, "play", 8_000);
            request.runs_at = Some(format!("unlisted-{id}"));
            world.send_request(conn, request);
        }
        world.close_client(conn);
        world.run(100 * MS);
        let sizes = world.engine.sizes();
        assert!(sizes.task_ends <= MOST_ENDS, "{sizes:?}");
    }
    world.run(60 * SECOND);
    assert_eq!(world.engine.sizes().task_ends, 0);
}

/// How often bad clients come, each of which hands over a task that no host knows.
const BAD_CLIENT_INTERVAL: u64 = 300 * MS;
/// Ids from here on are false.
const FALSE_IDS: u64 = 1_000_000;

/// Bad clients come one after the other for `duration`, and stay connected.
fn bad_clients_come(world: &mut World, duration: u64) {
    for number in 0..duration / BAD_CLIENT_INTERVAL {
        let conn = world.connect_client();
        let id = FALSE_IDS + world.now + number;
        world.send_request(conn, handed_over(id));
        world.run(BAD_CLIENT_INTERVAL);
    }
}

fn handed_over(id: u64) -> PlacementRequest {
    PlacementRequest {
        runs_at: Some(format!("h-{HOST}")),
        ..placement_request(id, "play", 8_000)
    }
}

/// Guards against ends that never reach their owner: a client that handed over a task which no host knows got the ends of other
/// clients' tasks, and it alone, as it had been active last.
#[test]
fn ends_do_not_go_to_clients_that_only_claim_to_own_tasks() {
    let mut world = running_tasks_without_connection(8);
    // The owner has another connection, on which a task of its was placed.
    let owner = world.connect_client();
    world.send_request(owner, placement_request(100, "play", 1_000));
    world.run(SECOND);
    bad_clients_come(&mut world, 3 * SECOND);
    for id in 1..=TASKS {
        world.finish_task(id, HOST);
        assert_eq!(notified_conns(&world, id), [owner], "{id}");
    }
}

/// After a restart of the placer no host has confirmed anything yet. Nothing tells the owner from bad clients, so each gets the end,
/// and the owner among them.
#[test]
fn an_end_goes_to_all_clients_that_claim_tasks_while_no_host_has_confirmed_one() {
    let mut world = World::new(9, &hosts(HOST));
    let first = world.connect_client();
    for id in 1..=3 {
        world.running_tasks.insert(id, HOST);
        world.send_request(first, handed_over(id));
    }
    world.run(OWNER_CLOSE_AFTER);
    world.close_client(first);
    let owner = world.connect_client();
    world.running_tasks.insert(4, HOST);
    world.send_request(owner, handed_over(4));
    bad_clients_come(&mut world, 2 * SECOND);
    world.finish_task(1, HOST);
    let notified = notified_conns(&world, 1);
    assert!(notified.contains(&owner), "{notified:?}");
    // The end of a task that the owner handed over on this connection tells it from the others.
    world.finish_task(4, HOST);
    assert_eq!(notified_conns(&world, 4), [owner]);
    bad_clients_come(&mut world, SECOND);
    world.finish_task(2, HOST);
    assert_eq!(notified_conns(&world, 2), [owner]);
}
