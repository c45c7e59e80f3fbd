//! The state of the engine, shared by the modules for clients, hosts and attempts. The tables of hosts and links,
//! requests, health checks, task ends and displaced tasks have private fields and maintain their own counts. Their records and the
//! fields of [`Engine`], including the map of clients, are visible in the whole crate. This module decides and sends
//! nothing.

mod bounded_map;
mod client;
mod displaced;
mod health_check;
mod host;
mod pending_stops;
mod request;
mod task_end;
mod unconfirmed;

use std::collections::{BTreeMap, VecDeque};

use reedring::settings::Deployment;
use reedring::timers::Timers;
use reedring::{AttemptId, Event, MachineId, Micros, Placer, RequestId};

pub(crate) use self::client::ClientConnection;
pub(crate) use self::displaced::{DisplacedTask, DisplacedTasks};
pub(crate) use self::health_check::{HealthCheck, HealthChecks};
pub(crate) use self::host::{ClosingLink, FIRST_RECONNECT_DELAY, Host, HostTable, Link};
pub(crate) use self::pending_stops::{PendingStop, PendingStops};
pub(crate) use self::request::{InFlightAttempt, Phase, Placement, Request, RequestTable};
pub(crate) use self::task_end::{TaskEnd, TaskEnds};
use crate::bounds::Bounds;
use crate::ids::ConnId;
use crate::io::Output;
use crate::log_event::LogEvent;

/// The connect timeout if the settings have none.
const DEFAULT_CONNECT_TIMEOUT_US: Micros = 250_000;

/// The timeout of a connection to a host and of a health check, in microseconds. A link that is needed for a liveness
/// check is kept at least as long before one for another host may replace it.
pub(crate) fn connect_timeout_us(settings: &Deployment) -> Micros {
    let timeout = settings.module.rules.connect_timeout_us;
    timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_US)
}

/// What a timer is for. Timers whose time a client chooses are cancelled; for all others, whether one still applies is
/// checked when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer of the decision module, by its token.
    Module(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A health check times out.
    HealthCheckTimeout(u64),
    /// A host that runs tasks may have to be connected to again.
    Reconnect(MachineId),
    /// The grace period after a client's end of stream is over.
    DepartureGrace(ConnId),
    /// The deadline of a request that may not have been submitted yet.
    RequestDeadline(RequestId),
    /// The next sweep of idle connections and expired records is due.
    Sweep,
}

/// The progress of the placer's shutdown.
#[derive(Default)]
pub(crate) struct Shutdown {
    /// When the shutdown was requested; `None` if it was not.
    pub requested_at: Option<Micros>,
    pub has_stopped_listening: bool,
    /// Whether the output that the placer may exit was emitted and no input was received since.
    pub is_exit_reported: bool,
}

/// One placer on the platform. The crate's documentation shows the loop around it.
pub struct Engine {
    pub(crate) settings: Deployment,
    pub(crate) bounds: Bounds,
    pub(crate) clients: BTreeMap<ConnId, ClientConnection>,
    pub(crate) hosts: HostTable,
    pub(crate) requests: RequestTable,
    /// Connections with requests that were not submitted to the decision module yet, in the order of their turns.
    pub(crate) submission_queue: VecDeque<ConnId>,
    pub(crate) health_checks: HealthChecks,
    pub(crate) task_ends: TaskEnds,
    pub(crate) displaced_tasks: DisplacedTasks,
    pub(crate) pending_stops: PendingStops,
    /// The number of the last discovery event that was applied.
    pub(crate) discovery_revision: u64,
    /// Whether the decision module waits for the next update of the endpoint list, even one without changes.
    pub(crate) is_list_requested: bool,
    pub(crate) timers: Timers<Timer>,
    /// Events for the decision module's next step.
    pub(crate) events: Vec<Event>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) placer: Placer,
    pub(crate) shutdown: Shutdown,
}

impl Engine {
    pub(crate) fn log(&mut self, event: LogEvent) {
        self.outputs.push_back(Output::Log(event));
    }
}
