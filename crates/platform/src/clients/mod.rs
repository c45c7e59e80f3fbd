//! Clients: their connections, and what they say on them.

mod arrivals;
mod ends;
mod leaving;

use reedring::Micros;
use reedring_platform_protocol::client::{FromClient, InvalidMessage, ToClient};
use reedring_platform_protocol::{CUT, ERROR};

use crate::decide::{Leaving, Parting};
use crate::io::{ConnId, Output};
use crate::state::{Conn, Engine, Phase, Timer};

/// A client that says nothing of use for so long is closed on. One that was answered is not: it may be the only
/// way to tell the ends of its tasks, and goes when its place is needed.
const SILENCE_US: Micros = 2_400_000;
/// A client that asks and says at once that it said all may have its first attempts for this long: a quarter of
/// the 0.1 s after which none may begin for one that has gone, as what is late on its way counts too.
const MOMENT_US: Micros = 25_000;
/// Messages that can't be used, one after the other, after which a connection is closed.
const MOST_UNUSABLE: u32 = 16;

impl Engine {
    pub(crate) fn send_client(&mut self, conn: ConnId, message: ToClient) {
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
        let Some(entry) = self.conns.get_mut(&conn) else {
            return;
        };
        (entry.ended, entry.more) = (true, false);
        let open: Vec<u64> = entry.open.iter().copied().collect();
        let moments = open
            .into_iter()
            .filter(|id| self.part(now, *id, Leaving::Ended) == Parting::Moment);
        if moments.count() > 0 {
            self.timers.set(now + MOMENT_US, Timer::Gone(conn));
        }
        self.close_ended(conn);
    }

    pub(crate) fn client_ended_long(&mut self, now: Micros, conn: ConnId) {
        let open: Vec<u64> = self
            .conns
            .get(&conn)
            .into_iter()
            .flat_map(|entry| entry.open.clone())
            .collect();
        for id in open {
            self.part(now, id, Leaving::EndedLong);
        }
    }

    fn close_ended(&mut self, conn: ConnId) {
        if self
            .conns
            .get(&conn)
            .is_some_and(|entry| entry.ended && entry.open.is_empty())
        {
            self.close_client(conn);
        }
    }

    /// Whoever can't be read is closed on; what it had asked for ends with that.
    pub(crate) fn client_spoilt(&mut self, now: Micros, conn: ConnId, why: &str) {
        self.log(format!("client {conn}: closed: {why}"));
        let Some(entry) = self.conns.get_mut(&conn) else {
            return;
        };
        for id in std::mem::take(&mut entry.open) {
            self.send_client(conn, ToClient::failure(id, CUT));
            self.part(now, id, Leaving::Reset);
        }
        self.close_client(conn);
    }

    pub(crate) fn client_came(&mut self, now: Micros, conn: ConnId) {
        let mut in_overflow = false;
        let leaving = self
            .conns
            .values()
            .filter(|conn| conn.leaving && !conn.closing)
            .count();
        if self.conns.len() - leaving >= self.bounds.clients {
            let idle = |conn: &Conn| conn.is_idle() && !conn.in_overflow;
            let idle = self.conns.iter().filter(|(_, conn)| idle(conn));
            let oldest = idle
                .min_by_key(|(_, conn)| (conn.answered, conn.heard_at))
                .map(|(id, _)| *id);
            match oldest {
                Some(oldest) => self.close_idle_client(oldest),
                None if self.conns.len() < self.bounds.clients + self.bounds.overflow => {
                    in_overflow = true
                }
                None => return self.outputs.push_back(Output::CloseClient(conn)),
            }
        }
        self.conns.insert(
            conn,
            Conn {
                heard_at: now,
                in_overflow,
                ..Conn::default()
            },
        );
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
        if let Some(entry) = self
            .conns
            .get_mut(&conn)
            .filter(|entry| !entry.closing && !entry.leaving)
        {
            entry.leaving = true;
            self.outputs.push_back(Output::CloseIdleClient(conn));
        }
    }

    pub(crate) fn client_gone(&mut self, now: Micros, conn: ConnId) {
        let Some(gone) = self.conns.remove(&conn) else {
            return;
        };
        for id in gone.open {
            self.part(now, id, Leaving::Reset);
        }
        self.resend_crossed_ends(now, conn);
    }

    pub(crate) fn client_says(
        &mut self,
        now: Micros,
        conn: ConnId,
        message: Result<FromClient, InvalidMessage>,
    ) {
        let Some(entry) = self.conns.get_mut(&conn).filter(|entry| !entry.closing) else {
            return;
        };
        entry.leaving = false;
        match message {
            Ok(FromClient::PlacementRequest(setup)) => self.setup(now, conn, *setup),
            Ok(FromClient::Release { id, .. }) => self.client_releases(now, conn, id),
            Ok(FromClient::Test(id)) => {
                entry.heard_at = now;
                let passed = self.ending.is_none();
                self.send_client(conn, ToClient::Tested { id, passed });
            }
            Ok(FromClient::Released(id)) => drop(self.sent_ends.remove(&id)),
            Ok(FromClient::Free) => {}
            Err(InvalidMessage { id, why }) => self.unusable(now, conn, id, &why),
        }
    }

    fn unusable(&mut self, now: Micros, conn: ConnId, id: u64, why: &str) {
        self.log(format!(
            "client {conn}: turned away: message on {id:016x}: {why}"
        ));
        // One whole answer at most for one id on one connection: what is open under it ends with this.
        if self
            .conns
            .get_mut(&conn)
            .is_some_and(|entry| entry.open.remove(&id))
        {
            self.part(now, id, Leaving::Cancelled);
        }
        self.send_client(conn, ToClient::failure(id, ERROR));
        let Some(entry) = self.conns.get_mut(&conn) else {
            return;
        };
        entry.unusable += 1;
        if entry.unusable >= MOST_UNUSABLE {
            self.close_client(conn);
        }
    }

    fn client_releases(&mut self, now: Micros, conn: ConnId, id: u64) {
        let Some((phase, home)) = self
            .request_of(id)
            .map(|(_, entry)| (entry.phase, entry.conn))
        else {
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

    pub(crate) fn sweep_clients(&mut self, now: Micros) {
        let over = |(_, conn): &(&ConnId, &Conn)| {
            conn.is_idle() && !conn.answered && conn.heard_at + SILENCE_US <= now
        };
        let idle: Vec<ConnId> = self.conns.iter().filter(over).map(|(id, _)| *id).collect();
        idle.into_iter()
            .for_each(|conn| self.close_idle_client(conn));
        self.forget_old_ends(now);
    }
}
