//! What the core is told and what it answers.

use std::net::SocketAddr;

use reedring::Micros;
use reedring_drmaa::rpc::{Call, Response};
use reedring_node_protocol::{AcceptorReport, AttemptId, Message, VersionStamp};
use reedring_settings::{NodeList, Settings};
use reedring_state::{Batch, BeliefSnapshot};

use crate::event::Event;

/// What a core is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    /// The time of its clock, in microseconds; it never goes back.
    pub now: Micros,
    /// Microseconds since 1970 at that time.
    pub unix_us: u64,
    /// This incarnation of the placer: another number at each start.
    pub life: u64,
    /// Seed of the module's random numbers.
    pub seed: u64,
}

/// A client's connection, as the shell numbers it.
pub type ConnId = u64;

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client calls.
    Call {
        /// Its connection.
        conn: ConnId,
        /// The id of the call on that connection.
        id: u64,
        /// The call.
        call: Call,
    },
    /// A client's connection ended; what it waited for it will ask for again.
    ClientGone(ConnId),
    /// The node list, whole. A node that it lacks is gone.
    Listed(NodeList),
    /// The settings file says something else; it was read and checked as a whole.
    SettingsChanged(Box<Settings>),
    /// A link to a node stands: its welcome was read. What it holds follows as messages.
    LinkUp {
        /// The node, by its name in the list.
        node: String,
        /// Its own name, which must be the same.
        called: String,
        /// Its life.
        life: u64,
        /// Milliseconds since its start.
        up_ms: u64,
        /// It can suspend tasks.
        can_suspend: bool,
        /// What it keeps of plans; none where it speaks version 1.
        record: Option<AcceptorReport>,
    },
    /// A message of a node. Messages of a link come after its `LinkUp` and before its `LinkDown`.
    Message {
        /// The node.
        node: String,
        /// The message.
        message: Message,
    },
    /// A link ended, or one could not be made.
    LinkDown {
        /// The node.
        node: String,
        /// Why, for the staff.
        why: String,
    },
    /// These offers were meant for a link that ended before they were written: no node will ever read them.
    Unwritten(Vec<AttemptId>),
    /// The ledger is durable up to this batch.
    Durable(u64),
    /// The ledger can't be written.
    StateLost {
        /// Why, for the staff.
        why: String,
        /// The folder says so itself.
        marked: bool,
    },
    /// A ledger can be written again, and waits for every row.
    StateBack,
    /// Nothing but time passed.
    Tick,
}

/// Something to do, in order.
#[derive(Clone, Debug)]
pub enum Output {
    /// Answer a client.
    Reply {
        /// Its connection.
        conn: ConnId,
        /// The answer.
        response: Response,
    },
    /// Keep a link to this node: connect, say hello, and connect again when it breaks.
    Connect {
        /// The node.
        node: String,
        /// Where it listens.
        address: SocketAddr,
        /// Its zone: the `hall` of the list. Nodes of a zone that are silent are tried at a common rate.
        zone: String,
    },
    /// The list names another zone for a node; its link stays as it is.
    MoveZone {
        /// The node.
        node: String,
        /// Its zone from now on.
        zone: String,
    },
    /// Keep no link to this node any more.
    Disconnect {
        /// The node.
        node: String,
    },
    /// Send a message on a node's link. If that link has ended meanwhile the message is dropped.
    Send {
        /// The node.
        node: String,
        /// The message.
        message: Message,
    },
    /// Make these changes durable, in order, and say so with [`Input::Durable`].
    Keep {
        /// The changes.
        batch: Batch,
        /// They are every row, for a ledger that is written anew.
        whole: bool,
    },
    /// Replace the file of what was learned. Nothing waits for it.
    Learn(Box<BeliefSnapshot>),
    /// By what the placer acts from now on; it greets nodes with it.
    Acts(VersionStamp),
    /// The settings that it acts by from now on; the node list is read by them.
    Settings(Box<Settings>),
    /// It takes nothing new until its staff act, or does again.
    ShutOut(bool),
    /// Record an event for operators.
    Event(Event),
}
