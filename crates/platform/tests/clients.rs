//! Clients: what they may say, where the ends of their tasks are told, and when they are closed on.

mod world;

use reedring_platform::Input;
use reedring_platform_protocol::FULL;
use reedring_platform_protocol::client::{FromClient, InvalidMessage, MessageError, ToClient};
use reedring_platform_protocol::host::ToHost;
use world::{MS, SECOND, World, end, hosts, setup};

/// Who asks on the one connection that stands is told the end on it, also long after.
#[test]
fn an_answered_connection_stays_for_the_end() {
    let mut world = World::new(1, &hosts(2));
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 1_000));
    world.run(30 * SECOND);
    world.tell(Input::HostMessage(world.to_hosts[0].0, end(1)));
    assert!(world.clients.contains(&conn));
    assert_eq!((world.heard[&1].answers, world.heard[&1].ends), (1, 1));
}

#[test]
fn an_end_goes_to_another_connection_or_waits_for_the_next() {
    let mut world = World::new(2, &hosts(1));
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 1_000));
    world.ask(conn, setup(2, "play", 1_000));
    world.run(50 * MS);
    let (other, stranger) = (world.connect(), world.connect());
    world.ask(other, setup(3, "play", 1_000));
    world.run(50 * MS);
    world.close(conn);
    let link = world.to_hosts[0].0;
    world.tell(Input::HostMessage(link, end(1)));
    let told = |world: &World, id: u64| {
        let tells = |m: &ToClient| matches!(m, ToClient::Release { id: told, .. } if *told == id);
        world
            .to_clients
            .iter()
            .filter(|(_, m)| tells(m))
            .map(|(conn, _)| *conn)
            .collect::<Vec<_>>()
    };
    assert_eq!(told(&world, 1), [other], "and not to who never asked");
    // It crossed the close: it is told again, to the next that shows itself a client.
    world.close(other);
    world.close(stranger);
    world.tell(Input::HostMessage(link, end(2)));
    assert!(told(&world, 2).is_empty());
    let next = world.connect();
    world.ask(next, setup(4, "play", 1_000));
    assert_eq!(
        (told(&world, 1), told(&world, 2)),
        (vec![other, next], vec![next])
    );
}

#[test]
fn a_task_handed_over_is_adopted_once_and_its_host_connected_to() {
    let mut world = World::new(3, &hosts(2));
    let conn = world.connect();
    let mut at = setup(9, "print", 4_294_967);
    at.runs_at = Some("h-1".to_owned());
    world.ask(conn, at.clone());
    at.id = 10;
    world.ask(conn, at);
    world.run(100 * MS);
    assert!(world.to_clients.is_empty(), "it expects no answer");
    assert_eq!(world.engine.sizes().requests, 1);
    assert_eq!(world.engine.sizes().links, 1, "its end is to be heard");
}

#[test]
fn an_id_that_is_open_is_turned_away_on_the_offenders_connection() {
    let mut world = World::new(4, &hosts(2));
    let (client, offender) = (world.connect(), world.connect());
    world.ask(client, setup(1, "play", 1_000));
    world.run(2 * MS);
    world.tell(Input::ClientMessage(
        offender,
        Ok(FromClient::PlacementRequest(Box::new(setup(
            1, "print", 1_000,
        )))),
    ));
    world.run(SECOND);
    let got = |conn| {
        world
            .to_clients
            .iter()
            .filter(move |(to, _)| *to == conn)
            .map(|(_, m)| m)
            .collect::<Vec<_>>()
    };
    assert!(
        matches!(got(client)[0], ToClient::Answer { id: 1, .. }),
        "{:?}",
        got(client)
    );
    assert!(
        matches!(got(offender)[..], [ToClient::Release { id: 1, cause, .. }] if *cause != FULL)
    );
}

#[test]
fn two_set_ups_under_one_id_leave_one_answer() {
    let mut world = World::new(5, &hosts(2));
    let conn = world.connect();
    for _ in 0..2 {
        let twice = Ok(FromClient::PlacementRequest(Box::new(setup(
            1, "play", 1_000,
        ))));
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, twice));
    }
    world.run(SECOND);
    let finals = world
        .to_clients
        .iter()
        .filter(|(to, _)| *to == conn)
        .count();
    assert_eq!(finals, 1, "{:?}", world.to_clients);
}

#[test]
fn bad_messages_are_turned_away_and_their_sender_closed_on() {
    let mut world = World::new(6, &hosts(2));
    let (bad, good) = (world.connect(), world.connect());
    let wrong = || {
        Err(InvalidMessage {
            id: 77,
            error: MessageError::UnknownType(99),
        })
    };
    world.tell(Input::ClientMessage(bad, wrong()));
    assert!(
        matches!(world.to_clients[..], [(to, ToClient::Release { id: 77, cause, .. })] if to == bad && cause != FULL)
    );
    for mut odd in [
        setup(78, "sing", 1_000),
        setup(79, "play", 1_000),
        setup(80, "play", 1_000),
    ] {
        match odd.id {
            79 => odd.tenant = Some("nobody".to_owned()),
            80 => odd.cores = 1e12,
            _ => {}
        }
        world.ask(bad, odd);
    }
    assert_eq!(world.to_clients.len(), 4);
    for _ in 0..20 {
        world.tell(Input::ClientMessage(bad, wrong()));
    }
    assert!(!world.clients.contains(&bad) && world.clients.contains(&good));
    world.ask(good, setup(1, "play", 1_000));
    world.run(SECOND);
    assert!(
        world
            .to_hosts
            .iter()
            .all(|(_, m)| matches!(m, ToHost::PlacementRequest { id: 1, .. })),
        "{:?}",
        world.to_hosts
    );
    assert_eq!(world.heard[&1].answers, 1);
}

#[test]
fn silence_is_closed_on_in_time_and_the_oldest_idle_makes_room() {
    let mut world = World::new(7, &hosts(2));
    let silent = world.connect();
    world.run(2_700 * MS);
    assert!(!world.clients.contains(&silent));
    let answered = world.connect();
    world.ask(answered, setup(1, "play", 1_000));
    world.run(100 * MS);
    let mut idle = Vec::new();
    for _ in 0..40 {
        idle.push(world.connect());
        world.run(MS);
    }
    assert!(world.engine.sizes().clients <= 16);
    assert!(
        world.clients.contains(&answered),
        "who said nothing goes first"
    );
    assert!(world.clients.contains(&idle[39]));
}

/// All places are taken by clients that wait for answers: whoever comes then is answered too, and at once.
#[test]
fn who_comes_when_all_places_are_taken_is_answered() {
    let mut world = World::new(28, &hosts(2));
    world.slow = Some(900 * MS);
    for id in 1..=16 {
        let conn = world.connect();
        world.ask(conn, setup(id, "play", 3_000));
    }
    let late = world.connect();
    world.ask(late, setup(17, "play", 3_000));
    assert_eq!(world.heard[&17].failures, 1);
    assert!(
        !world.clients.contains(&late),
        "and closed on, for the next one's sake"
    );
    assert_eq!(world.clients.len(), 16, "and costs the others nothing");
    world.run(4 * SECOND);
    for id in 1..=16 {
        let heard = &world.heard[&id];
        assert_eq!(heard.finals(), 1, "{id}: {heard:?}");
    }
}
