//! An engine in simulated time, with simulated clients, hosts and connections that show any behaviour that sockets
//! allow.
#![allow(dead_code, reason = "each test binary uses only some of the items")]

pub mod digest;
mod messages;

use std::collections::{BTreeMap, BTreeSet};

use rand_core::Rng;
use rand_pcg::Pcg32;
use reedring::settings::Deployment;
use reedring_platform::decide::LinkEnd;
use reedring_platform::{Bounds, ConnId, Engine, EngineParameters, Input, LinkId, Output};
use reedring_platform_protocol::client::{FromClient, PlacementRequest, ToClient};
use reedring_platform_protocol::host::{FromHost, ToHost};
use reedring_platform_protocol::{CANCELLED, ERROR, FAILED, GIVEN_UP, REFUSED};

use digest::Digest;
use messages::host_release;
#[allow(
    unused_imports,
    reason = "each test binary uses only some of the items"
)]
pub use messages::{CLASSES, host_entry, hosts, placement_request, task_end, watch_response};

pub const MS: u64 = 1_000;
pub const SECOND: u64 = 1_000 * MS;

/// Maximum number of tasks that were handed over and not confirmed.
pub const UNCONFIRMED_TASKS: usize = 1_000;

/// Maximum memory that unanswered requests count for, in bytes.
pub const PENDING_REQUEST_BYTES: usize = 8 << 20;
/// What a request counts for beside its texts, in bytes.
pub const REQUEST_RECORD_BYTES: usize = 2_560;

/// Maximum number of tasks that were displaced by unconfirmed ones.
pub const DISPLACED_TASKS: usize = 500;

/// Class `play` is safe to repeat, `take` is deduplicated by zone, `print` is unsafe to repeat.
const SETTINGS: &str = include_str!("../simulated_peers/settings.json");

/// An attempt that was sent to a host and has no final answer yet.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    link: LinkId,
    port: u16,
}

/// What a client has received about one placement request, and what hosts have done with it.
#[derive(Clone, Debug, Default)]
pub struct RequestOutcome {
    pub class: String,
    /// Answers that report a placed task.
    pub answers: u32,
    /// Releases with the cause `REFUSED` before an answer.
    pub refusals: u32,
    /// Releases with another cause before an answer.
    pub failures: u32,
    /// Releases after an answer.
    pub task_ends: u32,
    /// Never set: departures are recorded in [`Self::departed_at`].
    pub withdrawn: bool,
    /// Whether a host may have run an attempt.
    pub may_have_run: bool,
    /// Connection on which the request was sent.
    pub conn: ConnId,
    /// Time at which the client closed its sending side, disconnected or cancelled the request.
    pub departed_at: Option<u64>,
}

impl RequestOutcome {
    /// Number of final answers of all kinds; at most one is correct.
    pub fn final_answers(&self) -> u32 {
        self.answers + self.refusals + self.failures
    }
}

/// The engine under test and everything around it.
pub struct World {
    pub engine: Engine,
    /// Simulated time in microseconds.
    pub now: u64,
    pub rng: Pcg32,
    /// Outcomes of placement requests, by ID.
    pub outcomes: BTreeMap<u64, RequestOutcome>,
    /// Open connections of clients.
    pub clients: BTreeSet<ConnId>,
    /// The host port of each link, and whether the link is up.
    links: BTreeMap<LinkId, (u16, bool)>,
    /// Attempts in flight, by ID.
    in_flight: BTreeMap<u64, InFlightAttempt>,
    /// Running tasks by ID, with the port of their host.
    pub running_tasks: BTreeMap<u64, u16>,
    /// Number of messages written on each link.
    messages_written: BTreeMap<LinkId, u64>,
    /// Scheduled inputs, by time and order of scheduling.
    scheduled: BTreeMap<(u64, u64), Input>,
    /// Number of inputs scheduled so far.
    scheduled_count: u64,
    /// Whether the engine has reported that it may exit.
    pub finished: bool,
    /// All messages to hosts, in order.
    pub to_hosts: Vec<(LinkId, ToHost)>,
    /// All messages to clients, in order.
    pub to_clients: Vec<(ConnId, ToClient)>,
    /// Hosts and links fail at random; else hosts answer each placement request.
    pub hosts_are_faulty: bool,
    /// How every new link fails; `None` if it connects.
    pub connect_failure: Option<LinkEnd>,
    /// Time that every new link takes to connect, in microseconds; `None` for a random time below 3 ms.
    pub connect_delay: Option<u64>,
    /// Hosts ignore releases.
    pub hosts_ignore_releases: bool,
    /// Hosts do not answer placement requests.
    pub hosts_ignore_requests: bool,
    /// Tasks that ended at a host without an open link, by the host's port; they are reported on the next link.
    unreported_ends: BTreeMap<u16, Vec<u64>>,
    /// Links that the placer closed and whose hosts have not learned of it yet.
    closing_links: BTreeSet<LinkId>,
    /// Time after which a host learns that the placer closed a link, in microseconds.
    pub close_delay: u64,
    /// How a link ends that the placer closed.
    pub closed_link_end: LinkEnd,
    /// Number of links made so far.
    pub links_made: u64,
    /// Links that their hosts have forgotten: they send nothing on them, and reset them when something arrives.
    forgotten_links: BTreeSet<LinkId>,
    next_conn: ConnId,
    /// Hash of the engine's outputs with their times, for comparison between versions of the code.
    pub digest: Digest,
}

impl World {
    pub fn new(seed: u64, hosts: &[String]) -> Self {
        Self::with_settings(seed, hosts, |_| ())
    }

    /// Like [`Self::new`], with the settings modified by `change`.
    pub fn with_settings(
        seed: u64,
        hosts: &[String],
        change: impl FnOnce(&mut Deployment),
    ) -> Self {
        let mut settings = reedring::settings::read(SETTINGS).expect("settings.json must be valid");
        change(&mut settings);
        let bounds = Bounds {
            connections: 40,
            clients: 16,
            client_overflow: 2,
            reserved_for_clients: 16,
            links_per_host: 4,
            pending_request_bytes: PENDING_REQUEST_BYTES,
            unconfirmed_tasks: UNCONFIRMED_TASKS,
            displaced_tasks: DISPLACED_TASKS,
        };
        let now = 1_700_000_000 * SECOND;
        let known = watch_response(1, true, hosts);
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
            outcomes: BTreeMap::new(),
            clients: BTreeSet::new(),
            links: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            running_tasks: BTreeMap::new(),
            messages_written: BTreeMap::new(),
            scheduled: BTreeMap::new(),
            scheduled_count: 0,
            finished: false,
            to_hosts: Vec::new(),
            to_clients: Vec::new(),
            hosts_are_faulty: false,
            connect_failure: None,
            connect_delay: None,
            hosts_ignore_releases: false,
            hosts_ignore_requests: false,
            unreported_ends: BTreeMap::new(),
            closing_links: BTreeSet::new(),
            close_delay: 2 * MS,
            closed_link_end: LinkEnd::Closed,
            links_made: 0,
            forgotten_links: BTreeSet::new(),
            next_conn: 0,
            digest: Digest::default(),
        };
        world.run_engine();
        world
    }

    /// A pseudo-random number less than `bound`.
    pub fn random_below(&mut self, bound: u32) -> u32 {
        self.rng.next_u32() % bound
    }

    /// Schedules an input `after` microseconds from now.
    fn schedule(&mut self, after: u64, input: Input) {
        self.scheduled_count += 1;
        self.scheduled
            .insert((self.now + after, self.scheduled_count), input);
    }

    /// Links that are up or connecting.
    pub fn all_links(&self) -> Vec<LinkId> {
        self.links.keys().copied().collect()
    }

    /// Links that are up.
    pub fn open_links(&self) -> Vec<LinkId> {
        self.links
            .iter()
            .filter(|(_, (_, up))| *up)
            .map(|(link, _)| *link)
            .collect()
    }

    /// Ends a task at a host, which reports the end on an open link or else on the next one.
    pub fn finish_task(&mut self, id: u64, port: u16) {
        match self
            .links
            .iter()
            .find(|(id, link)| **link == (port, true) && !self.forgotten_links.contains(id))
            .map(|(link, _)| *link)
        {
            Some(link) => self.process_input(Input::HostMessage(link, task_end(id))),
            None => self.unreported_ends.entry(port).or_default().push(id),
        }
    }

    /// Ends a task at a host, whose report is lost with the link that it was sent on. The host reports the end again on the
    /// next link that it accepts.
    pub fn lose_task_end(&mut self, id: u64, port: u16) {
        self.unreported_ends.entry(port).or_default().push(id);
    }

    /// All hosts forget the links that are up, without a word to the placer.
    pub fn forget_links(&mut self) {
        self.forgotten_links.extend(self.open_links());
    }

    /// Number of links that the bounds of this simulation allow.
    pub fn max_links(&self) -> usize {
        24
    }

    /// Connects a new client.
    pub fn connect_client(&mut self) -> ConnId {
        self.next_conn += 1;
        let conn = self.next_conn;
        self.clients.insert(conn);
        self.process_input(Input::ClientConnected(conn));
        conn
    }

    /// Sends a placement request, or hands a running task over if `runs_at` is set.
    pub fn send_request(&mut self, conn: ConnId, placement_request: PlacementRequest) {
        if placement_request.runs_at.is_none() {
            let outcome = self.outcomes.entry(placement_request.id).or_default();
            (outcome.class, outcome.conn) = (placement_request.class.clone(), conn);
        }
        self.process_input(Input::ClientMessage(
            conn,
            Ok(FromClient::PlacementRequest(Box::new(placement_request))),
        ));
    }

    /// Records that the client of all requests on this connection has departed.
    pub fn mark_departed(&mut self, conn: ConnId) {
        for outcome in self
            .outcomes
            .values_mut()
            .filter(|outcome| outcome.conn == conn)
        {
            outcome.departed_at = outcome.departed_at.or(Some(self.now));
        }
    }

    /// The client closes its sending side, and may still read.
    pub fn end_stream(&mut self, conn: ConnId) {
        self.mark_departed(conn);
        self.process_input(Input::ClientEndOfStream(conn));
    }

    /// The client cancels a placement request.
    pub fn cancel_request(&mut self, conn: ConnId, id: u64) {
        if let Some(outcome) = self
            .outcomes
            .get_mut(&id)
            .filter(|outcome| outcome.conn == conn)
        {
            outcome.departed_at = outcome.departed_at.or(Some(self.now));
        }
        self.process_input(Input::ClientMessage(
            conn,
            Ok(FromClient::Release {
                id,
                cause: GIVEN_UP,
            }),
        ));
    }

    /// The client disconnects.
    pub fn close_client(&mut self, conn: ConnId) {
        if self.clients.remove(&conn) {
            self.mark_departed(conn);
            self.process_input(Input::ClientDisconnected(conn));
        }
    }

    /// Passes one input to the engine and executes its outputs. Inputs of links that have ended are dropped.
    pub fn process_input(&mut self, input: Input) {
        self.process_inputs([input]);
    }

    /// Passes inputs to the engine that it handles in one pass, and executes its outputs.
    pub fn process_inputs(&mut self, inputs: impl IntoIterator<Item = Input>) {
        for input in inputs {
            if self.track_input(&input) {
                self.engine.handle(self.now, input);
            }
        }
        self.run_engine();
    }

    /// Updates the simulation for an input. Returns whether the input is delivered: those of links that have ended are not.
    fn track_input(&mut self, input: &Input) -> bool {
        match input {
            Input::LinkUp(link) => {
                let known = self.links.get_mut(link);
                let port = known.map(|known| {
                    known.1 = true;
                    known.0
                });
                let unreported_ends = port
                    .and_then(|port| self.unreported_ends.remove(&port))
                    .unwrap_or_default();
                let link = *link;
                unreported_ends
                    .into_iter()
                    .for_each(|id| self.schedule(MS, Input::HostMessage(link, task_end(id))));
                port.is_some()
            }
            Input::HostMessage(link, message) => {
                let is_up = self.links.get(link).is_some_and(|link| link.1);
                let is_delivered = is_up || self.closing_links.contains(link);
                if is_delivered {
                    self.track_host_message(*link, message);
                }
                is_delivered
            }
            Input::LinkDown { link, .. } => {
                let link = *link;
                // The end of a link gives up its attempts in flight.
                let lost: Vec<u64> = self
                    .in_flight
                    .iter()
                    .filter(|(_, attempt)| attempt.link == link)
                    .map(|(id, _)| *id)
                    .collect();
                self.in_flight.retain(|id, _| !lost.contains(id));
                if let Input::LinkDown {
                    end: LinkEnd::Reset | LinkEnd::Unreadable,
                    messages_begun: begun,
                    ..
                } = input
                {
                    let begun = *begun;
                    for id in lost {
                        // The simulation breaks a link either before any or after all of the written messages, so
                        // with at least one message begun each attempt may have run.
                        self.outcomes.entry(id).or_default().may_have_run |= begun > 0;
                    }
                }
                self.links.remove(&link).is_some() || self.closing_links.remove(&link)
            }
            _ => true,
        }
    }

    /// Updates the simulated tasks when a message of a host is delivered.
    fn track_host_message(&mut self, link: LinkId, message: &FromHost) {
        match message {
            FromHost::Answer { id, .. } => {
                if let Some(attempt) = self
                    .in_flight
                    .get(id)
                    .copied()
                    .filter(|attempt| attempt.link == link)
                {
                    self.in_flight.remove(id);
                    self.running_tasks.insert(*id, attempt.port);
                }
            }
            FromHost::Release { id, cause, .. } => {
                if self
                    .in_flight
                    .get(id)
                    .is_some_and(|attempt| attempt.link == link)
                {
                    self.in_flight.remove(id);
                    self.outcomes.entry(*id).or_default().may_have_run |= *cause != REFUSED;
                } else {
                    self.running_tasks.remove(id);
                }
            }
            _ => {}
        }
    }

    /// Runs the engine and executes its outputs until nothing is due.
    fn run_engine(&mut self) {
        for _ in 0..64 {
            self.engine.flush(self.now);
            let mut is_idle = true;
            while let Some(output) = self.engine.poll() {
                is_idle = false;
                self.execute(output);
            }
            if is_idle && self.engine.next_wake().is_none_or(|at| at > self.now) {
                return;
            }
        }
        panic!("the engine still has outputs or due timers after 64 steps");
    }

    /// Adds an output of the engine to the digest, except for log events.
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

    fn execute(&mut self, output: Output) {
        self.record(&output);
        match output {
            Output::ToClient(conn, message) => {
                self.record_client_message(conn, &message);
                self.to_clients.push((conn, message));
            }
            Output::CloseClient(conn) | Output::CloseIdleClient(conn) => {
                self.clients.remove(&conn);
                self.schedule(0, Input::ClientDisconnected(conn));
            }
            Output::Connect(link, address) => {
                self.links.insert(link, (address.port(), false));
                self.links_made += 1;
                let after = self
                    .connect_delay
                    .unwrap_or(u64::from(self.random_below(3)) * MS);
                let chance = self.random_below(100);
                let down = match chance {
                    _ if self.connect_failure.is_some() => {
                        self.connect_failure.map(|down| (down, 250 * MS))
                    }
                    0..4 if self.hosts_are_faulty => Some((LinkEnd::Refused, after)),
                    4..8 if self.hosts_are_faulty => Some((LinkEnd::ConnectFailed, 250 * MS)),
                    _ => None,
                };
                match down {
                    Some((down, after)) => self.schedule(
                        after,
                        Input::LinkDown {
                            link,
                            end: down,
                            messages_begun: 0,
                        },
                    ),
                    None => self.schedule(after, Input::LinkUp(link)),
                }
            }
            Output::ToHost(link, message) => {
                *self.messages_written.entry(link).or_default() += 1;
                self.simulate_host(link, &message);
                self.to_hosts.push((link, message));
            }
            Output::CloseLink(link) => {
                // Closing a link gives up its attempts in flight.
                self.in_flight.retain(|_, attempt| attempt.link != link);
                self.links.remove(&link);
                self.closing_links.insert(link);
                self.schedule(
                    self.close_delay,
                    Input::LinkDown {
                        link,
                        end: self.closed_link_end,
                        messages_begun: u64::MAX,
                    },
                );
            }
            Output::MayExit => self.finished = true,
            Output::StopListening | Output::Log(_) => {}
        }
    }

    /// Records a message to a client, and checks that it is allowed.
    fn record_client_message(&mut self, conn: ConnId, message: &ToClient) {
        assert!(
            self.clients.contains(&conn),
            "a message was sent to connection {conn}, which is closed"
        );
        match message {
            ToClient::Answer { id, description } => {
                let outcome = self.outcomes.entry(*id).or_default();
                outcome.answers += 1;
                assert_eq!(
                    description,
                    &format!("host's for {id}"),
                    "the description of {id} is not the one that the host sent"
                );
            }
            ToClient::Release { id, cause, .. } => {
                let Some(outcome) = self.outcomes.get_mut(id) else {
                    return;
                };
                match (outcome.answers, *cause) {
                    (0, REFUSED) => outcome.refusals += 1,
                    (0, _) => outcome.failures += 1,
                    _ => outcome.task_ends += 1,
                }
                if outcome.answers == 0 && *cause == REFUSED {
                    // A refusal promises the client that repeating the request is harmless.
                    assert!(
                        outcome.class == "play" || !outcome.may_have_run,
                        "{id} was refused, but may have run"
                    );
                }
            }
            ToClient::Moved(_) | ToClient::HealthCheckResult { .. } => {}
        }
    }

    /// Simulates a host that receives a message.
    fn simulate_host(&mut self, link: LinkId, message: &ToHost) {
        let Some((port, _)) = self.links.get(&link).copied() else {
            return;
        };
        if self.forgotten_links.contains(&link) {
            let reset = Input::LinkDown {
                link,
                end: LinkEnd::Reset,
                messages_begun: u64::MAX,
            };
            return self.schedule(MS, reset);
        }
        match message {
            ToHost::PlacementRequest { id, class, .. } => {
                let id = *id;
                let outcome = self.outcomes.entry(id).or_default();
                assert!(
                    !outcome.may_have_run || class != "print",
                    "{id} may have run, is unsafe to repeat, and was sent again"
                );
                assert!(
                    outcome.final_answers() == 0,
                    "{id} was sent after its final answer"
                );
                assert!(!outcome.withdrawn, "{id} was sent after it was withdrawn");
                let late = outcome
                    .departed_at
                    .is_some_and(|left| self.now > left + 100 * MS);
                assert!(
                    !late,
                    "{id} was sent more than 0.1 s after its client departed"
                );
                let previous = self.in_flight.insert(id, InFlightAttempt { link, port });
                assert!(previous.is_none(), "{id} has two attempts in flight");
                if !self.hosts_ignore_requests {
                    self.simulate_answer(link, id);
                }
            }
            ToHost::Release { .. } if self.hosts_ignore_releases => {}
            ToHost::Release { id, .. } => {
                if self.in_flight.remove(id).is_some() {
                    self.outcomes.entry(*id).or_default().may_have_run = true;
                }
                if self.running_tasks.remove(id).is_some() {
                    let cancelled = host_release(*id, CANCELLED);
                    self.schedule(MS, Input::HostMessage(link, cancelled));
                }
            }
            ToHost::HealthCheck { id, .. } => {
                let passed = FromHost::HealthCheckResult {
                    id: *id,
                    passed: true,
                    figures: BTreeMap::new(),
                };
                if !self.hosts_are_faulty || self.random_below(3) > 0 {
                    self.schedule(MS, Input::HostMessage(link, passed));
                }
            }
        }
    }

    /// Schedules a host's reaction to a placement request: an answer, or a random fault if hosts are faulty.
    fn simulate_answer(&mut self, link: LinkId, id: u64) {
        let answer = FromHost::Answer {
            id,
            description: format!("host's for {id}"),
        };
        let after = u64::from(1 + self.random_below(40)) * MS;
        let chance = if self.hosts_are_faulty {
            self.random_below(100)
        } else {
            0
        };
        match chance {
            0..45 => {
                self.schedule(after, Input::HostMessage(link, answer.clone()));
                if chance > 35 {
                    // A duplicate, and an answer with an unknown ID.
                    self.schedule(after, Input::HostMessage(link, answer));
                    let unknown = FromHost::Answer {
                        id: id ^ 1 << 60,
                        description: "?".to_owned(),
                    };
                    self.schedule(after, Input::HostMessage(link, unknown));
                }
                let life = u64::from(1 + self.random_below(5_000)) * MS;
                if chance % 3 > 0 {
                    self.schedule(
                        after + life,
                        Input::HostMessage(link, host_release(id, GIVEN_UP)),
                    );
                }
            }
            45..60 => self.schedule(after, Input::HostMessage(link, host_release(id, REFUSED))),
            60..67 => self.schedule(after, Input::HostMessage(link, host_release(id, ERROR))),
            67..74 => self.schedule(after, Input::HostMessage(link, host_release(id, FAILED))),
            74..84 => {
                let down = if chance % 2 == 0 {
                    LinkEnd::Reset
                } else {
                    LinkEnd::Unreadable
                };
                self.schedule(
                    after,
                    Input::LinkDown {
                        link,
                        end: down,
                        messages_begun: u64::MAX,
                    },
                );
            }
            84..90 => self.schedule(
                0,
                Input::LinkDown {
                    link,
                    end: LinkEnd::Reset,
                    messages_begun: 0,
                },
            ),
            // The host does not answer.
            _ => {}
        }
    }

    /// Advances the simulated time by `duration` microseconds and processes all that is due.
    pub fn run(&mut self, duration: u64) {
        let until = self.now + duration;
        loop {
            let next_scheduled = self.scheduled.keys().next().map(|(at, _)| *at);
            let wake = self.engine.next_wake().map(|at| at.max(self.now));
            let next = next_scheduled
                .into_iter()
                .chain(wake)
                .min()
                .filter(|at| *at <= until);
            let Some(next) = next else { break };
            self.now = next;
            match self
                .scheduled
                .first_entry()
                .filter(|first| first.key().0 <= next)
            {
                Some(first) => {
                    let input = first.remove();
                    self.process_input(input);
                }
                None => self.run_engine(),
            }
        }
        self.now = until;
        self.run_engine();
    }
}
