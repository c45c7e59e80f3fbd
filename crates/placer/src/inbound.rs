//! What the tasks of a placer hand to its event loop.

use reedring_core::{ConnectionId, Input};
use reedring_drmaa::rpc::Response;
use reedring_node_protocol::AcceptorReport;
use tokio::sync::mpsc;

use crate::link_number::LinkNumber;

/// Events that wait for the event loop; a task that brings one more waits.
pub(crate) const QUEUE_CAPACITY: usize = 8_192;

/// Where tasks send what happened. A send fails once the placer shuts down.
pub(crate) type InboundSender = mpsc::Sender<InboundEvent>;

/// Where the responses for one client connection go.
pub(crate) type ResponseSender = mpsc::UnboundedSender<Response>;

/// Something that happened outside the event loop.
#[derive(Debug)]
pub(crate) enum InboundEvent {
    /// A client has connected; its responses go to `responses`.
    ClientConnected {
        /// Its connection.
        conn: ConnectionId,
        /// Where its responses go.
        responses: ResponseSender,
    },
    /// A request was answered without the core, as it could not be read.
    ClientAnswered {
        /// The client's connection.
        conn: ConnectionId,
        /// The answer.
        response: Response,
    },
    /// A link to a node is established.
    LinkEstablished {
        /// The node, by its name in the node list.
        node: String,
        /// The link.
        link: LinkNumber,
        /// The node's answer to the hello.
        welcome: NodeWelcome,
    },
    /// An input that the core handles as it is.
    Core(Input),
}

/// A node's answer to the hello of a link.
#[derive(Debug)]
pub(crate) struct NodeWelcome {
    /// The node's own name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Milliseconds since its start.
    pub up_ms: u64,
    /// It can suspend tasks.
    pub can_suspend: bool,
    /// Its acceptor state; none where it speaks version 1 of the protocol.
    pub record: Option<AcceptorReport>,
}

impl NodeWelcome {
    /// The core's input for a link to this node.
    pub fn into_input(self, node: String) -> Input {
        let Self {
            name,
            incarnation,
            up_ms,
            can_suspend,
            record,
        } = self;
        Input::LinkUp {
            node,
            reported_name: name,
            incarnation,
            up_ms,
            can_suspend,
            report: record,
        }
    }
}
