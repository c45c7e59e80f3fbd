//! Messages that wait for a link, and what becomes of those that no link will carry.

use reedring_core::Input;
use reedring_node_protocol::{AttemptId, Message};
use tokio::sync::mpsc;

use crate::inbound::{InboundEvent, InboundSender};
use crate::link_number::LinkNumber;

/// Messages that wait for a node which does not read; one more, and the link is closed.
pub(super) const QUEUE_CAPACITY: usize = 65_536;
/// Messages that are written, or discarded, at a time.
pub(super) const WRITE_BATCH: usize = 256;

/// A message, and the link that the core meant it for.
#[derive(Debug)]
pub(crate) struct AddressedMessage {
    /// The link that was established when the core sent the message; none before the first.
    pub link: Option<LinkNumber>,
    /// The message.
    pub message: Message,
}

/// The messages that the core sent to one node.
pub(super) type MessageQueue = mpsc::Receiver<AddressedMessage>;

/// Reports to the core which offers among these messages are never written, so that it does not count them for longer
/// than that takes.
pub(super) async fn report_unwritten(
    messages: impl IntoIterator<Item = AddressedMessage>,
    inbound: &InboundSender,
) {
    let attempts: Vec<AttemptId> = messages
        .into_iter()
        .filter_map(|message| offered(&message.message))
        .collect();
    if !attempts.is_empty() {
        // Fails only while the placer shuts down, and the next send says so.
        let _ = inbound
            .send(InboundEvent::Core(Input::OffersUnwritten(attempts)))
            .await;
    }
}

fn offered(message: &Message) -> Option<AttemptId> {
    match message {
        Message::Offer { attempt, .. } => Some(*attempt),
        _ => None,
    }
}
