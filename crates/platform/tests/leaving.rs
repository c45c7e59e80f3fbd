//! Clients that have gone: in which instant of a request they go, and that nothing begins for them after that.

mod world;

use reedring_platform::Input;
use reedring_platform::decide::LinkEnd;
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::host::ToHost;
use reedring_platform_protocol::{CUT, FULL, GIVEN_UP};
use world::{MS, SECOND, World, line, setup, told};

/// How a client leaves: it ends, closes, or takes its one set-up back.
const WAYS: [fn(&mut World, u64); 3] = [
    |world, conn| world.end(conn),
    |world, conn| world.close(conn),
    |world, conn| world.cancel(conn, 1),
];

fn world(health: &str) -> World {
    World::new(
        5,
        &[
            line("h-1", 1, "east", health, 0),
            line("h-2", 2, "east", health, 0),
        ],
    )
}

fn setups(world: &World) -> usize {
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

/// Held, as no host takes anything: a client that ended has its answer at once, and what may be placed later is not.
#[test]
fn what_is_held_ends_with_its_client() {
    for (way, answers) in WAYS.into_iter().zip([1, 0, 0]) {
        let mut world = world("leaving");
        let conn = world.connect();
        world.ask(conn, setup(1, "print", 5_000));
        world.run(300 * MS);
        assert!(world.to_clients.is_empty());
        way(&mut world, conn);
        // Refused, as it never ran.
        assert_eq!(causes(&world), vec![FULL; answers]);
        let active = [line("h-1", 1, "east", "active", 0)];
        world.tell(Input::DiscoveryUpdate(told(2, false, &active)));
        world.run(6 * SECOND);
        assert_eq!(setups(&world), 0);
    }
}

/// The attempt waits for a connection that stands only 0.3 s after its client left.
#[test]
fn what_waits_for_a_connection_does_not_leave_after_its_client() {
    for (way, answers) in WAYS.into_iter().zip([1, 0, 0]) {
        let mut world = world("active");
        world.slow = Some(400 * MS);
        let conn = world.connect();
        world.ask(conn, setup(1, "play", 5_000));
        world.run(100 * MS);
        assert!(!world.asked_links().is_empty());
        way(&mut world, conn);
        world.run(90 * MS);
        assert_eq!(
            causes(&world),
            vec![FULL; answers],
            "answered within the 0.1 s"
        );
        world.run(5 * SECOND);
        assert_eq!(setups(&world), 0);
    }
}

/// The attempt is out: its answer is delivered to who ended; for the others it is given up on the wire.
#[test]
fn an_attempt_that_is_out_is_the_last() {
    for (way, ends) in WAYS.into_iter().zip([true, false, false]) {
        // It answers late, or its connection breaks.
        for breaks in [false, true] {
            let mut world = world("active");
            let conn = world.connect();
            world.ask(conn, setup(1, "play", 5_000));
            // The connection stands, and the host has not answered yet.
            while setups(&world) == 0 {
                world.run(MS / 4);
            }
            let (link, _) = world.to_hosts[0];
            way(&mut world, conn);
            let given_up = world.to_hosts.iter().any(|(_, message)| {
                matches!(
                    message,
                    ToHost::Release {
                        id: 1,
                        cause: GIVEN_UP
                    }
                )
            });
            assert_eq!(given_up, !ends);
            if breaks {
                world.tell(Input::LinkDown {
                    link,
                    end: LinkEnd::Reset,
                    messages_begun: u64::MAX,
                });
            }
            world.run(6 * SECOND);
            assert_eq!(setups(&world), 1, "none follows");
            let heard = &world.heard[&1];
            assert_eq!(heard.answers, u32::from(ends && !breaks));
            // It may have run and is safe: asking again is harmless.
            assert_eq!(causes(&world), vec![FULL; usize::from(ends && breaks)]);
        }
    }
}

/// Not a byte of it left on a connection that broke: for a client that went it is not sent once more.
#[test]
fn what_never_left_is_not_sent_again_for_a_client_that_went() {
    for (way, finals) in WAYS.into_iter().zip([1, 0, 0]) {
        let mut world = World::with(5, &[line("h-1", 1, "east", "active", 0)], |settings| {
            settings.module.rules.may_stop = false;
        });
        world.mute = true;
        let conn = world.connect();
        world.ask(conn, setup(1, "play", 5_000));
        world.run(20 * MS);
        // A second one shares its connection, and has another one made ahead.
        let stays = world.connect();
        world.ask(stays, setup(2, "play", 5_000));
        world.run(20 * MS);
        assert_eq!(world.links_up().len(), 2);
        let (link, _) = world.to_hosts[0];
        way(&mut world, conn);
        world.run(50 * MS);
        world.tell(Input::LinkDown {
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
        assert_eq!((sent(1), world.heard[&1].finals()), (1, finals));
        assert_eq!(sent(2), 2, "who stays has it sent once more");
    }
}

/// Where attempts may not be stopped, one that waits for a connection is taken back all the same.
#[test]
fn what_waits_for_a_connection_is_taken_back_where_nothing_may_be_stopped() {
    for way in WAYS {
        let hosts = [line("h-1", 1, "east", "active", 0)];
        let mut world = World::with(5, &hosts, |settings| settings.module.rules.may_stop = false);
        world.slow = Some(400 * MS);
        let conn = world.connect();
        world.ask(conn, setup(1, "play", 5_000));
        world.run(100 * MS);
        way(&mut world, conn);
        world.run(5 * SECOND);
        assert_eq!(setups(&world), 0);
    }
}

/// A repeat was decided in its window, and its connection stands only after that: its host would drop no repeat.
#[test]
fn a_keyed_repeat_leaves_only_in_its_window() {
    for (slow, sent) in [(100 * MS, 2), (400 * MS, 1)] {
        let hosts = [line("h-1", 1, "east", "active", 0)];
        let mut world = World::with(5, &hosts, |settings| {
            (
                settings.module.rules.may_stop,
                settings.module.rules.may_probe,
            ) = (false, false);
        });
        world.mute = true;
        let conn = world.connect();
        world.ask(conn, setup(1, "take", 9_000));
        world.run(4_800 * MS);
        let (link, _) = world.to_hosts[0];
        world.slow = Some(slow);
        // Its window of 5 s ends in 0.2 s. No connection that was made ahead stands.
        let ahead = world
            .asked_links()
            .into_iter()
            .filter(|other| *other != link);
        for link in ahead.chain([link]).collect::<Vec<_>>() {
            world.tell(Input::LinkDown {
                link,
                end: LinkEnd::Reset,
                messages_begun: u64::MAX,
            });
        }
        assert_eq!(setups(&world), 1);
        world.run(9 * SECOND);
        assert_eq!((setups(&world), world.heard[&1].finals()), (sent, 1));
    }
}

/// It asks and ends in one go, and reads: it is served.
#[test]
fn who_asks_and_ends_at_once_is_served() {
    let mut world = world("active");
    let conn = world.connect();
    for id in 1..=3 {
        world.heard.entry(id).or_default().class = "play".to_owned();
        let asks = Ok(
            reedring_platform_protocol::client::FromClient::PlacementRequest(Box::new(setup(
                id, "play", 5_000,
            ))),
        );
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, asks));
    }
    world
        .engine
        .handle(world.now, Input::ClientEndOfStream(conn));
    world.run(SECOND);
    assert!(
        (1..=3).all(|id| world.heard[&id].answers == 1),
        "{:?}",
        world.to_clients
    );
    assert!(!world.clients.contains(&conn), "and closed on");
}

/// A flood, all of which is taken back before the module's turn for it came: nothing of that is sent.
#[test]
fn a_flood_that_is_taken_back_costs_no_attempt_once_that_is_read() {
    use reedring_platform_protocol::client::FromClient;
    let mut world = world("active");
    let (flood, usual) = (world.connect(), world.connect());
    let setups_of = |world: &World, most: u64| {
        let of = |message: &ToHost| matches!(message, ToHost::PlacementRequest { id, .. } if *id <= most);
        world
            .to_hosts
            .iter()
            .filter(|(_, message)| of(message))
            .count()
    };
    let count = 600;
    for id in 1..=count {
        let asks = FromClient::PlacementRequest(Box::new(setup(id, "play", 5_000)));
        world
            .engine
            .handle(world.now, Input::ClientMessage(flood, Ok(asks)));
    }
    world.engine.handle(
        world.now,
        Input::ClientInputRead {
            conn: flood,
            has_more: true,
        },
    );
    world.heard.entry(9_000).or_default().class = "play".to_owned();
    let asks = FromClient::PlacementRequest(Box::new(setup(9_000, "play", 5_000)));
    world
        .engine
        .handle(world.now, Input::ClientMessage(usual, Ok(asks)));
    world.run(20 * MS);
    assert_eq!(setups_of(&world, count), 0, "more is to be read");
    assert_eq!(setups(&world), 1, "others don't wait for it");
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
    assert_eq!(setups_of(&world, count), 0);
    assert_eq!(world.heard[&9_000].answers, 1);
    assert_eq!(world.engine.sizes().requests, 1);
}

/// A flood that is meant: others get their turn beside it, and what it holds is bounded.
#[test]
fn a_flood_takes_turns_with_others_and_what_waits_is_bounded() {
    use reedring_platform_protocol::client::FromClient;
    let mut world = world("active");
    let (flood, usual) = (world.connect(), world.connect());
    let tell = |world: &mut World, conn, id| {
        let asks = FromClient::PlacementRequest(Box::new(setup(id, "play", 5_000)));
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, Ok(asks)));
    };
    let count = 6_000;
    (1..=count).for_each(|id| tell(&mut world, flood, id));
    tell(&mut world, usual, 9_000);
    world.engine.flush(world.now);
    let mut first = Vec::new();
    while let Some(output) = world.engine.poll() {
        first.push(output);
    }
    let turned = first.iter().filter(|output| {
        matches!(
            output,
            reedring_platform::Output::ToClient(_, ToClient::Release { cause: CUT, .. })
        )
    });
    assert!(turned.count() > 1_000, "a bound of 1 MiB is reached");
    assert!(world.engine.has_backlog());
    let held = world.engine.sizes();
    assert!(held.requests < 5_000, "{held:?}");
    assert!(
        held.module[1] <= 32,
        "the module was told of a turn's worth: {held:?}"
    );
}

/// How long the placer waits is told as of when the set-up leaves, not as of when it was decided.
#[test]
fn what_is_left_is_told_when_it_leaves() {
    let mut world = world("active");
    world.slow = Some(400 * MS);
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 5_000));
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

/// Its time is over while it waits for its turn behind a flood: it is answered in time, and never sent.
#[test]
fn what_is_overdue_behind_a_flood_is_answered_in_time() {
    use reedring_platform::Output;
    use reedring_platform_protocol::client::FromClient;
    let mut world = world("active");
    let conn = world.connect();
    for id in 1..=1_000 {
        let left = if id == 1_000 { 30 } else { 5_000 };
        let asks = FromClient::PlacementRequest(Box::new(setup(id, "print", left)));
        world
            .engine
            .handle(world.now, Input::ClientMessage(conn, Ok(asks)));
    }
    // One turn takes this long.
    let mut answered = false;
    for turn in 0..3 {
        world.engine.flush(world.now + turn * 10 * MS);
        while let Some(output) = world.engine.poll() {
            let of = |message: &ToClient| {
                matches!(
                    message,
                    ToClient::Release {
                        id: 1_000,
                        cause: FULL,
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
        "its client waits for 30 ms, and the last turn is at 20"
    );
    assert!(world.engine.has_backlog());
}
