//! What the engine knows: the types that clients, hosts and attempts share, and nothing that decides or sends.

mod client;
mod host;
mod request;

use std::collections::{BTreeMap, VecDeque};

use reedring::settings::Deployment;
use reedring::timers::Timers;
use reedring::{AttemptId, Event, MachineId, Micros, Placer, RequestId};

pub(crate) use self::client::{Conn, End};
pub(crate) use self::host::{FIRST_WAIT, Host, Link};
pub(crate) use self::request::{Out, Phase, Request};
use crate::bounds::Bounds;
use crate::io::{ConnId, LinkId, Output};

/// How long a connection may take where the settings have no time-out.
const CONNECT_US: Micros = 250_000;

/// How long a connection may take, and so a probe too; a visit to a host lasts no less.
pub(crate) fn connect_us(settings: &Deployment) -> Micros {
    settings
        .module
        .rules
        .connect_timeout_us
        .unwrap_or(CONNECT_US)
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
    /// Connections with arrivals that were not submitted to the module yet, in turn.
    pub(crate) turns: VecDeque<ConnId>,
    /// Bytes of set-ups that wait for their answer.
    pub(crate) waiting: usize,
    pub(crate) probes: BTreeMap<u64, Probe>,
    /// Ends of tasks that no connection could be found for yet.
    pub(crate) unsent_ends: Vec<End>,
    /// Ends that were sent just now, by task, and on which connection.
    pub(crate) sent_ends: BTreeMap<u64, (ConnId, End)>,
    pub(crate) rev: u64,
    /// The module waits for word of the list.
    pub(crate) asked_list: bool,
    pub(crate) timers: Timers<Timer>,
    pub(crate) events: Vec<Event>,
    pub(crate) outputs: VecDeque<Output>,
    pub(crate) placer: Placer,
    pub(crate) last_request: u64,
    pub(crate) last_probe: u64,
    /// Since when it is to end.
    pub(crate) ending: Option<Micros>,
    pub(crate) stopped_listening: bool,
    /// It was said that it may end, and nothing came since.
    pub(crate) finished: bool,
}

impl Engine {
    pub(crate) fn log(&mut self, line: String) {
        self.outputs.push_back(Output::Log(line));
    }
}
