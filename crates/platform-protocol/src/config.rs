//! The configuration of a placer, from the platform's JSON file.

use std::net::SocketAddr;

use reedring::settings::{self, Deployment as Settings};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::{Names, WatchResponse};
use crate::hex;

/// The configuration of a placer.
#[derive(Clone, Debug)]
pub struct Config {
    /// The name of the placer.
    pub name: String,
    /// The address on which the placer accepts clients.
    pub listen: SocketAddr,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// The resources that the placer's process may use.
    pub limits: Limits,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The events of discovery up to the time at which the file was written.
    pub known: WatchResponse,
    /// The settings of the deployment, which include those of the decision module.
    pub settings: Settings,
}

/// The resources that a placer's process may use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
pub struct Limits {
    /// Processor cores.
    pub cores: f64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// The number of file descriptors.
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

/// Why a configuration is rejected. The text names the key and what is expected there.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The text is not JSON, or a key is missing or has a value of the wrong type.
    #[error("{0}; expected the platform's JSON configuration of a placer")]
    Form(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// A key below `settings` is missing or invalid.
    #[error("settings.{0}; expected the settings in the form of the simulator's first message")]
    Settings(settings::Error),
    /// The seed is not 16 hexadecimal digits.
    #[error("seed: {0:?} is not 16 hexadecimal digits")]
    Seed(String),
    /// An event below `known` is invalid.
    #[error("known: {0}; expected the events of discovery up to now")]
    Known(#[from] crate::discovery::Error),
    /// Fewer than [`MIN_SOCKETS`] file descriptors are allowed.
    #[error("limits.sockets: {0} are too few; give at least {MIN_SOCKETS}")]
    Sockets(usize),
}

/// The minimum number of file descriptors: those of the process itself, of the connection to discovery, and some
/// connections of clients and to hosts.
pub const MIN_SOCKETS: usize = 64;

impl Config {
    /// Parses and checks the configuration in `text`.
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
