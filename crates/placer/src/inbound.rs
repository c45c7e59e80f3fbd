//! Events that the tasks of a placer send to its event loop.

use reedring_core::{ConnectionId, Input};
use reedring_drmaa::rpc::Response;
use reedring_node_protocol::AcceptorReport;
use tokio::sync::mpsc;

use crate::link_number::LinkNumber;

/// Capacity of the queue of events to the event loop. A task that sends to a full queue waits until there is room.
pub(crate) const QUEUE_CAPACITY: usize = 8_192;

/// Sends events to the event loop. A send fails once the placer is shutting down.
pub(crate) type InboundSender = mpsc::Sender<InboundEvent>;

/// Queues responses for one client connection.
pub(crate) type ResponseSender = mpsc::UnboundedSender<Response>;

/// An event that a task reports to the event loop.
#[derive(Debug)]
pub(crate) enum InboundEvent {
    /// A client has connected.
    ClientConnected {
        /// Number of the client's connection.
        conn: ConnectionId,
        /// Queues responses for the client.
        responses: ResponseSender,
    },
    /// A client sent a frame or request that can't be read, which is answered without the core.
    RequestRejected {
        /// Number of the client's connection.
        conn: ConnectionId,
        /// The error response for the client.
        response: Response,
    },
    /// A link to a node is established.
    LinkEstablished {
        /// Name of the node in the node list.
        node: String,
        /// Number of the link.
        link: LinkNumber,
        /// The node's answer to the hello.
        welcome: NodeWelcome,
    },
    /// An input that is passed to the core unchanged.
    Core(Input),
}

/// A node's answer to the hello of a link.
#[derive(Debug)]
pub(crate) struct NodeWelcome {
    /// Name that the node reports for itself.
    pub name: String,
    /// Number of this start of the node.
    pub incarnation: u64,
    /// Milliseconds since the node's start.
    pub up_ms: u64,
    /// Whether the node can suspend tasks.
    pub can_suspend: bool,
    /// State of the node's acceptor; `None` if the welcome has the form of version 1 of the protocol.
    pub acceptor_report: Option<AcceptorReport>,
}

impl NodeWelcome {
    /// Returns the core's input for a new link; `node` is the node's name in the node list.
    pub fn into_input(self, node: String) -> Input {
        let Self {
            name,
            incarnation,
            up_ms,
            can_suspend,
            acceptor_report,
        } = self;
        Input::LinkUp {
            node,
            reported_name: name,
            incarnation,
            up_ms,
            can_suspend,
            report: acceptor_report,
        }
    }
}
