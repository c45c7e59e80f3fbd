//! Clients: their connections and messages.

mod connections;
mod departures;
mod requests;
mod submission;
mod task_ends;

use reedring::Micros;
use reedring_platform_protocol::ERROR;
use reedring_platform_protocol::client::{FromClient, InvalidMessage, ToClient};

use crate::decide::{ClientDeparture, TaskOwnership};
use crate::errors::Rejection;
use crate::ids::ConnId;
use crate::io::Output;
use crate::log_event::LogEvent;
use crate::state::{Engine, Phase};

/// A connection is closed after this many rejected messages without a valid request in between.
const MAX_REJECTED_MESSAGES: u32 = 16;

impl Engine {
    pub(crate) fn send_to_client(&mut self, conn: ConnId, message: ToClient) {
        if self
            .clients
            .get(&conn)
            .is_some_and(|client| !client.is_closing)
        {
            self.outputs.push_back(Output::ToClient(conn, message));
        }
    }

    pub(crate) fn client_message(
        &mut self,
        now: Micros,
        conn: ConnId,
        message: Result<FromClient, InvalidMessage>,
    ) {
        let client = self.clients.get_mut(&conn);
        let client = client.filter(|client| !client.is_closing);
        let is_usable = client.is_some();
        if let Some(client) = client {
            client.is_closing_if_idle = false;
        }
        match message {
            // These need no answer, so they count even if their connection is being closed or has ended.
            Ok(FromClient::Release { id, .. }) => self.client_release(now, conn, id),
            Ok(FromClient::ReleaseConfirmed(id)) => {
                self.task_ends.confirm(id);
            }
            _ if !is_usable => {}
            Ok(FromClient::PlacementRequest(request)) => {
                self.placement_request(now, conn, *request)
            }
            Ok(FromClient::HealthCheck(id)) => {
                if let Some(client) = self.clients.get_mut(&conn) {
                    client.last_received = now;
                }
                let passed = self.shutdown.requested_at.is_none();
                self.send_to_client(conn, ToClient::HealthCheckResult { id, passed });
            }
            Ok(FromClient::Ignored) => {}
            Err(InvalidMessage { id, error }) => {
                self.reject(now, conn, id, Rejection::InvalidMessage(error));
            }
        }
    }

    /// Answers an invalid message with a failure, and closes the connection after too many of them.
    fn reject(&mut self, now: Micros, conn: ConnId, id: u64, reason: Rejection) {
        self.log(LogEvent::ClientMessageRejected {
            client: conn,
            request: id,
            reason,
        });
        // A connection gets at most one final answer per id: an open request with the same id ends with this failure.
        let client = self.clients.get_mut(&conn);
        if client.is_some_and(|client| client.open_requests.remove(&id)) {
            self.handle_departure(now, id, ClientDeparture::Cancelled);
        }
        self.send_to_client(conn, ToClient::failure(id, ERROR));
        let Some(client) = self.clients.get_mut(&conn) else {
            return;
        };
        client.rejected_messages += 1;
        if client.rejected_messages >= MAX_REJECTED_MESSAGES {
            self.close_client(conn);
        }
    }

    /// A client cancels a request or stops a task. A task may have ended meanwhile, and its client not be notified yet.
    fn client_release(&mut self, now: Micros, conn: ConnId, id: u64) {
        if self.task_ends.confirm(id) {
            return self.client_owns_tasks(now, conn, TaskOwnership::Claimed);
        }
        let Some(found) = self.requests.find(id) else {
            return self.stop_displaced_task(now, id);
        };
        let (phase, requested_on) = (found.request.phase, found.request.conn);
        let ownership = if self.requests.is_unconfirmed(found.id, requested_on) {
            TaskOwnership::Claimed
        } else {
            TaskOwnership::Confirmed
        };
        // An open request may be cancelled only on the connection that it came on; a running task may be stopped on any
        // connection.
        let is_open = phase == Phase::Open;
        if is_open && requested_on != conn {
            return;
        }
        if is_open {
            self.request_closed(conn, id);
        } else if let Some(client) = self.clients.get_mut(&conn) {
            client.last_received = now;
        }
        self.handle_departure(now, id, ClientDeparture::Cancelled);
        if phase.placement().is_some() {
            self.client_owns_tasks(now, conn, ownership);
        }
    }

    /// Records what shows that the client of a connection owns running tasks, and sends the ends that wait for such a
    /// connection.
    fn client_owns_tasks(&mut self, now: Micros, conn: ConnId, ownership: TaskOwnership) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.record_ownership(now, ownership);
            self.send_unsent_ends(now);
        }
    }
}
