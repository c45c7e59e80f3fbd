//! What can be wrong with what clients and discovery send.

use std::io;
use std::net::SocketAddr;

use reedring_platform_protocol::client::{MessageError, Unreadable};
use reedring_platform_protocol::discovery;

/// Why a client's input can't be split into messages. Nothing more is read from that connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientReadError {
    /// The length field of a message is out of bounds.
    #[error(transparent)]
    InvalidLength(#[from] Unreadable),
    /// A message began and did not end in time.
    #[error("a message did not end in time")]
    Incomplete,
}

/// Why a client's message is rejected. It is answered with a failure.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The message can be delimited but not decoded.
    #[error(transparent)]
    InvalidMessage(#[from] MessageError),
    /// Its class is not one of the settings.
    #[error("no class {0:?} in the settings")]
    UnknownClass(String),
    /// The settings have tenants and it names none.
    #[error("no tenant is named")]
    MissingTenant,
    /// Its tenant is not one of the settings.
    #[error("no tenant {0:?} in the settings")]
    UnknownTenant(String),
    /// It asks for more than any machine can accept, or for nothing.
    #[error("no machine has {cores} cores and {memory} of memory")]
    ImpossibleSize {
        /// Cores it asks for.
        cores: f64,
        /// Memory it asks for.
        memory: f64,
    },
    /// A request under its id is open or its task runs.
    #[error("this id is in use")]
    IdInUse,
}

/// Why a poll of discovery failed. The last known endpoint list stays in use and discovery is polled again.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The process has no file descriptor left for a new socket.
    #[error("no file descriptor is left for a connection to discovery")]
    NoDescriptor,
    /// The connection could not be made.
    #[error("{address}: {error}")]
    Connect {
        /// The address of discovery.
        address: SocketAddr,
        /// What went wrong.
        error: io::Error,
    },
    /// The HTTP exchange failed.
    #[error("{address}: {error}")]
    Http {
        /// The address of discovery.
        address: SocketAddr,
        /// What went wrong.
        error: hyper::Error,
    },
    /// The request could not be made.
    #[error("the request is invalid: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(hyper::StatusCode),
    /// The body broke off or exceeds the limit.
    #[error("the body can't be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The body is no valid response.
    #[error(transparent)]
    Response(#[from] discovery::Error),
    /// No response came in time.
    #[error("no answer within {limit_ms} ms")]
    Timeout {
        /// The limit, in milliseconds.
        limit_ms: u128,
    },
}
