//! Notification of task ends: the connection on which each is sent.

use reedring::Micros;
use reedring_platform_protocol::client::ToClient;

use crate::decide::{self, NotificationRoute, TaskOwnership};
use crate::ids::ConnId;
use crate::state::{Engine, TaskEnd};

impl Engine {
    /// Notifies a client of the end of a task. Without a usable connection, the end is kept and sent later.
    pub(crate) fn notify_task_end(&mut self, now: Micros, end: TaskEnd) {
        let conns = self.notification_connections(end.requested_on);
        for conn in &conns {
            self.send_to_client(*conn, ToClient::failure(end.id, end.cause));
        }
        match conns.first() {
            Some(conn) => self.task_ends.add_sent(now, *conn, end),
            None => self.task_ends.add_unsent(end),
        }
    }

    /// The connections on which to send notifications about a task whose request came on `requested_on`; empty if no
    /// connection is suitable.
    pub(crate) fn notification_connections(&self, requested_on: ConnId) -> Vec<ConnId> {
        if self
            .clients
            .get(&requested_on)
            .is_some_and(|client| client.is_usable())
        {
            return vec![requested_on];
        }
        let usable = self.clients.iter().filter(|(_, client)| client.is_usable());
        decide::choose_routes(usable.map(|(conn, client)| {
            let route = NotificationRoute {
                ownership: client.ownership,
                sent_valid_request: client.sent_valid_request,
                last_received: client.last_received,
            };
            (*conn, route)
        }))
    }

    /// Records that a host has sent something about a task whose request came on this connection.
    pub(crate) fn confirm_ownership(&mut self, conn: ConnId) {
        if let Some(client) = self.clients.get_mut(&conn) {
            client.ownership = TaskOwnership::Confirmed;
        }
    }

    /// Tries again to send the ends for which there was no connection.
    pub(super) fn send_unsent_ends(&mut self, now: Micros) {
        for end in self.task_ends.take_unsent() {
            self.notify_task_end(now, end);
        }
    }

    /// Sends the ends again that were sent on a connection shortly before it closed, as the client may not have
    /// received them.
    pub(super) fn resend_task_ends(&mut self, now: Micros, closed: ConnId) {
        for end in self.task_ends.take_sent_on(closed) {
            self.notify_task_end(now, end);
        }
    }
}
