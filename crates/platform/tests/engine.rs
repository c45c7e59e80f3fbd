//! The engine in simulated time: one final answer, one live attempt, and nothing that grows.

mod world;

use proptest::prelude::*;
use reedring_platform::Input;
use reedring_platform_protocol::client::{FromClient, ToClient};
use reedring_platform_protocol::host::FromHost;
use world::{CLASSES, MS, SECOND, World, end, hosts, line, setup, told};

/// Everybody does as they please: clients come and go, hosts answer, refuse, err, say nothing or break.
fn play(seed: u64, steps: u32) -> World {
    let mut world = World::new(seed, &hosts(4));
    world.unruly = true;
    let (mut id, mut rev) = (0, 1);
    for _ in 0..steps {
        let conns: Vec<u64> = world.clients.iter().copied().collect();
        let at = world.below(conns.len().max(1) as u32) as usize;
        match world.below(20) {
            0..2 => drop(world.connect()),
            2 if !conns.is_empty() => {
                let conn = conns[at];
                world.close(conn);
            }
            3 => {
                rev += 1;
                let n = 1 + world.below(4) as u16;
                let health = ["active", "leaving"][world.below(2) as usize];
                let site = if n.is_multiple_of(2) { "east" } else { "west" };
                world.tell(Input::DiscoveryUpdate(told(
                    rev,
                    false,
                    &[line(&format!("h-{n}"), n, site, health, 0)],
                )));
            }
            17 if !conns.is_empty() => {
                let conn = conns[at];
                world.end(conn);
            }
            4 if !conns.is_empty() && id > 0 => {
                // Somebody's id, taken back by whoever: only who asked may.
                let id = 1 + u64::from(world.below(id as u32));
                world.cancel(conns[at], id);
            }
            _ if !conns.is_empty() => {
                id += 1;
                let class = CLASSES[world.below(3) as usize];
                let left = 500 + u64::from(world.below(4_000));
                world.ask(conns[at], setup(id, class, left));
            }
            _ => {}
        }
        let pause = u64::from(world.below(60)) * MS;
        world.run(pause);
    }
    world.run(30 * SECOND);
    world
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    #[test]
    fn every_set_up_gets_one_final_answer_whatever_happens(seed in any::<u64>()) {
        // That no attempt is out twice, and nothing unsafe sent again, is checked at each message.
        let world = play(seed, 150);
        for (id, heard) in &world.heard {
            let finals = heard.finals();
            prop_assert!(finals <= 1, "{id}: {heard:?}");
        }
        let sizes = world.engine.sizes();
        prop_assert_eq!(sizes.health_checks, 0);
        prop_assert!(sizes.clients <= 16 && sizes.links <= 24, "{:?}", sizes);
    }

    #[test]
    fn equal_inputs_give_equal_outputs(seed in any::<u64>()) {
        let [first, second] = [0, 1].map(|_| play(seed, 60));
        prop_assert_eq!(first.to_clients, second.to_clients);
        prop_assert_eq!(first.to_hosts, second.to_hosts);
    }
}

#[test]
fn clients_that_stay_are_all_answered_before_they_give_up() {
    for seed in 0..24 {
        let mut world = World::new(seed, &hosts(4));
        world.unruly = true;
        let conn = world.connect();
        for id in 1..=60 {
            world.ask(conn, setup(id, CLASSES[id as usize % 3], 1_500));
            world.run(20 * MS);
        }
        world.run(1_500 * MS);
        for (id, heard) in &world.heard {
            assert_eq!(heard.finals(), 1, "{seed}: {id}: {heard:?}");
        }
    }
}

#[test]
fn a_host_that_says_nothing_loses_no_task() {
    let mut world = World::new(8, &hosts(1));
    let conn = world.connect();
    world.ask(conn, setup(1, "print", 900));
    world.run(10 * MS);
    // Its answer never comes: the attempt ends by its own time, and the connection is used no more.
    let link = world.to_hosts[0].0;
    world.tell(Input::LinkUp(link));
    world.tell(Input::HostMessage(link, FromHost::Ignored));
    world.unruly = true;
    let before = world.engine.sizes().links;
    assert_eq!(before, 1);
    world.run(SECOND);
    assert_eq!(world.heard[&1].answers + world.heard[&1].failures, 1);
}

#[test]
fn a_placer_that_is_asked_to_end_answers_all_and_fails_its_test() {
    let mut world = World::new(11, &hosts(2));
    let conn = world.connect();
    world.ask(conn, setup(1, "play", 1_000));
    world.tell(Input::Terminate);
    world.tell(Input::ClientMessage(conn, Ok(FromClient::HealthCheck(5))));
    assert!(world.to_clients.contains(&(
        conn,
        ToClient::HealthCheckResult {
            id: 5,
            passed: false
        }
    )));
    world.run(600 * MS);
    // Requests keep coming for a while, on new connections too.
    let late = world.connect();
    world.ask(late, setup(2, "play", 1_000));
    assert!(!world.finished);
    world.run(SECOND);
    assert!(world.finished);
    assert_eq!((world.heard[&1].answers, world.heard[&2].answers), (1, 1));
}

#[test]
fn nothing_grows_with_what_came_and_went() {
    let mut world = World::new(12, &[line("h-0", 1, "east", "active", 0)]);
    let mut largest = world.engine.sizes();
    for n in 1..600_u64 {
        let (old, new) = (format!("h-{}", n - 1), format!("h-{n}"));
        let address = |n: u64| 1 + (n % 7) as u16;
        world.tell(Input::DiscoveryUpdate(told(
            2 * n,
            false,
            &[line(&new, address(n), "east", "active", 1)],
        )));
        world.tell(Input::DiscoveryUpdate(told(
            2 * n + 1,
            false,
            &[line(&old, address(n - 1), "east", "left", 1)],
        )));
        let conn = world.connect();
        world.ask(conn, setup(n, CLASSES[n as usize % 3], 1_000));
        world.run(SECOND);
        world.close(conn);
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

#[test]
fn a_placer_that_may_end_says_so_again_once_what_came_since_is_answered() {
    let mut world = World::new(27, &hosts(2));
    let conn = world.connect();
    world.tell(Input::Terminate);
    world.run(1_100 * MS);
    assert!(world.finished);
    // It was behind: this had come before.
    world.finished = false;
    world.ask(conn, setup(1, "play", 1_000));
    assert!(!world.finished);
    world.run(SECOND);
    world.tell(Input::HostMessage(world.to_hosts[0].0, end(1)));
    assert_eq!(
        (
            world.heard[&1].answers,
            world.heard[&1].ends,
            world.finished
        ),
        (1, 1, true)
    );
}
