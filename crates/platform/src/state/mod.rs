//! What the engine keeps: the types that clients, hosts and attempts share. The tables of
//! hosts and links, requests, health checks and task ends have private fields and keep their own counts. Their records
//! and the fields of [`Engine`], the map of clients among them, are open to the whole crate. Nothing here decides or
//! sends.

mod client;
mod health_check;
mod host;
mod request;

use std::collections::{BTreeMap, VecDeque};

use reedring::settings::Deployment;
use reedring::timers::Timers;
use reedring::{AttemptId, Event, MachineId, Micros, Placer, RequestId};

pub(crate) use self::client::{ClientConnection, TaskEnd, TaskEnds};
pub(crate) use self::health_check::{HealthCheck, HealthChecks};
pub(crate) use self::host::{FIRST_RECONNECT_DELAY, Host, HostTable, Link};
pub(crate) use self::request::{InFlightAttempt, Phase, Placement, Request, RequestTable};
use crate::bounds::Bounds;
use crate::ids::ConnId;
use crate::io::Output;
use crate::log_event::LogEvent;

/// The connect timeout where the settings have none.
const DEFAULT_CONNECT_TIMEOUT_US: Micros = 250_000;

/// How long a connection to a host may take, and also a health check. A link made to check on a host is kept at least
/// as long.
pub(crate) fn connect_timeout_us(settings: &Deployment) -> Micros {
    let timeout = settings.module.rules.connect_timeout_us;
    timeout.unwrap_or(DEFAULT_CONNECT_TIMEOUT_US)
}

/// What a timer is for. None is ever cancelled: whether it still applies is checked when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// A timer of the decision module.
    Module(u64),
    /// An attempt times out.
    AttemptTimeout(AttemptId),
    /// A health check times out.
    HealthCheckTimeout(u64),
    /// A host that runs tasks may be due for another connection.
    Reconnect(MachineId),
    /// The grace period after a client's end of stream is over.
    DepartureGrace(ConnId),
    /// The deadline of a request that may still wait to be submitted.
    RequestDeadline(RequestId),
    /// Idle connections and old records are swept.
    Sweep,
}

/// How far the shutdown of the placer is.
#[derive(Default)]
pub(crate) struct Shutdown {
    /// When it was requested.
    pub requested_at: Option<Micros>,
    pub has_stopped_listening: bool,
    /// It was reported that the placer may exit, and no input came since.
    pub is_finished: bool,
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
    /// The number of the last discovery event that was applied.
    pub(crate) discovery_revision: u64,
    /// The decision module waits for a notification about the endpoint list.
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
