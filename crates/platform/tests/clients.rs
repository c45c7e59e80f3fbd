//! Clients: which messages are rejected, to which connection ends of tasks are sent, and when connections are closed.

mod world;

use reedring_platform::Input;
use reedring_platform_protocol::REFUSED;
use reedring_platform_protocol::client::{FromClient, InvalidMessage, MessageError, ToClient};
use reedring_platform_protocol::host::ToHost;
use world::{
    MS, PENDING_REQUEST_BYTES, REQUEST_RECORD_BYTES, SECOND, World, hosts, placement_request,
    task_end,
};

/// A connection on which a request was answered stays open, so that the end of the task can be sent on it much later.
#[test]
fn a_connection_with_a_running_task_stays_open_and_receives_its_end() {
    let mut world = World::new(1, &hosts(2));
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 1_000));
    world.run(30 * SECOND);
    world.finish_task(1, world.running_tasks[&1]);
    assert!(world.clients.contains(&conn));
    assert_eq!(
        (world.outcomes[&1].answers, world.outcomes[&1].task_ends),
        (1, 1)
    );
}

#[test]
fn a_task_end_is_sent_on_another_connection_or_on_the_next_one() {
    let mut world = World::new(2, &hosts(1));
    let conn = world.connect_client();
    world.send_request(conn, placement_request(1, "play", 1_000));
    world.send_request(conn, placement_request(2, "play", 1_000));
    world.run(50 * MS);
    let (other, unused) = (world.connect_client(), world.connect_client());
    world.send_request(other, placement_request(3, "play", 1_000));
    world.run(50 * MS);
    world.close_client(conn);
    let link = world.to_hosts[0].0;
    world.process_input(Input::HostMessage(link, task_end(1)));
    let notified_conns = |world: &World, id: u64| {
        let is_end =
            |m: &ToClient| matches!(m, ToClient::Release { id: ended, .. } if *ended == id);
        world
            .to_clients
            .iter()
            .filter(|(_, m)| is_end(m))
            .map(|(conn, _)| *conn)
            .collect::<Vec<_>>()
    };
    assert_eq!(
        notified_conns(&world, 1),
        [other],
        "the end must not be sent on a connection without requests"
    );
    // The end was sent shortly before the connection closed and was not confirmed: it is sent again on the next
    // connection with a request.
    world.close_client(other);
    world.close_client(unused);
    world.process_input(Input::HostMessage(link, task_end(2)));
    assert!(notified_conns(&world, 2).is_empty());
    let next = world.connect_client();
    world.send_request(next, placement_request(4, "play", 1_000));
    assert_eq!(
        (notified_conns(&world, 1), notified_conns(&world, 2)),
        (vec![other, next], vec![next])
    );
}

#[test]
fn a_task_handed_over_under_two_ids_is_adopted_once_and_a_link_to_its_host_is_made() {
    let mut world = World::new(3, &hosts(2));
    let conn = world.connect_client();
    let mut handed_over = placement_request(9, "print", 4_294_967);
    handed_over.runs_at = Some("h-1".to_owned());
    world.send_request(conn, handed_over.clone());
    handed_over.id = 10;
    world.send_request(conn, handed_over);
    world.run(100 * MS);
    assert!(
        world.to_clients.is_empty(),
        "a handed over task must not be answered"
    );
    assert_eq!(world.engine.sizes().requests, 1);
    assert_eq!(
        world.engine.sizes().links,
        1,
        "a link is needed to receive the end of the task"
    );
}

#[test]
fn a_request_with_an_id_in_use_is_rejected_on_the_connection_that_sent_it() {
    let mut world = World::new(4, &hosts(2));
    let (client, duplicate) = (world.connect_client(), world.connect_client());
    world.send_request(client, placement_request(1, "play", 1_000));
    world.run(2 * MS);
    world.process_input(Input::ClientMessage(
        duplicate,
        Ok(FromClient::PlacementRequest(Box::new(placement_request(
            1, "print", 1_000,
        )))),
    ));
    world.run(SECOND);
    let received = |conn| {
        world
            .to_clients
            .iter()
            .filter(move |(to, _)| *to == conn)
            .map(|(_, m)| m)
            .collect::<Vec<_>>()
    };
    assert!(
        matches!(received(client)[0], ToClient::Answer { id: 1, .. }),
        "{:?}",
        received(client)
    );
    assert!(
        matches!(received(duplicate)[..], [ToClient::Release { id: 1, cause, .. }] if *cause != REFUSED)
    );
}

#[test]
fn two_requests_with_one_id_get_one_answer() {
    let mut world = World::new(5, &hosts(2));
    let conn = world.connect_client();
    for _ in 0..2 {
        let request = Ok(FromClient::PlacementRequest(Box::new(placement_request(
            1, "play", 1_000,
        ))));
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, request));
    }
    world.run(SECOND);
    let answers = world
        .to_clients
        .iter()
        .filter(|(to, _)| *to == conn)
        .count();
    assert_eq!(answers, 1, "{:?}", world.to_clients);
}

#[test]
fn invalid_messages_are_rejected_and_after_many_of_them_the_connection_is_closed() {
    let mut world = World::new(6, &hosts(2));
    let (bad, good) = (world.connect_client(), world.connect_client());
    let invalid = || {
        Err(InvalidMessage {
            id: 77,
            error: MessageError::UnknownType(99),
        })
    };
    world.process_input(Input::ClientMessage(bad, invalid()));
    assert!(
        matches!(world.to_clients[..], [(to, ToClient::Release { id: 77, cause, .. })] if to == bad && cause != REFUSED)
    );
    for mut request in [
        placement_request(78, "sing", 1_000),
        placement_request(79, "play", 1_000),
        placement_request(80, "play", 1_000),
    ] {
        match request.id {
            79 => request.tenant = Some("nobody".to_owned()),
            80 => request.cores = 1e12,
            _ => {}
        }
        world.send_request(bad, request);
    }
    assert_eq!(world.to_clients.len(), 4);
    for _ in 0..20 {
        world.process_input(Input::ClientMessage(bad, invalid()));
    }
    assert!(!world.clients.contains(&bad) && world.clients.contains(&good));
    world.send_request(good, placement_request(1, "play", 1_000));
    world.run(SECOND);
    assert!(
        world
            .to_hosts
            .iter()
            .all(|(_, m)| matches!(m, ToHost::PlacementRequest { id: 1, .. })),
        "{:?}",
        world.to_hosts
    );
    assert_eq!(world.outcomes[&1].answers, 1);
}

#[test]
fn silent_connections_are_closed_after_a_time_and_when_a_new_one_needs_their_place() {
    let mut world = World::new(7, &hosts(2));
    let silent = world.connect_client();
    world.run(2_700 * MS);
    assert!(!world.clients.contains(&silent));
    let answered = world.connect_client();
    world.send_request(answered, placement_request(1, "play", 1_000));
    world.run(100 * MS);
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(world.connect_client());
        world.run(MS);
    }
    assert!(world.engine.sizes().clients <= 16);
    assert!(
        world.clients.contains(&answered),
        "connections without requests must be closed before one with a task"
    );
    assert!(world.clients.contains(&idle[39]));
}

/// Guards against a limit on memory that counts descriptions alone: a request may be as large by its idempotency key.
#[test]
fn all_texts_of_pending_requests_count_against_their_limit() {
    let mut world = World::new(30, &hosts(2));
    world.hosts_ignore_requests = true;
    let conn = world.connect_client();
    let most = 400;
    for id in 1..=most {
        let mut request = placement_request(id, "take", 8_000);
        request.idempotency_key = Some("k".repeat(15_000));
        world.send_request(conn, request);
    }
    let failed = (1..=most).filter(|id| world.outcomes[id].failures == 1);
    let pending = most - failed.count() as u64;
    // A connection may use as much as it leaves free.
    let largest = PENDING_REQUEST_BYTES as u64 / (15_000 + REQUEST_RECORD_BYTES as u64);
    let largest = largest.div_ceil(2);
    assert!((largest - 2..=largest).contains(&pending), "{pending}");
}

/// All places for clients are taken by connections with pending requests: a request on one more connection fails at
/// once, and the others are not affected.
#[test]
fn a_client_beyond_the_limit_gets_a_failure_at_once() {
    let mut world = World::new(28, &hosts(2));
    world.connect_delay = Some(900 * MS);
    for id in 1..=16 {
        let conn = world.connect_client();
        world.send_request(conn, placement_request(id, "play", 3_000));
    }
    let late = world.connect_client();
    world.send_request(late, placement_request(17, "play", 3_000));
    assert_eq!(world.outcomes[&17].failures, 1);
    assert!(
        !world.clients.contains(&late),
        "the connection must be closed, to free its place"
    );
    assert_eq!(world.clients.len(), 16, "no other connection may be closed");
    world.run(4 * SECOND);
    for id in 1..=16 {
        let outcome = &world.outcomes[&id];
        assert_eq!(outcome.final_answers(), 1, "{id}: {outcome:?}");
    }
}
