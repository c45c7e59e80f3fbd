//! Limits of the engine on connections and memory.

use reedring_platform_protocol::config::Limits;

/// File descriptors of the placer itself: standard streams, the runtime's, signals, listener, discovery, and a few
/// connections that are just being closed.
const OWN_DESCRIPTORS: usize = 24;
/// Links to one host: more requests than this wait there at once only when it is overloaded.
const LINKS_PER_HOST: usize = 6;
/// Pending requests may hold this part of the memory, and at least [`MIN_PENDING_BYTES`].
const PENDING_MEMORY_PART: usize = 8;
const MIN_PENDING_BYTES: usize = 64 * 1024;

/// Limits of the engine on connections and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients and links to hosts together.
    pub connections: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients beyond these, for as long as it takes to answer them.
    pub client_overflow: usize,
    /// So many of the connections are never used for links.
    pub reserved_for_clients: usize,
    /// Links to one host.
    pub links_per_host: usize,
    /// Bytes of requests that wait for their answer.
    pub pending_request_bytes: usize,
}

impl Bounds {
    /// What the descriptors and the memory allow. A third of the descriptors is all that clients use by the protocol,
    /// and is reserved for them with some more for those that just connect or close. Clients that do not keep to that
    /// get what links leave, up to a half.
    pub fn of(limits: &Limits) -> Self {
        let sockets = limits.sockets;
        let pending = limits.memory_mb as usize * 1024 * 1024 / PENDING_MEMORY_PART;
        Self {
            connections: sockets - OWN_DESCRIPTORS,
            clients: sockets / 2,
            client_overflow: sockets / 16,
            reserved_for_clients: sockets / 3 + sockets / 16,
            links_per_host: LINKS_PER_HOST,
            pending_request_bytes: pending.max(MIN_PENDING_BYTES),
        }
    }

    /// How many links there may be, beside so many connections of clients.
    pub fn links(&self, clients: usize) -> usize {
        self.connections
            .saturating_sub(clients.max(self.reserved_for_clients))
    }
}
