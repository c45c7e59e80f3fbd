//! The configuration of a placer: the platform's JSON file, checked whole.

use std::net::SocketAddr;

use reedring::settings::{self, Deployment as Settings};
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::discovery::{Names, WatchResponse};
use crate::hex;

/// What a placer is told when it starts.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where owners connect.
    pub listen: SocketAddr,
    /// Seed of its random numbers.
    pub seed: u64,
    /// What it may use.
    pub limits: Limits,
    /// Where the notice board is.
    pub board: SocketAddr,
    /// Events of the board up to now.
    pub known: WatchResponse,
    /// The settings of the module, and the names and times around them.
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
    board: SocketAddr,
    known: WatchResponse,
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// What is wrong with a configuration: the place and the fix.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is not in the platform's form.
    #[error("{0}; put it in the platform's form")]
    Form(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// The settings can't be read.
    #[error("settings.{0}; put them in the form of the simulator's first message")]
    Settings(settings::Error),
    /// The seed is none.
    #[error("seed: {0:?} is not 16 hex digits; give it as such")]
    Seed(String),
    /// The known events don't fit.
    #[error("known: {0}; give the board's events up to now")]
    Known(#[from] crate::discovery::Error),
    /// A limit leaves no room to work in.
    #[error("limits.sockets: {0} are too few; give at least {LEAST_SOCKETS}")]
    Sockets(usize),
}

/// Descriptors without which a placer can't work: its own, the board's, some of owners and of hosts.
pub const LEAST_SOCKETS: usize = 64;

impl Config {
    /// Reads a configuration.
    ///
    /// # Errors
    /// Where any part of it can't be used.
    pub fn read(text: &str) -> Result<Self, Error> {
        let file: File =
            serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(text))?;
        let settings = settings::read(file.settings.get()).map_err(Error::Settings)?;
        file.known.check(&Names::from(&settings))?;
        if file.limits.sockets < LEAST_SOCKETS {
            return Err(Error::Sockets(file.limits.sockets));
        }
        Ok(Self {
            seed: hex(&file.seed).ok_or(Error::Seed(file.seed))?,
            name: file.name,
            listen: file.listen,
            limits: file.limits,
            board: file.board,
            known: file.known,
            settings,
        })
    }
}
