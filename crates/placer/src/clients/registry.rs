//! The open client connections.

use std::collections::BTreeMap;

use reedring_core::ConnectionId;
use reedring_drmaa::rpc::Response;

use crate::inbound::ResponseSender;

/// The response queue of each open client connection, by connection number. Owned by the event loop.
#[derive(Default)]
pub(crate) struct ClientRegistry {
    connections: BTreeMap<ConnectionId, ResponseSender>,
}

impl ClientRegistry {
    /// Adds the connection of a client, with the queue for its responses.
    pub fn add(&mut self, conn: ConnectionId, responses: ResponseSender) {
        self.connections.insert(conn, responses);
    }

    /// Removes the connection of a client that has disconnected.
    pub fn remove(&mut self, conn: ConnectionId) {
        self.connections.remove(&conn);
    }

    /// Queues a response for a client; drops it if the client has disconnected.
    pub fn respond(&self, conn: ConnectionId, response: Response) {
        if let Some(responses) = self.connections.get(&conn) {
            let _ = responses.send(response);
        }
    }
}
