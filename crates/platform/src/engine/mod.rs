//! The engine: inputs to the module's events, the module's actions to outputs.

mod attempts;
mod bounds;

use std::collections::{BTreeMap, VecDeque};

use reedring::settings::Deployment;
use reedring::timers::Timers;
use reedring::{Action, AttemptId, Ended, Event, MachineId, Micros, Outcome, Placer, RequestId};
use reedring_platproto::board;
use reedring_platproto::host::{Figures, ToHost};
use reedring_platproto::owner::{Setup, ToOwner};
use reedring_platproto::{CANCELLED, CUT, GIVEN_UP};

pub use self::bounds::Bounds;
use crate::clients::{Conn, End};
use crate::hosts::{Host, Link};
use crate::io::{ConnId, Input, LinkId, Output};

/// Between two looks at idle connections and old records.
const SWEEP_US: Micros = 250_000;
/// For this long after it was asked to end a placer still takes new connections, and for this long requests on
/// those that it has: as long as the platform says that they come, and a little.
const LISTEN_US: Micros = 700_000;
const ASKED_US: Micros = 1_000_000;
/// It stays for as long as the platform lets it, which is the longest that a client waits, this at most, and a
/// little: what stands goes on, and its ends are told until it goes.
const STAY_US: Micros = 3_000_000;
const STAY_MORE_US: Micros = 400_000;
/// Arrivals that the module is told of at once, before others get their turn: what is cancelled or ends meanwhile
/// is known before the next.
const TURN: usize = 32;
/// Kept in hand of a client's time, for the way of the last answer.
const ANSWER_US: Micros = 10_000;
/// How long a connection may take where no time-out is told.
const CONNECT_US: Micros = 250_000;

/// How long a connection may take, and so a probe too; a visit to a host lasts no less.
pub(crate) fn connect_us(settings: &Deployment) -> Micros {
    settings.module.rules.connect_timeout_us.unwrap_or(CONNECT_US)
}

/// What an engine is told at its start.
#[derive(Clone, Debug)]
pub struct Start {
    /// Microseconds since 1970 on a clock that never goes back.
    pub now: Micros,
    /// Seed of the module's random numbers.
    pub seed: u64,
    /// The settings.
    pub settings: Deployment,
    /// Events of discovery up to now.
    pub known: board::Told,
    /// What bounds it.
    pub bounds: Bounds,
}

/// An attempt that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Out {
    pub number: u16,
    pub machine: MachineId,
    pub link: LinkId,
    /// Which message of its link it is.
    pub position: u64,
    pub sent: Micros,
    pub until: Micros,
    /// Times that it was sent again, as no byte of it had left.
    pub resent: u8,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Phase {
    /// Its client waits.
    Open,
    /// Nothing is owed any more, and an attempt may still be out.
    Closed,
    /// It was accepted there by this attempt.
    Standing { machine: MachineId, number: u16, since: Micros },
    /// It stands there still, and was told to end.
    Ending { machine: MachineId, number: u16, since: Micros },
}

pub(crate) struct Request {
    pub setup: Setup,
    /// The client's connection that it came on.
    pub conn: ConnId,
    pub deadline: Micros,
    pub attempts: u16,
    pub out: Option<Out>,
    pub phase: Phase,
    /// When it came.
    pub came: Micros,
    /// The module was told of it.
    pub told: bool,
    /// No attempt begins any more: its client has gone.
    pub last: bool,
    /// Bytes that it holds while it waits for its answer.
    pub weight: usize,
}

impl Request {
    /// Its client waits, and the module was not told of it yet.
    pub fn is_fresh(&self) -> bool {
        self.phase == Phase::Open && !self.told
    }
}

/// What a timer is for. None is ever withdrawn: what it asks is checked when it comes due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// One of the module's own.
    Module(u64),
    /// The time of an attempt is over.
    Attempt(AttemptId),
    /// The time of a probe is over.
    Probe(u64),
    /// A host that holds tasks may be due to be connected to again.
    Reconnect(MachineId),
    /// A client ended a moment ago.
    Gone(ConnId),
    /// The time of a request is over that may still wait for its turn.
    Overdue(RequestId),
    /// Idle connections and old records are looked through.
    Sweep,
}

pub(crate) struct Probe {
    pub machine: MachineId,
    pub link: LinkId,
    pub sent: Micros,
}

/// Sizes of all that an engine keeps, for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Requests that are open, stand, or have an attempt out.
    pub requests: usize,
    /// Clients' connections.
    pub conns: usize,
    /// Connections to hosts.
    pub links: usize,
    /// Hosts.
    pub hosts: usize,
    /// Ends that are owed to clients, or were told just now.
    pub ends: usize,
    /// Probes that are out.
    pub probes: usize,
    /// Timers that are set.
    pub timers: usize,
    /// Machines, requests and attempts that the module keeps in mind.
    pub module: [usize; 3],
}

/// One placer on the platform. The crate's page shows the loop around it.
pub struct Engine {
    pub(crate) settings: Deployment,
    pub(crate) bounds: Bounds,
    pub(crate) conns: BTreeMap<ConnId, Conn>,
    pub(crate) hosts: BTreeMap<MachineId, Host>,
    pub(crate) links: BTreeMap<LinkId, Link>,
    pub(crate) last_link: LinkId,
    /// Hosts that have a connection.
    pub(crate) linked: usize,
    /// Hosts that the list has.
    pub(crate) on_list: usize,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    /// Requests by the id on the wire.
    pub(crate) by_id: BTreeMap<u64, RequestId>,
    /// Connections with arrivals of which the module was not told yet, in turn.
    pub(crate) turns: VecDeque<ConnId>,
    /// Bytes of set-ups that wait for their answer.
    pub(crate) waiting: usize,
    pub(crate) probes: BTreeMap<u64, Probe>,
    /// Ends of tasks that clients are to hear of.
    pub(crate) ends: Vec<End>,
    /// Ends that were told just now, by task, and on which connection.
    pub(crate) told_ends: BTreeMap<u64, (ConnId, End)>,
    pub(crate) rev: u64,
    /// The module waits for word of the list.
    pub(crate) asked_list: bool,
    pub(crate) timers: Timers<Timer>,
    pub(crate) events: Vec<Event>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) placer: Placer,
    last_request: u64,
    last_probe: u64,
    /// Since when it is to end.
    pub(crate) ending: Option<Micros>,
    stopped_listening: bool,
    /// It was said that it may end, and nothing came since.
    finished: bool,
}

impl Engine {
    /// A placer that knows its settings and the list as it was told.
    pub fn new(start: Start) -> Self {
        let placer = Placer::new(start.settings.module.clone(), start.seed);
        let mut engine = Self {
            settings: start.settings,
            bounds: start.bounds,
            conns: BTreeMap::new(),
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            last_link: 0,
            linked: 0,
            on_list: 0,
            requests: BTreeMap::new(),
            by_id: BTreeMap::new(),
            turns: VecDeque::new(),
            waiting: 0,
            probes: BTreeMap::new(),
            ends: Vec::new(),
            told_ends: BTreeMap::new(),
            rev: 0,
            asked_list: false,
            timers: Timers::default(),
            events: Vec::new(),
            outputs: VecDeque::new(),
            placer,
            last_request: 0,
            last_probe: 0,
            ending: None,
            stopped_listening: false,
            finished: false,
        };
        engine.known(start.now, start.known);
        engine.timers.set(start.now + SWEEP_US, Timer::Sweep);
        engine
    }

    /// When [`Engine::flush`] must be called at the latest, if no input comes before.
    pub fn next_wake(&self) -> Option<Micros> {
        let due = if self.events.is_empty() { self.next_turn() } else { Some(0) };
        due.into_iter().chain(self.timers.next()).min()
    }

    /// Arrivals wait for their turn.
    pub fn has_backlog(&self) -> bool {
        !self.turns.is_empty()
    }

    /// The next thing to do.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// Sizes of all that it keeps.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            requests: self.requests.len().max(self.by_id.len()),
            conns: self.conns.len(),
            links: self.links.len(),
            hosts: self.hosts.len(),
            ends: self.ends.len() + self.told_ends.len(),
            probes: self.probes.len(),
            timers: self.timers.len(),
            module: self.placer.sizes(),
        }
    }

    /// Takes an input in. What the module has to say to it comes with the next [`Engine::flush`].
    pub fn handle(&mut self, now: Micros, input: Input) {
        self.finished = false;
        match input {
            Input::ClientCame(conn) => self.client_came(now, conn),
            Input::Client(conn, message) => self.client_says(now, conn, message),
            Input::ClientRead { conn, more } => self.client_read(conn, more),
            Input::ClientEnded(conn) => self.client_ended(now, conn),
            Input::ClientSpoilt(conn, why) => self.client_spoilt(now, conn, &why),
            Input::ClientGone(conn) => self.client_gone(now, conn),
            Input::LinkUp(link) => self.link_up(now, link),
            Input::Host(link, message) => self.host_says(now, link, message),
            Input::LinkDown { link, down, begun } => self.link_down(now, link, down, begun),
            Input::Discovery(told) => self.discovery_told(now, told),
            Input::DiscoveryLost(why) => self.discovery_lost(&why),
            Input::Terminate => self.terminate(now),
        }
    }

    /// Lets the module decide, once, on all that came since.
    pub fn flush(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop(now) {
            match timer {
                Timer::Module(token) => self.events.push(Event::Woken(token)),
                Timer::Attempt(attempt) => self.attempt_due(now, attempt),
                Timer::Probe(id) => self.probe_over(now, id, false, &Figures::new()),
                Timer::Reconnect(machine) => self.reconnect(now, machine),
                Timer::Gone(conn) => self.client_ended_long(now, conn),
                Timer::Overdue(request) => self.overdue(now, request),
                Timer::Sweep => {
                    self.sweep_clients(now);
                    self.sweep_hosts(now);
                    self.timers.set(now + SWEEP_US, Timer::Sweep);
                }
            }
        }
        self.hand_over(now, TURN);
        if !self.events.is_empty() {
            let (events, mut actions) = (std::mem::take(&mut self.events), Vec::new());
            self.placer.step(now, &events, &mut actions);
            for action in actions {
                self.carry_out(now, action);
            }
        }
        self.end(now);
    }

    fn terminate(&mut self, now: Micros) {
        if self.ending.is_none() {
            self.ending = Some(now);
            let count =
                |of: fn(&Request) -> bool| self.requests.values().filter(|request| of(request)).count();
            let open = count(|request| request.phase == Phase::Open);
            let standing = count(|request| matches!(request.phase, Phase::Standing { .. }));
            self.log(format!("asked to end: {open} requests are open, {standing} tasks stand"));
        }
    }

    /// A placer that was asked to end does so once nothing is owed and nothing more comes.
    fn end(&mut self, now: Micros) {
        let Some(asked) = self.ending else { return };
        if now >= asked + LISTEN_US && !self.stopped_listening {
            self.stopped_listening = true;
            self.outputs.push_back(Output::StopListening);
        }
        let longest = self.settings.longest_wait_us.unwrap_or(0).min(STAY_US);
        let standing = self.requests.values().any(|request| matches!(request.phase, Phase::Standing { .. }));
        let stays = if standing { ASKED_US.max(longest + STAY_MORE_US) } else { ASKED_US };
        let owes = self.requests.values().any(|request| request.phase == Phase::Open);
        if now >= asked + stays && !owes && !self.finished {
            self.finished = true;
            self.outputs.push_back(Output::Finished);
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer { request, machine, within_us } => self.offer(now, request, machine, within_us),
            Action::Stop(attempt) => self.stop(attempt),
            Action::Refuse { request, stay_away_us } => {
                self.answer(request, |id| ToOwner::refusal(id, stay_away_us.map(|us| us.div_ceil(1_000))));
            }
            Action::Fail(request) => self.answer(request, |id| ToOwner::failure(id, CUT)),
            Action::Move(request) => self.move_away(now, request),
            Action::Probe(machine) => self.probe(now, machine),
            Action::CloseIdle(machine) => self.close_idle(machine),
            Action::Tell { .. } => self.log("the platform carries no messages between placers".to_owned()),
            Action::Watch(on) => self.asked_list = on,
            Action::Fetch => self.fetch(),
            Action::Timer { token, after_us } => self.timers.set(now + after_us, Timer::Module(token)),
            Action::Log(line) => self.log(line),
        }
    }

    pub(crate) fn log(&mut self, line: String) {
        self.outputs.push_back(Output::Log(line));
    }

    pub(crate) fn new_request(&mut self, now: Micros, setup: Setup, conn: ConnId, phase: Phase) -> RequestId {
        self.last_request += 1;
        let (request, id) = (RequestId(self.last_request), setup.id);
        let deadline = now + (setup.left_ms * 1_000).saturating_sub(ANSWER_US);
        let (open, weight) = (phase == Phase::Open, setup.description.len() + std::mem::size_of::<Request>());
        let (attempts, weight) = (u16::from(!open), if open { weight } else { 0 });
        self.waiting += weight;
        self.by_id.insert(id, request);
        let (out, told, last) = (None, !open, false);
        let entry = Request { setup, conn, deadline, attempts, out, phase, came: now, told, last, weight };
        self.requests.insert(request, entry);
        request
    }

    /// Forgets a request of which nothing is left.
    pub(crate) fn forget(&mut self, request: RequestId) {
        let Some(gone) = self.requests.remove(&request) else { return };
        self.waiting -= gone.weight;
        if self.by_id.get(&gone.setup.id) == Some(&request) {
            self.by_id.remove(&gone.setup.id);
        }
    }

    /// The request under an id on the wire.
    pub(crate) fn request_of(&self, id: u64) -> Option<(RequestId, &Request)> {
        let request = *self.by_id.get(&id)?;
        Some((request, self.requests.get(&request)?))
    }

    /// Owes an open request nothing any more; on which connection it came, and its id.
    pub(crate) fn close(&mut self, request: RequestId) -> Option<(ConnId, u64)> {
        let entry = self.requests.get_mut(&request).filter(|entry| entry.phase == Phase::Open)?;
        entry.phase = Phase::Closed;
        let (whose, out) = ((entry.conn, entry.setup.id), entry.out.is_some());
        if !out {
            self.forget(request);
        }
        Some(whose)
    }

    /// The final answer to a set-up, at once.
    fn answer(&mut self, request: RequestId, answer: impl FnOnce(u64) -> ToOwner) {
        if let Some((conn, id)) = self.close(request) {
            self.send_client(conn, answer(id));
            self.closed_on(conn, id);
        }
    }

    /// Ends the placed task, so that its client comes again.
    fn move_away(&mut self, now: Micros, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else { return };
        let (Phase::Standing { .. }, id, conn) = (entry.phase, entry.setup.id, entry.conn) else { return };
        self.cut(now, request, CANCELLED);
        if let Some(conn) = self.route(conn) {
            self.send_client(conn, ToOwner::Moved(id));
        }
    }

    /// Tells a host to end what stands there.
    pub(crate) fn cut(&mut self, now: Micros, request: RequestId, cause: u8) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let Phase::Standing { machine, number, .. } = entry.phase else { return };
        entry.phase = Phase::Ending { machine, number, since: now };
        let id = entry.setup.id;
        if let Some(link) = self.any_link(now, machine) {
            self.send_host(link, ToHost::Release { id, cause });
        }
    }
}
