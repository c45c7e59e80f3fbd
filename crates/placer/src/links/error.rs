//! Reasons why a link could not be established, or why an established link ended.

use std::io;
use std::net::SocketAddr;

use reedring_core::reconnect::ConnectFailure;
use reedring_node_protocol::FrameError;

/// Why a link to a node could not be established.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// The node did not accept the TCP connection within the connect timeout.
    #[error("connection to {0} timed out; check that the node runs and can be reached")]
    ConnectTimeout(SocketAddr),
    /// The TCP connection failed, for example because the node's host refused it.
    #[error("connection to {address} failed: {error}")]
    Connect {
        /// Address of the node in the node list.
        address: SocketAddr,
        /// Error of the operating system.
        error: io::Error,
    },
    /// Writing the hello failed.
    #[error("handshake failed: the hello could not be sent: {0}")]
    SendHello(io::Error),
    /// The node did not answer the hello within the connect timeout.
    #[error("handshake timed out; check that a node listens at this address")]
    HandshakeTimeout,
    /// The node closed the connection after a version 2 hello, as a node does that supports only version 1.
    #[error("handshake failed: the node closed the connection after a version 2 hello")]
    HelloRejected,
    /// The node closed the connection after a version 1 hello.
    #[error("handshake failed: the node closed the connection before it sent a welcome")]
    ClosedBeforeWelcome,
    /// Reading the node's answer to the hello failed.
    #[error("handshake failed: the welcome could not be read: {0}")]
    ReadWelcome(io::Error),
    /// The node answered the hello with a message other than a welcome.
    #[error("handshake failed: the node answered the hello with a message other than a welcome")]
    UnexpectedAnswer,
    /// The node's answer is not a valid frame of the node protocol.
    #[error("handshake failed: {0}")]
    Frame(#[from] FrameError),
    /// The node did not answer the version probe within the connect timeout.
    #[error("handshake failed: the version probe timed out")]
    ProbeTimeout,
    /// The version probe showed that the node supports version 2, which the next hello uses.
    #[error("version probe: the node supports version 2; reconnecting")]
    SpeaksVersion2,
    /// The version probe showed that the node supports only version 1, which the next hello uses.
    #[error("version probe: the node supports only version 1; reconnecting")]
    SpeaksVersion1,
    /// The placer is shutting down.
    #[error("the placer is shutting down")]
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
    /// The node closed the connection.
    #[error("the node closed the link")]
    ClosedByNode,
    /// Reading from or writing to the connection failed.
    #[error("the link failed: {0}")]
    Io(#[from] io::Error),
    /// The node sent bytes that are not a valid frame of the node protocol.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The placer no longer keeps this link: the sender of its message queue was dropped.
    #[error("the placer closed the link")]
    ClosedByPlacer,
    /// The placer is shutting down.
    #[error("the placer is shutting down")]
    ShuttingDown,
}
