//! The configuration of a placer: the platform's JSON file, read and checked whole.

use std::net::SocketAddr;

use reedring::settings::{self, Deployment as Settings};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::{Names, WatchResponse};
use crate::hex;

/// The configuration of a placer.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// Its limits.
    pub limits: Limits,
    /// Where the discovery service listens.
    pub discovery: SocketAddr,
    /// Events of discovery up to now.
    pub known: WatchResponse,
    /// The settings of the decision module, and the names and times around them.
    pub settings: Settings,
}

/// What a placer may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Cores.
    pub cores: f64,
    /// Megabytes of memory.
    pub memory_mb: u64,
    /// File descriptors.
    pub sockets: usize,
}

#[derive(Deserialize)]
struct File<'a> {
    name: String,
    listen: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(rename = "board")]
    discovery: SocketAddr,
    known: WatchResponse,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// What is wrong with a configuration, with the place and the fix.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is no JSON of the platform's form.
    #[error("{0}; put it in the platform's form")]
    Form(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The settings are invalid.
    #[error("settings.{0}; put them in the form of the simulator's first message")]
    Settings(settings::Error),
    /// The seed is malformed.
    #[error("seed: {0:?} is not 16 hex digits; give it as such")]
    Seed(String),
    /// The known events are invalid.
    #[error("known: {0}; give the events of discovery up to now")]
    Known(#[from] crate::discovery::Error),
    /// There are too few file descriptors.
    #[error("limits.sockets: {0} are too few; give at least {MIN_SOCKETS}")]
    Sockets(usize),
}

/// File descriptors that a placer needs at least: its own, discovery's, some of clients and of hosts.
pub const MIN_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    /// If any part of it is invalid.
    pub fn read(text: &str) -> Result<Self, Error> {
        let file: File =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
        let settings = settings::read(file.settings.get()).map_err(Error::Settings)?;
        file.known.check(&Names::from(&settings))?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(Error::Sockets(file.limits.sockets));
        }
        Ok(Self {
            seed: hex(&file.seed).ok_or(Error::Seed(file.seed))?,
            name: file.name,
            listen: file.listen,
            limits: file.limits,
            discovery: file.discovery,
            known: file.known,
            settings,
        })
    }
}
