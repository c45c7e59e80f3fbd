//! Hosts and the connections to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use reedring::{AttemptId, MachineId, Micros, RequestId};
use reedring_connection::Backoff;
use reedring_platform_protocol::discovery::{Entry, State};
use reedring_platform_protocol::host::ToHost;

use crate::io::LinkId;

/// Waits between two tries to reach a host that holds tasks.
pub(crate) const FIRST_WAIT: Duration = Duration::from_millis(50);
const WAITS: Backoff = Backoff::new(FIRST_WAIT, Duration::from_secs(1));

/// A host, for as long as the list has it or anything of ours is there.
#[derive(Debug)]
pub(crate) struct Host {
    /// Its line; none where only a task handed over names it so far.
    pub entry: Option<Entry>,
    /// Since when the list does not have it any more.
    pub left_at: Option<Micros>,
    pub links: BTreeSet<LinkId>,
    /// A connection to it was reset, and nothing was heard of it since.
    pub broke: bool,
    /// Tasks that stand there, by their names.
    pub standing: BTreeSet<(u64, RequestId)>,
    /// Refused connections in a row, since one last stood.
    pub refused: u32,
    /// Connections in a row that did not come up, since it was last heard of.
    pub unreachable: u32,
    pub heard_at: Micros,
    pub checked_at: Micros,
    pub waits: Backoff,
    /// A timer for the next try is set.
    pub waiting: bool,
    /// Its last connection made room for another; when it is connected to again.
    pub parked: Option<Micros>,
}

impl Host {
    pub fn new() -> Self {
        Self {
            entry: None,
            left_at: None,
            links: BTreeSet::new(),
            broke: false,
            standing: BTreeSet::new(),
            refused: 0,
            unreachable: 0,
            heard_at: 0,
            checked_at: 0,
            waits: WAITS,
            waiting: false,
            parked: None,
        }
    }

    pub fn heard(&mut self, now: Micros) {
        (self.heard_at, self.unreachable, self.broke) = (now, 0, false);
    }

    /// A new connection is to show whether its tasks still stand. One that was reset may be the first sign of
    /// their end.
    pub fn is_asked(&self) -> bool {
        (self.links.is_empty() || self.broke) && !self.standing.is_empty()
    }

    pub fn tasks(&self) -> Vec<RequestId> {
        self.standing.iter().map(|(_, request)| *request).collect()
    }

    pub fn health(&self) -> Option<State> {
        self.entry.as_ref().map(|entry| entry.health)
    }

    pub fn is_listed(&self) -> bool {
        self.health().is_some_and(|health| health != State::Left)
    }

    pub fn address(&self) -> Option<SocketAddr> {
        self.entry
            .as_ref()
            .filter(|_| self.is_listed())
            .map(|entry| entry.dial)
    }
}

/// A connection to a host.
#[derive(Debug)]
pub(crate) struct Link {
    pub machine: MachineId,
    pub address: SocketAddr,
    pub up: bool,
    /// Messages written to it.
    pub sent: u64,
    /// What is to be written once it stands: until then it can be taken back.
    pub queue: Vec<ToHost>,
    /// Set-ups open on it, by id.
    pub open: BTreeMap<u64, AttemptId>,
    pub probes: u32,
    pub doubtful: bool,
    /// It was made to see whether the host is there.
    pub check: bool,
    /// When it was last of use; one that does not stand yet, its number.
    pub used: Micros,
    /// Since when it stands.
    pub since: Micros,
}

impl Link {
    pub fn is_up(&self) -> bool {
        self.up
    }

    pub fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes == 0
    }
}
