//! Counters of messages and bytes by kind of message, for measurements at either end of a connection.

mod message_kind;

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

pub use message_kind::MessageKind;

use crate::message::Message;

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Messages.
    pub messages: u64,
    /// Bytes of their frames.
    pub bytes: u64,
}

/// Counts of each kind, in the order of [`MessageKind::ALL`].
pub type Counts = [Count; MessageKind::ALL.len()];

/// Counts of both directions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrafficCounts {
    /// What this end has written.
    pub written: Counts,
    /// What this end has read.
    pub read: Counts,
}

/// Counters of what one end has written and read, over one connection or several. Many tasks may count at once.
#[derive(Debug, Default)]
pub struct Traffic {
    written: [Counter; MessageKind::ALL.len()],
    read: [Counter; MessageKind::ALL.len()],
}

impl Traffic {
    /// Counts a message that this end wrote, with the bytes of its frame.
    pub fn record_written(&self, message: &Message, bytes: usize) {
        self.written[MessageKind::of(message) as usize].add(bytes);
    }

    /// Counts a message that this end read, with the bytes of its frame.
    pub fn record_read(&self, message: &Message, bytes: usize) {
        self.read[MessageKind::of(message) as usize].add(bytes);
    }

    /// The counts so far.
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

/// One peer and the counters of the connections with it.
#[derive(Clone, Debug)]
pub struct PeerCounters {
    /// The peer's name.
    pub peer: String,
    /// The counters.
    pub traffic: Arc<Traffic>,
}

/// The counters of one end by the name of its peer.
#[derive(Debug, Default)]
pub struct PeerTraffic {
    peers: Mutex<BTreeMap<String, Arc<Traffic>>>,
}

impl PeerTraffic {
    /// The counters of the connections with this peer. A connection asks for them once.
    pub fn of(&self, peer: &str) -> Arc<Traffic> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(peers.entry(peer.to_owned()).or_default())
    }

    /// The counters of every peer so far, ordered by name.
    pub fn peers(&self) -> Vec<PeerCounters> {
        let peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let counters = peers.iter().map(|(peer, traffic)| PeerCounters {
            peer: peer.clone(),
            traffic: Arc::clone(traffic),
        });
        counters.collect()
    }
}
