//! What the engine is told and what it answers.

use std::net::SocketAddr;

use reedring_platform_protocol::client::{FromClient, InvalidMessage, ToClient};
use reedring_platform_protocol::discovery::WatchResponse;
use reedring_platform_protocol::host::{FromHost, ToHost};

use crate::decide::Down;

/// A client's connection, as the shell numbers it.
pub type ConnId = u64;
/// A connection to a host, as the engine numbers it.
pub type LinkId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client connected.
    ClientCame(ConnId),
    /// A client's message, or one that can't be used.
    Client(ConnId, Result<FromClient, InvalidMessage>),
    /// All that a client had said was read, or (`more`) some of it still waits to be: a cancel or the end may be
    /// among that.
    ClientRead {
        /// The connection.
        conn: ConnId,
        /// More waits to be read.
        more: bool,
    },
    /// A client will say nothing more on its connection, and may still read.
    ClientEnded(ConnId),
    /// A client said what can't be read, in words; nothing more is read from it.
    ClientSpoilt(ConnId, String),
    /// A client's connection ended.
    ClientGone(ConnId),
    /// A connection to a host stands.
    LinkUp(LinkId),
    /// A host's message.
    Host(LinkId, FromHost),
    /// A connection to a host ended, or could not be made.
    LinkDown {
        /// The connection.
        link: LinkId,
        /// How.
        down: Down,
        /// Messages of which at least a byte left.
        begun: u64,
    },
    /// Discovery answered.
    Discovery(WatchResponse),
    /// Discovery can't be reached or understood.
    DiscoveryLost(String),
    /// The placer is to end.
    Terminate,
}

/// Something to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Write to a client.
    ToClient(ConnId, ToClient),
    /// Close a client's connection once all is written.
    CloseClient(ConnId),
    /// Close a client's connection if it said nothing that was not read yet: else that goes on.
    CloseIdleClient(ConnId),
    /// Connect to a host.
    Connect(LinkId, SocketAddr),
    /// Write to a host, as soon as the connection stands.
    ToHost(LinkId, ToHost),
    /// Close a connection to a host.
    CloseLink(LinkId),
    /// Take no new connections any more.
    StopListening,
    /// All that was taken in is answered: the placer may end if nothing more waits to be taken in; else it is said
    /// again.
    Finished,
    /// A line for the staff.
    Log(String),
}
