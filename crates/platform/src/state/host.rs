//! Hosts and the links to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use reedring::{AttemptId, MachineId, Micros, RequestId};
use reedring_connection::Backoff;
use reedring_platform_protocol::discovery::{HostEntry, HostHealth};
use reedring_platform_protocol::host::ToHost;

use crate::ids::LinkId;

/// The first delay before a host that runs tasks is connected to again.
pub(crate) const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const RECONNECT_BACKOFF: Backoff = Backoff::new(FIRST_RECONNECT_DELAY, Duration::from_secs(1));

/// A host, kept for as long as the endpoint list has it, a link to it exists or a task of ours runs there.
#[derive(Debug)]
pub(crate) struct Host {
    /// Its entry in the endpoint list; `None` where only a task that was handed over names it so far.
    pub entry: Option<HostEntry>,
    /// Since when the list does not have it any more.
    pub left_at: Option<Micros>,
    pub links: BTreeSet<LinkId>,
    /// A link to it was reset, and nothing was received of it since.
    pub was_reset: bool,
    /// Tasks that run there, by their keys.
    pub running: BTreeSet<(u64, RequestId)>,
    /// Refused connections in a row, since one was last established.
    pub refused: u32,
    /// Failed connections in a row, since something was last received of it.
    pub connect_failures: u32,
    pub last_received: Micros,
    /// When a link was last made to check on it.
    pub checked_at: Micros,
    pub backoff: Backoff,
    /// A timer for the next connection is set.
    pub is_reconnect_scheduled: bool,
    /// Its last link was closed for another; when it is connected to again.
    pub evicted_until: Option<Micros>,
}

impl Host {
    pub fn new() -> Self {
        Self {
            entry: None,
            left_at: None,
            links: BTreeSet::new(),
            was_reset: false,
            running: BTreeSet::new(),
            refused: 0,
            connect_failures: 0,
            last_received: 0,
            checked_at: 0,
            backoff: RECONNECT_BACKOFF,
            is_reconnect_scheduled: false,
            evicted_until: None,
        }
    }

    /// Something was received of it.
    pub fn received(&mut self, now: Micros) {
        (self.last_received, self.connect_failures, self.was_reset) = (now, 0, false);
    }

    /// Whether a new link is to show if its tasks still run. A link that was reset may be the first sign of their end.
    pub fn needs_check(&self) -> bool {
        (self.links.is_empty() || self.was_reset) && !self.running.is_empty()
    }

    /// The requests whose tasks run there.
    pub fn running_requests(&self) -> Vec<RequestId> {
        self.running.iter().map(|(_, request)| *request).collect()
    }

    pub fn health(&self) -> Option<HostHealth> {
        self.entry.as_ref().map(|entry| entry.health)
    }

    pub fn is_listed(&self) -> bool {
        self.health()
            .is_some_and(|health| health != HostHealth::Left)
    }

    /// Its address; `None` unless the list has it.
    pub fn address(&self) -> Option<SocketAddr> {
        self.entry
            .as_ref()
            .filter(|_| self.is_listed())
            .map(|entry| entry.address)
    }
}

/// A link: a connection to a host, established or being made.
#[derive(Debug)]
pub(crate) struct Link {
    pub machine: MachineId,
    pub address: SocketAddr,
    pub is_up: bool,
    /// Messages written to it.
    pub messages_sent: u64,
    /// Messages that wait until it is established: until then they can be taken back.
    pub queue: Vec<ToHost>,
    /// Attempts in flight on it, by the request's id on the wire.
    pub in_flight: BTreeMap<u64, AttemptId>,
    /// Health checks in flight on it.
    pub health_checks: u32,
    /// Something on it went unanswered: it is used no more.
    pub is_suspect: bool,
    /// It was made to check on the host.
    pub is_check: bool,
    /// When it was established, an attempt was last sent on it (or queued for it) or a message of its host last came.
    /// Until the first of these it holds the link's id in place of a time: the order in which links were created,
    /// before any time of the clock.
    pub last_used: Micros,
    /// Since when it is established.
    pub up_since: Micros,
}

impl Link {
    fn new(id: LinkId, machine: MachineId, address: SocketAddr) -> Self {
        Self {
            machine,
            address,
            is_up: false,
            messages_sent: 0,
            queue: Vec::new(),
            in_flight: BTreeMap::new(),
            health_checks: 0,
            is_suspect: false,
            is_check: false,
            last_used: id,
            up_since: 0,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.health_checks == 0
    }
}

/// A link that is to be connected.
pub(crate) struct NewLink {
    pub id: LinkId,
    pub address: SocketAddr,
}

/// All hosts and links, and the counts over them that decide whether another link may be made.
#[derive(Default)]
pub(crate) struct HostTable {
    hosts: BTreeMap<MachineId, Host>,
    links: BTreeMap<LinkId, Link>,
    last_link: LinkId,
    /// Hosts that have a link.
    hosts_with_links: usize,
    /// Hosts that the endpoint list has.
    listed_hosts: usize,
}

impl HostTable {
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// Links beside a host's first.
    pub fn extra_links(&self) -> usize {
        self.links.len() - self.hosts_with_links
    }

    /// How many hosts the endpoint list has.
    pub fn listed_hosts(&self) -> usize {
        self.listed_hosts
    }

    pub fn host(&self, machine: MachineId) -> Option<&Host> {
        self.hosts.get(&machine)
    }

    pub fn host_mut(&mut self, machine: MachineId) -> Option<&mut Host> {
        self.hosts.get_mut(&machine)
    }

    /// A host, which is added if nothing was known of it.
    pub fn host_or_new(&mut self, machine: MachineId) -> &mut Host {
        self.hosts.entry(machine).or_insert_with(Host::new)
    }

    pub fn hosts(&self) -> impl Iterator<Item = (MachineId, &Host)> {
        self.hosts.iter().map(|(machine, host)| (*machine, host))
    }

    pub fn link(&self, id: LinkId) -> Option<&Link> {
        self.links.get(&id)
    }

    pub fn link_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        self.links.get_mut(&id)
    }

    pub fn links(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.links.iter().map(|(id, link)| (*id, link))
    }

    pub fn links_of(&self, machine: MachineId) -> impl Iterator<Item = (LinkId, &Link)> {
        let links = self
            .hosts
            .get(&machine)
            .into_iter()
            .flat_map(|host| &host.links);
        links.filter_map(|id| Some((*id, self.links.get(id)?)))
    }

    /// Whether another link to the same host than this one is established.
    pub fn has_other_link_up(&self, id: LinkId, machine: MachineId) -> bool {
        self.links_of(machine)
            .any(|(other, link)| other != id && link.is_up)
    }

    /// Adds a link to a host, if its address is known.
    pub fn add_link(&mut self, machine: MachineId) -> Option<NewLink> {
        let host = self.hosts.get_mut(&machine)?;
        let address = host.address()?;
        self.last_link += 1;
        let id = self.last_link;
        self.hosts_with_links += usize::from(host.links.is_empty());
        host.links.insert(id);
        host.evicted_until = None;
        self.links.insert(id, Link::new(id, machine, address));
        Some(NewLink { id, address })
    }

    pub fn remove_link(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&link.machine) {
            let was_last = host.links.remove(&id) && host.links.is_empty();
            self.hosts_with_links -= usize::from(was_last);
        }
        Some(link)
    }

    /// Replaces a host's entry in the endpoint list; the former one.
    pub fn set_entry(
        &mut self,
        now: Micros,
        machine: MachineId,
        entry: HostEntry,
    ) -> Option<HostEntry> {
        let host = self.hosts.entry(machine).or_insert_with(Host::new);
        self.listed_hosts -= usize::from(host.is_listed());
        host.left_at = (entry.health == HostHealth::Left).then(|| host.left_at.unwrap_or(now));
        let former = host.entry.replace(entry);
        self.listed_hosts += usize::from(host.is_listed());
        former
    }

    /// Forgets a host if the list does not have it and nothing of ours is there.
    pub fn remove_if_unused(&mut self, machine: MachineId) {
        let is_unused = self.hosts.get(&machine).is_some_and(|host| {
            host.links.is_empty()
                && host.running.is_empty()
                && !host.is_reconnect_scheduled
                && !host.is_listed()
        });
        if is_unused {
            self.hosts.remove(&machine);
        }
    }
}
