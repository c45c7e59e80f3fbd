//! Limits of the engine on connections and memory.

use reedring_platform_protocol::config::Limits;

/// File descriptors that are not connections of clients or links: standard streams, runtime, signals, listener,
/// discovery, and a few connections that are being closed.
const NON_CONNECTION_DESCRIPTORS: usize = 24;
/// Maximum number of links to one host. More requests than this are pending at a host at the same time only if it is
/// overloaded.
const LINKS_PER_HOST: usize = 6;
/// Pending requests may hold the configured memory divided by this, and at least [`MIN_PENDING_BYTES`].
const PENDING_MEMORY_DIVISOR: usize = 8;
const MIN_PENDING_BYTES: usize = 64 * 1024;
/// Unconfirmed tasks may hold the configured memory divided by this.
const UNCONFIRMED_MEMORY_DIVISOR: usize = 8;
/// An upper bound of the memory of one unconfirmed task in all tables of the engine and the decision module.
const UNCONFIRMED_TASK_BYTES: usize = 1024;

/// Displaced tasks may hold the configured memory divided by this.
const DISPLACED_MEMORY_DIVISOR: usize = 32;
/// An upper bound of the memory of one displaced task.
const DISPLACED_TASK_BYTES: usize = 128;

/// Limits of the engine on connections and memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of clients' connections and links to hosts together.
    pub connections: usize,
    /// Maximum number of clients' connections.
    pub clients: usize,
    /// How many clients' connections beyond `clients` may be open for as long as it takes to answer their requests.
    pub client_overflow: usize,
    /// How many of `connections` are never used for links.
    pub reserved_for_clients: usize,
    /// Maximum number of links to one host.
    pub links_per_host: usize,
    /// Maximum size of the requests that wait for their answers, in bytes.
    pub pending_request_bytes: usize,
    /// Maximum number of tasks that clients handed over as running and of which no host has sent anything yet.
    pub unconfirmed_tasks: usize,
    /// Maximum number of tasks that were displaced by unconfirmed ones, of which just enough is kept to pass on their ends.
    pub displaced_tasks: usize,
}

impl Bounds {
    /// Derives the limits from the configured file descriptors and memory. By the protocol, clients use up to a third
    /// of the descriptors. This share is reserved for them, and a sixteenth more for connections that are being opened
    /// or closed. Clients that exceed their share get what links leave, up to half of the descriptors.
    pub fn from_limits(limits: &Limits) -> Self {
        let sockets = limits.sockets;
        let memory = limits.memory_mb as usize * 1024 * 1024;
        let pending = memory / PENDING_MEMORY_DIVISOR;
        let unconfirmed = memory / UNCONFIRMED_MEMORY_DIVISOR;
        Self {
            connections: sockets - NON_CONNECTION_DESCRIPTORS,
            clients: sockets / 2,
            client_overflow: sockets / 16,
            reserved_for_clients: sockets / 3 + sockets / 16,
            links_per_host: LINKS_PER_HOST,
            pending_request_bytes: pending.max(MIN_PENDING_BYTES),
            unconfirmed_tasks: unconfirmed / UNCONFIRMED_TASK_BYTES,
            displaced_tasks: memory / DISPLACED_MEMORY_DIVISOR / DISPLACED_TASK_BYTES,
        }
    }

    /// How many links there may be while there are this many clients' connections.
    pub fn links(&self, clients: usize) -> usize {
        self.connections
            .saturating_sub(clients.max(self.reserved_for_clients))
    }
}
