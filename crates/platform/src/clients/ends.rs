//! Ends of tasks that clients are to hear of: on which connection each is told, and for how long it is owed.

use reedring::Micros;
use reedring_platform_protocol::client::ToClient;

use crate::decide::{self, Route};
use crate::io::ConnId;
use crate::state::{End, Engine};

/// Ends are sent again if their connection ends this soon after.
const RESEND_END_US: Micros = 1_000_000;
/// An end that no client came to hear of in this time concerns nobody.
const OWED_US: Micros = 30_000_000;

impl Engine {
    /// Tells a client that a task is over.
    pub(crate) fn end_task(&mut self, now: Micros, home: ConnId, id: u64, cause: u8) {
        self.tell_end(
            now,
            End {
                at: now,
                home,
                id,
                cause,
            },
        );
    }

    fn tell_end(&mut self, now: Micros, end: End) {
        match self.route(end.home) {
            Some(conn) => {
                self.send_client(conn, ToClient::failure(end.id, end.cause));
                self.sent_ends
                    .insert(end.id, (conn, End { at: now, ..end }));
            }
            None => self.unsent_ends.push(end),
        }
    }

    /// The connection on which an end is told.
    pub(crate) fn route(&self, home: ConnId) -> Option<ConnId> {
        if self
            .conns
            .get(&home)
            .is_some_and(|conn| !conn.closing && !conn.leaving)
        {
            return Some(home);
        }
        let routes = self
            .conns
            .iter()
            .filter(|(_, conn)| !conn.closing && !conn.leaving)
            .map(|(id, conn)| {
                (
                    *id,
                    Route {
                        answered: conn.answered,
                        good: conn.good,
                        heard_at: conn.heard_at,
                    },
                )
            });
        decide::which_route(routes)
    }

    /// Ends that found no connection go out on the first that will do.
    pub(super) fn tell_owed(&mut self, now: Micros) {
        for end in std::mem::take(&mut self.unsent_ends) {
            self.tell_end(now, end);
        }
    }

    /// An end that was just written may have crossed the close.
    pub(super) fn resend_crossed_ends(&mut self, now: Micros, conn: ConnId) {
        let crossed: Vec<u64> = self
            .sent_ends
            .iter()
            .filter(|(_, (to, _))| *to == conn)
            .map(|(id, _)| *id)
            .collect();
        for id in crossed {
            if let Some((_, end)) = self.sent_ends.remove(&id) {
                self.tell_end(now, end);
            }
        }
    }

    /// Forgets ends that were heard or concern nobody any more.
    pub(super) fn forget_old_ends(&mut self, now: Micros) {
        self.unsent_ends.retain(|end| now < end.at + OWED_US);
        self.sent_ends
            .retain(|_, (_, end)| now < end.at + RESEND_END_US);
    }
}
