//! What bounds the engine: descriptors and memory.

use reedring_platform_protocol::config::Limits;

/// What bounds the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Connections of clients and to hosts together.
    pub all: usize,
    /// Connections of clients.
    pub clients: usize,
    /// Connections of clients beyond these, for as long as it takes to answer them.
    pub overflow: usize,
    /// So many of clients' connections are never used for hosts.
    pub reserved: usize,
    /// Connections to one host.
    pub links_each: usize,
    /// Bytes of set-ups that wait for their answer.
    pub waiting: usize,
}

impl Bounds {
    /// What the descriptors allow. A third is all that clients hold by the protocol, and is reserved for them with some
    /// more for those that just come and go. Who does not keep to that gets what hosts leave, up to a half.
    pub fn of(limits: &Limits) -> Self {
        let sockets = limits.sockets;
        let reserved = sockets / 3 + sockets / 16;
        let (all, clients, overflow) = (sockets - OWN_SOCKETS, sockets / 2, sockets / 16);
        // An eighth of the memory; outboxes may hold another.
        let waiting = (limits.memory_mb as usize * 1024 * 1024 / 8).max(64 * 1024);
        Self {
            all,
            clients,
            overflow,
            reserved,
            links_each: LINKS_EACH,
            waiting,
        }
    }

    /// Connections to hosts, beside so many of clients.
    pub fn links(&self, conns: usize) -> usize {
        self.all.saturating_sub(conns.max(self.reserved))
    }
}

/// Descriptors of the placer itself: standard streams, the runtime's, signals, listener, discovery, and a few
/// connections that are just being closed.
const OWN_SOCKETS: usize = 24;
/// Connections to one host: more set-ups than this wait there at once only in a jam.
const LINKS_EACH: usize = 6;
