//! Why a link could not be established, and why an established one ended.

use std::io;
use std::net::SocketAddr;

use reedring_core::reconnect::ConnectFailure;
use reedring_node_protocol::FrameError;

/// Why a link to a node could not be established.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The connection was not accepted in time.
    #[error("connection to {0} timed out; check that the node runs and can be reached")]
    ConnectTimeout(SocketAddr),
    /// The connection was not accepted.
    #[error("connection to {address} failed: {error}")]
    Connect {
        /// The node's address.
        address: SocketAddr,
        /// What the system answered.
        error: io::Error,
    },
    /// The hello could not be sent.
    #[error("handshake failed: the hello could not be sent: {0}")]
    SendHello(io::Error),
    /// The node did not answer the hello in time.
    #[error("handshake timed out; check that a node listens at this address")]
    HandshakeTimeout,
    /// The node closed the connection on a hello of version 2. One that speaks version 1 alone does so.
    #[error("handshake failed: the node closed the connection on a hello of version 2")]
    HelloRejected,
    /// The node closed the connection on a hello of version 1.
    #[error("handshake failed: the node closed the connection before its welcome")]
    ClosedBeforeWelcome,
    /// The node's answer could not be read.
    #[error("handshake failed: the welcome could not be read: {0}")]
    ReadWelcome(io::Error),
    /// The node's answer was another message.
    #[error("handshake failed: the node answered the hello with another message than a welcome")]
    NoWelcome,
    /// The node's answer was no frame of the protocol.
    #[error("handshake failed: {0}")]
    Frame(#[from] FrameError),
    /// The node did not answer the version probe in time.
    #[error("handshake failed: the version probe timed out")]
    ProbeTimeout,
    /// The version probe showed that the node speaks version 2; the next hello uses it.
    #[error("version probe: the node speaks version 2; reconnecting")]
    SpeaksVersion2,
    /// The version probe showed that the node speaks version 1 alone; the next hello uses that.
    #[error("version probe: the node speaks version 1 alone; reconnecting")]
    SpeaksVersion1,
    /// The placer shuts down.
    #[error("the placer shuts down")]
    ShuttingDown,
}

impl ConnectError {
    /// How the failure counts for the next attempt.
    pub fn failure(&self) -> ConnectFailure {
        match self {
            Self::HelloRejected | Self::SpeaksVersion1 | Self::SpeaksVersion2 => {
                ConnectFailure::ClosedByNode
            }
            _ => ConnectFailure::NoAnswer,
        }
    }
}

/// Why an established link ended.
#[derive(Debug, thiserror::Error)]
pub(super) enum Disconnect {
    /// The node closed it.
    #[error("the node closed the link")]
    ClosedByNode,
    /// Reading or writing failed.
    #[error("the link failed: {0}")]
    Io(#[from] io::Error),
    /// The node sent what is no frame of the protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// Nobody sends on it any more.
    #[error("the placer closed the link")]
    ClosedByPlacer,
    /// The placer shuts down.
    #[error("the placer shuts down")]
    ShuttingDown,
}
