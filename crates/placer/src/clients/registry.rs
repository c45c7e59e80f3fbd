//! The connections of clients that are open.

use std::collections::BTreeMap;

use reedring_core::ConnId;
use reedring_drmaa::rpc::Response;

use crate::inbound::ResponseSender;

/// Open connections by number, for the responses. The event loop owns it.
#[derive(Default)]
pub(crate) struct ClientRegistry {
    connections: BTreeMap<ConnId, ResponseSender>,
}

impl ClientRegistry {
    /// A client has connected.
    pub fn add(&mut self, conn: ConnId, responses: ResponseSender) {
        self.connections.insert(conn, responses);
    }

    /// A client has disconnected.
    pub fn remove(&mut self, conn: ConnId) {
        self.connections.remove(&conn);
    }

    /// Queues a response for a client; one that has disconnected gets none.
    pub fn respond(&self, conn: ConnId, response: Response) {
        if let Some(responses) = self.connections.get(&conn) {
            let _ = responses.send(response);
        }
    }
}
