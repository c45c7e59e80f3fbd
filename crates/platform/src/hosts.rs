//! Hosts: the list, the connections, and what hosts say.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use reedring::names::machine_id;
use reedring::{AttemptId, Event, Health, Listing, Machine, MachineId, Micros, Outcome, RequestId};
use reedring_net::Backoff;
use reedring_platproto::board::{Entry, Notice, Pool, State, Told, number};
use reedring_platproto::host::{FromHost, ToHost};
use reedring_platproto::owner::ToOwner;
use reedring_platproto::{CANCELLED, CUT, ERROR, FULL, GIVEN_UP, MOOT};

use crate::decide::{self, Candidate, Choice, Down, Fate, Seen, Spent};
use crate::engine::{Engine, Phase, Request, Timer, connect_us};
use crate::io::{LinkId, Output};

/// Waits between two tries to reach a host that holds tasks.
const FIRST_WAIT: Duration = Duration::from_millis(50);
const WAITS: Backoff = Backoff::new(FIRST_WAIT, Duration::from_secs(1));
/// Times that a set-up of which no byte left is sent again as the same attempt.
const MOST_RESENT: u8 = 3;
/// A host that holds tasks and says nothing for so long is connected to once more, and again after that: whether
/// it still is there can't be told otherwise, as to probe is the module's to decide.
const UNHEARD_US: Micros = 2_500_000;
const CHECK_US: Micros = 1_000_000;
/// A host that holds tasks and has no connection, as others needed the place, is visited after so long: twice within
/// the 8 s in which an end is owed that its host could not tell.
const REVISIT_US: Micros = 3_500_000;
/// A host that was told to end a task and does not say that it did has no such task any more.
const ENDING_US: Micros = 5_000_000;
/// A host that left the list and still has a connection may wrap up for so long.
const LEFT_US: Micros = 3_000_000;

/// A host, for as long as the list has it or anything of ours is there.
#[derive(Debug)]
pub(crate) struct Host {
    /// Its line; none where only a task handed over names it so far.
    entry: Option<Entry>,
    /// Since when the list does not have it any more.
    left_at: Option<Micros>,
    links: BTreeSet<LinkId>,
    /// A connection to it was reset, and nothing was heard of it since.
    broke: bool,
    /// Tasks that stand there, by their names.
    standing: BTreeSet<(u64, RequestId)>,
    /// Refused connections in a row, since one last stood.
    refused: u32,
    /// Connections in a row that did not come up, since it was last heard of.
    unreachable: u32,
    heard_at: Micros,
    checked_at: Micros,
    waits: Backoff,
    /// A timer for the next try is set.
    waiting: bool,
    /// Its last connection made room for another; when it is connected to again.
    parked: Option<Micros>,
}

impl Host {
    fn new() -> Self {
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

    fn heard(&mut self, now: Micros) {
        (self.heard_at, self.unreachable, self.broke) = (now, 0, false);
    }

    /// A new connection is to show whether its tasks still stand. One that was reset may be the first sign of
    /// their end.
    fn is_asked(&self) -> bool {
        (self.links.is_empty() || self.broke) && !self.standing.is_empty()
    }

    fn tasks(&self) -> Vec<RequestId> {
        self.standing.iter().map(|(_, request)| *request).collect()
    }

    fn health(&self) -> Option<State> {
        self.entry.as_ref().map(|entry| entry.health)
    }

    fn is_listed(&self) -> bool {
        self.health().is_some_and(|health| health != State::Left)
    }

    fn address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().filter(|_| self.is_listed()).map(|entry| entry.dial)
    }
}

/// A connection to a host.
#[derive(Debug)]
pub(crate) struct Link {
    machine: MachineId,
    address: SocketAddr,
    up: bool,
    /// Messages written to it.
    sent: u64,
    /// What is to be written once it stands: until then it can be taken back.
    queue: Vec<ToHost>,
    /// Set-ups open on it, by id.
    pub open: BTreeMap<u64, AttemptId>,
    pub probes: u32,
    doubtful: bool,
    /// It was made to see whether the host is there.
    check: bool,
    /// When it was last of use; one that does not stand yet, its number.
    pub used: Micros,
    /// Since when it stands.
    since: Micros,
}

impl Link {
    pub(crate) fn is_up(&self) -> bool {
        self.up
    }

    fn is_idle(&self) -> bool {
        self.open.is_empty() && self.probes == 0
    }
}

impl Engine {
    // ---- The list ----

    /// Takes in what was told before the start.
    pub(crate) fn known(&mut self, now: Micros, known: Told) {
        let (rev, notices) = (known.rev, known.notices);
        for notice in notices {
            self.notice(now, notice);
        }
        self.rev = self.rev.max(rev);
        self.events.clear();
        self.events.push(Event::Listed(Listing::Cached(self.lines())));
    }

    pub(crate) fn discovery_told(&mut self, now: Micros, told: Told) {
        let before = self.events.len();
        for notice in told.notices {
            self.notice(now, notice);
        }
        self.rev = self.rev.max(told.rev);
        if std::mem::take(&mut self.asked_list) && self.events.len() == before {
            self.events.push(Event::Listed(Listing::Changes(Vec::new())));
        }
    }

    pub(crate) fn discovery_lost(&mut self, why: &str) {
        self.log(format!("discovery: {why}"));
        self.events.push(Event::Listed(Listing::Failed));
    }

    /// The number of the last event that was taken in.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    pub(crate) fn fetch(&mut self) {
        self.events.push(Event::Listed(Listing::Whole(self.lines())));
    }

    /// The whole list.
    fn lines(&self) -> Vec<Machine> {
        let entries = self.hosts.values().filter_map(|host| host.entry.as_ref());
        entries.filter_map(|entry| self.line(entry)).collect()
    }

    fn notice(&mut self, now: Micros, Notice { rev, pool }: Notice) {
        // What was told once is not told again, whatever discovery that was moved repeats.
        if rev <= self.rev {
            return;
        }
        self.rev = rev;
        let Some(Pool { whole, hosts }) = pool else { return };
        let lines: Vec<Machine> = hosts.iter().filter_map(|entry| self.line(entry)).collect();
        if whole {
            let named: BTreeSet<MachineId> = lines.iter().map(|line| line.id).collect();
            let gone: Vec<MachineId> = self.hosts.keys().filter(|id| !named.contains(id)).copied().collect();
            for machine in gone {
                if let Some(entry) = self.hosts.get(&machine).and_then(|host| host.entry.clone()) {
                    self.listed(now, Entry { health: State::Left, ..entry });
                }
            }
        }
        for entry in hosts {
            self.listed(now, entry);
        }
        let listing = if whole { Listing::Whole(lines) } else { Listing::Changes(lines) };
        self.events.push(Event::Listed(listing));
    }

    /// The module's line for a host.
    fn line(&self, entry: &Entry) -> Option<Machine> {
        let room = entry.room.filter(|_| self.settings.lists_free);
        Some(Machine {
            id: machine_id(&entry.host),
            zone: number(&self.settings.zones, &entry.site)?,
            kind: number(&self.settings.kinds, &entry.class)?,
            cell: entry.block,
            health: match entry.health {
                State::Active => Health::Ready,
                State::Leaving => Health::Draining,
                State::Left => Health::Gone,
            },
            ready_at: Some(entry.born_ms * 1_000).filter(|at| *at != 0),
            free_cores: room.map(|room| room[0]),
            free_memory: room.map(|room| room[1]),
        })
    }

    fn listed(&mut self, now: Micros, entry: Entry) {
        let machine = machine_id(&entry.host);
        let host = self.hosts.entry(machine).or_insert_with(Host::new);
        self.on_list -= usize::from(host.is_listed());
        let before = host.entry.replace(entry.clone());
        self.on_list += usize::from(host.is_listed());
        host.left_at = (entry.health == State::Left).then(|| host.left_at.unwrap_or(now));
        let moved = before.as_ref().is_some_and(|before| before.dial != entry.dial);
        // A process that started later than a task was placed is another one than that which held it.
        let born = entry.born_ms * 1_000;
        let reborn = before.is_some_and(|before| before.born_ms != entry.born_ms);
        let standing = host.tasks();
        for request in standing.into_iter().filter(|_| reborn) {
            let phase = self.requests.get(&request).map(|entry| entry.phase);
            if matches!(phase, Some(Phase::Standing { since, .. }) if since < born) {
                self.over(now, request, Outcome::Reset, None, CUT, Vec::new());
            }
        }
        if moved {
            self.close_idle(machine);
        }
        if entry.health != State::Active {
            self.recall_unsent(machine);
        }
        self.look_at(now, machine);
    }

    /// What waits for a connection to a host that takes nothing new does not leave when it stands: that may be after
    /// the time in which it still could.
    fn recall_unsent(&mut self, machine: MachineId) {
        let coming = self.links_of(machine).filter(|(_, link)| !link.up);
        let unsent =
            coming.flat_map(|(link, of)| of.open.iter().map(move |(id, attempt)| (link, *id, *attempt)));
        for (link, id, attempt) in unsent.collect::<Vec<_>>() {
            self.unsend(link, id);
            self.take_back(attempt.request, Outcome::Unconnected, None, Vec::new());
        }
    }

    fn links_of(&self, machine: MachineId) -> impl Iterator<Item = (LinkId, &Link)> {
        let links = self.hosts.get(&machine).into_iter().flat_map(|host| &host.links);
        links.filter_map(|id| Some((*id, self.links.get(id)?)))
    }

    /// Keeps a connection to a host for as long as tasks stand there, and finds out whether they still do.
    fn look_at(&mut self, now: Micros, machine: MachineId) {
        let up = self.links_of(machine).filter(|(_, link)| link.up).count();
        let Some(host) = self.hosts.get(&machine) else { return };
        let seen = Seen {
            // One that no line ever named can't be connected to.
            listed: host.entry.is_none() || host.is_listed(),
            leaving: host.health() == Some(State::Leaving),
            broke: host.broke,
            links_up: up,
            refused: host.refused,
            unreachable: if host.entry.is_some() { host.unreachable } else { u32::MAX },
            quiet_us: now.saturating_sub(host.heard_at),
        };
        if let Some(lost) = decide::lost_all(seen).filter(|_| !host.standing.is_empty()) {
            let standing = host.tasks();
            let (name, why) = (self.name(machine), lost.word());
            self.log(format!("host {name}: {} tasks are lost with it: {why}", standing.len()));
            for request in standing {
                self.over(now, request, Outcome::Reset, None, CUT, Vec::new());
            }
        }
        let Some(host) = self.hosts.get_mut(&machine) else { return };
        if host.is_asked() && !host.waiting && host.parked.is_none() && host.address().is_some() {
            let wait = host.waits.wait();
            let at_once = host.refused == 0 && wait == FIRST_WAIT;
            host.waiting = true;
            let wait = if at_once { 0 } else { wait.as_micros() as Micros };
            self.timers.set(now + wait, Timer::Reconnect(machine));
        }
        let host = &self.hosts[&machine];
        if host.links.is_empty() && host.standing.is_empty() && !host.waiting && !host.is_listed() {
            self.hosts.remove(&machine);
        }
    }

    fn name(&self, machine: MachineId) -> &str {
        let entry = self.hosts.get(&machine).and_then(|host| host.entry.as_ref());
        entry.map_or("of no line", |entry| entry.host.as_str())
    }

    pub(crate) fn reconnect(&mut self, now: Micros, machine: MachineId) {
        let Some(host) = self.hosts.get_mut(&machine) else { return };
        if !host.waiting && host.parked.is_none_or(|at| now < at) {
            return;
        }
        (host.waiting, host.parked) = (false, None);
        if host.is_asked() && !self.check(now, machine) && self.hosts[&machine].address().is_some() {
            // All places are taken by those that can't do without: the first that is left is this one's.
            if let Some(host) = self.hosts.get_mut(&machine) {
                host.waiting = true;
            }
            self.timers.set(now + FIRST_WAIT.as_micros() as Micros, Timer::Reconnect(machine));
        }
    }

    // ---- Connections ----

    /// The connection for a set-up or probe.
    pub(crate) fn link_for(&mut self, now: Micros, machine: MachineId) -> Option<LinkId> {
        let host = self.hosts.get(&machine)?;
        let (address, links, bound) = (host.address(), self.links.len(), self.bounds.links(self.conns.len()));
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
                (id, Candidate { up: link.up, open, doubtful })
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
        let up = self.links_of(machine).filter(|(_, link)| !link.doubtful).max_by_key(|(_, link)| link.up);
        up.map(|(id, _)| id).or_else(|| self.place_link(now, machine, false))
    }

    /// A new connection, once there is room for it.
    fn place_link(&mut self, now: Micros, machine: MachineId, visit: bool) -> Option<LinkId> {
        // Nobody makes room for one to a host with no address.
        self.hosts.get(&machine)?.address()?;
        if self.make_room(now, visit) { self.make_link(machine) } else { None }
    }

    /// Room for one more connection: one that is needed less goes, if it has to. `visit`: the new one is only to hear
    /// of tasks.
    fn make_room(&mut self, now: Micros, visit: bool) -> bool {
        if self.links.len() < self.bounds.links(self.conns.len()) {
            return true;
        }
        let idle = self.links.iter().filter(|(_, link)| link.is_idle());
        let (ids, spent): (Vec<LinkId>, Vec<Spent>) = idle
            .map(|(id, link)| {
                let only = self.hosts.get(&link.machine).is_some_and(|host| {
                    !host.standing.is_empty()
                        && !host.links.iter().any(|other| other != id && self.links[other].up)
                });
                (*id, Spent { up: link.up, check: link.check, only, used: link.used, since: link.since })
            })
            .unzip();
        let until = now.saturating_sub(connect_us(&self.settings));
        let Some(at) = decide::which_makes_room(&spent, visit, until) else { return false };
        let machine = self.links[&ids[at]].machine;
        self.close_link(ids[at]);
        if let Some(host) = self.hosts.get_mut(&machine).filter(|host| host.is_asked() && !host.waiting) {
            let at = now + REVISIT_US;
            host.parked = Some(at);
            self.timers.set(at, Timer::Reconnect(machine));
        }
        self.links.len() < self.bounds.links(self.conns.len())
    }

    /// A client came: connections to hosts leave its place.
    pub(crate) fn yield_links(&mut self, now: Micros) {
        let over = self.links.len().saturating_sub(self.bounds.links(self.conns.len()));
        for _ in 0..over {
            self.make_room(now, false);
        }
    }

    fn make_link(&mut self, machine: MachineId) -> Option<LinkId> {
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
    fn drop_link(&mut self, id: LinkId) -> Option<Link> {
        let link = self.links.remove(&id)?;
        if let Some(host) = self.hosts.get_mut(&link.machine) {
            let one = host.links.remove(&id) && host.links.is_empty();
            self.linked -= usize::from(one);
        }
        Some(link)
    }

    /// Connects once more to a host that holds tasks, if there is room: it is closed again if others stand.
    fn check(&mut self, now: Micros, machine: MachineId) -> bool {
        let link = self.place_link(now, machine, true).and_then(|link| self.links.get_mut(&link));
        link.map(|link| link.check = true).is_some()
    }

    /// Writes to a connection, if it still is one, as soon as it stands; answers which message of it this is.
    pub(crate) fn send_host(&mut self, id: LinkId, message: ToHost) -> u64 {
        let Some(link) = self.links.get_mut(&id) else { return 0 };
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
        let Some(link) = self.links.get_mut(&link).filter(|link| !link.up) else { return false };
        link.queue.retain(|message| !matches!(message, ToHost::Setup { id: other, .. } if *other == id));
        true
    }

    /// Writes what waited for the connection to stand. A set-up is judged once more: its host may drain by now, its
    /// client have gone, or its window be over.
    fn send_queue(&mut self, now: Micros, id: LinkId) {
        let queue = self.links.get_mut(&id).map(|link| std::mem::take(&mut link.queue));
        for mut message in queue.unwrap_or_default() {
            let ToHost::Setup { id: task, left_ms, .. } = &mut message else {
                self.send_host(id, message);
                continue;
            };
            let found = self.by_id.get(task).copied();
            let entry = found.and_then(|request| Some((request, self.requests.get(&request)?)));
            let out = entry.and_then(|(request, entry)| Some((request, entry, entry.out?)));
            let Some((request, entry, out)) = out.filter(|(_, _, out)| out.link == id) else { continue };
            let attempt = AttemptId { request, number: out.number };
            let wanted = entry.phase == Phase::Open && !entry.last && now < out.until;
            if !wanted || !self.placer.may_leave(now, attempt) {
                self.take_back(request, Outcome::Unsent, None, Vec::new());
                continue;
            }
            *left_ms = (out.until.saturating_sub(now) / 1_000).max(1);
            let position = self.send_host(id, message);
            if let Some(out) = self.requests.get_mut(&request).and_then(|entry| entry.out.as_mut()) {
                out.position = position;
            }
        }
    }

    /// Uses a connection no more: it is closed once nothing is open on it.
    pub(crate) fn doubt(&mut self, id: LinkId) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.doubtful = true;
        if link.is_idle() {
            self.close_link(id);
        }
    }

    fn close_link(&mut self, id: LinkId) {
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
        let Some(link) = self.links.get_mut(&id) else { return };
        (link.up, link.used, link.since) = (true, now, now);
        let (machine, check) = (link.machine, link.check);
        self.send_queue(now, id);
        let Some(host) = self.hosts.get_mut(&machine) else { return };
        host.refused = 0;
        host.waits.reset();
        host.heard(now);
        if check && self.links_of(machine).any(|(other, link)| other != id && link.up && !link.doubtful) {
            // It is there, and what stands is enough.
            return self.doubt(id);
        }
        let Some(host) = self.hosts.get(&machine) else { return };
        // An end that was told on a connection that broke may not have been heard.
        let ending: Vec<u64> = host
            .standing
            .iter()
            .filter_map(|(_, request)| self.requests.get(request))
            .filter(|entry| matches!(entry.phase, Phase::Ending { .. }))
            .map(|entry| entry.setup.id)
            .collect();
        for id_of_task in ending {
            self.send_host(id, ToHost::Release { id: id_of_task, cause: CANCELLED });
        }
    }

    pub(crate) fn link_down(&mut self, now: Micros, id: LinkId, down: Down, begun: u64) {
        let Some(link) = self.drop_link(id) else { return };
        let machine = link.machine;
        if let Some(host) = self.hosts.get_mut(&machine) {
            match down {
                Down::Refused => host.refused += 1,
                Down::Unmade => host.unreachable += 1,
                Down::Broke => host.broke = true,
                Down::Closed | Down::Spoilt => {}
            }
        }
        let probes = self.probes.iter().filter(|(_, probe)| probe.link == id).map(|(id, _)| *id);
        for probe in probes.collect::<Vec<_>>() {
            self.probe_over(now, probe, false, &Default::default());
        }
        for attempt in link.open.into_values() {
            self.broken(now, attempt, down, begun);
        }
        self.look_at(now, machine);
    }

    /// The connection of an attempt that is out ended.
    fn broken(&mut self, now: Micros, attempt: AttemptId, down: Down, begun: u64) {
        let request = attempt.request;
        let Some(entry) = self.requests.get_mut(&request) else { return };
        // Sent once more it would begin after its client went.
        let last = entry.last || entry.phase != Phase::Open;
        let Some(out) = entry.out.as_mut().filter(|out| out.number == attempt.number) else { return };
        let fate = decide::did_it_run(down, out.position < begun);
        let active = self.hosts.get(&out.machine).and_then(Host::health) == Some(State::Active);
        if fate == Fate::Unsent && out.resent < MOST_RESENT && now < out.until && active && !last {
            out.resent += 1;
            return self.send_setup(now, request);
        }
        let outcome = if fate == Fate::MayHaveRun { Outcome::Reset } else { Outcome::Unconnected };
        self.take_back(request, outcome, None, Vec::new());
    }

    // ---- What hosts say ----

    pub(crate) fn host_says(&mut self, now: Micros, id: LinkId, message: FromHost) {
        let Some(link) = self.links.get_mut(&id) else { return };
        link.used = now;
        let machine = link.machine;
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.heard(now);
        }
        match message {
            FromHost::Answer { id: task, description } => {
                if let Some(attempt) = link.open.remove(&task) {
                    self.placed(now, id, attempt, description);
                }
            }
            FromHost::Release { id: task, cause, reason, figures } => {
                let report = self.report(&figures);
                if let Some(attempt) = self.links.get(&id).and_then(|link| link.open.get(&task)).copied() {
                    let outcome = match cause {
                        FULL => Outcome::Refused,
                        ERROR => Outcome::Error,
                        MOOT => Outcome::Unsent,
                        _ => Outcome::Reset,
                    };
                    self.take_back(attempt.request, outcome, reason, report);
                } else if let Some(request) = self.standing_at(machine, task) {
                    let outcome = match cause {
                        GIVEN_UP => Outcome::Finished,
                        CANCELLED => Outcome::Stopped,
                        _ => Outcome::Reset,
                    };
                    self.over(now, request, outcome, reason, cause, report);
                    self.look_at(now, machine);
                }
            }
            FromHost::Note { id: task, note } => {
                let request = self.standing_at(machine, task);
                let phase = request.and_then(|request| Some(self.requests.get(&request)?.phase));
                if let (Some(request), Some(Phase::Standing { number, .. })) = (request, phase) {
                    let attempt = AttemptId { request, number };
                    self.events.push(Event::Noted { attempt, machine, note });
                }
            }
            FromHost::Tested { id, passed, figures } => self.probe_over(now, id, passed, &figures),
            FromHost::Free => {}
        }
    }

    /// The task that stands at a host under this id.
    fn standing_at(&self, machine: MachineId, id: u64) -> Option<RequestId> {
        let (request, entry) = self.request_of(id)?;
        let at = match entry.phase {
            Phase::Standing { machine, .. } | Phase::Ending { machine, .. } => machine,
            Phase::Open | Phase::Closed => return None,
        };
        (at == machine).then_some(request)
    }

    /// Whether a task of this name stands at a host.
    pub(crate) fn by_key(&self, machine: MachineId, key: u64) -> bool {
        let range = (key, RequestId(0))..=(key, RequestId(u64::MAX));
        self.hosts.get(&machine).is_some_and(|host| host.standing.range(range).next().is_some())
    }

    /// A task that a client handed over stands at a host: its end is to be heard.
    pub(crate) fn stands(&mut self, now: Micros, machine: MachineId, request: RequestId) {
        let key = self.requests.get(&request).map(|entry| entry.setup.key);
        let host = self.hosts.entry(machine).or_insert_with(Host::new);
        if host.standing.is_empty() {
            // Silence counts from when there is something to be heard of.
            host.heard_at = host.heard_at.max(now);
        }
        host.standing.extend(key.map(|key| (key, request)));
        self.look_at(now, machine);
    }

    fn placed(&mut self, now: Micros, link: LinkId, attempt: AttemptId, description: String) {
        let AttemptId { request, number } = attempt;
        let Some(out) = self.out(attempt) else { return };
        let Some(entry) = self.requests.get_mut(&request) else { return };
        let (machine, id, conn) = (out.machine, entry.setup.id, entry.conn);
        if entry.phase != Phase::Open {
            // Nobody wants it any more: it is cut, and its end belongs to the attempt.
            self.send_host(link, ToHost::Release { id, cause: GIVEN_UP });
            self.take_back(request, Outcome::Stopped, None, Vec::new());
            return;
        }
        entry.out = None;
        entry.phase = Phase::Standing { machine, number, since: now };
        // A standing task needs no description any more.
        entry.setup.description = String::new();
        self.waiting -= std::mem::take(&mut entry.weight);
        let took_us = now.saturating_sub(out.sent);
        self.events.push(Event::Placed { attempt, machine, took_us });
        self.send_client(conn, ToOwner::Answer { id, description });
        self.closed_on(conn, id);
        if let Some(conn) = self.conns.get_mut(&conn) {
            conn.answered = true;
            conn.heard_at = now;
        }
        self.stands(now, machine, request);
    }

    /// What stood is over.
    fn over(
        &mut self,
        now: Micros,
        request: RequestId,
        outcome: Outcome,
        reason: Option<reedring::Reason>,
        cause: u8,
        report: Vec<f64>,
    ) {
        let Some(entry) = self.requests.get(&request) else { return };
        let (id, key, home) = (entry.setup.id, entry.setup.key, entry.conn);
        let (machine, number, owed) = match entry.phase {
            Phase::Standing { machine, number, .. } => (machine, number, true),
            Phase::Ending { machine, number, .. } => (machine, number, false),
            Phase::Open | Phase::Closed => return,
        };
        if let Some(host) = self.hosts.get_mut(&machine) {
            host.standing.remove(&(key, request));
        }
        self.ended(request, number, machine, outcome, reason, report);
        self.forget(request);
        // Whom its client ended, or who was told that it moved, is owed nothing more.
        if owed {
            self.end_task(now, home, id, cause);
        }
    }

    /// Closes connections that nobody used for a while, a little before hosts do, so that no set-up crosses their
    /// close. A host that holds tasks keeps one.
    fn sweep_idle(&mut self, now: Micros) {
        let Some(idle) = self.settings.idle_close_us else { return };
        let idle = idle / 10 * 9;
        let unused = |link: &Link| link.up && link.is_idle() && link.used + idle <= now;
        let unused: Vec<(LinkId, MachineId)> = self
            .links
            .iter()
            .filter(|(_, link)| unused(link))
            .map(|(id, link)| (*id, link.machine))
            .collect();
        for (id, machine) in unused {
            let holds = self.hosts.get(&machine).is_some_and(|host| !host.standing.is_empty());
            if !holds || self.links_of(machine).any(|(other, link)| other != id && link.up) {
                self.close_link(id);
            }
        }
    }

    pub(crate) fn sweep_hosts(&mut self, now: Micros) {
        self.sweep_idle(now);
        let ended =
            |entry: &Request| matches!(entry.phase, Phase::Ending { since, .. } if since + ENDING_US <= now);
        let ended = self.requests.iter().filter(|(_, entry)| ended(entry)).map(|(request, _)| *request);
        for request in ended.collect::<Vec<_>>() {
            self.over(now, request, Outcome::Stopped, None, CANCELLED, Vec::new());
        }
        let quiet = |host: &Host| {
            !host.standing.is_empty()
                // One that is to be visited is connected to then.
                && host.parked.is_none()
                && !host.waiting
                && host.heard_at + UNHEARD_US <= now
                && host.checked_at + CHECK_US <= now
        };
        let quiet: Vec<MachineId> =
            self.hosts.iter().filter(|(_, host)| quiet(host)).map(|(id, _)| *id).collect();
        for machine in quiet {
            self.look_at(now, machine);
            self.check(now, machine);
            if let Some(host) = self.hosts.get_mut(&machine) {
                host.checked_at = now;
            }
        }
        let left = |host: &Host| host.left_at.is_some_and(|at| at + LEFT_US <= now);
        let left: Vec<MachineId> =
            self.hosts.iter().filter(|(_, host)| left(host)).map(|(id, _)| *id).collect();
        for machine in left {
            // Whatever its connections say, there is no such host any more, and its address may be another's.
            let links: Vec<LinkId> = self.links_of(machine).map(|(id, _)| id).collect();
            links.into_iter().for_each(|link| {
                self.outputs.push_back(Output::CloseLink(link));
                self.link_down(now, link, Down::Broke, u64::MAX);
            });
            self.look_at(now, machine);
        }
    }
}
