//! Which link a message takes, and which link is closed so that another can be made.

use reedring::{MachineId, Micros};

use crate::decide::{self, EvictionCandidate, LinkCandidate, LinkChoice};
use crate::ids::LinkId;
use crate::state::{Engine, Link, Timer, connect_timeout_us};

/// A host that runs tasks and whose only link was closed for another is connected to again after this time: twice
/// within the 8 s in which an end must be notified that its host could not report.
const RECONNECT_AFTER_EVICTION_US: Micros = 3_500_000;

impl Engine {
    /// The link for a placement request or a health check, which may be made for it.
    pub(crate) fn link_for_message(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        let address = self.hosts.host(machine)?.address();
        let capacity = self.has_link_capacity(machine);
        let candidate = |link: &Link| LinkCandidate {
            is_up: link.is_up,
            in_flight: link.in_flight.len() + link.health_checks as usize,
            is_suspect: link.is_suspect || Some(link.address) != address,
        };
        let links = self.hosts.links_of(machine);
        let (ids, candidates): (Vec<LinkId>, Vec<LinkCandidate>) =
            links.map(|(id, link)| (id, candidate(link))).unzip();
        let max_in_flight = self.settings.per_connection.unwrap_or(usize::MAX).max(1);
        match decide::choose_link(&candidates, capacity, max_in_flight) {
            Some(LinkChoice::Use(at)) => {
                let needs_standby = decide::needs_standby_link(&candidates, at, capacity);
                if candidates[at].is_up && needs_standby {
                    self.connect_link(machine);
                }
                Some(ids[at])
            }
            Some(LinkChoice::Connect) => self.connect_link(machine),
            None => self.link_within_capacity(now, machine, false),
        }
    }

    /// Whether a host may have another link.
    fn has_link_capacity(&self, machine: MachineId) -> bool {
        let (links, limit) = (self.hosts.link_count(), self.link_limit());
        let count = self.hosts.host(machine).map_or(0, |host| host.links.len());
        if count == 0 {
            return links < limit;
        }
        let (extra, listed) = (self.hosts.extra_links(), self.hosts.listed_hosts());
        count < self.bounds.links_per_host && decide::may_add_link(links, extra, listed, limit)
    }

    /// How many links there may be, beside the clients' connections.
    fn link_limit(&self) -> usize {
        self.bounds.links(self.clients.len())
    }

    /// Any link that reaches a host, for messages about running tasks. Without one, they are sent on the next.
    pub(crate) fn any_link(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        let usable = self
            .hosts
            .links_of(machine)
            .filter(|(_, link)| !link.is_suspect);
        let link = usable.max_by_key(|(_, link)| link.is_up).map(|(id, _)| id);
        link.or_else(|| self.link_within_capacity(now, machine, false))
    }

    /// A new link, if there is capacity for it or another can be closed for it.
    pub(super) fn link_within_capacity(
        &mut self,
        now: Micros,
        machine: MachineId,
        for_check: bool,
    ) -> Option<LinkId> {
        // No link is closed for one to a host without an address.
        self.hosts.host(machine)?.address()?;
        if self.make_link_capacity(now, for_check) {
            self.connect_link(machine)
        } else {
            None
        }
    }

    /// Makes sure that there is capacity for one more link: one that is needed less is closed if necessary.
    fn make_link_capacity(&mut self, now: Micros, for_check: bool) -> bool {
        if self.hosts.link_count() < self.link_limit() {
            return true;
        }
        let idle = self.hosts.links().filter(|(_, link)| link.is_idle());
        let (ids, candidates): (Vec<LinkId>, Vec<EvictionCandidate>) = idle
            .map(|(id, link)| (id, self.eviction_candidate(id, link)))
            .unzip();
        let up_before = now.saturating_sub(connect_timeout_us(&self.settings));
        let Some(at) = decide::choose_eviction(&candidates, for_check, up_before) else {
            return false;
        };
        self.evict_link(now, ids[at]);
        self.hosts.link_count() < self.link_limit()
    }

    fn eviction_candidate(&self, id: LinkId, link: &Link) -> EvictionCandidate {
        let host = self.hosts.host(link.machine);
        let runs_tasks = host.is_some_and(|host| !host.running.is_empty());
        EvictionCandidate {
            is_up: link.is_up,
            is_check: link.is_check,
            is_only_link: runs_tasks && !self.hosts.has_other_link_up(id, link.machine),
            last_used: link.last_used,
            up_since: link.up_since,
        }
    }

    /// Closes a link for another; a host that needs it is connected to again later.
    fn evict_link(&mut self, now: Micros, id: LinkId) {
        let Some(machine) = self.hosts.link(id).map(|link| link.machine) else {
            return;
        };
        self.close_link(id);
        let host = self.hosts.host_mut(machine);
        let needs_check = host.filter(|host| host.needs_check() && !host.is_reconnect_scheduled);
        if let Some(host) = needs_check {
            let at = now + RECONNECT_AFTER_EVICTION_US;
            host.evicted_until = Some(at);
            self.timers.set(at, Timer::Reconnect(machine));
        }
    }

    /// A client connected: links are closed until its connection fits.
    pub(crate) fn release_links_to_clients(&mut self, now: Micros) {
        let excess = self.hosts.link_count().saturating_sub(self.link_limit());
        for _ in 0..excess {
            self.make_link_capacity(now, false);
        }
    }
}
