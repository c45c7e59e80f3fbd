//! The inputs and outputs of the core.

use std::net::SocketAddr;

use reedring::Micros;
use reedring_drmaa::rpc::{Call, Response};
use reedring_node_protocol::{AcceptorReport, AttemptId, Message, VersionStamp};
use reedring_settings::{NodeList, Settings};
use reedring_state::{Batch, BeliefSnapshot};

use crate::event::Event;

/// The values that a core needs at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The current time of the monotonic clock whose times all inputs carry, in microseconds.
    pub now: Micros,
    /// The same time in microseconds since 1970.
    pub unix_us: u64,
    /// The number of this incarnation of the placer, different at each start.
    pub incarnation: u64,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
}

/// The number that the shell assigned to a client's connection.
pub type ConnectionId = u64;

/// An event that the shell reports to the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client sent a call.
    Call {
        /// The client's connection.
        conn: ConnectionId,
        /// The id of the call on that connection, which the response repeats.
        id: u64,
        /// The method and its arguments.
        call: Call,
    },
    /// A client's connection ended. The client is expected to repeat its unanswered calls on a new connection.
    ClientDisconnected(ConnectionId),
    /// The node list was read for the first time or has changed. It is complete: a node that is not in it is no longer
    /// listed.
    NodeListChanged(NodeList),
    /// The settings file has changed; these are its parsed and validated contents.
    SettingsChanged(Box<Settings>),
    /// The handshake with a node is done. The tasks that the node holds follow as messages.
    LinkUp {
        /// The name of the node in the node list.
        node: String,
        /// The name that the node reported in the handshake, which must be the same.
        reported_name: String,
        /// The incarnation of the node.
        incarnation: u64,
        /// Milliseconds since the node started.
        up_ms: u64,
        /// Whether the node can suspend tasks.
        can_suspend: bool,
        /// The node's stored configurations; `None` if the node uses version 1 of the protocol.
        report: Option<AcceptorReport>,
    },
    /// A message from a node. Messages of a connection are reported after its `LinkUp` and before its `LinkDown`.
    Message {
        /// The name of the node in the node list.
        node: String,
        /// The received message.
        message: Message,
    },
    /// A connection to a node ended, or could not be made.
    LinkDown {
        /// The name of the node in the node list.
        node: String,
        /// Why the connection ended or failed, for operators.
        reason: String,
    },
    /// The connection for these offers ended before they were written, so no node can have received them.
    OffersUnwritten(Vec<AttemptId>),
    /// All batches up to this number are durable in the state folder.
    Durable(u64),
    /// The state folder can't be written.
    StateUnavailable {
        /// Why the folder can't be written, for operators.
        reason: String,
        /// The folder carries a mark that records are missing, which the next incarnation will find.
        marked_incomplete: bool,
    },
    /// The state folder can be written again, and expects a batch with every row.
    StateAvailable,
    /// Only time has passed.
    Tick,
}

/// An action for the shell. Actions must be carried out in the order in which the core outputs them.
#[derive(Clone, Debug)]
pub enum Output {
    /// Send a response to a client.
    Reply {
        /// The client's connection.
        conn: ConnectionId,
        /// The response to send.
        response: Response,
    },
    /// Maintain a connection to this node: connect, do the handshake, and reconnect when the connection breaks.
    Connect {
        /// The name of the node in the node list.
        node: String,
        /// The address at which the node listens.
        address: SocketAddr,
        /// The zone of the node: its `hall` in the node list. Unresponsive nodes of a zone share a rate limit for
        /// connection attempts.
        zone: String,
    },
    /// The zone of a node changed in the node list; the connection stays as it is.
    ChangeZone {
        /// The name of the node in the node list.
        node: String,
        /// The new zone of the node.
        zone: String,
    },
    /// Close the connection to this node and do not reconnect.
    Disconnect {
        /// The name of the node in the node list.
        node: String,
    },
    /// Send a message on a node's connection. If the connection has ended meanwhile, the message is dropped.
    Send {
        /// The name of the node in the node list.
        node: String,
        /// The message to send.
        message: Message,
    },
    /// Write this batch to the state folder, after those before it, and report with [`Input::Durable`] when it is
    /// durable.
    Persist {
        /// The numbered batch of changes.
        batch: Batch,
        /// The batch contains every row, and replaces the contents of the state folder.
        is_rewrite: bool,
    },
    /// Replace the file with the beliefs of the decision module. No other output waits for this.
    PersistBeliefs(Box<BeliefSnapshot>),
    /// The configuration that the placer follows from now on, to be sent in its handshakes.
    ActiveConfiguration(VersionStamp),
    /// The settings in use from now on, to be used for reading the node list.
    Settings(Box<Settings>),
    /// Whether the placer is fenced from now on. A fenced placer accepts no new jobs until an operator acts.
    Fenced(bool),
    /// Log an event for operators.
    Event(Event),
}
