//! Hosts and the links to them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use reedring::{AttemptId, MachineId, Micros, RequestId};
use reedring_connection::Backoff;
use reedring_platform_protocol::discovery::{HostEntry, HostHealth};
use reedring_platform_protocol::host::ToHost;

use crate::ids::LinkId;

/// The delay after which a host that runs tasks is first connected to again.
pub(crate) const FIRST_RECONNECT_DELAY: Duration = Duration::from_millis(50);
const RECONNECT_BACKOFF: Backoff = Backoff::new(FIRST_RECONNECT_DELAY, Duration::from_secs(1));

/// A host. It is kept for as long as the endpoint list has it, a link to it exists, or a task of this placer runs
/// there.
#[derive(Debug)]
pub(crate) struct Host {
    /// The host's entry in the endpoint list; `None` if the host is known only from a running task that a client handed
    /// over.
    pub entry: Option<HostEntry>,
    /// When the host was first listed at its address.
    pub address_since: Micros,
    /// When the host left the endpoint list; `None` unless it did.
    pub left_at: Option<Micros>,
    /// The host's links, established or being made.
    pub links: BTreeSet<LinkId>,
    /// Whether a link to the host was reset and nothing was received from the host since.
    pub was_reset: bool,
    /// The newest link, established or not, when messages of the host may last have been lost with a link; `None` once a
    /// newer link was established. What arrives on the other links does not show what was lost.
    pub lost_input_before: Option<LinkId>,
    /// The tasks that run there, as pairs of task key and request.
    pub running: BTreeSet<(u64, RequestId)>,
    /// Refused connections in a row since a link was last established, or since a link was first reset while the host
    /// drained.
    pub consecutive_refusals: u32,
    /// Connections that failed for another reason than a refusal, in a row since something was last received from the
    /// host.
    pub consecutive_connect_failures: u32,
    /// When something was last received from the host, or when it got its first running task if that is later.
    pub last_received: Micros,
    /// When a liveness check of the host was last attempted because the host was silent.
    pub last_liveness_check: Micros,
    /// The delays between connections for liveness checks.
    pub backoff: Backoff,
    /// Whether a timer for the next connection is set.
    pub is_reconnect_scheduled: bool,
    /// When the host is connected to again after the placer closed or gave up a link to it; `None` if that is not pending.
    pub delayed_reconnect_at: Option<Micros>,
}

impl Host {
    pub fn new() -> Self {
        Self {
            entry: None,
            address_since: 0,
            left_at: None,
            links: BTreeSet::new(),
            was_reset: false,
            lost_input_before: None,
            running: BTreeSet::new(),
            consecutive_refusals: 0,
            consecutive_connect_failures: 0,
            last_received: 0,
            last_liveness_check: 0,
            backoff: RECONNECT_BACKOFF,
            is_reconnect_scheduled: false,
            delayed_reconnect_at: None,
        }
    }

    /// Records that something was received from the host.
    pub fn record_received(&mut self, now: Micros) {
        (
            self.last_received,
            self.consecutive_connect_failures,
            self.was_reset,
        ) = (now, 0, false);
    }

    /// Records that a link to the host was reset. A draining host refuses connections all the time, so those that it
    /// refused before are no sign that its process has ended.
    pub fn record_reset(&mut self) {
        if !self.was_reset && self.health() == Some(HostHealth::Draining) {
            self.consecutive_refusals = 0;
        }
        self.was_reset = true;
    }

    /// Whether a new link is needed to learn whether the host's tasks still run: it has no link, one was reset, which may
    /// be the first sign that they ended, or the report of their end may have been lost with a link.
    pub fn needs_liveness_check(&self) -> bool {
        (self.links.is_empty() || self.was_reset || self.lost_input_before.is_some())
            && !self.running.is_empty()
    }

    /// The requests whose tasks run at the host.
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

    /// The address to connect to; `None` unless the host is listed.
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
    /// How many messages were sent on the link.
    pub messages_sent: u64,
    /// Messages that wait until the link is established: until then they can be removed again.
    pub queue: Vec<ToHost>,
    /// The attempts in flight on the link, by the request's id on the wire.
    pub in_flight: BTreeMap<u64, AttemptId>,
    /// How many health checks are in flight on the link.
    pub health_checks: u32,
    /// Whether a message on the link went unanswered, or the link is not needed any more: no new message is sent on it.
    pub is_suspect: bool,
    /// Whether the link was made for a liveness check of the host.
    pub is_liveness_check: bool,
    /// When the link was established, an attempt was last sent on it (or queued for it) or a message of its host was
    /// last received. Until the first of these it holds the link's id instead of a time, which orders such links by
    /// creation, before any real time.
    pub last_used: Micros,
    /// When the link was established; 0 until then.
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
            is_liveness_check: false,
            last_used: id,
            up_since: 0,
        }
    }

    pub fn is_idle(&self) -> bool {
        self.in_flight.is_empty() && self.health_checks == 0
    }
}

/// A link that was closed and has not ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ClosingLink {
    pub machine: MachineId,
    /// How many messages were sent on the link.
    pub messages_sent: u64,
}

/// A link that was added to the table and is to be connected.
pub(crate) struct NewLink {
    pub id: LinkId,
    pub address: SocketAddr,
}

/// All hosts and links, and the counts that determine whether another link may be made.
#[derive(Default)]
pub(crate) struct HostTable {
    hosts: BTreeMap<MachineId, Host>,
    links: BTreeMap<LinkId, Link>,
    /// Links that were closed and have not ended. A host may send until it learns of the close.
    closing_links: BTreeMap<LinkId, ClosingLink>,
    last_link: LinkId,
    /// How many hosts have a link.
    hosts_with_links: usize,
    /// How many hosts are in the endpoint list.
    listed_hosts: usize,
}

impl HostTable {
    pub fn host_count(&self) -> usize {
        self.hosts.len()
    }

    pub fn link_count(&self) -> usize {
        self.links.len()
    }

    /// How many links were closed and have not ended.
    pub fn closing_link_count(&self) -> usize {
        self.closing_links.len()
    }

    /// How many links there are beyond the first of each host.
    pub fn extra_links(&self) -> usize {
        self.links.len() - self.hosts_with_links
    }

    /// How many hosts are in the endpoint list.
    pub fn listed_hosts(&self) -> usize {
        self.listed_hosts
    }

    pub fn host(&self, machine: MachineId) -> Option<&Host> {
        self.hosts.get(&machine)
    }

    pub fn host_mut(&mut self, machine: MachineId) -> Option<&mut Host> {
        self.hosts.get_mut(&machine)
    }

    /// A host's record, which is added if the host was not known.
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

    /// The host of a link, which may be closing.
    pub fn machine_of_link(&self, id: LinkId) -> Option<MachineId> {
        let open = self.links.get(&id).map(|link| link.machine);
        open.or_else(|| self.closing_links.get(&id).map(|link| link.machine))
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

    /// Hosts that were listed at an address before `before`, and have links or run tasks of this placer.
    pub fn listed_at(&self, address: SocketAddr, before: Micros) -> Vec<MachineId> {
        let is_there = |host: &Host| {
            let has_work = !host.links.is_empty() || !host.running.is_empty();
            let entry = host.entry.as_ref();
            let is_at_address = entry.is_some_and(|entry| entry.address == address);
            has_work && is_at_address && host.address_since < before
        };
        let hosts = self.hosts().filter(|(_, host)| is_there(host));
        hosts.map(|(machine, _)| machine).collect()
    }

    /// Makes a link one to another host, whose process it reaches.
    pub fn move_link(&mut self, id: LinkId, machine: MachineId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        let former = std::mem::replace(&mut link.machine, machine);
        if let Some(host) = self.hosts.get_mut(&former) {
            let was_last = host.links.remove(&id) && host.links.is_empty();
            self.hosts_with_links -= usize::from(was_last);
        }
        let host = self.hosts.entry(machine).or_insert_with(Host::new);
        self.hosts_with_links += usize::from(host.links.is_empty());
        host.links.insert(id);
    }

    /// Whether a link other than `id` to the same host is established.
    pub fn has_other_established_link(&self, id: LinkId, machine: MachineId) -> bool {
        self.links_of(machine)
            .any(|(other, link)| other != id && link.is_up)
    }

    /// Adds a link to a host; `None` if the host's address is not known.
    pub fn add_link(&mut self, machine: MachineId) -> Option<NewLink> {
        let host = self.hosts.get_mut(&machine)?;
        let address = host.address()?;
        self.last_link += 1;
        let id = self.last_link;
        self.hosts_with_links += usize::from(host.links.is_empty());
        host.links.insert(id);
        host.delayed_reconnect_at = None;
        self.links.insert(id, Link::new(id, machine, address));
        Some(NewLink { id, address })
    }

    /// Removes a link that is closed by the placer; messages may arrive on it until
    /// [`Self::remove_closing_link`] is called.
    /// Returns whether the link existed.
    pub fn close_link(&mut self, id: LinkId) -> bool {
        let Some(link) = self.remove_link(id) else {
            return false;
        };
        let closing = ClosingLink {
            machine: link.machine,
            messages_sent: link.messages_sent,
        };
        self.closing_links.insert(id, closing);
        true
    }

    /// Removes a link that was closed before and has ended now; `None` if there is no such link.
    pub fn remove_closing_link(&mut self, id: LinkId) -> Option<ClosingLink> {
        self.closing_links.remove(&id)
    }

    /// Records that messages of a host may have been lost with a link. Only the ends of tasks are repeated, so a host that
    /// runs none is not affected.
    pub fn record_lost_input(&mut self, machine: MachineId) {
        let last_link = self.last_link;
        let host = self.hosts.get_mut(&machine);
        if let Some(host) = host.filter(|host| !host.running.is_empty()) {
            host.lost_input_before = Some(last_link);
        }
    }

    /// Removes a link that has ended; `None` if it was closed before or is not known.
    pub fn remove_link(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&link.machine) {
            let was_last = host.links.remove(&id) && host.links.is_empty();
            self.hosts_with_links -= usize::from(was_last);
        }
        Some(link)
    }

    /// Sets a host's entry in the endpoint list and returns the former one.
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
        if former.as_ref().map(|former| former.address)
            != host.entry.as_ref().map(|entry| entry.address)
        {
            host.address_since = now;
        }
        self.listed_hosts += usize::from(host.is_listed());
        former
    }

    /// Removes a host that is not listed, has no links and runs no tasks of this placer.
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
