//! Connections to hosts: which one a message takes, how they are made, and how they end.

use super::*;

impl Engine {
    /// The connection for a set-up or probe.
    pub(crate) fn link_for(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        let host = self.hosts.get(&machine)?;
        let (address, links, bound) = (
            host.address(),
            self.links.len(),
            self.bounds.links(self.conns.len()),
        );
        let room = match host.links.len() {
            0 => links < bound,
            some => {
                let extra = links - self.linked;
                some < self.bounds.links_each && decide::may_add(links, extra, self.on_list, bound)
            }
        };
        let (ids, candidates): (Vec<LinkId>, Vec<Candidate>) = self
            .links_of(machine)
            .map(|(id, link)| {
                let open = link.open.len() + link.probes as usize;
                let doubtful = link.doubtful || Some(link.address) != address;
                (
                    id,
                    Candidate {
                        up: link.up,
                        open,
                        doubtful,
                    },
                )
            })
            .unzip();
        let streams = self.settings.per_connection.unwrap_or(usize::MAX).max(1);
        match decide::which_link(&candidates, room, streams) {
            Some(Choice::Use(at)) => {
                if candidates[at].up && decide::wants_spare(&candidates, at, room) {
                    self.make_link(machine);
                }
                Some(ids[at])
            }
            Some(Choice::Make) => self.make_link(machine),
            None => self.place_link(now, machine, false),
        }
    }

    /// Any connection that reaches a host, for what concerns standing tasks. With none, it is told when it is next
    /// connected to.
    pub(crate) fn any_link(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        let up = self
            .links_of(machine)
            .filter(|(_, link)| !link.doubtful)
            .max_by_key(|(_, link)| link.up);
        up.map(|(id, _)| id)
            .or_else(|| self.place_link(now, machine, false))
    }

    /// A new connection, once there is room for it.
    pub(crate) fn place_link(
        &mut self,
        now: Micros,
        machine: MachineId,
        visit: bool,
    ) -> Option<LinkId> {
        // Nobody makes room for one to a host with no address.
        self.hosts.get(&machine)?.address()?;
        if self.make_room(now, visit) {
            self.make_link(machine)
        } else {
            None
        }
    }

    /// Room for one more connection: one that is needed less goes, if it has to. `visit`: the new one is only to hear
    /// of tasks.
    pub(crate) fn make_room(&mut self, now: Micros, visit: bool) -> bool {
        if self.links.len() < self.bounds.links(self.conns.len()) {
            return true;
        }
        let idle = self.links.iter().filter(|(_, link)| link.is_idle());
        let (ids, spent): (Vec<LinkId>, Vec<Spent>) = idle
            .map(|(id, link)| {
                let only = self.hosts.get(&link.machine).is_some_and(|host| {
                    !host.standing.is_empty()
                        && !host
                            .links
                            .iter()
                            .any(|other| other != id && self.links[other].up)
                });
                (
                    *id,
                    Spent {
                        up: link.up,
                        check: link.check,
                        only,
                        used: link.used,
                        since: link.since,
                    },
                )
            })
            .unzip();
        let until = now.saturating_sub(connect_us(&self.settings));
        let Some(at) = decide::which_makes_room(&spent, visit, until) else {
            return false;
        };
        let machine = self.links[&ids[at]].machine;
        self.close_link(ids[at]);
        if let Some(host) = self
            .hosts
            .get_mut(&machine)
            .filter(|host| host.is_asked() && !host.waiting)
        {
            let at = now + REVISIT_US;
            host.parked = Some(at);
            self.timers.set(at, Timer::Reconnect(machine));
        }
        self.links.len() < self.bounds.links(self.conns.len())
    }

    /// A client came: connections to hosts leave its place.
    pub(crate) fn yield_links(&mut self, now: Micros) {
        let over = self
            .links
            .len()
            .saturating_sub(self.bounds.links(self.conns.len()));
        for _ in 0..over {
            self.make_room(now, false);
        }
    }

    pub(crate) fn make_link(&mut self, machine: MachineId) -> Option<LinkId> {
        let host = self.hosts.get_mut(&machine)?;
        let address = host.address()?;
        self.last_link += 1;
        let id = self.last_link;
        self.linked += usize::from(host.links.is_empty());
        host.links.insert(id);
        host.parked = None;
        let link = Link {
            machine,
            address,
            up: false,
            sent: 0,
            queue: Vec::new(),
            open: BTreeMap::new(),
            probes: 0,
            doubtful: false,
            check: false,
            used: id,
            since: 0,
        };
        self.links.insert(id, link);
        self.outputs.push_back(Output::Connect(id, address));
        Some(id)
    }

    /// A connection is no more.
    pub(crate) fn drop_link(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&link.machine) {
            let one = host.links.remove(&id) && host.links.is_empty();
            self.linked -= usize::from(one);
        }
        Some(link)
    }

    /// Connects once more to a host that holds tasks, if there is room: it is closed again if others stand.
    pub(crate) fn check(&mut self, now: Micros, machine: MachineId) -> bool {
        let link = self
            .place_link(now, machine, true)
            .and_then(|link| self.links.get_mut(&link));
        link.map(|link| link.check = true).is_some()
    }

    /// Writes to a connection, if it still is one, as soon as it stands; answers which message of it this is.
    pub(crate) fn send_host(&mut self, id: LinkId, message: ToHost) -> u64 {
        let Some(link) = self.links.get_mut(&id) else {
            return 0;
        };
        if !link.up {
            link.queue.push(message);
            return link.queue.len() as u64 - 1;
        }
        self.outputs.push_back(Output::ToHost(id, message));
        link.sent += 1;
        link.sent - 1
    }

    /// Takes a set-up back that was not written yet; whether it could be.
    pub(crate) fn unsend(&mut self, link: LinkId, id: u64) -> bool {
        let Some(link) = self.links.get_mut(&link).filter(|link| !link.up) else {
            return false;
        };
        link.queue
            .retain(|message| !matches!(message, ToHost::PlacementRequest { id: other, .. } if *other == id));
        true
    }

    /// Writes what waited for the connection to stand. A set-up is judged once more: its host may drain by now, its
    /// client have gone, or its window be over.
    pub(crate) fn send_queue(&mut self, now: Micros, id: LinkId) {
        let queue = self
            .links
            .get_mut(&id)
            .map(|link| std::mem::take(&mut link.queue));
        for mut message in queue.unwrap_or_default() {
            let ToHost::PlacementRequest {
                id: task, left_ms, ..
            } = &mut message
            else {
                self.send_host(id, message);
                continue;
            };
            let found = self.by_id.get(task).copied();
            let entry = found.and_then(|request| Some((request, self.requests.get(&request)?)));
            let out = entry.and_then(|(request, entry)| Some((request, entry, entry.out?)));
            let Some((request, entry, out)) = out.filter(|(_, _, out)| out.link == id) else {
                continue;
            };
            let attempt = AttemptId {
                request,
                number: out.number,
            };
            let wanted = entry.phase == Phase::Open && !entry.client_left && now < out.until;
            if !wanted || !self.placer.may_leave(now, attempt) {
                self.take_back(request, Outcome::Unsent, None, Vec::new());
                continue;
            }
            *left_ms = (out.until.saturating_sub(now) / 1_000).max(1);
            let position = self.send_host(id, message);
            if let Some(out) = self
                .requests
                .get_mut(&request)
                .and_then(|entry| entry.out.as_mut())
            {
                out.position = position;
            }
        }
    }

    /// Uses a connection no more: it is closed once nothing is open on it.
    pub(crate) fn doubt(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        link.doubtful = true;
        if link.is_idle() {
            self.close_link(id);
        }
    }

    pub(crate) fn close_link(&mut self, id: LinkId) {
        if self.drop_link(id).is_some() {
            self.outputs.push_back(Output::CloseLink(id));
        }
    }

    pub(crate) fn close_idle(&mut self, machine: MachineId) {
        let idle = self.links_of(machine).filter(|(_, link)| link.is_idle());
        let idle: Vec<LinkId> = idle.map(|(id, _)| id).collect();
        idle.into_iter().for_each(|link| self.close_link(link));
    }

    pub(crate) fn link_up(&mut self, now: Micros, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else {
            return;
        };
        (link.up, link.used, link.since) = (true, now, now);
        let (machine, check) = (link.machine, link.check);
        self.send_queue(now, id);
        let Some(host) = self.hosts.get_mut(&machine) else {
            return;
        };
        host.refused = 0;
        host.waits.reset();
        host.heard(now);
        if check
            && self
                .links_of(machine)
                .any(|(other, link)| other != id && link.up && !link.doubtful)
        {
            // It is there, and what stands is enough.
            return self.doubt(id);
        }
        let Some(host) = self.hosts.get(&machine) else {
            return;
        };
        // An end that was told on a connection that broke may not have been heard.
        let ending: Vec<u64> = host
            .standing
            .iter()
            .filter_map(|(_, request)| self.requests.get(request))
            .filter(|entry| matches!(entry.phase, Phase::Ending { .. }))
            .map(|entry| entry.setup.id)
            .collect();
        for id_of_task in ending {
            self.send_host(
                id,
                ToHost::Release {
                    id: id_of_task,
                    cause: CANCELLED,
                },
            );
        }
    }

    pub(crate) fn link_down(&mut self, now: Micros, id: LinkId, down: Down, begun: u64) {
        let Some(link) = self.drop_link(id) else {
            return;
        };
        let machine = link.machine;
        if let Some(host) = self.hosts.get_mut(&machine) {
            match down {
                Down::Refused => host.refused += 1,
                Down::Unmade => host.unreachable += 1,
                Down::Broke => host.broke = true,
                Down::Closed | Down::Spoilt => {}
            }
        }
        let probes = self
            .probes
            .iter()
            .filter(|(_, probe)| probe.link == id)
            .map(|(id, _)| *id);
        for probe in probes.collect::<Vec<_>>() {
            self.probe_over(now, probe, false, &Default::default());
        }
        for attempt in link.open.into_values() {
            self.broken(now, attempt, down, begun);
        }
        self.look_at(now, machine);
    }

    /// The connection of an attempt that is out ended.
    pub(crate) fn broken(&mut self, now: Micros, attempt: AttemptId, down: Down, begun: u64) {
        let request = attempt.request;
        let Some(entry) = self.requests.get_mut(&request) else {
            return;
        };
        // Sent once more it would begin after its client went.
        let no_more = entry.client_left || entry.phase != Phase::Open;
        let Some(out) = entry
            .out
            .as_mut()
            .filter(|out| out.number == attempt.number)
        else {
            return;
        };
        let execution = decide::did_it_run(down, out.position < begun);
        let active = self.hosts.get(&out.machine).and_then(Host::health) == Some(State::Active);
        if execution == Execution::Unsent
            && out.resent < MOST_RESENT
            && now < out.until
            && active
            && !no_more
        {
            out.resent += 1;
            return self.send_setup(now, request);
        }
        let outcome = if execution == Execution::MayHaveRun {
            Outcome::Reset
        } else {
            Outcome::Unconnected
        };
        self.take_back(request, outcome, None, Vec::new());
    }
}
