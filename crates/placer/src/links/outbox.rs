//! The queue of messages to a node, and the report on offers in it that are never written.

use reedring_core::Input;
use reedring_node_protocol::{AttemptId, Message};
use tokio::sync::mpsc;

use crate::inbound::{InboundEvent, InboundSender};
use crate::link_number::LinkNumber;

/// Capacity of the message queue of one node. The link is closed when a message doesn't fit because the node doesn't
/// read.
pub(super) const QUEUE_CAPACITY: usize = 65_536;
/// Maximum number of messages that are taken from the queue at once, to be written or discarded.
pub(super) const WRITE_BATCH: usize = 256;

/// A message, and the link to which the core addressed it.
#[derive(Debug)]
pub(crate) struct AddressedMessage {
    /// The latest link known to the core when it sent the message; `None` before the first link is established.
    pub link: Option<LinkNumber>,
    /// The message to be written.
    pub message: Message,
}

/// Queue of the messages that the core sends to one node.
pub(super) type MessageQueue = mpsc::Receiver<AddressedMessage>;

/// Reports the offers among these messages, which will never be written, to the core, so that it stops counting them as
/// pending.
pub(super) async fn report_unwritten(
    messages: impl IntoIterator<Item = AddressedMessage>,
    inbound: &InboundSender,
) {
    let attempts: Vec<AttemptId> = messages
        .into_iter()
        .filter_map(|message| offered_attempt(&message.message))
        .collect();
    if !attempts.is_empty() {
        // Fails only while the placer shuts down, which the caller detects with its next send.
        let _ = inbound
            .send(InboundEvent::Core(Input::OffersUnwritten(attempts)))
            .await;
    }
}

/// The attempt of an offer; `None` for any other message.
fn offered_attempt(message: &Message) -> Option<AttemptId> {
    match message {
        Message::Offer { attempt, .. } => Some(*attempt),
        _ => None,
    }
}
