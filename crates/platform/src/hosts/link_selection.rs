//! Selects the link that carries a message, and the link that is closed to make capacity for another.

use reedring::{MachineId, Micros};

use crate::decide::{self, EvictionCandidate, LinkCandidate, LinkChoice};
use crate::ids::LinkId;
use crate::state::{Engine, Link, connect_timeout_us};

impl Engine {
    /// The link for a placement request or a health check, which may be a new one; `None` if no link is usable and no
    /// other can be closed for a new one.
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
            Some(LinkChoice::Use(index)) => {
                let needs_standby = decide::needs_standby_link(&candidates, index, capacity);
                if candidates[index].is_up && needs_standby {
                    self.connect_link(machine);
                }
                Some(ids[index])
            }
            Some(LinkChoice::Connect) => self.connect_link(machine),
            None => self.link_within_capacity(now, machine, false),
        }
    }

    /// Whether a host may have one more link without another being closed.
    fn has_link_capacity(&self, machine: MachineId) -> bool {
        let (links, limit) = (self.hosts.link_count(), self.link_limit());
        let count = self.hosts.host(machine).map_or(0, |host| host.links.len());
        if count == 0 {
            return links < limit;
        }
        let (extra, listed) = (self.hosts.extra_links(), self.hosts.listed_hosts());
        count < self.bounds.links_per_host && decide::may_add_link(links, extra, listed, limit)
    }

    /// How many links there may be in addition to the clients' connections.
    fn link_limit(&self) -> usize {
        self.bounds.links(self.clients.len())
    }

    /// Any usable link to a host, for messages about running tasks; an established one is preferred. `None` if there is
    /// none: stops are repeated on the next link that is established.
    pub(crate) fn any_link(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        let usable = self
            .hosts
            .links_of(machine)
            .filter(|(_, link)| !link.is_suspect);
        let link = usable.max_by_key(|(_, link)| link.is_up).map(|(id, _)| id);
        link.or_else(|| self.link_within_capacity(now, machine, false))
    }

    /// Makes a new link if there is capacity for it or another link can be closed for it.
    pub(super) fn link_within_capacity(
        &mut self,
        now: Micros,
        machine: MachineId,
        for_liveness_check: bool,
    ) -> Option<LinkId> {
        // Checked before any link is closed: a host without an address can't be connected to.
        self.hosts.host(machine)?.address()?;
        if self.make_link_capacity(now, for_liveness_check) {
            self.connect_link(machine)
        } else {
            None
        }
    }

    /// Makes sure that there is capacity for one more link, if necessary by closing a link that is needed less. Returns
    /// whether there is capacity.
    fn make_link_capacity(&mut self, now: Micros, for_liveness_check: bool) -> bool {
        if self.hosts.link_count() < self.link_limit() {
            return true;
        }
        let idle = self.hosts.links().filter(|(_, link)| link.is_idle());
        let (ids, candidates): (Vec<LinkId>, Vec<EvictionCandidate>) = idle
            .map(|(id, link)| (id, self.eviction_candidate(id, link)))
            .unzip();
        let up_before = now.saturating_sub(connect_timeout_us(&self.settings));
        let Some(index) = decide::choose_eviction(&candidates, for_liveness_check, up_before)
        else {
            return false;
        };
        self.evict_link(now, ids[index]);
        self.hosts.link_count() < self.link_limit()
    }

    fn eviction_candidate(&self, id: LinkId, link: &Link) -> EvictionCandidate {
        let host = self.hosts.host(link.machine);
        let runs_tasks = host.is_some_and(|host| !host.running.is_empty());
        EvictionCandidate {
            is_up: link.is_up,
            is_liveness_check: link.is_liveness_check,
            is_only_link: runs_tasks && !self.hosts.has_other_established_link(id, link.machine),
            last_used: link.last_used,
            up_since: link.up_since,
        }
    }

    /// Closes a link to make capacity for another. A host whose tasks need a liveness check is connected to again
    /// later.
    fn evict_link(&mut self, now: Micros, id: LinkId) {
        let Some(machine) = self.hosts.link(id).map(|link| link.machine) else {
            return;
        };
        self.close_link(id);
        self.schedule_delayed_reconnect(now, machine);
    }

    /// Closes links until the connection of a client that just connected is within the limit.
    pub(crate) fn evict_links_for_clients(&mut self, now: Micros) {
        let excess = self.hosts.link_count().saturating_sub(self.link_limit());
        for _ in 0..excess {
            self.make_link_capacity(now, false);
        }
    }
}
