//! Inputs and outputs of the engine.

use std::net::SocketAddr;
use std::sync::Arc;

use reedring_platform_protocol::client::{FromClient, InvalidMessage, ToClient};
use reedring_platform_protocol::discovery::WatchResponse;
use reedring_platform_protocol::host::{FromHost, ToHost};

use crate::decide::LinkEnd;
use crate::errors::{ClientReadError, DiscoveryError};
use crate::ids::{ConnId, LinkId};
use crate::log_event::LogEvent;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    ClientConnected(ConnId),
    /// A client's message, or one that can't be decoded.
    ClientMessage(ConnId, Result<FromClient, InvalidMessage>),
    /// What was read of a client at once was passed on. If `has_more`, some of its input was not read yet: a
    /// cancellation or the end of the stream may be among that.
    ClientInputRead {
        /// The connection.
        conn: ConnId,
        /// More input waits to be read.
        has_more: bool,
    },
    /// A client closed its sending side; it may still read.
    ClientEndOfStream(ConnId),
    /// A client's input can't be read; nothing more is read from it.
    ClientUnreadable(ConnId, ClientReadError),
    /// A client's connection ended.
    ClientDisconnected(ConnId),
    /// A link is established.
    LinkUp(LinkId),
    /// A host's message.
    HostMessage(LinkId, FromHost),
    /// A link ended, or could not be made.
    LinkDown {
        /// The link.
        link: LinkId,
        /// How it ended.
        end: LinkEnd,
        /// Messages of which at least one byte was written to the socket.
        messages_begun: u64,
    },
    /// Discovery answered.
    DiscoveryUpdate(WatchResponse),
    /// Discovery can't be reached or understood.
    DiscoveryFailed(Arc<DiscoveryError>),
    /// The placer is to shut down.
    Terminate,
}

/// Something to do. Outputs are carried out in their order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write to a client.
    ToClient(ConnId, ToClient),
    /// Close a client's connection once all is written.
    CloseClient(ConnId),
    /// Close a client's connection unless it sent something that was not read yet.
    CloseIdleClient(ConnId),
    /// Connect to a host.
    Connect(LinkId, SocketAddr),
    /// Write to a host.
    ToHost(LinkId, ToHost),
    /// Close a link.
    CloseLink(LinkId),
    /// Accept no new connections any more.
    StopListening,
    /// No request is open, and the time for which the placer stays is over: it may exit if no further input waits. If
    /// some does, this output comes again after it.
    MayExit,
    /// An event for the operators' log.
    Log(LogEvent),
}
