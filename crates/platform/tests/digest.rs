//! Equal behaviour between versions of the code: for each seed, simulated days with faults have to leave the digest of
//! their wire bytes, times and outcomes that commit 073fcce left. The expected values were written by that commit; a
//! change that alters one changes what the software does.

mod world;

use std::collections::BTreeMap;
use std::sync::Arc;

use reedring_platform::decide::LinkEnd;
use reedring_platform::{DiscoveryError, Input};
use reedring_platform_protocol::client::{FromClient, InvalidMessage, MessageError};
use reedring_platform_protocol::discovery::WatchResponse;
use world::digest::Digest;
use world::{CLASSES, MS, SECOND, World, hosts, line, setup, told};

const SEEDS: u64 = 32;
const HOSTS: u16 = 6;

/// Discovery, which may be out of reach while hosts change: what it missed comes in one event afterwards.
struct Discovery {
    revision: u64,
    is_out: bool,
    missed: Vec<String>,
}

impl Discovery {
    fn change(&mut self, world: &mut World, host: String) {
        self.missed.push(host);
        if !self.is_out {
            self.publish(world);
        }
    }

    fn publish(&mut self, world: &mut World) {
        self.revision += 1;
        let event: WatchResponse = told(self.revision, false, &std::mem::take(&mut self.missed));
        world.tell(Input::DiscoveryUpdate(event));
    }

    fn toggle_outage(&mut self, world: &mut World) {
        self.is_out = !self.is_out;
        if self.is_out {
            world.tell(Input::DiscoveryFailed(Arc::new(
                DiscoveryError::NoDescriptor,
            )));
        } else {
            self.publish(world);
        }
    }
}

fn zone_of(n: u16) -> &'static str {
    if n.is_multiple_of(2) { "east" } else { "west" }
}

/// Clients come, ask, take back and go; hosts answer, refuse, fail, say nothing or break; connections to them are
/// refused or slow; discovery goes out of reach. At the end the placer is asked to end.
fn day(seed: u64, steps: u32) -> World {
    let mut world = World::new(seed, &hosts(HOSTS));
    world.unruly = true;
    let mut discovery = Discovery {
        revision: 1,
        is_out: false,
        missed: Vec::new(),
    };
    let mut last_id = 0;
    for _ in 0..steps {
        step(&mut world, &mut discovery, &mut last_id);
        let pause = u64::from(world.below(60)) * MS;
        world.run(pause);
    }
    world.slow = None;
    world.connects = None;
    world.run(5 * SECOND);
    world.tell(Input::Terminate);
    world.run(10 * SECOND);
    world
}

fn step(world: &mut World, discovery: &mut Discovery, last_id: &mut u64) {
    let conns: Vec<u64> = world.clients.iter().copied().collect();
    if conns.is_empty() {
        world.connect();
        return;
    }
    let conn = conns[world.below(conns.len() as u32) as usize];
    let id = 1 + u64::from(world.below(1 + *last_id as u32));
    match world.below(32) {
        0 | 1 => drop(world.connect()),
        2 => world.close(conn),
        3 => world.end(conn),
        4 | 5 => world.cancel(conn, id),
        6 | 7 => {
            let n = 1 + world.below(u32::from(HOSTS)) as u16;
            let health = ["active", "active", "leaving", "left"][world.below(4) as usize];
            let born_ms = if world.below(3) == 0 {
                world.now / 1_000
            } else {
                0
            };
            discovery.change(
                world,
                line(&format!("h-{n}"), n, zone_of(n), health, born_ms),
            );
        }
        8 => discovery.toggle_outage(world),
        9 => world.slow = [None, Some(0), Some(120 * MS), Some(900 * MS)][world.below(4) as usize],
        10 => {
            world.connects = [
                None,
                None,
                Some(LinkEnd::Refused),
                Some(LinkEnd::ConnectFailed),
            ][world.below(4) as usize]
        }
        11 => world.mute = !world.mute,
        13 => world.tell(Input::ClientMessage(conn, Ok(FromClient::HealthCheck(id)))),
        14 => world.tell(Input::ClientMessage(
            conn,
            Ok(FromClient::ReleaseConfirmed(id)),
        )),
        15 => {
            // On an id of its own, or on one that nobody uses.
            let is_own = world.heard.get(&id).is_some_and(|heard| heard.conn == conn);
            let id = if is_own { id } else { id + (1 << 40) };
            let unusable = InvalidMessage {
                id,
                error: MessageError::UnknownType(99),
            };
            world.tell(Input::ClientMessage(conn, Err(unusable)));
        }
        16 => world.tell(Input::ClientInputRead {
            conn,
            has_more: id.is_multiple_of(2),
        }),
        17 => hand_over(world, conn, last_id),
        18 => {
            if let Some((id, port)) = world
                .standing
                .first_key_value()
                .map(|(id, port)| (*id, *port))
            {
                world.finish(id, port);
            }
        }
        19 => {
            if let Some(link) = world.links_up().last().copied() {
                world.tell(Input::LinkDown {
                    link,
                    end: LinkEnd::Closed,
                    messages_begun: 0,
                });
            }
        }
        _ => {
            *last_id += 1;
            let class = CLASSES[world.below(3) as usize];
            let left = 500 + u64::from(world.below(4_000));
            world.ask(conn, setup(*last_id, class, left));
        }
    }
}

/// A task that a host runs already is handed over by its client.
fn hand_over(world: &mut World, conn: u64, last_id: &mut u64) {
    *last_id += 1;
    let host = 1 + world.below(u32::from(HOSTS));
    let mut handed_over = setup(*last_id, "play", 4_294_967);
    handed_over.runs_at = Some(format!("h-{host}"));
    world.ask(conn, handed_over);
}

/// The digest of a day, the final outcome of each set-up included.
fn digest_of(world: &World) -> Digest {
    let mut digest = world.digest;
    for (id, heard) in &world.heard {
        digest.add("set-up", *id, heard.class.as_bytes());
        for count in [
            heard.answers,
            heard.refusals,
            heard.failures,
            heard.ends,
            u32::from(heard.ran),
        ] {
            digest.add("outcome", heard.left.unwrap_or(0), &count.to_be_bytes());
        }
    }
    for (id, port) in &world.standing {
        digest.add("running", *id, &port.to_be_bytes());
    }
    digest.add("finished", world.now, &[u8::from(world.finished)]);
    digest
}

#[test]
fn days_of_an_engine_are_as_they_were() {
    let measured: Vec<u64> = (0..SEEDS)
        .map(|seed| digest_of(&day(seed, 250)).value())
        .collect();
    let differ: Vec<usize> = (0..measured.len())
        .filter(|seed| measured[*seed] != ENGINE[*seed])
        .collect();
    assert!(
        differ.is_empty(),
        "seeds {differ:?} differ from 073fcce; measured: {measured:#x?}"
    );
    let distinct: std::collections::BTreeSet<&u64> = measured.iter().collect();
    assert_eq!(distinct.len(), measured.len(), "two seeds give one digest");
}

/// The digest depends on what happens: a seed, one more set-up, one of its bytes, a moment, a lost connection.
#[test]
fn the_digest_depends_on_what_happens() {
    let quiet = |seed: u64, change: &dyn Fn(&mut World, u64)| {
        let mut world = World::new(seed, &hosts(HOSTS));
        let conn = world.connect();
        world.ask(conn, setup(1, "play", 1_000));
        change(&mut world, conn);
        world.run(2 * SECOND);
        digest_of(&world)
    };
    let base = quiet(1, &|_, _| ());
    assert!(base.records() > 5, "{base:?}");
    assert_eq!(base, quiet(1, &|_, _| ()));
    let other_description = |world: &mut World, conn: u64| {
        let mut other = setup(2, "print", 1_000);
        other.description = "for another".to_owned();
        world.ask(conn, other);
    };
    let changes: BTreeMap<&str, Digest> = BTreeMap::from([
        ("as it is", base),
        ("another seed", quiet(3, &|_, _| ())),
        (
            "one more set-up",
            quiet(1, &|world, conn| world.ask(conn, setup(2, "print", 1_000))),
        ),
        ("another description", quiet(1, &other_description)),
        (
            "a millisecond",
            quiet(1, &|world, conn| {
                world.run(MS);
                world.ask(conn, setup(2, "print", 1_000));
            }),
        ),
        ("a cancel", quiet(1, &|world, conn| world.cancel(conn, 1))),
        (
            "a drain",
            quiet(1, &|world, conn| {
                world.tell(Input::DiscoveryUpdate(told(
                    2,
                    false,
                    &[line("h-1", 1, "west", "leaving", 0)],
                )));
                world.ask(conn, setup(2, "print", 1_000));
            }),
        ),
    ]);
    let distinct: std::collections::BTreeSet<u64> = changes.values().map(Digest::value).collect();
    assert_eq!(distinct.len(), changes.len(), "{changes:#x?}");
}

/// Written at 073fcce.
const ENGINE: [u64; SEEDS as usize] = [
    0x62d4_7b58_7bed_969b,
    0x0de1_aeb3_9a11_4e08,
    0x30e1_c610_287d_82c4,
    0x163b_610e_8265_8993,
    0x8ff3_5bda_172a_50e7,
    0x6895_3eea_ecc2_c6c7,
    0x80ff_f899_ced5_c0ca,
    0x7bc1_137e_730f_7afb,
    0x82cb_6d11_6f02_823e,
    0x6950_3983_0d9f_9c1a,
    0x6b86_342c_0da5_d966,
    0xbf82_dd09_2645_edef,
    0x656b_1a16_1db5_0c4a,
    0x7b40_8af1_c231_2222,
    0xa9a0_48a7_404d_7816,
    0x640c_6af8_8e59_0ad0,
    0xa03a_48d3_adc4_9cdc,
    0x6a1b_bd65_72bb_5c62,
    0x1720_d36e_73bb_9a57,
    0x6ba8_fdcd_721d_4d76,
    0xc436_3b63_e89d_557b,
    0x2d90_2af2_31e1_0e07,
    0x2c2b_45e8_0e76_f909,
    0xcf04_a929_d75f_8133,
    0x697b_a389_0ebd_0178,
    0x2f4f_8920_f051_032a,
    0x71c0_4297_33ed_1161,
    0x6945_9472_01ff_5086,
    0x5444_7311_1076_98ca,
    0x202e_d065_43e5_66f3,
    0x0809_0b60_fb0b_315e,
    0xaf21_e90c_8728_1da9,
];
