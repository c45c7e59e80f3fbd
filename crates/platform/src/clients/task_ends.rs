//! Notification of task ends: on which connection each is sent.

use reedring::Micros;
use reedring_platform_protocol::client::ToClient;

use crate::decide::{self, NotificationRoute};
use crate::ids::ConnId;
use crate::state::{Engine, TaskEnd};

impl Engine {
    /// Notifies a client that a task is over; without a connection for that, later.
    pub(crate) fn notify_task_end(&mut self, now: Micros, end: TaskEnd) {
        match self.notification_connection(end.requested_on) {
            Some(conn) => {
                self.send_to_client(conn, ToClient::failure(end.id, end.cause));
                self.task_ends.add_sent(now, conn, end);
            }
            None => self.task_ends.add_unsent(end),
        }
    }

    /// The connection on which the end of a task is notified whose request came on this one.
    pub(crate) fn notification_connection(&self, requested_on: ConnId) -> Option<ConnId> {
        if self
            .clients
            .get(&requested_on)
            .is_some_and(|client| client.is_usable())
        {
            return Some(requested_on);
        }
        let usable = self.clients.iter().filter(|(_, client)| client.is_usable());
        decide::choose_route(usable.map(|(conn, client)| {
            let route = NotificationRoute {
                was_answered: client.was_answered,
                sent_valid_request: client.sent_valid_request,
                last_received: client.last_received,
            };
            (*conn, route)
        }))
    }

    /// Sends the ends that found no connection, if there is one by now.
    pub(super) fn send_unsent_ends(&mut self, now: Micros) {
        for end in self.task_ends.take_unsent() {
            self.notify_task_end(now, end);
        }
    }

    /// Sends the ends again that may have crossed the close of their connection.
    pub(super) fn resend_task_ends(&mut self, now: Micros, closed: ConnId) {
        for end in self.task_ends.take_sent_on(closed) {
            self.notify_task_end(now, end);
        }
    }
}
