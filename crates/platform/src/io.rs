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

/// An event that the engine processes.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    ClientConnected(ConnId),
    /// A client sent a message, which may be invalid.
    ClientMessage(ConnId, Result<FromClient, InvalidMessage>),
    /// All messages read from a client at once have been passed on. If `has_more`, some of the client's input was not
    /// read yet: it may contain a cancellation or the end of the stream.
    ClientInputRead {
        /// The client's connection.
        conn: ConnId,
        /// Whether more input waits to be read.
        has_more: bool,
    },
    /// A client closed its sending side, although more of its input is to be read; it may still read.
    ClientEnding(ConnId),
    /// A client closed its sending side, and all of its input was read; it may still read.
    ClientEndOfStream(ConnId),
    /// A client's input can't be split into messages; nothing more is read from it.
    ClientUnreadable(ConnId, ClientReadError),
    /// A client's connection ended.
    ClientDisconnected(ConnId),
    /// A link is established.
    LinkUp(LinkId),
    /// A host sent a message.
    HostMessage(LinkId, FromHost),
    /// A link ended, or could not be established. Each link ends once, also one that the engine closed.
    LinkDown {
        /// The link, which is not used again.
        link: LinkId,
        /// How the link ended.
        end: LinkEnd,
        /// How many of the link's messages were written to the socket at least in part. None is written after they were
        /// counted, although the engine may send more on the link until it handles this input.
        messages_begun: u64,
    },
    /// Discovery answered a poll.
    DiscoveryUpdate(WatchResponse),
    /// Discovery can't be polled, or its answer is invalid. Of several failures in a row only the first is reported.
    DiscoveryFailed(Arc<DiscoveryError>),
    /// The placer is asked to shut down.
    Terminate,
}

/// An operation for the shell to carry out. Outputs are carried out in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Write a message to a client.
    ToClient(ConnId, ToClient),
    /// Close a client's connection once everything is written.
    CloseClient(ConnId),
    /// Close a client's connection unless the client has sent something that was not read yet.
    CloseIdleClient(ConnId),
    /// Connect a link to a host at this address.
    Connect(LinkId, SocketAddr),
    /// Write a message to a host.
    ToHost(LinkId, ToHost),
    /// Close a link, and give up whatever is in flight on it. What its host sends until it learns of that is still passed
    /// on, and then [`Input::LinkDown`].
    CloseLink(LinkId),
    /// Accept no new connections any more.
    StopListening,
    /// No request is open, and the time for which the placer must stay is over: it may exit if no input waits.
    /// Otherwise this output is repeated after that input.
    MayExit,
    /// Write an event to the operators' log.
    Log(LogEvent),
}
