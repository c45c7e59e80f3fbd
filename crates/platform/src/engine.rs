//! The engine: inputs to the module's events, the module's actions to outputs.

use std::collections::{BTreeMap, VecDeque};

use reedring::settings::Deployment;
use reedring::timers::Timers;
use reedring::{Action, Event, Micros, Placer, RequestId};
use reedring_platform_protocol::client::ToClient;
use reedring_platform_protocol::host::{Figures, ToHost};
use reedring_platform_protocol::{CANCELLED, CUT, discovery};

use crate::bounds::Bounds;
use crate::io::{Input, Output};
use crate::state::{Engine, Phase, Request, Timer};

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
/// Arrivals that are submitted to the module at once, before others get their turn: what is cancelled or ends meanwhile
/// is known before the next.
const TURN: usize = 32;

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
    pub known: discovery::WatchResponse,
    /// What bounds it.
    pub bounds: Bounds,
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
            unsent_ends: Vec::new(),
            sent_ends: BTreeMap::new(),
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
        let due = if self.events.is_empty() {
            self.next_turn()
        } else {
            Some(0)
        };
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
            ends: self.unsent_ends.len() + self.sent_ends.len(),
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
            Input::Discovery(update) => self.discovery_update(now, update),
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
        self.submit_next(now, TURN);
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
            let count = |of: fn(&Request) -> bool| {
                self.requests.values().filter(|request| of(request)).count()
            };
            let open = count(|request| request.phase == Phase::Open);
            let standing = count(|request| matches!(request.phase, Phase::Standing { .. }));
            self.log(format!(
                "asked to end: {open} requests are open, {standing} tasks stand"
            ));
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
        let standing = self
            .requests
            .values()
            .any(|request| matches!(request.phase, Phase::Standing { .. }));
        let stays = if standing {
            ASKED_US.max(longest + STAY_MORE_US)
        } else {
            ASKED_US
        };
        let owes = self
            .requests
            .values()
            .any(|request| request.phase == Phase::Open);
        if now >= asked + stays && !owes && !self.finished {
            self.finished = true;
            self.outputs.push_back(Output::Finished);
        }
    }

    fn carry_out(&mut self, now: Micros, action: Action) {
        match action {
            Action::Offer {
                request,
                machine,
                within_us,
            } => self.offer(now, request, machine, within_us),
            Action::Stop(attempt) => self.stop(attempt),
            Action::Refuse {
                request,
                stay_away_us,
            } => {
                self.answer(request, |id| {
                    ToClient::refusal(id, stay_away_us.map(|us| us.div_ceil(1_000)))
                });
            }
            Action::Fail(request) => self.answer(request, |id| ToClient::failure(id, CUT)),
            Action::Move(request) => self.move_away(now, request),
            Action::Probe(machine) => self.probe(now, machine),
            Action::CloseIdle(machine) => self.close_idle(machine),
            Action::Tell { .. } => {
                self.log("the platform carries no messages between placers".to_owned())
            }
            Action::Watch(on) => self.asked_list = on,
            Action::Fetch => self.fetch(),
            Action::Timer { token, after_us } => {
                self.timers.set(now + after_us, Timer::Module(token))
            }
            Action::Log(line) => self.log(line),
        }
    }

    /// The final answer to a set-up, at once.
    fn answer(&mut self, request: RequestId, answer: impl FnOnce(u64) -> ToClient) {
        if let Some((conn, id)) = self.close(request) {
            self.send_client(conn, answer(id));
            self.closed_on(conn, id);
        }
    }

    /// Ends the placed task, so that its client comes again.
    fn move_away(&mut self, now: Micros, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else {
            return;
        };
        let (Phase::Standing { .. }, id, conn) = (entry.phase, entry.setup.id, entry.conn) else {
            return;
        };
        self.cut(now, request, CANCELLED);
        if let Some(conn) = self.route(conn) {
            self.send_client(conn, ToClient::Moved(id));
        }
    }

    /// Tells a host to end what stands there.
    pub(crate) fn cut(&mut self, now: Micros, request: RequestId, cause: u8) {
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        let Phase::Standing {
            machine, number, ..
        } = entry.phase
        else {
            return;
        };
        entry.phase = Phase::Ending {
            machine,
            number,
            since: now,
        };
        let id = entry.setup.id;
        if let Some(link) = self.any_link(now, machine) {
            self.send_host(link, ToHost::Release { id, cause });
        }
    }
}
