//! Counters of messages and bytes by message kind, for measurements on the placer's or the node's side of connections.

mod message_kind;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub use message_kind::MessageKind;

use crate::message::Message;

/// A number of messages and their total size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Number of messages.
    pub messages: u64,
    /// Total length of their frames, in bytes.
    pub bytes: u64,
}

/// The count of each message kind, in the order of [`MessageKind::ALL`].
pub type Counts = [Count; MessageKind::ALL.len()];

/// The counts of written and of read messages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// Messages that this side has written.
    pub written: Counts,
    /// Messages that this side has read.
    pub read: Counts,
}

/// Counters of the messages that one side, a placer or a node, has written and read on one or more connections. Several
/// threads may update them concurrently.
#[derive(Debug, Default)]
pub struct Traffic {
    written: [Counter; MessageKind::ALL.len()],
    read: [Counter; MessageKind::ALL.len()],
}

impl Traffic {
    /// Counts a message that this side wrote; `bytes` is the length of its frame.
    pub fn record_written(&self, message: &Message, bytes: usize) {
        self.written[MessageKind::of(message) as usize].add(bytes);
    }

    /// Counts a message that this side read; `bytes` is the length of its frame.
    pub fn record_read(&self, message: &Message, bytes: usize) {
        self.read[MessageKind::of(message) as usize].add(bytes);
    }

    /// The current counts. Each counter is read separately, so the counts may differ by messages that are being
    /// counted.
    pub fn counts(&self) -> TrafficCounts {
        TrafficCounts {
            written: std::array::from_fn(|kind| self.written[kind].count()),
            read: std::array::from_fn(|kind| self.read[kind].count()),
        }
    }
}

#[derive(Debug, Default)]
struct Counter {
    messages: AtomicU64,
    bytes: AtomicU64,
}

impl Counter {
    fn add(&self, bytes: usize) {
        self.messages.fetch_add(1, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn count(&self) -> Count {
        Count {
            messages: self.messages.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }
}

/// The name of a peer and the counters of the connections with it.
#[derive(Clone, Debug)]
pub struct PeerCounters {
    /// The peer's name.
    pub peer: String,
    /// The counters of all connections with the peer.
    pub traffic: Arc<Traffic>,
}

/// The counters of one side, a placer or a node, for each of its peers by the peer's name.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    peers: Mutex<BTreeMap<String, Arc<Traffic>>>,
}

impl PeerTraffic {
    /// The counters of the connections with this peer, created on the first call. A connection calls this once and
    /// keeps the result, because each call locks the map.
    pub fn of(&self, peer: &str) -> Arc<Traffic> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(peer.to_owned()).or_default())
    }

    /// The counters of every peer for which [`PeerTraffic::of`] was called, ordered by name.
    pub fn peers(&self) -> Vec<PeerCounters> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let counters = peers.iter().map(|(peer, traffic)| PeerCounters {
            peer: peer.clone(),
            traffic: Arc::clone(traffic),
        });
        counters.collect()
    }
}
