//! The engine's interface: inputs become events for the decision module, and its actions become outputs.

mod actions;
mod shutdown;

use std::collections::{BTreeMap, VecDeque};

use reedring::settings::Deployment;
use reedring::timers::Timers;
use reedring::{Event, Micros, Placer};
use reedring_platform_protocol::discovery;
use reedring_platform_protocol::host::Figures;

use crate::bounds::Bounds;
use crate::io::{Input, Output};
use crate::state::{
    DisplacedTasks, Engine, HealthChecks, HostTable, PendingStops, RequestTable, Shutdown,
    TaskEnds, Timer,
};

/// The interval at which idle connections, silent hosts and expired records are looked for.
const SWEEP_INTERVAL_US: Micros = 250_000;
/// How many requests one flush submits to the decision module, so that cancellations and attempt ends that arrive
/// meanwhile are processed before the next requests are submitted.
const MAX_SUBMISSIONS: usize = 32;

/// The parameters of [`Engine::new`].
#[derive(Clone, Debug)]
pub struct EngineParameters {
    /// The current time, in microseconds since 1970, on a clock that never goes back.
    pub now: Micros,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// The settings of the deployment.
    pub settings: Deployment,
    /// The endpoint list of the configuration, as discovery events.
    pub known: discovery::WatchResponse,
    /// Limits on connections and memory.
    pub bounds: Bounds,
}

/// How many records of each kind an engine holds, for tests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sizes {
    /// Requests that are open, run, or have an attempt in flight.
    pub requests: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Links to hosts, established or being made.
    pub links: usize,
    /// Links that were closed but on which messages may still arrive.
    pub closing_links: usize,
    /// Hosts that are listed, linked or run tasks of this placer.
    pub hosts: usize,
    /// Task ends that are not sent yet, or that were sent a moment ago and may have to be sent again.
    pub task_ends: usize,
    /// Tasks that are no longer tracked, whose ends are still passed on.
    pub displaced_tasks: usize,
    /// Stops of tasks that hosts have not confirmed.
    pub pending_stops: usize,
    /// Health checks that wait for their results.
    pub health_checks: usize,
    /// Timers that have not fired.
    pub timers: usize,
    /// Machines, requests and active attempts of the decision module, in this order.
    pub module: [usize; 3],
}

impl Engine {
    /// Creates an engine that knows the settings and the endpoint list of its configuration.
    pub fn new(parameters: EngineParameters) -> Self {
        let placer = Placer::new(parameters.settings.module.clone(), parameters.seed);
        let mut engine = Self {
            settings: parameters.settings,
            bounds: parameters.bounds,
            clients: BTreeMap::new(),
            hosts: HostTable::default(),
            requests: RequestTable::default(),
            submission_queue: VecDeque::new(),
            health_checks: HealthChecks::default(),
            task_ends: TaskEnds::default(),
            displaced_tasks: DisplacedTasks::new(parameters.bounds.displaced_tasks),
            pending_stops: PendingStops::default(),
            discovery_revision: 0,
            is_list_requested: false,
            timers: Timers::default(),
            events: Vec::new(),
            outputs: VecDeque::new(),
            placer,
            shutdown: Shutdown::default(),
        };
        engine.load_endpoints(parameters.now, parameters.known);
        engine
            .timers
            .set(parameters.now + SWEEP_INTERVAL_US, Timer::Sweep);
        engine
    }

    /// When [`Engine::flush`] must be called at the latest if no input arrives before; `None` if only an input can
    /// cause work. Zero means at once.
    pub fn next_wake(&self) -> Option<Micros> {
        let next_event = if self.events.is_empty() {
            self.next_submission()
        } else {
            Some(0)
        };
        next_event.into_iter().chain(self.timers.next()).min()
    }

    /// Whether requests wait to be submitted to the decision module.
    pub fn has_backlog(&self) -> bool {
        !self.submission_queue.is_empty()
    }

    /// The next output to carry out; `None` if there is none.
    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    /// How many records of each kind the engine holds.
    pub fn sizes(&self) -> Sizes {
        Sizes {
            requests: self.requests.len(),
            clients: self.clients.len(),
            links: self.hosts.link_count(),
            closing_links: self.hosts.closing_link_count(),
            hosts: self.hosts.host_count(),
            task_ends: self.task_ends.len(),
            displaced_tasks: self.displaced_tasks.len(),
            pending_stops: self.pending_stops.len(),
            health_checks: self.health_checks.len(),
            timers: self.timers.len(),
            module: self.placer.sizes(),
        }
    }

    /// Processes an input. The decision module reacts to it in the next [`Engine::flush`].
    pub fn handle(&mut self, now: Micros, input: Input) {
        self.shutdown.is_exit_reported = false;
        match input {
            Input::ClientConnected(conn) => self.client_connected(now, conn),
            Input::ClientMessage(conn, message) => self.client_message(now, conn, message),
            Input::ClientInputRead { conn, has_more } => self.client_input_read(conn, has_more),
            Input::ClientEnding(conn) => self.client_ending(now, conn),
            Input::ClientEndOfStream(conn) => self.client_end_of_stream(now, conn),
            Input::ClientUnreadable(conn, error) => self.client_unreadable(now, conn, error),
            Input::ClientDisconnected(conn) => self.client_disconnected(now, conn),
            Input::LinkUp(link) => self.link_up(now, link),
            Input::HostMessage(link, message) => self.host_message(now, link, message),
            Input::LinkDown {
                link,
                end,
                messages_begun,
            } => {
                self.link_down(now, link, end, messages_begun);
            }
            Input::DiscoveryUpdate(update) => self.discovery_update(now, update),
            Input::DiscoveryFailed(error) => self.discovery_failed(error),
            Input::Terminate => self.terminate(now),
        }
    }

    /// Fires the timers that are due, and lets the decision module decide once on all input since the last call.
    pub fn flush(&mut self, now: Micros) {
        while let Some(timer) = self.timers.pop(now) {
            self.timer_fired(now, timer);
        }
        self.submit_next(now, MAX_SUBMISSIONS);
        if !self.events.is_empty() {
            let (events, mut actions) = (std::mem::take(&mut self.events), Vec::new());
            self.placer.step(now, &events, &mut actions);
            for action in actions {
                self.execute_action(now, action);
            }
        }
        self.advance_shutdown(now);
    }

    fn timer_fired(&mut self, now: Micros, timer: Timer) {
        match timer {
            Timer::Module(token) => self.events.push(Event::TimerDue(token)),
            Timer::AttemptTimeout(attempt) => self.attempt_timeout(now, attempt),
            Timer::HealthCheckTimeout(id) => {
                self.health_check_done(now, id, false, &Figures::new());
            }
            Timer::Reconnect(machine) => self.reconnect(now, machine),
            Timer::DepartureGrace(conn) => self.departure_grace_expired(now, conn),
            Timer::RequestDeadline(request) => self.request_deadline(now, request),
            Timer::Sweep => {
                self.sweep_clients(now);
                self.sweep_hosts(now);
                self.timers.set(now + SWEEP_INTERVAL_US, Timer::Sweep);
            }
        }
    }
}
