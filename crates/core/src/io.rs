//! What comes into the core, and what it puts out.

use std::net::SocketAddr;

use reedring::Micros;
use reedring_drmaa::rpc::{Call, Response};
use reedring_node_protocol::{AcceptorReport, AttemptId, Message, VersionStamp};
use reedring_settings::{NodeList, Settings};
use reedring_state::{Batch, BeliefSnapshot};

use crate::event::Event;

/// What a core needs at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The time of its clock, in microseconds; it never goes back.
    pub now: Micros,
    /// Microseconds since 1970 at that time.
    pub unix_us: u64,
    /// This incarnation of the placer: another number at each start.
    pub incarnation: u64,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
}

/// A client's connection, as the shell numbers it.
pub type ConnectionId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client calls.
    Call {
        /// Its connection.
        conn: ConnectionId,
        /// The id of the call on that connection.
        id: u64,
        /// The call.
        call: Call,
    },
    /// A client's connection ended; it will ask again for what it waited for.
    ClientDisconnected(ConnectionId),
    /// The whole node list. A node that is not in it is no longer listed.
    NodeListChanged(NodeList),
    /// The settings file has changed; it was read and checked as a whole.
    SettingsChanged(Box<Settings>),
    /// The handshake with a node is done. What it holds follows as messages.
    LinkUp {
        /// The node, by its name in the list.
        node: String,
        /// Its own name, which must be the same.
        reported_name: String,
        /// Its incarnation.
        incarnation: u64,
        /// Milliseconds since its start.
        up_ms: u64,
        /// It can suspend tasks.
        can_suspend: bool,
        /// What it stores of configurations; none where it speaks version 1 of the protocol.
        report: Option<AcceptorReport>,
    },
    /// A message of a node. Messages of a connection come after its `LinkUp` and before its `LinkDown`.
    Message {
        /// The node.
        node: String,
        /// The message.
        message: Message,
    },
    /// A connection to a node ended, or could not be made.
    LinkDown {
        /// The node.
        node: String,
        /// Why, for operators.
        reason: String,
    },
    /// These offers were meant for a connection that ended before they were written: no node will ever read them.
    OffersUnwritten(Vec<AttemptId>),
    /// The ledger is durable up to this batch.
    Durable(u64),
    /// The ledger can't be written.
    StateUnavailable {
        /// Why, for operators.
        reason: String,
        /// The folder itself says that it is incomplete.
        marked_incomplete: bool,
    },
    /// The ledger can be written again, and waits for every row.
    StateAvailable,
    /// Nothing but time passed.
    Tick,
}

/// Something to do, in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer a client.
    Reply {
        /// Its connection.
        conn: ConnectionId,
        /// The answer.
        response: Response,
    },
    /// Keep a connection to this node: connect, do the handshake, and connect again when it breaks.
    Connect {
        /// The node.
        node: String,
        /// Where it listens.
        address: SocketAddr,
        /// Its zone: the `hall` of the list. Nodes of a zone that do not answer share a rate of attempts.
        zone: String,
    },
    /// The list names another zone for a node; its connection stays as it is.
    ChangeZone {
        /// The node.
        node: String,
        /// Its zone from now on.
        zone: String,
    },
    /// Keep no connection to this node any more.
    Disconnect {
        /// The node.
        node: String,
    },
    /// Send a message on a node's connection. If that has ended meanwhile the message is dropped.
    Send {
        /// The node.
        node: String,
        /// The message.
        message: Message,
    },
    /// Make these changes durable, in order, and report it with [`Input::Durable`].
    Persist {
        /// The changes.
        batch: Batch,
        /// They are every row, for a ledger that is written anew.
        is_rewrite: bool,
    },
    /// Replace the file of the decision module's beliefs. Nothing waits for it.
    PersistBeliefs(Box<BeliefSnapshot>),
    /// By what the placer acts from now on; its handshakes name it.
    ActiveConfiguration(VersionStamp),
    /// The settings in use from now on; the node list is read by them.
    Settings(Box<Settings>),
    /// It accepts nothing new until an operator acts, or does again.
    Fenced(bool),
    /// Record an event for operators.
    Event(Event),
}
