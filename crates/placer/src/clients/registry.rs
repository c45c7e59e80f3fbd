//! The connections of clients that are open.

use std::collections::BTreeMap;

use reedring_core::ConnectionId;
use reedring_drmaa::rpc::Response;

use crate::inbound::ResponseSender;

/// Open connections by number, for the responses. The event loop owns it.
#[derive(Default)]
pub(crate) struct ClientRegistry {
    connections: BTreeMap<ConnectionId, ResponseSender>,
}

impl ClientRegistry {
    /// A client has connected.
    pub fn add(&mut self, conn: ConnectionId, responses: ResponseSender) {
        self.connections.insert(conn, responses);
    }

    /// A client has disconnected.
    pub fn remove(&mut self, conn: ConnectionId) {
        self.connections.remove(&conn);
    }

    /// Queues a response for a client; one that has disconnected gets none.
    pub fn respond(&self, conn: ConnectionId, response: Response) {
        if let Some(responses) = self.connections.get(&conn) {
            let _ = responses.send(response);
        }
    }
}
