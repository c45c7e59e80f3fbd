//! Responses of the discovery service: watch events that change the endpoint list of hosts.

use std::net::SocketAddr;

use reedring::settings::Deployment as Settings;
use serde::Deserialize;

/// The response to a poll. Events are numbered from 1 at each start of a placer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct WatchResponse {
    /// The number of the latest event that discovery has.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The events after the one whose number the poll gave, in ascending order of their numbers.
    #[serde(rename = "notices")]
    pub events: Vec<WatchEvent>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// The number of the event.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The hosts that were added, changed or removed; `None` if the event does not change the endpoint list.
    #[serde(rename = "pool")]
    pub endpoints: Option<EndpointList>,
}

/// Entries of the endpoint list, one for each host.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointList {
    /// Whether these are the entries of all hosts, so that a host without an entry has left; else only the entries that
    /// changed.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The entries.
    pub hosts: Vec<HostEntry>,
}

/// A host of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    #[serde(rename = "host")]
    pub name: String,
    /// The address on which the host accepts placers.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of the host's zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// The name of the host's machine kind.
    #[serde(rename = "class")]
    pub kind: String,
    /// The number of the host's cell.
    #[serde(rename = "block")]
    pub cell: u16,
    /// Whether the host accepts tasks.
    pub health: HostHealth,
    /// When the host started, in Unix milliseconds; 0 if it started long ago.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: u64,
    /// Cores and memory that are not requested by any task, in this order; `None` if discovery does not report them.
    #[serde(rename = "room")]
    pub free: Option<[f64; 2]>,
}

/// Whether a host accepts tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostHealth {
    /// The host accepts tasks.
    Active,
    /// The host accepts no new tasks and finishes those that run.
    #[serde(rename = "leaving")]
    Draining,
    /// The host was removed.
    Left,
}

/// The names of zones and machine kinds in the settings; the index of a name is its number in the decision module.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the machine kinds.
    pub kinds: Vec<String>,
}

impl From<&Settings> for Names {
    fn from(settings: &Settings) -> Self {
        Self {
            zones: settings.zones.clone(),
            kinds: settings.kinds.clone(),
        }
    }
}

impl Names {
    /// The number of the zone with this name; `None` if the settings do not have it.
    pub fn zone(&self, name: &str) -> Option<u16> {
        number_of(&self.zones, name)
    }

    /// The number of the machine kind with this name; `None` if the settings do not have it.
    pub fn kind(&self, name: &str) -> Option<u16> {
        number_of(&self.kinds, name)
    }
}

/// The index of `name` in `names`; `None` if it is not there or the index exceeds 16 bits.
pub fn number_of(names: &[String], name: &str) -> Option<u16> {
    let position = names.iter().position(|other| other == name);
    position.and_then(|index| u16::try_from(index).ok())
}

/// Why a response of the discovery service is rejected. None of its events is applied then.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The response is not JSON, or a key is missing or has a value of the wrong type.
    #[error("not a response of discovery: {0}")]
    Form(#[from] serde_json::Error),
    /// An event of the response is invalid.
    #[error("event {revision}: {error}")]
    Event {
        /// The number of the event.
        revision: u64,
        /// Why the event is invalid.
        error: EventError,
    },
}

/// Why an event is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EventError {
    /// The event's number is not above that of the event before it, or exceeds the response's latest number.
    #[error("rev of the event is out of order, expected more than {previous} and at most {latest}")]
    OutOfOrder {
        /// The number of the event before it; 0 for the first event.
        previous: u64,
        /// The number of the latest event, as the response gives it.
        latest: u64,
    },
    /// A host's zone is not in the settings.
    #[error("host {host:?}: site {zone:?} is not a zone of the settings")]
    UnknownZone {
        /// The name of the host.
        host: String,
        /// The name of the zone.
        zone: String,
    },
    /// A host's machine kind is not in the settings.
    #[error("host {host:?}: class {kind:?} is not a machine kind of the settings")]
    UnknownKind {
        /// The name of the host.
        host: String,
        /// The name of the machine kind.
        kind: String,
    },
    /// A host's free cores or free memory is infinite or not a number.
    #[error("host {host:?}: room is {free:?}, expected two finite numbers")]
    InvalidFree {
        /// The name of the host.
        host: String,
        /// Free cores and free memory, as received.
        free: [f64; 2],
    },
}

impl WatchResponse {
    /// Parses and checks a response of discovery.
    ///
    /// # Errors
    /// If any part of it is invalid.
    pub fn read(text: &[u8], names: &Names) -> Result<Self, Error> {
        let response: Self = serde_json::from_slice(text)?;
        response.check(names)?;
        Ok(response)
    }

    /// Checks the order of the events, and the names and free resources of their hosts.
    ///
    /// # Errors
    /// If any of them is invalid.
    pub fn check(&self, names: &Names) -> Result<(), Error> {
        let (mut previous, latest) = (0, self.revision);
        for event in &self.events {
            let revision = event.revision;
            let invalid = |error| Error::Event { revision, error };
            if revision <= previous || revision > latest {
                return Err(invalid(EventError::OutOfOrder { previous, latest }));
            }
            previous = revision;
            for host in event.endpoints.iter().flat_map(|list| &list.hosts) {
                host.check(names).map_err(invalid)?;
            }
        }
        Ok(())
    }
}

impl HostEntry {
    fn check(&self, names: &Names) -> Result<(), EventError> {
        let host = || self.name.clone();
        if names.zone(&self.zone).is_none() {
            return Err(EventError::UnknownZone {
                host: host(),
                zone: self.zone.clone(),
            });
        }
        if names.kind(&self.kind).is_none() {
            return Err(EventError::UnknownKind {
                host: host(),
                kind: self.kind.clone(),
            });
        }
        let is_finite = |free: &[f64; 2]| free.iter().all(|amount| amount.is_finite());
        if let Some(free) = self.free.filter(|free| !is_finite(free)) {
            return Err(EventError::InvalidFree { host: host(), free });
        }
        Ok(())
    }
}
