//! Events for the operators' log. Each has a stable name in snake case and typed fields; `run::log` writes them.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::decide::HostLoss;
use crate::errors::{ClientReadError, DiscoveryError, Rejection};
use crate::ids::{ConnId, LinkId};

/// An event that operators may want to know. All events share one rate limit when they are written (`run::log`).
#[derive(Clone, Debug)]
pub enum LogEvent {
    /// A log message of the decision module.
    Module {
        /// The text of the message.
        message: String,
    },
    /// The decision module asked for a message to another placer, which the platform does not carry.
    UnsupportedAction,
    /// A client's input can't be split into messages; its connection is closed.
    ClientUnreadable {
        /// The client's connection.
        client: ConnId,
        /// Why the input can't be split.
        error: ClientReadError,
    },
    /// A client's message is rejected.
    ClientMessageRejected {
        /// The client's connection.
        client: ConnId,
        /// The id in the message.
        request: u64,
        /// Why the message is rejected.
        reason: Rejection,
    },
    /// A request fails at once because pending requests hold too much memory.
    PendingRequestsFull {
        /// The client's connection.
        client: ConnId,
        /// Bytes that pending requests hold.
        pending_bytes: usize,
    },
    /// A task that a client handed over is no longer tracked, as hosts have confirmed none of too many such tasks.
    UnconfirmedTasksFull {
        /// The connection on which the last task was handed over.
        client: ConnId,
        /// How many tasks are unconfirmed.
        unconfirmed_tasks: usize,
    },
    /// All tasks of a host are lost.
    HostTasksLost {
        /// The host's name.
        host: String,
        /// How many tasks ran there.
        tasks: usize,
        /// Why the tasks are lost.
        reason: HostLoss,
    },
    /// A host has not confirmed that it stops a task, however often it was asked.
    StopUnconfirmed {
        /// The request's id on the wire.
        request: u64,
    },
    /// Discovery can't be polled, or its answer is invalid.
    DiscoveryFailed {
        /// Why the poll failed.
        error: Arc<DiscoveryError>,
    },
    /// The placer was asked to shut down.
    ShutdownRequested {
        /// How many requests wait for their final answer.
        open_requests: usize,
        /// How many tasks run.
        running_tasks: usize,
    },
    /// A connection to a host failed for a reason other than a refusal or a timeout.
    LinkConnectFailed {
        /// The host's address.
        address: SocketAddr,
        /// The error of the connection attempt.
        error: Arc<std::io::Error>,
    },
    /// A host's input can't be read; the link is closed.
    LinkUnreadable {
        /// The link to the host.
        link: LinkId,
        /// Why the input can't be read.
        error: reedring_platform_protocol::host::Unreadable,
    },
    /// Too many bytes wait to be written; the connection with the most is closed.
    WriteBufferLimit {
        /// The connection that is closed.
        peer: Peer,
        /// Bytes that wait to be written to that connection.
        pending_bytes: usize,
    },
}

/// The other end of a connection of the placer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// A client, by its connection.
    Client(ConnId),
    /// A host, by its link.
    Host(LinkId),
}

impl std::fmt::Display for Peer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Client(conn) => write!(f, "client {conn}"),
            Self::Host(link) => write!(f, "link {link}"),
        }
    }
}
