//! Events of the notice board: the list of hosts, and changes of it.

use std::net::SocketAddr;

use reedring::settings::Deployment as Settings;
use serde::Deserialize;

/// Events, numbered from 1 at each start of a placer.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct WatchResponse {
    /// The number of the last one.
    pub rev: u64,
    /// Those that were not told yet, in order.
    pub notices: Vec<WatchEvent>,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct WatchEvent {
    /// Its number.
    pub rev: u64,
    /// What it says of the list of hosts.
    pub pool: Option<EndpointList>,
}

/// What an event says of the list of hosts.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct EndpointList {
    /// It is the whole list; a host that it lacks is gone.
    pub whole: bool,
    /// Its lines.
    pub hosts: Vec<Entry>,
}

/// A line of the list.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Entry {
    /// The host's id.
    pub host: String,
    /// Where it listens.
    pub dial: SocketAddr,
    /// Its zone's name.
    pub site: String,
    /// Its kind's name.
    pub class: String,
    /// Its cell.
    pub block: u16,
    /// Whether it takes tasks.
    pub health: State,
    /// Unix milliseconds of a late start; 0 for long ago.
    #[serde(default)]
    pub born_ms: u64,
    /// Cores and memory that nobody asked for.
    pub room: Option<[f64; 2]>,
}

/// Whether a host takes tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It takes tasks.
    Active,
    /// It wraps up its work.
    Leaving,
    /// It was removed.
    Left,
}

/// Names that lines use, by number.
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
        number(&self.zones, name)
    }

    /// The number of a kind.
    pub fn kind(&self, name: &str) -> Option<u16> {
        number(&self.kinds, name)
    }
}

/// The position of a name in its list.
pub fn number(names: &[String], name: &str) -> Option<u16> {
    names
        .iter()
        .position(|other| other == name)
        .and_then(|at| u16::try_from(at).ok())
}

/// What can't be used of the board's answer; nothing of it is.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is not in the board's form.
    #[error("not in the board's form: {0}")]
    Form(#[from] serde_json::Error),
    /// A number, name or figure in it does not fit.
    #[error("event {rev}: {what}")]
    Event {
        /// The event.
        rev: u64,
        /// What does not fit.
        what: String,
    },
}

impl WatchResponse {
    /// Reads an answer of the board whole.
    ///
    /// # Errors
    /// Where any part of it does not fit.
    pub fn read(text: &[u8], names: &Names) -> Result<Self, Error> {
        let told: Self = serde_json::from_slice(text)?;
        told.check(names)?;
        Ok(told)
    }

    /// Checks what the form alone does not.
    ///
    /// # Errors
    /// Where a number, name or figure does not fit.
    pub fn check(&self, names: &Names) -> Result<(), Error> {
        let mut last = 0;
        for notice in &self.notices {
            let wrong = |what: String| Error::Event {
                rev: notice.rev,
                what,
            };
            if notice.rev <= last || notice.rev > self.rev {
                return Err(wrong("its number is out of order".to_owned()));
            }
            last = notice.rev;
            for entry in notice.pool.iter().flat_map(|pool| &pool.hosts) {
                if names.zone(&entry.site).is_none() {
                    return Err(wrong(format!("{}: no site {:?}", entry.host, entry.site)));
                }
                if names.kind(&entry.class).is_none() {
                    return Err(wrong(format!("{}: no class {:?}", entry.host, entry.class)));
                }
                if entry
                    .room
                    .is_some_and(|room| !room.iter().all(|left| left.is_finite()))
                {
                    return Err(wrong(format!("{}: room is no figure", entry.host)));
                }
            }
        }
        Ok(())
    }
}
