//! Clients' connections: admitted, closed when idle or to make capacity for others, and ended.

use reedring::Micros;
use reedring_platform_protocol::FAILED;
use reedring_platform_protocol::client::ToClient;

use crate::decide::{ClientDeparture, DepartureAction, TaskOwnership};
use crate::errors::ClientReadError;
use crate::ids::ConnId;
use crate::io::Output;
use crate::log_event::LogEvent;
use crate::state::{ClientConnection, Engine, Timer};

/// A client without open requests that sends nothing valid for this long is disconnected. One that owns running tasks is
/// not: its connection may be the only way to notify it of their ends, and is closed only when the limit on connections
/// is reached.
const IDLE_TIMEOUT_US: Micros = 2_400_000;
/// How long after a client's end of stream an attempt of its requests may still begin, so that a client that sends a
/// request and closes its sending side at once is served. It is a quarter of the 0.1 s after which no attempt may begin
/// for a client that departed, as transfer delays count too.
const DEPARTURE_GRACE_US: Micros = 25_000;

/// How a client departs whose end of stream became known at `ended_at`.
fn end_of_stream_departure(now: Micros, ended_at: Micros) -> ClientDeparture {
    if now < ended_at + DEPARTURE_GRACE_US {
        ClientDeparture::EndOfStream
    } else {
        ClientDeparture::GraceExpired
    }
}

impl Engine {
    /// Admits a new connection. At the limit, the longest idle connection is closed for it.
    pub(crate) fn client_connected(&mut self, now: Micros, conn: ConnId) {
        let mut is_overflow = false;
        let closing = |client: &&ClientConnection| client.is_closing_if_idle && !client.is_closing;
        let closing = self.clients.values().filter(closing).count();
        if self.clients.len() - closing >= self.bounds.clients {
            let with_overflow = self.bounds.clients + self.bounds.client_overflow;
            match self.longest_idle_client() {
                Some(longest_idle) => self.close_client_if_idle(longest_idle),
                None if self.clients.len() < with_overflow => is_overflow = true,
                None => return self.outputs.push_back(Output::CloseClient(conn)),
            }
        }
        let client = ClientConnection {
            last_received: now,
            is_overflow,
            ..ClientConnection::default()
        };
        self.clients.insert(conn, client);
        self.evict_links_for_clients(now);
    }

    /// The connection that has been idle longest; connections whose clients own no running tasks, as far as
    /// hosts or they themselves say, come first.
    fn longest_idle_client(&self) -> Option<ConnId> {
        let idle = self
            .clients
            .iter()
            .filter(|(_, client)| client.is_idle() && !client.is_overflow);
        idle.min_by_key(|(_, client)| (client.ownership, client.last_received))
            .map(|(conn, _)| *conn)
    }

    /// Removes a request that was closed from the open requests of its connection.
    pub(crate) fn request_closed(&mut self, conn: ConnId, id: u64) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.open_requests.remove(&id);
            self.close_if_no_open_request(conn);
        }
    }

    pub(crate) fn client_input_read(&mut self, conn: ConnId, has_more: bool) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.has_unread_input = has_more;
        }
    }

    /// Handles that a client has closed its sending side although more of its input is to be read. The requests in that
    /// input come from a client that departed now, however long it takes to read them.
    pub(crate) fn client_ending(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else {
            return;
        };
        client.ended_at.get_or_insert(now);
        self.depart_open_requests(now, conn);
        // Also for requests that are read until then.
        self.timers
            .set(now + DEPARTURE_GRACE_US, Timer::DepartureGrace(conn));
    }

    /// Handles a client's end of stream: the client either is gone or still reads its answers.
    pub(crate) fn client_end_of_stream(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.get_mut(&conn) else {
            return;
        };
        (client.end_of_stream, client.has_unread_input) = (true, false);
        let was_known = client.ended_at.is_some();
        let has_grace = self.depart_open_requests(now, conn);
        if has_grace && !was_known {
            self.timers
                .set(now + DEPARTURE_GRACE_US, Timer::DepartureGrace(conn));
        }
        self.close_if_no_open_request(conn);
    }

    /// Applies the end of stream of a client to its open requests. Returns whether one of them has a grace period.
    fn depart_open_requests(&mut self, now: Micros, conn: ConnId) -> bool {
        let Some(client) = self.clients.get(&conn) else {
            return false;
        };
        let departure = end_of_stream_departure(now, client.ended_at.unwrap_or(now));
        let open: Vec<u64> = client.open_requests.iter().copied().collect();
        let mut has_grace = false;
        for id in open {
            let action = self.handle_departure(now, id, departure);
            has_grace |= action == DepartureAction::AllowGrace;
        }
        has_grace
    }

    /// Applies the end of stream of a client to a request that was read after the end became known.
    pub(super) fn depart_late_request(&mut self, now: Micros, conn: ConnId, id: u64) {
        let client = self.clients.get(&conn);
        let ended_at = client.and_then(|client| client.ended_at);
        let departure = ended_at.map(|at| end_of_stream_departure(now, at));
        // Within the grace period its timer, which is set, applies to this request too.
        if departure == Some(ClientDeparture::GraceExpired) {
            self.handle_departure(now, id, ClientDeparture::GraceExpired);
        }
    }

    pub(crate) fn departure_grace_expired(&mut self, now: Micros, conn: ConnId) {
        let client = self.clients.get(&conn);
        let open: Vec<u64> = client
            .into_iter()
            .flat_map(|client| client.open_requests.iter().copied())
            .collect();
        for id in open {
            self.handle_departure(now, id, ClientDeparture::GraceExpired);
        }
    }

    /// Closes a connection after its end of stream once none of its requests is open.
    fn close_if_no_open_request(&mut self, conn: ConnId) {
        let client = self.clients.get(&conn);
        if client.is_some_and(|client| client.end_of_stream && client.open_requests.is_empty()) {
            self.close_client(conn);
        }
    }

    /// Fails the open requests of a client whose input can't be read, and closes its connection.
    pub(crate) fn client_unreadable(&mut self, now: Micros, conn: ConnId, error: ClientReadError) {
        self.log(LogEvent::ClientUnreadable {
            client: conn,
            error,
        });
        let Some(client) = self.clients.get_mut(&conn) else {
            return;
        };
        for id in std::mem::take(&mut client.open_requests) {
            self.send_to_client(conn, ToClient::failure(id, FAILED));
            self.handle_departure(now, id, ClientDeparture::Reset);
        }
        self.close_client(conn);
    }

    pub(super) fn close_client(&mut self, conn: ConnId) {
        let client = self.clients.get_mut(&conn);
        if let Some(client) = client.filter(|client| !client.is_closing) {
            client.is_closing = true;
            self.outputs.push_back(Output::CloseClient(conn));
        }
    }

    /// Closes an idle connection, unless its client has sent something that was not read yet.
    fn close_client_if_idle(&mut self, conn: ConnId) {
        let client = self.clients.get_mut(&conn);
        if let Some(client) = client.filter(|client| client.is_usable()) {
            client.is_closing_if_idle = true;
            self.outputs.push_back(Output::CloseIdleClient(conn));
        }
    }

    pub(crate) fn client_disconnected(&mut self, now: Micros, conn: ConnId) {
        let Some(client) = self.clients.remove(&conn) else {
            return;
        };
        for id in client.open_requests {
            self.handle_departure(now, id, ClientDeparture::Reset);
        }
        self.requests.connection_ended(now, conn);
        self.resend_task_ends(now, conn);
    }

    /// Closes connections that have been idle too long, and drops expired task ends.
    pub(crate) fn sweep_clients(&mut self, now: Micros) {
        let is_timed_out = |client: &ClientConnection| {
            let is_owner = client.ownership > TaskOwnership::None;
            client.is_idle() && !is_owner && client.last_received + IDLE_TIMEOUT_US <= now
        };
        let idle = self
            .clients
            .iter()
            .filter(|(_, client)| is_timed_out(client));
        let idle: Vec<ConnId> = idle.map(|(conn, _)| *conn).collect();
        for conn in idle {
            self.close_client_if_idle(conn);
        }
        self.task_ends.drop_expired(now);
    }
}
