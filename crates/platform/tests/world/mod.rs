//! An engine in simulated time: clients, hosts and connections that do anything that sockets allow.
#![allow(dead_code, reason = "each test uses a part of it")]

pub mod digest;

use std::collections::{BTreeMap, BTreeSet};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring::settings::Deployment;
use reedring_platform::decide::LinkEnd;
use reedring_platform::{Bounds, ConnId, Engine, EngineParameters, Input, LinkId, Output};
use reedring_platform_protocol::client::{FromClient, PlacementRequest, ToClient};
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use reedring_platform_protocol::host::{FromHost, ToHost};
use reedring_platform_protocol::{CANCELLED, CUT, ERROR, FULL, GIVEN_UP};

use digest::Digest;

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

/// Class 0 is safe, 1 keyed by zone, 2 unsafe.
const SETTINGS: &str = include_str!("../standins/settings.json");

pub fn line(id: &str, port: u16, site: &str, health: &str, born_ms: u64) -> String {
    format!(
        r#"{{"host":"{id}","dial":"127.0.0.1:{port}","site":"{site}","class":"std","block":1,"health":"{health}","born_ms":{born_ms},"room":[64,256]}}"#
    )
}

pub fn told(rev: u64, whole: bool, lines: &[String]) -> WatchResponse {
    let names = Names {
        zones: vec!["east".into(), "west".into()],
        kinds: vec!["std".into()],
    };
    let lines = lines.join(",");
    let text = format!(
        r#"{{"rev":{rev},"notices":[{{"rev":{rev},"pool":{{"whole":{whole},"hosts":[{lines}]}}}}]}}"#
    );
    WatchResponse::read(text.as_bytes(), &names).expect("the world words it well")
}

pub fn setup(id: u64, class: &str, left_ms: u64) -> PlacementRequest {
    PlacementRequest {
        id,
        class: class.to_owned(),
        left_ms,
        tenant: Some("radio".to_owned()),
        is_retry: false,
        key: id ^ 0xabc,
        idempotency_key: (class == "take").then(|| format!("{id:032x}")),
        cores: 0.5,
        memory: 1.0,
        service: 7,
        runs_at: None,
        description: format!("for {id}"),
    }
}

fn release(id: u64, cause: u8) -> FromHost {
    FromHost::Release {
        id,
        cause,
        reason: None,
        figures: BTreeMap::new(),
    }
}

/// A host's word that a task came to its end.
pub fn end(id: u64) -> FromHost {
    release(id, GIVEN_UP)
}

/// An attempt as its host sees it.
#[derive(Clone, Copy, Debug)]
struct Live {
    link: LinkId,
    port: u16,
}

/// What a client has heard of one set-up.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    pub class: String,
    pub answers: u32,
    pub refusals: u32,
    pub failures: u32,
    /// Releases after the answer.
    pub ends: u32,
    /// Its client went, or took it back.
    pub withdrawn: bool,
    /// An attempt may have run.
    pub ran: bool,
    /// Which connection it came on.
    pub conn: ConnId,
    /// When its client ended, went or took it back.
    pub left: Option<u64>,
}

impl Heard {
    /// Final answers.
    pub fn finals(&self) -> u32 {
        self.answers + self.refusals + self.failures
    }
}

pub struct World {
    pub engine: Engine,
    pub now: u64,
    pub rng: Pcg32,
    pub heard: BTreeMap<u64, Heard>,
    pub clients: BTreeSet<ConnId>,
    links: BTreeMap<LinkId, (u16, bool)>,
    /// Attempts that are out at a host, by id.
    live: BTreeMap<u64, Live>,
    /// Tasks that stand, and at which port.
    pub standing: BTreeMap<u64, u16>,
    /// Messages written on each connection.
    written: BTreeMap<LinkId, u64>,
    later: BTreeMap<(u64, u64), Input>,
    planned: u64,
    pub finished: bool,
    pub to_hosts: Vec<(LinkId, ToHost)>,
    pub to_clients: Vec<(ConnId, ToClient)>,
    /// Hosts do as they please; else they answer each set-up.
    pub unruly: bool,
    /// How every new connection to a host ends; `None`: it stands.
    pub connects: Option<LinkEnd>,
    /// How long every new connection to a host takes to stand.
    pub slow: Option<u64>,
    /// Hosts do nothing on a release.
    pub deaf: bool,
    /// Hosts say nothing to a set-up.
    pub mute: bool,
    /// Tasks that came to their end at a host with no connection, by its port.
    unsaid: BTreeMap<u16, Vec<u64>>,
    next_conn: ConnId,
    /// Wire bytes and outcomes with their times, for comparison between versions of the code.
    pub digest: Digest,
}

impl World {
    pub fn new(seed: u64, hosts: &[String]) -> Self {
        Self::with(seed, hosts, |_| ())
    }

    /// One with other settings.
    pub fn with(seed: u64, hosts: &[String], change: impl FnOnce(&mut Deployment)) -> Self {
        let mut settings = reedring::settings::read(SETTINGS).expect("the settings are whole");
        change(&mut settings);
        let bounds = Bounds {
            connections: 40,
            clients: 16,
            client_overflow: 2,
            reserved_for_clients: 16,
            links_per_host: 4,
            pending_request_bytes: 1 << 20,
        };
        let now = 1_700_000_000 * SECOND;
        let known = told(1, true, hosts);
        let engine = Engine::new(EngineParameters {
            now,
            seed,
            settings,
            known,
            bounds,
        });
        let mut world = Self {
            engine,
            now,
            rng: Pcg32::new(seed, 3),
            heard: BTreeMap::new(),
            clients: BTreeSet::new(),
            links: BTreeMap::new(),
            live: BTreeMap::new(),
            standing: BTreeMap::new(),
            written: BTreeMap::new(),
            later: BTreeMap::new(),
            planned: 0,
            finished: false,
            to_hosts: Vec::new(),
            to_clients: Vec::new(),
            unruly: false,
            connects: None,
            slow: None,
            deaf: false,
            mute: false,
            unsaid: BTreeMap::new(),
            next_conn: 0,
            digest: Digest::default(),
        };
        world.turn();
        world
    }

    pub fn below(&mut self, most: u32) -> u32 {
        self.rng.next_u32() % most
    }

    fn later(&mut self, after: u64, input: Input) {
        self.planned += 1;
        self.later.insert((self.now + after, self.planned), input);
    }

    /// Connections to hosts that stand or are being made.
    pub fn asked_links(&self) -> Vec<LinkId> {
        self.links.keys().copied().collect()
    }

    /// Connections to hosts that stand.
    pub fn links_up(&self) -> Vec<LinkId> {
        self.links
            .iter()
            .filter(|(_, (_, up))| *up)
            .map(|(link, _)| *link)
            .collect()
    }

    /// A task comes to its end at a host, which says so on a connection or on the next that is made to it.
    pub fn finish(&mut self, id: u64, port: u16) {
        match self
            .links
            .iter()
            .find(|(_, link)| **link == (port, true))
            .map(|(link, _)| *link)
        {
            Some(link) => self.tell(Input::HostMessage(link, end(id))),
            None => self.unsaid.entry(port).or_default().push(id),
        }
    }

    /// The most connections to hosts that it may have.
    pub fn most_links(&self) -> usize {
        24
    }

    pub fn connect(&mut self) -> ConnId {
        self.next_conn += 1;
        let conn = self.next_conn;
        self.clients.insert(conn);
        self.tell(Input::ClientConnected(conn));
        conn
    }

    pub fn ask(&mut self, conn: ConnId, setup: PlacementRequest) {
        if setup.runs_at.is_none() {
            let heard = self.heard.entry(setup.id).or_default();
            (heard.class, heard.conn) = (setup.class.clone(), conn);
        }
        self.tell(Input::ClientMessage(
            conn,
            Ok(FromClient::PlacementRequest(Box::new(setup))),
        ));
    }

    fn leave(&mut self, conn: ConnId) {
        for heard in self.heard.values_mut().filter(|heard| heard.conn == conn) {
            heard.left = heard.left.or(Some(self.now));
        }
    }

    /// The client says that it said all, and may still read.
    pub fn end(&mut self, conn: ConnId) {
        self.leave(conn);
        self.tell(Input::ClientEndOfStream(conn));
    }

    /// The client takes a set-up back.
    pub fn cancel(&mut self, conn: ConnId, id: u64) {
        if let Some(heard) = self.heard.get_mut(&id).filter(|heard| heard.conn == conn) {
            heard.left = heard.left.or(Some(self.now));
        }
        self.tell(Input::ClientMessage(
            conn,
            Ok(FromClient::Release {
                id,
                cause: GIVEN_UP,
            }),
        ));
    }

    /// The client closes.
    pub fn close(&mut self, conn: ConnId) {
        if self.clients.remove(&conn) {
            self.leave(conn);
            self.tell(Input::ClientDisconnected(conn));
        }
    }

    /// Takes one input in, and lets the engine act on it.
    pub fn tell(&mut self, input: Input) {
        let passes = match &input {
            Input::LinkUp(link) => {
                let known = self.links.get_mut(link);
                let port = known.map(|known| {
                    known.1 = true;
                    known.0
                });
                let unsaid = port
                    .and_then(|port| self.unsaid.remove(&port))
                    .unwrap_or_default();
                let link = *link;
                unsaid
                    .into_iter()
                    .for_each(|id| self.later(MS, Input::HostMessage(link, end(id))));
                port.is_some()
            }
            Input::HostMessage(link, message) => {
                let stands = self.links.get(link).is_some_and(|link| link.1);
                if stands {
                    self.said(*link, message);
                }
                stands
            }
            Input::LinkDown { link, .. } => {
                let link = *link;
                // Attempts open on a connection that ends are given up; whether they ran nobody knows.
                let gone: Vec<u64> = self
                    .live
                    .iter()
                    .filter(|(_, live)| live.link == link)
                    .map(|(id, _)| *id)
                    .collect();
                self.live.retain(|id, _| !gone.contains(id));
                if let Input::LinkDown {
                    end: LinkEnd::Reset | LinkEnd::Unreadable,
                    messages_begun: begun,
                    ..
                } = &input
                {
                    let begun = *begun;
                    for id in gone {
                        // The world breaks connections only before or after all that was written.
                        self.heard.entry(id).or_default().ran |= begun > 0;
                    }
                }
                self.links.remove(&link).is_some()
            }
            _ => true,
        };
        if passes {
            self.engine.handle(self.now, input);
        }
        self.turn();
    }

    fn said(&mut self, link: LinkId, message: &FromHost) {
        match message {
            FromHost::Answer { id, .. } => {
                if let Some(live) = self.live.get(id).copied().filter(|live| live.link == link) {
                    self.live.remove(id);
                    self.standing.insert(*id, live.port);
                }
            }
            FromHost::Release { id, cause, .. } => {
                if self.live.get(id).is_some_and(|live| live.link == link) {
                    self.live.remove(id);
                    self.heard.entry(*id).or_default().ran |= *cause != FULL;
                } else {
                    self.standing.remove(id);
                }
            }
            _ => {}
        }
    }

    /// The module decides, and the world carries out what follows.
    fn turn(&mut self) {
        for _ in 0..64 {
            self.engine.flush(self.now);
            let mut quiet = true;
            while let Some(output) = self.engine.poll() {
                quiet = false;
                self.carry_out(output);
            }
            if quiet && self.engine.next_wake().is_none_or(|at| at > self.now) {
                return;
            }
        }
        panic!("the engine never comes to rest");
    }

    /// Adds what leaves the engine to the digest. Lines for the staff are not part of it.
    fn record(&mut self, output: &Output) {
        let now = self.now;
        let digest = &mut self.digest;
        match output {
            Output::ToClient(conn, message) => {
                digest.add("to client", now, &conn.to_be_bytes());
                digest.add("message", now, &message.encode());
            }
            Output::CloseClient(conn) => digest.add("close client", now, &conn.to_be_bytes()),
            Output::CloseIdleClient(conn) => {
                digest.add("close idle client", now, &conn.to_be_bytes())
            }
            Output::Connect(link, address) => {
                digest.add("connect", now, &link.to_be_bytes());
                digest.add("address", now, address.to_string().as_bytes());
            }
            Output::ToHost(link, message) => {
                digest.add("to host", now, &link.to_be_bytes());
                digest.add("message", now, &message.encode());
            }
            Output::CloseLink(link) => digest.add("close link", now, &link.to_be_bytes()),
            Output::StopListening => digest.add("stop listening", now, &[]),
            Output::MayExit => digest.add("finished", now, &[]),
            Output::Log(_) => {}
        }
    }

    fn carry_out(&mut self, output: Output) {
        self.record(&output);
        match output {
            Output::ToClient(conn, message) => {
                self.hear(conn, &message);
                self.to_clients.push((conn, message));
            }
            Output::CloseClient(conn) | Output::CloseIdleClient(conn) => {
                self.clients.remove(&conn);
                self.later(0, Input::ClientDisconnected(conn));
            }
            Output::Connect(link, address) => {
                self.links.insert(link, (address.port(), false));
                let after = self.slow.unwrap_or(u64::from(self.below(3)) * MS);
                let chance = self.below(100);
                let down = match chance {
                    _ if self.connects.is_some() => self.connects.map(|down| (down, 250 * MS)),
                    0..4 if self.unruly => Some((LinkEnd::Refused, after)),
                    4..8 if self.unruly => Some((LinkEnd::ConnectFailed, 250 * MS)),
                    _ => None,
                };
                match down {
                    Some((down, after)) => self.later(
                        after,
                        Input::LinkDown {
                            link,
                            end: down,
                            messages_begun: 0,
                        },
                    ),
                    None => self.later(after, Input::LinkUp(link)),
                }
            }
            Output::ToHost(link, message) => {
                *self.written.entry(link).or_default() += 1;
                self.host(link, &message);
                self.to_hosts.push((link, message));
            }
            Output::CloseLink(link) => {
                // Closing gives up what is open on it.
                self.live.retain(|_, live| live.link != link);
                self.links.remove(&link);
            }
            Output::MayExit => self.finished = true,
            Output::StopListening | Output::Log(_) => {}
        }
    }

    fn hear(&mut self, conn: ConnId, message: &ToClient) {
        assert!(
            self.clients.contains(&conn),
            "written to a connection that was closed"
        );
        match message {
            ToClient::Answer { id, description } => {
                let heard = self.heard.entry(*id).or_default();
                heard.answers += 1;
                assert_eq!(
                    description,
                    &format!("host's for {id}"),
                    "not what the host gave"
                );
            }
            ToClient::Release { id, cause, .. } => {
                let Some(heard) = self.heard.get_mut(id) else {
                    return;
                };
                match (heard.answers, *cause) {
                    (0, FULL) => heard.refusals += 1,
                    (0, _) => heard.failures += 1,
                    _ => heard.ends += 1,
                }
                if heard.answers == 0 && *cause == FULL {
                    // A refusal promises that asking again is harmless.
                    assert!(
                        heard.class == "play" || !heard.ran,
                        "refused {id}, which may have run"
                    );
                }
            }
            ToClient::Moved(_) | ToClient::HealthCheckResult { .. } => {}
        }
    }

    /// What a host does with a message.
    fn host(&mut self, link: LinkId, message: &ToHost) {
        let Some((port, _)) = self.links.get(&link).copied() else {
            return;
        };
        match message {
            ToHost::PlacementRequest { id, class, .. } => {
                let id = *id;
                let heard = self.heard.entry(id).or_default();
                assert!(
                    !heard.ran || class != "print",
                    "{id} may have run and is sent again"
                );
                assert!(heard.finals() == 0, "{id} is sent after its answer");
                assert!(!heard.withdrawn, "{id} is sent after its client went");
                let late = heard.left.is_some_and(|left| self.now > left + 100 * MS);
                assert!(!late, "{id} is sent more than 0.1 s after its client left");
                let other = self.live.insert(id, Live { link, port });
                assert!(other.is_none(), "{id} is out twice");
                if !self.mute {
                    self.answer(link, id);
                }
            }
            ToHost::Release { .. } if self.deaf => {}
            ToHost::Release { id, .. } => {
                if self.live.remove(id).is_some() {
                    self.heard.entry(*id).or_default().ran = true;
                }
                if self.standing.remove(id).is_some() {
                    let over = release(*id, CANCELLED);
                    self.later(MS, Input::HostMessage(link, over));
                }
            }
            ToHost::HealthCheck { id, .. } => {
                let passed = FromHost::HealthCheckResult {
                    id: *id,
                    passed: true,
                    figures: BTreeMap::new(),
                };
                if !self.unruly || self.below(3) > 0 {
                    self.later(MS, Input::HostMessage(link, passed));
                }
            }
        }
    }

    fn answer(&mut self, link: LinkId, id: u64) {
        let answer = FromHost::Answer {
            id,
            description: format!("host's for {id}"),
        };
        let after = u64::from(1 + self.below(40)) * MS;
        let chance = if self.unruly { self.below(100) } else { 0 };
        match chance {
            0..45 => {
                self.later(after, Input::HostMessage(link, answer.clone()));
                if chance > 35 {
                    // A second copy, and one under an id that nobody knows.
                    self.later(after, Input::HostMessage(link, answer));
                    let unknown = FromHost::Answer {
                        id: id ^ 1 << 60,
                        description: "?".to_owned(),
                    };
                    self.later(after, Input::HostMessage(link, unknown));
                }
                let life = u64::from(1 + self.below(5_000)) * MS;
                if chance % 3 > 0 {
                    self.later(
                        after + life,
                        Input::HostMessage(link, release(id, GIVEN_UP)),
                    );
                }
            }
            45..60 => self.later(after, Input::HostMessage(link, release(id, FULL))),
            60..67 => self.later(after, Input::HostMessage(link, release(id, ERROR))),
            67..74 => self.later(after, Input::HostMessage(link, release(id, CUT))),
            74..84 => {
                let down = if chance % 2 == 0 {
                    LinkEnd::Reset
                } else {
                    LinkEnd::Unreadable
                };
                self.later(
                    after,
                    Input::LinkDown {
                        link,
                        end: down,
                        messages_begun: u64::MAX,
                    },
                );
            }
            84..90 => self.later(
                0,
                Input::LinkDown {
                    link,
                    end: LinkEnd::Reset,
                    messages_begun: 0,
                },
            ),
            // It says nothing.
            _ => {}
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, time: u64) {
        let until = self.now + time;
        loop {
            let planned = self.later.keys().next().map(|(at, _)| *at);
            let wake = self.engine.next_wake().map(|at| at.max(self.now));
            let next = planned
                .into_iter()
                .chain(wake)
                .min()
                .filter(|at| *at <= until);
            let Some(next) = next else { break };
            self.now = next;
            match self
                .later
                .first_entry()
                .filter(|first| first.key().0 <= next)
            {
                Some(first) => {
                    let input = first.remove();
                    self.tell(input);
                }
                None => self.turn(),
            }
        }
        self.now = until;
        self.turn();
    }
}

/// The classes of the settings.
pub const CLASSES: [&str; 3] = ["play", "take", "print"];

/// The lines of so many hosts, in two zones by turns.
pub fn hosts(count: u16) -> Vec<String> {
    (1..=count)
        .map(|n| {
            line(
                &format!("h-{n}"),
                n,
                if n % 2 == 0 { "east" } else { "west" },
                "active",
                0,
            )
        })
        .collect()
}
