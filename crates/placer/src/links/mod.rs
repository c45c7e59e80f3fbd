//! Links to nodes. [`LinkSupervisor`] runs a [`LinkTask`] for each node to which the core requests a link.
//!
//! | module | responsibility |
//! | --- | --- |
//! | this one | starts, replaces, cancels and joins the link tasks |
//! | [`task`] | loop for one node: connect, exchange messages, wait until the next attempt may begin |
//! | [`connection`] | reads and writes the frames of one connection |
//! | [`handshake`] | hello, welcome and version probe |
//! | [`versions`] | protocol version of the next hello |
//! | [`outbox`] | queued messages, and the report on offers that are never written |
//! | [`error`] | reasons why a link could not be established, or ended |

mod connection;
mod error;
mod handshake;
mod outbox;
mod task;
#[cfg(test)]
mod tests;
mod versions;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use reedring_core::Input;
use reedring_core::reconnect::LinkId;
use reedring_node_protocol::Message;
use tokio::sync::{mpsc, oneshot};

use self::outbox::{AddressedMessage, MessageQueue, QUEUE_CAPACITY};
use self::task::LinkTask;
use self::versions::VersionNegotiation;
use crate::context::PlacerContext;
use crate::inbound::{InboundEvent, InboundSender};
use crate::link_number::LinkNumber;
use crate::reconnect::ReconnectScheduler;
use crate::tasks::{CancelHandle, TaskGroup};

/// Address and zone of a node.
#[derive(Clone, Debug)]
pub(crate) struct NodeLocation {
    /// Address on which the node listens for placers.
    pub address: SocketAddr,
    /// Zone of the node; the nodes of a zone share a rate limit for reconnects.
    pub zone: String,
}

/// The supervisor's handle of a link task.
struct LinkHandle {
    /// Id of the link at the reconnect scheduler.
    id: LinkId,
    location: NodeLocation,
    /// Latest established link of which the core has been notified; `None` before the first.
    established: Option<LinkNumber>,
    messages: mpsc::Sender<AddressedMessage>,
    cancel: CancelHandle,
    /// Resolves when the task has ended.
    finished: oneshot::Receiver<()>,
}

/// Owns the link tasks of a placer, and the scheduler of their reconnects.
pub(crate) struct LinkSupervisor {
    links: BTreeMap<String, LinkHandle>,
    /// The link number from which the latest task for each node counts up. It is kept for nodes without a link, too, so
    /// that link numbers never decrease.
    base_link_numbers: BTreeMap<String, LinkNumber>,
    scheduler: Arc<ReconnectScheduler>,
    tasks: TaskGroup,
    context: Arc<PlacerContext>,
    inbound: InboundSender,
}

impl LinkSupervisor {
    /// Creates a supervisor without links. Must be called within the placer's runtime, as it spawns a task.
    pub fn new(context: Arc<PlacerContext>, inbound: InboundSender) -> Self {
        let scheduler = ReconnectScheduler::new(&context.name, context.incarnation);
        let mut tasks = TaskGroup::new();
        tasks.spawn(Arc::clone(&scheduler).run());
        Self {
            links: BTreeMap::new(),
            base_link_numbers: BTreeMap::new(),
            scheduler,
            tasks,
            context,
            inbound,
        }
    }

    /// Keeps a link to a node from now on; a previous link to it is replaced.
    pub fn connect(&mut self, node: String, location: NodeLocation) {
        self.replace(node, location, None);
    }

    /// Closes the link to a node and stops reconnecting to it.
    pub fn disconnect(&mut self, node: &str) {
        drop(self.cancel(node));
    }

    /// Records that a node has moved to another zone; its link stays open.
    pub fn change_zone(&mut self, node: &str, zone: String) {
        if let Some(link) = self.links.get_mut(node) {
            self.scheduler.change_zone(link.id, &zone);
            link.location.zone = zone;
        }
    }

    /// Addresses the core's following messages to this link. Called just before the core is notified that the link is
    /// established.
    pub fn link_established(&mut self, node: &str, number: LinkNumber) {
        if let Some(link) = self.links.get_mut(node) {
            link.established = Some(number);
        }
    }

    /// Queues a message for a node. The message is dropped if no link to the node is kept. If the queue is full
    /// because the node doesn't read, the message is dropped, too, and the link is replaced.
    pub fn send(&mut self, node: &str, message: Message) {
        let Some(link) = self.links.get(node) else {
            return;
        };
        if link
            .messages
            .try_send(AddressedMessage {
                link: link.established,
                message,
            })
            .is_ok()
        {
            return;
        }
        let location = link.location.clone();
        let reason = format!(
            "the node does not read: {QUEUE_CAPACITY} messages are queued; closing the link"
        );
        let down = Input::LinkDown {
            node: node.to_owned(),
            reason,
        };
        self.replace(node.to_owned(), location, Some(InboundEvent::Core(down)));
    }

    /// Cancels and joins all link tasks and the reconnect scheduler.
    pub async fn shutdown(self) {
        self.tasks.shutdown().await;
    }

    /// Cancels a node's task, if there is one, and starts a new task once it has ended. `initial_event` is sent to the
    /// event loop before any event of the new task.
    fn replace(
        &mut self,
        node: String,
        location: NodeLocation,
        initial_event: Option<InboundEvent>,
    ) {
        let previous = self.cancel(&node);
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let cancel = CancelHandle::new();
        let token = cancel.token();
        let (finish, finished) = oneshot::channel::<()>();
        let task = self.new_link_task(&node, &location);
        let id = task.permit.id();
        self.tasks.spawn(async move {
            // Dropped when this task ends or is cancelled; the node's next task waits for that.
            let _finish = finish;
            if let Some(previous) = previous {
                let _ = previous.await;
            }
            token.run(send_and_run(initial_event, task, queue)).await;
        });
        self.links.insert(
            node,
            LinkHandle {
                id,
                location,
                established: None,
                messages,
                cancel,
                finished,
            },
        );
    }

    fn new_link_task(&mut self, node: &str, location: &NodeLocation) -> LinkTask {
        let number = self.base_link_numbers.entry(node.to_owned()).or_default();
        *number = number.next_task();
        LinkTask {
            node: node.to_owned(),
            address: location.address,
            link: *number,
            context: Arc::clone(&self.context),
            inbound: self.inbound.clone(),
            permit: self.scheduler.add_link(&location.zone),
            versions: VersionNegotiation::default(),
            traffic: self.context.traffic.as_ref().map(|peers| peers.of(node)),
        }
    }

    /// Cancels a node's task, and returns a receiver that resolves when the task has ended; `None` if the node has no
    /// task.
    fn cancel(&mut self, node: &str) -> Option<oneshot::Receiver<()>> {
        self.tasks.reap();
        let link = self.links.remove(node)?;
        link.cancel.cancel();
        self.scheduler.remove_link(link.id);
        Some(link.finished)
    }
}

/// Sends the event to the event loop, if there is one, then runs the task.
async fn send_and_run(initial_event: Option<InboundEvent>, task: LinkTask, queue: MessageQueue) {
    if let Some(event) = initial_event {
        let _ = task.inbound.send(event).await;
    }
    task.run(queue).await;
}
