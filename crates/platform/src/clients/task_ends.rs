//! Notification of task ends: the connection on which each is sent.

use reedring::Micros;
use reedring_platform_protocol::client::ToClient;

use crate::decide::{self, NotificationRoute};
use crate::ids::ConnId;
use crate::state::{Engine, TaskEnd};

impl Engine {
    /// Notifies a client of the end of a task. Without a usable connection, the end is kept and sent later.
    pub(crate) fn notify_task_end(&mut self, now: Micros, end: TaskEnd) {
        match self.notification_connection(end.requested_on) {
            Some(conn) => {
                self.send_to_client(conn, ToClient::failure(end.id, end.cause));
                self.task_ends.add_sent(now, conn, end);
            }
            None => self.task_ends.add_unsent(end),
        }
    }

    /// The connection on which to send notifications about a task whose request came on `requested_on`; `None` if no
    /// connection is suitable.
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
                owns_tasks: client.owns_tasks,
                sent_valid_request: client.sent_valid_request,
                last_received: client.last_received,
            };
            (*conn, route)
        }))
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
