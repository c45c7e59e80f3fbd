//! Clients: their connections, what they ask, and the ends that are owed to them.

use reedring::names::machine_id;
use reedring::{Event, Micros, Outcome, RequestId, ServiceId, Task, TaskKey};
use reedring_platproto::board::number;
use reedring_platproto::owner::{FromOwner, Setup, ToOwner, Unusable};
use reedring_platproto::{CANCELLED, CUT, ERROR};

use crate::decide::{self, Leaving, Parting, Route, Stage};
use crate::io::{ConnId, Output};
use crate::state::{Conn, End, Engine, Out, Phase, Request, Timer};

/// A client that says nothing of use for so long is closed on. One that was answered is not: it may be the only
/// way to tell the ends of its tasks, and goes when its place is needed.
const SILENCE_US: Micros = 2_400_000;
/// A client that asks and says at once that it said all may have its first attempts for this long: a quarter of
/// the 0.1 s after which none may begin for one that has gone, as what is late on its way counts too.
const MOMENT_US: Micros = 25_000;
/// For so long arrivals wait for what their client said after them to be read.
const READ_US: Micros = 50_000;
/// Messages that can't be used, one after the other, after which a connection is closed.
const MOST_UNUSABLE: u32 = 16;
/// Ends are sent again if their connection ends this soon after.
const RESEND_END_US: Micros = 1_000_000;
/// An end that no client came to hear of in this time concerns nobody.
const OWED_US: Micros = 30_000_000;

impl Engine {
    pub(crate) fn send_client(&mut self, conn: ConnId, message: ToOwner) {
        if self.conns.get(&conn).is_some_and(|conn| !conn.closing) {
            self.outputs.push_back(Output::ToClient(conn, message));
        }
    }

    /// Nothing is open under this id on the connection any more.
    pub(crate) fn closed_on(&mut self, conn: ConnId, id: u64) {
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.open.remove(&id);
            self.close_ended(conn);
        }
    }

    pub(crate) fn client_read(&mut self, conn: ConnId, more: bool) {
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.more = more;
        }
    }

    /// A client that said all it has to say has gone, or waits for its answers.
    pub(crate) fn client_ended(&mut self, now: Micros, conn: ConnId) {
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        (entry.ended, entry.more) = (true, false);
        let open: Vec<u64> = entry.open.iter().copied().collect();
        let moments = open.into_iter().filter(|id| self.part(now, *id, Leaving::Ended) == Parting::Moment);
        if moments.count() > 0 {
            self.timers.set(now + MOMENT_US, Timer::Gone(conn));
        }
        self.close_ended(conn);
    }

    pub(crate) fn client_ended_long(&mut self, now: Micros, conn: ConnId) {
        let open: Vec<u64> = self.conns.get(&conn).into_iter().flat_map(|entry| entry.open.clone()).collect();
        for id in open {
            self.part(now, id, Leaving::EndedLong);
        }
    }

    fn stage(&self, entry: &Request) -> Stage {
        let unsent = |out: &Out| self.links.get(&out.link).is_some_and(|link| !link.is_up());
        match entry.phase {
            Phase::Open if entry.is_fresh() => Stage::Fresh,
            Phase::Open => match &entry.out {
                None => Stage::Held,
                Some(out) if unsent(out) => Stage::Connecting,
                Some(_) => Stage::Out,
            },
            Phase::Standing { .. } => Stage::Standing,
            Phase::Ending { .. } | Phase::Closed => Stage::Over,
        }
    }

    /// What becomes of a request whose client leaves, and that it comes to be.
    fn part(&mut self, now: Micros, id: u64, leaving: Leaving) -> Parting {
        let Some((request, stage)) = self.request_of(id).map(|(request, entry)| (request, self.stage(entry)))
        else {
            return Parting::Nothing;
        };
        let parting = decide::parting(stage, leaving);
        match parting {
            Parting::Nothing | Parting::Moment => {}
            Parting::Answer | Parting::LastAttempt => self.stop_attempts(now, request),
            Parting::Recall => {
                self.recall(request);
                self.stop_attempts(now, request);
            }
            Parting::GiveUp => {
                // What waits for a connection would begin when it stands, whether attempts may be stopped or not.
                self.recall(request);
                if self.close(request).is_some() {
                    self.events.push(Event::Withdrawn(request));
                }
            }
            Parting::End => self.cut(now, request, CANCELLED),
        }
        parting
    }

    /// Takes an attempt back that waits for a connection.
    fn recall(&mut self, request: RequestId) {
        let Some(entry) = self.requests.get(&request) else { return };
        let (id, Some(out)) = (entry.setup.id, entry.out) else { return };
        if self.unsend(out.link, id) {
            self.take_back(request, Outcome::Unsent, None, Vec::new());
        }
    }

    /// No attempt begins any more: the module gives the final answer as soon as none is out.
    fn stop_attempts(&mut self, now: Micros, request: RequestId) {
        if self.requests.get(&request).is_some_and(|entry| !entry.submitted) {
            self.submit(now, request, true);
        } else if let Some(entry) = self.requests.get_mut(&request).filter(|entry| !entry.client_left) {
            entry.client_left = true;
            self.events.push(Event::Last(request));
        }
    }

    /// Whatever waits before it, a request whose time is over is answered: it never ran.
    pub(crate) fn overdue(&mut self, now: Micros, request: RequestId) {
        if self.requests.get(&request).is_some_and(Request::is_fresh) {
            self.submit(now, request, true);
        }
    }

    /// Submits an arrival to the module; one whose client has gone so that it is answered at once.
    fn submit(&mut self, now: Micros, request: RequestId, client_left: bool) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        (entry.submitted, entry.client_left) = (true, client_left);
        let grace_us = if client_left { 0 } else { entry.deadline.saturating_sub(now) };
        if let Some(Ok(task)) = self.requests.get(&request).map(|entry| self.task(&entry.setup)) {
            self.events.push(Event::Arrived { task: Task { request, ..task }, grace_us });
        }
    }

    /// When the arrivals of a connection have their turn: at once, or, where more of it is to be read, once that was or
    /// could have been, as they may be taken back there.
    fn turn(&self, conn: ConnId) -> Option<Micros> {
        let entry = self.conns.get(&conn)?;
        let came = entry
            .fresh
            .front()
            .and_then(|first| self.requests.get(first))
            .map_or(0, |first| first.arrived_at);
        Some(if entry.more { came + READ_US } else { 0 })
    }

    /// When the next arrival has its turn.
    pub(crate) fn next_turn(&self) -> Option<Micros> {
        self.turns.iter().filter_map(|conn| self.turn(*conn)).min()
    }

    /// Submits the next `most` arrivals to the module, each connection's in turn.
    pub(crate) fn submit_next(&mut self, now: Micros, most: usize) {
        let (mut submitted, mut passed) = (0, 0);
        while submitted < most && passed < self.turns.len() {
            let Some(conn) = self.turns.pop_front() else { return };
            let Some(due) = self.turn(conn) else { continue };
            if due > now {
                self.turns.push_back(conn);
                passed += 1;
                continue;
            }
            let Some(entry) = self.conns.get_mut(&conn) else { continue };
            let next = entry.fresh.pop_front();
            if !entry.fresh.is_empty() {
                self.turns.push_back(conn);
            }
            let fresh = |request: &RequestId| self.requests.get(request).is_some_and(Request::is_fresh);
            if let Some(request) = next.filter(fresh) {
                (submitted, passed) = (submitted + 1, 0);
                self.submit(now, request, false);
            }
        }
    }

    fn close_ended(&mut self, conn: ConnId) {
        if self.conns.get(&conn).is_some_and(|entry| entry.ended && entry.open.is_empty()) {
            self.close_client(conn);
        }
    }

    /// Whoever can't be read is closed on; what it had asked for ends with that.
    pub(crate) fn client_spoilt(&mut self, now: Micros, conn: ConnId, why: &str) {
        self.log(format!("client {conn}: closed: {why}"));
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        for id in std::mem::take(&mut entry.open) {
            self.send_client(conn, ToOwner::failure(id, CUT));
            self.part(now, id, Leaving::Reset);
        }
        self.close_client(conn);
    }

    pub(crate) fn client_came(&mut self, now: Micros, conn: ConnId) {
        let mut in_overflow = false;
        let leaving = self.conns.values().filter(|conn| conn.leaving && !conn.closing).count();
        if self.conns.len() - leaving >= self.bounds.clients {
            let idle = |conn: &Conn| conn.is_idle() && !conn.in_overflow;
            let idle = self.conns.iter().filter(|(_, conn)| idle(conn));
            let oldest = idle.min_by_key(|(_, conn)| (conn.answered, conn.heard_at)).map(|(id, _)| *id);
            match oldest {
                Some(oldest) => self.close_idle_client(oldest),
                None if self.conns.len() < self.bounds.clients + self.bounds.overflow => in_overflow = true,
                None => return self.outputs.push_back(Output::CloseClient(conn)),
            }
        }
        self.conns.insert(conn, Conn { heard_at: now, in_overflow, ..Conn::default() });
        self.yield_links(now);
    }

    fn close_client(&mut self, conn: ConnId) {
        if let Some(entry) = self.conns.get_mut(&conn).filter(|entry| !entry.closing) {
            entry.closing = true;
            self.outputs.push_back(Output::CloseClient(conn));
        }
    }

    /// Closes on a client that is idle, unless it says something before it learns of that.
    fn close_idle_client(&mut self, conn: ConnId) {
        if let Some(entry) = self.conns.get_mut(&conn).filter(|entry| !entry.closing && !entry.leaving) {
            entry.leaving = true;
            self.outputs.push_back(Output::CloseIdleClient(conn));
        }
    }

    pub(crate) fn client_gone(&mut self, now: Micros, conn: ConnId) {
        let Some(gone) = self.conns.remove(&conn) else { return };
        for id in gone.open {
            self.part(now, id, Leaving::Reset);
        }
        // An end that was just written may have crossed the close.
        let crossed: Vec<u64> =
            self.sent_ends.iter().filter(|(_, (to, _))| *to == conn).map(|(id, _)| *id).collect();
        for id in crossed {
            if let Some((_, end)) = self.sent_ends.remove(&id) {
                self.tell_end(now, end);
            }
        }
    }

    pub(crate) fn client_says(&mut self, now: Micros, conn: ConnId, message: Result<FromOwner, Unusable>) {
        let Some(entry) = self.conns.get_mut(&conn).filter(|entry| !entry.closing) else { return };
        entry.leaving = false;
        match message {
            Ok(FromOwner::Setup(setup)) => self.setup(now, conn, *setup),
            Ok(FromOwner::Release { id, .. }) => self.client_releases(now, conn, id),
            Ok(FromOwner::Test(id)) => {
                entry.heard_at = now;
                let passed = self.ending.is_none();
                self.send_client(conn, ToOwner::Tested { id, passed });
            }
            Ok(FromOwner::Released(id)) => drop(self.sent_ends.remove(&id)),
            Ok(FromOwner::Free) => {}
            Err(Unusable { id, why }) => self.unusable(now, conn, id, &why),
        }
    }

    fn unusable(&mut self, now: Micros, conn: ConnId, id: u64, why: &str) {
        self.log(format!("client {conn}: turned away: message on {id:016x}: {why}"));
        // One whole answer at most for one id on one connection: what is open under it ends with this.
        if self.conns.get_mut(&conn).is_some_and(|entry| entry.open.remove(&id)) {
            self.part(now, id, Leaving::Cancelled);
        }
        self.send_client(conn, ToOwner::failure(id, ERROR));
        let Some(entry) = self.conns.get_mut(&conn) else { return };
        entry.unusable += 1;
        if entry.unusable >= MOST_UNUSABLE {
            self.close_client(conn);
        }
    }

    fn client_releases(&mut self, now: Micros, conn: ConnId, id: u64) {
        let Some((phase, home)) = self.request_of(id).map(|(_, entry)| (entry.phase, entry.conn)) else {
            return;
        };
        // Only who asked may take back what is open; a task that stands belongs to no connection.
        if phase == Phase::Open && home != conn {
            return;
        }
        if phase == Phase::Open {
            self.closed_on(conn, id);
        } else if let Some(entry) = self.conns.get_mut(&conn) {
            entry.heard_at = now;
        }
        self.part(now, id, Leaving::Cancelled);
    }

    fn setup(&mut self, now: Micros, conn: ConnId, setup: Setup) {
        let id = setup.id;
        let task = match self.task(&setup) {
            Ok(task) => task,
            Err(why) => return self.unusable(now, conn, id, &why),
        };
        let known = self.request_of(id).map(|(_, entry)| (entry.phase, entry.conn));
        if let Some(host) = &setup.at {
            let machine = machine_id(host);
            if let Some(conn) = self.conns.get_mut(&conn) {
                (conn.heard_at, conn.answered, conn.good, conn.unusable) = (now, true, true, 0);
            }
            // It may name what is held already, under this id or the one that it stands under.
            let held = self.by_key(machine, setup.key);
            if known.is_some_and(|(phase, _)| phase != Phase::Closed) || held {
                return self.tell_owed(now);
            }
            let phase = Phase::Standing { machine, number: 0, since: now };
            let request = self.new_request(now, setup, conn, phase);
            self.events.push(Event::Adopted { task: Task { request, ..task }, machine });
            self.stands(now, machine, request);
            return self.tell_owed(now);
        }
        match known {
            None => {}
            // A release here would say that the standing task is over.
            Some((Phase::Standing { .. } | Phase::Ending { .. }, home)) if home == conn => {
                return self.close_client(conn);
            }
            Some(_) => return self.unusable(now, conn, id, "this id is open"),
        }
        if self.conns.get(&conn).is_some_and(|conn| conn.in_overflow) {
            self.send_client(conn, ToOwner::failure(id, CUT));
            return self.close_client(conn);
        }
        if self.waiting + setup.description.len() > self.bounds.waiting {
            self.log(format!("client {conn}: turned away: set-ups hold {} bytes", self.waiting));
            return self.send_client(conn, ToOwner::failure(id, CUT));
        }
        let request = self.new_request(now, setup, conn, Phase::Open);
        if self.has_backlog() {
            self.timers.set(self.requests[&request].deadline, Timer::Overdue(request));
        }
        if let Some(entry) = self.conns.get_mut(&conn) {
            entry.open.insert(id);
            (entry.heard_at, entry.good, entry.unusable) = (now, true, 0);
            if entry.fresh.is_empty() {
                self.turns.push_back(conn);
            }
            entry.fresh.push_back(request);
        }
        self.tell_owed(now);
    }

    /// The task of a set-up, as the module knows it; why it can't be one.
    fn task(&self, setup: &Setup) -> Result<Task, String> {
        let class = number(&self.settings.classes, &setup.class);
        let class = class.ok_or_else(|| format!("no class {:?}", setup.class))?;
        let tenant = match &setup.tenant {
            None if self.settings.tenants.is_empty() => 0,
            None => return Err("no tenant".to_owned()),
            Some(name) => {
                number(&self.settings.tenants, name).ok_or_else(|| format!("no tenant {name:?}"))?
            }
        };
        let kinds = &self.settings.module.kinds;
        let most = |size: fn(&reedring::Kind) -> Option<f64>, times: Option<f64>| {
            let largest = kinds.iter().filter_map(size).fold(0.0, f64::max);
            if largest > 0.0 { largest * times.unwrap_or(1.0).max(1.0) } else { f64::INFINITY }
        };
        // No machine could ever take more.
        if setup.cores > most(|kind| kind.cores, self.settings.module.accepts_cores)
            || setup.memory > most(|kind| kind.memory, self.settings.module.accepts_memory)
            || setup.cores + setup.memory <= 0.0
        {
            return Err(format!("no machine has {} cores and {} of memory", setup.cores, setup.memory));
        }
        Ok(Task {
            request: RequestId(0),
            class,
            tenant,
            key: TaskKey(setup.key),
            service: ServiceId(setup.service),
            cores: setup.cores,
            memory: setup.memory,
            life_us: None,
            again: setup.retry,
        })
    }

    /// Tells a client that a task is over.
    pub(crate) fn end_task(&mut self, now: Micros, home: ConnId, id: u64, cause: u8) {
        self.tell_end(now, End { at: now, home, id, cause });
    }

    fn tell_end(&mut self, now: Micros, end: End) {
        match self.route(end.home) {
            Some(conn) => {
                self.send_client(conn, ToOwner::failure(end.id, end.cause));
                self.sent_ends.insert(end.id, (conn, End { at: now, ..end }));
            }
            None => self.unsent_ends.push(end),
        }
    }

    /// The connection on which an end is told.
    pub(crate) fn route(&self, home: ConnId) -> Option<ConnId> {
        if self.conns.get(&home).is_some_and(|conn| !conn.closing && !conn.leaving) {
            return Some(home);
        }
        let routes =
            self.conns.iter().filter(|(_, conn)| !conn.closing && !conn.leaving).map(|(id, conn)| {
                (*id, Route { answered: conn.answered, good: conn.good, heard_at: conn.heard_at })
            });
        decide::which_route(routes)
    }

    /// Ends that found no connection go out on the first that will do.
    fn tell_owed(&mut self, now: Micros) {
        for end in std::mem::take(&mut self.unsent_ends) {
            self.tell_end(now, end);
        }
    }

    pub(crate) fn sweep_clients(&mut self, now: Micros) {
        let over = |(_, conn): &(&ConnId, &Conn)| {
            conn.is_idle() && !conn.answered && conn.heard_at + SILENCE_US <= now
        };
        let idle: Vec<ConnId> = self.conns.iter().filter(over).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|conn| self.close_idle_client(conn));
        self.unsent_ends.retain(|end| now < end.at + OWED_US);
        self.sent_ends.retain(|_, (_, end)| now < end.at + RESEND_END_US);
    }
}
