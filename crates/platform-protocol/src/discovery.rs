//! The discovery service: the endpoint list of hosts, and watch events that change it.

use std::net::SocketAddr;

use reedring::settings::Deployment as Settings;
use serde::Deserialize;

/// The answer to a poll: events, numbered from 1 at each start of a placer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct WatchResponse {
    /// The number of the last event.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The events after the one that the poll named, in order.
    #[serde(rename = "notices")]
    pub events: Vec<WatchEvent>,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// Its number.
    #[serde(rename = "rev")]
    pub revision: u64,
    /// The endpoints that it concerns; `None` if it concerns none.
    #[serde(rename = "pool")]
    pub endpoints: Option<EndpointList>,
}

/// Endpoints of hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointList {
    /// It is a snapshot: a host that it lacks has left.
    #[serde(rename = "whole")]
    pub is_snapshot: bool,
    /// The hosts.
    pub hosts: Vec<HostEntry>,
}

/// A host of the endpoint list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct HostEntry {
    /// The host's name.
    #[serde(rename = "host")]
    pub name: String,
    /// Where it listens.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone's name.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its kind's name.
    #[serde(rename = "class")]
    pub kind: String,
    /// Its cell.
    #[serde(rename = "block")]
    pub cell: u16,
    /// Whether it takes tasks.
    pub health: HostHealth,
    /// Unix milliseconds of a late start; 0 for long ago.
    #[serde(default, rename = "born_ms")]
    pub started_at_ms: u64,
    /// Cores and memory that no task asked for.
    #[serde(rename = "room")]
    pub free: Option<[f64; 2]>,
}

/// Whether a host takes tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostHealth {
    /// It takes tasks.
    Active,
    /// It takes no new tasks and finishes its work.
    #[serde(rename = "leaving")]
    Draining,
    /// It was removed.
    Left,
}

/// Names that entries use, by number.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
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
    /// The number of a zone.
    pub fn zone(&self, name: &str) -> Option<u16> {
        number_of(&self.zones, name)
    }

    /// The number of a kind.
    pub fn kind(&self, name: &str) -> Option<u16> {
        number_of(&self.kinds, name)
    }
}

/// The position of a name in its list.
pub fn number_of(names: &[String], name: &str) -> Option<u16> {
    let position = names.iter().position(|other| other == name);
    position.and_then(|at| u16::try_from(at).ok())
}

/// Why an answer of the discovery service can't be used; nothing of it is.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is no JSON of the protocol's form.
    #[error("not in the form of discovery: {0}")]
    Form(#[from] serde_json::Error),
    /// An event is invalid.
    #[error("event {revision}: {error}")]
    Event {
        /// The event's number.
        revision: u64,
        /// What is wrong with it.
        error: EventError,
    },
}

/// What is wrong with an event.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    /// Its number is not between the one before and the last.
    #[error("its number is out of order")]
    OutOfOrder,
    /// A host's zone is not one of the settings.
    #[error("{host}: no site {zone:?}")]
    UnknownZone {
        /// The host.
        host: String,
        /// Its zone.
        zone: String,
    },
    /// A host's kind is not one of the settings.
    #[error("{host}: no class {kind:?}")]
    UnknownKind {
        /// The host.
        host: String,
        /// Its kind.
        kind: String,
    },
    /// A host's free resources are not finite.
    #[error("{host}: room is not finite")]
    InvalidFree {
        /// The host.
        host: String,
    },
}

impl WatchResponse {
    /// Reads an answer of discovery whole.
    ///
    /// # Errors
    /// If any part of it is invalid.
    pub fn read(text: &[u8], names: &Names) -> Result<Self, Error> {
        let response: Self = serde_json::from_slice(text)?;
        response.check(names)?;
        Ok(response)
    }

    /// Checks what the form alone does not ensure.
    ///
    /// # Errors
    /// If a number, name or figure is invalid.
    pub fn check(&self, names: &Names) -> Result<(), Error> {
        let mut last = 0;
        for event in &self.events {
            let revision = event.revision;
            let invalid = |error| Error::Event { revision, error };
            if revision <= last || revision > self.revision {
                return Err(invalid(EventError::OutOfOrder));
            }
            last = revision;
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
        let is_finite = |free: [f64; 2]| free.iter().all(|left| left.is_finite());
        if !self.free.is_none_or(is_finite) {
            return Err(EventError::InvalidFree { host: host() });
        }
        Ok(())
    }
}
