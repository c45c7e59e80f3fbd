//! Links to nodes. [`LinkSupervisor`] owns a [`LinkTask`] for each node that the core wants a link to.
//!
//! | module | what it decides or owns |
//! | --- | --- |
//! | this one | which tasks run, for which address; each task is cancelled and joined here |
//! | [`task`] | one node's loop: connect, carry messages, wait for the permit to reconnect |
//! | [`connection`] | one connection's frames, both ways |
//! | [`handshake`] | hello, welcome, version probe |
//! | [`versions`] | the protocol version of the next hello |
//! | [`outbox`] | messages that wait, and the report on those that are never written |
//! | [`error`] | why a link could not be established, or ended |

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

/// Where a node is.
#[derive(Clone, Debug)]
pub(crate) struct NodeLocation {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, in which reconnects are rate limited together.
    pub zone: String,
}

/// The supervisor's side of a link task.
struct LinkHandle {
    id: LinkId,
    location: NodeLocation,
    /// The last established link that the core was notified of.
    established: Option<LinkNumber>,
    messages: mpsc::Sender<AddressedMessage>,
    cancel: CancelHandle,
    finished: oneshot::Receiver<()>,
}

/// Owns the link tasks of a placer.
pub(crate) struct LinkSupervisor {
    links: BTreeMap<String, LinkHandle>,
    /// The numbers from which the last task for each node counts.
    first_numbers: BTreeMap<String, LinkNumber>,
    scheduler: Arc<ReconnectScheduler>,
    tasks: TaskGroup,
    context: Arc<PlacerContext>,
    inbound: InboundSender,
}

impl LinkSupervisor {
    /// A supervisor without links. It is made within the placer's runtime.
    pub fn new(context: Arc<PlacerContext>, inbound: InboundSender) -> Self {
        let scheduler = ReconnectScheduler::new(&context.name, context.incarnation);
        let mut tasks = TaskGroup::new();
        tasks.spawn(Arc::clone(&scheduler).run());
        Self {
            links: BTreeMap::new(),
            first_numbers: BTreeMap::new(),
            scheduler,
            tasks,
            context,
            inbound,
        }
    }

    /// Keeps a link to a node from now on, in place of the one before.
    pub fn connect(&mut self, node: String, location: NodeLocation) {
        self.replace(node, location, None);
    }

    /// Keeps no link to a node any more.
    pub fn disconnect(&mut self, node: &str) {
        drop(self.cancel(node));
    }

    /// A node is in another zone; its link stays.
    pub fn change_zone(&mut self, node: &str, zone: String) {
        if let Some(link) = self.links.get_mut(node) {
            self.scheduler.change_zone(link.id, &zone);
            link.location.zone = zone;
        }
    }

    /// The core is notified now that this link is established: what it sends from here on is meant for it.
    pub fn link_established(&mut self, node: &str, number: LinkNumber) {
        if let Some(link) = self.links.get_mut(node) {
            link.established = Some(number);
        }
    }

    /// Queues a message for a node. A link whose node reads nothing is closed, and made anew.
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
        let why =
            format!("the node does not read: {QUEUE_CAPACITY} messages wait; closing the link");
        let down = Input::LinkDown {
            node: node.to_owned(),
            reason: why,
        };
        self.replace(node.to_owned(), location, Some(InboundEvent::Core(down)));
    }

    /// Cancels all tasks and joins them.
    pub async fn shutdown(self) {
        self.tasks.shutdown().await;
    }

    /// Starts a task in place of the one before, once that has ended; `first` is sent before all that it reports.
    fn replace(&mut self, node: String, location: NodeLocation, first: Option<InboundEvent>) {
        let previous = self.cancel(&node);
        let (messages, queue) = mpsc::channel(QUEUE_CAPACITY);
        let cancel = CancelHandle::new();
        let token = cancel.token();
        let (finish, finished) = oneshot::channel::<()>();
        let task = self.link_task(&node, &location);
        let id = task.permit.id();
        self.tasks.spawn(async move {
            // Dropped with this task, also where that is cancelled: the next one waits for it.
            let _finish = finish;
            if let Some(previous) = previous {
                let _ = previous.await;
            }
            token.run(report_and_run(first, task, queue)).await;
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

    fn link_task(&mut self, node: &str, location: &NodeLocation) -> LinkTask {
        let number = self.first_numbers.entry(node.to_owned()).or_default();
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

    /// Cancels a node's task. What is returned resolves when that has ended.
    fn cancel(&mut self, node: &str) -> Option<oneshot::Receiver<()>> {
        self.tasks.reap();
        let link = self.links.remove(node)?;
        link.cancel.cancel();
        self.scheduler.remove_link(link.id);
        Some(link.finished)
    }
}

async fn report_and_run(first: Option<InboundEvent>, task: LinkTask, queue: MessageQueue) {
    if let Some(first) = first {
        let _ = task.inbound.send(first).await;
    }
    task.run(queue).await;
}
