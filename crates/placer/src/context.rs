//! What every task of a placer may read: who the placer is, and the configuration that it acts by.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use reedring_node_protocol::{PeerTraffic, VersionStamp};
use reedring_settings::Settings;

use crate::trace::PlacerTrace;

/// Shared by all tasks of one placer. Only the event loop changes it.
pub(crate) struct PlacerContext {
    /// The placer's name.
    pub name: String,
    /// This incarnation of the placer: its start, in microseconds since 1970.
    pub incarnation: u64,
    /// The time that connecting to a node may take, and each step of the handshake with it.
    pub connect_timeout: Duration,
    /// Where frames are recorded.
    pub trace: PlacerTrace,
    /// Counters of the messages on the links, by node.
    pub traffic: Option<Arc<PeerTraffic>>,
    active_config: Mutex<Option<VersionStamp>>,
}

impl PlacerContext {
    /// Of a placer with these settings. Until the core says otherwise it acts by the configuration in them, if they have
    /// one.
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

    /// Of a placer `p` without a configuration.
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

    fn locked_config(&self) -> MutexGuard<'_, Option<VersionStamp>> {
        self.active_config
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The configuration that the placer acts by; each hello to a node states it.
    pub fn active_config(&self) -> Option<VersionStamp> {
        *self.locked_config()
    }

    /// The placer acts by this configuration from now on.
    pub fn set_active_config(&self, stamp: VersionStamp) {
        *self.locked_config() = Some(stamp);
    }
}
