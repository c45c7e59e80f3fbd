//! Data that every task of a placer may read: its identity and its active configuration.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reedring_node_protocol::{PeerTraffic, VersionStamp};
use reedring_settings::Settings;

use crate::trace::PlacerTrace;

/// Data shared by all tasks of one placer. Only the event loop changes it.
pub(crate) struct PlacerContext {
    /// The placer's name.
    pub name: String,
    /// Number of this start of the placer: its time in microseconds since 1970, or one more than the number of the last
    /// start if the clock went back.
    pub incarnation: u64,
    /// Time limit for the TCP connection to a node, and for each answer of the node during the handshake.
    pub connect_timeout: Duration,
    /// Records frames in the trace.
    pub trace: PlacerTrace,
    /// Counters of the messages on links, by node; `None` if they are not counted.
    pub traffic: Option<Arc<PeerTraffic>>,
    /// `None` while the placer has no configuration.
    active_config: Mutex<Option<VersionStamp>>,
}

impl PlacerContext {
    /// Creates the context of a placer. Its active configuration is that of its settings, if they have one, until the
    /// core activates another.
    pub fn new(
        settings: &Settings,
        incarnation: u64,
        trace: PlacerTrace,
        traffic: Option<Arc<PeerTraffic>>,
    ) -> Self {
        Self {
            name: settings.name.clone(),
            incarnation,
            connect_timeout: Duration::from_micros(settings.links.connect_us),
            trace,
            traffic,
            active_config: Mutex::new(reedring_core::first_stamp(settings)),
        }
    }

    /// Creates the context of a placer `p` without a configuration.
    #[cfg(test)]
    pub fn for_tests() -> Self {
        Self {
            name: "p".to_owned(),
            incarnation: 1,
            connect_timeout: Duration::from_secs(10),
            trace: PlacerTrace::new("p", None),
            traffic: None,
            active_config: Mutex::default(),
        }
    }

    fn lock_config(&self) -> MutexGuard<'_, Option<VersionStamp>> {
        self.active_config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration by which the placer acts, which each version 2 hello to a node names; `None` if it has none.
    pub fn active_config(&self) -> Option<VersionStamp> {
        *self.lock_config()
    }

    /// Sets the configuration by which the placer acts from now on.
    pub fn set_active_config(&self, stamp: VersionStamp) {
        *self.lock_config() = Some(stamp);
    }
}
