//! Errors in the input from clients and discovery.

use std::io;
use std::net::SocketAddr;

use reedring_platform_protocol::client::{MessageError, Unreadable};
use reedring_platform_protocol::discovery;

/// Why a client's input can't be split into messages. Nothing more is read from its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ClientReadError {
    /// The length field of a message is out of bounds.
    #[error(transparent)]
    InvalidLength(#[from] Unreadable),
    /// A message was not complete in time after its first bytes.
    #[error("a message was not complete in time")]
    Incomplete,
}

/// Why a client's message is rejected. It is answered with a failure.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Rejection {
    /// The message can be delimited but not decoded.
    #[error(transparent)]
    InvalidMessage(#[from] MessageError),
    /// The request's class is not in the settings.
    #[error("no class {0:?} in the settings")]
    UnknownClass(String),
    /// The request names no tenant although the settings have tenants.
    #[error("no tenant is named, and the settings have tenants")]
    MissingTenant,
    /// The request's tenant is not in the settings.
    #[error("no tenant {0:?} in the settings")]
    UnknownTenant(String),
    /// The task needs more cores or memory than any machine can accept, or neither cores nor memory.
    #[error("no machine can accept a task of {cores} cores and {memory} of memory")]
    ImpossibleSize {
        /// Cores that the task needs.
        cores: f64,
        /// Memory that the task needs.
        memory: f64,
    },
    /// A request with this id is open, its task runs, or an attempt of it is still in flight.
    #[error("the id is in use by another request")]
    IdInUse,
}

/// Why a poll of discovery failed. The last known endpoint list stays in use and discovery is polled again.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// No file descriptor is left for a new socket.
    #[error("no file descriptor is left for a connection to discovery")]
    NoDescriptor,
    /// The connection to discovery failed.
    #[error("{address}: {error}")]
    Connect {
        /// The address of discovery.
        address: SocketAddr,
        /// The error of the connection attempt.
        error: io::Error,
    },
    /// The HTTP exchange failed.
    #[error("{address}: {error}")]
    Http {
        /// The address of discovery.
        address: SocketAddr,
        /// The error of the exchange.
        error: hyper::Error,
    },
    /// The HTTP request could not be built.
    #[error("the HTTP request could not be built: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response has a status other than 200.
    #[error("HTTP status {0}, expected 200 OK")]
    Status(hyper::StatusCode),
    /// The body of the response is incomplete or exceeds the size limit.
    #[error("the body can't be read: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    /// The body is not a valid response of discovery.
    #[error(transparent)]
    Response(#[from] discovery::Error),
    /// No response arrived in time.
    #[error("no response within {limit_ms} ms")]
    Timeout {
        /// The time limit, in milliseconds.
        limit_ms: u128,
    },
}
