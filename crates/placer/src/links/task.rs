//! The task that keeps a link to one node: connects, exchanges messages, and reconnects when the link ends.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use reedring_core::Input;
use reedring_node_protocol::Traffic;

use super::connection::{Connection, LinkObserver};
use super::error::{ConnectError, Disconnect};
use super::handshake::handshake;
use super::outbox::{MessageQueue, WRITE_BATCH, report_unwritten};
use super::versions::VersionNegotiation;
use crate::context::PlacerContext;
use crate::inbound::{InboundEvent, InboundSender};
use crate::link_number::LinkNumber;
use crate::reconnect::ReconnectPermit;

/// State of the task that keeps a link to one node.
pub(super) struct LinkTask {
    /// Name of the node in the node list.
    pub node: String,
    /// Address on which the node listens for placers.
    pub address: SocketAddr,
    /// Number of the latest link that was attempted.
    pub link: LinkNumber,
    /// Context of the placer.
    pub context: Arc<PlacerContext>,
    /// Sends events to the event loop.
    pub inbound: InboundSender,
    /// Reports the results of attempts to the reconnect scheduler, and waits until it permits the next attempt.
    pub permit: ReconnectPermit,
    /// What is known about the protocol versions that the node supports.
    pub versions: VersionNegotiation,
    /// Counters of the messages exchanged with this node; `None` if they are not counted.
    pub traffic: Option<Arc<Traffic>>,
}

impl LinkTask {
    /// Connects to the node again and again, until the task is cancelled or the placer shuts down.
    pub async fn run(mut self, mut messages: MessageQueue) {
        loop {
            self.link = self.link.next_link();
            let ended = self.run_link(&mut messages).await;
            let reason = ended
                .as_ref()
                .map_or_else(ToString::to_string, ToString::to_string);
            if !self.report_down(reason).await {
                return;
            }
            let next_attempt = async {
                match ended {
                    Ok(_) => self.permit.wait_after_disconnect().await,
                    Err(error) => self.permit.wait_after_failure(error.failure()).await,
                }
            };
            self.discard_until(next_attempt, &mut messages).await;
        }
    }

    /// Attempts one link. Returns why it ended, or an error if it could not be established.
    async fn run_link(&mut self, messages: &mut MessageQueue) -> Result<Disconnect, ConnectError> {
        match self.establish().await {
            Ok(connection) => {
                let reason = connection.run(messages, &self.inbound).await;
                self.versions.link_ended();
                Ok(reason)
            }
            Err(error) => {
                if matches!(error, ConnectError::HelloRejected) {
                    self.versions.hello_rejected();
                }
                Err(error)
            }
        }
    }

    /// Connects, performs the handshake and notifies the reconnect scheduler and the event loop of the new link.
    async fn establish(&mut self) -> Result<Connection, ConnectError> {
        let observer = LinkObserver {
            context: Arc::clone(&self.context),
            node: self.node.clone(),
            link: self.link,
            traffic: self.traffic.clone(),
        };
        let mut connection = Connection::open(self.address, observer).await?;
        let welcome = handshake(&mut connection, &mut self.versions).await?;
        self.permit.link_established();
        let established = InboundEvent::LinkEstablished {
            node: self.node.clone(),
            link: self.link,
            welcome,
        };
        self.inbound
            .send(established)
            .await
            .map_err(|_| ConnectError::ShuttingDown)?;
        Ok(connection)
    }

    /// Reports to the core that there is no link; returns false if the placer is shutting down.
    async fn report_down(&self, reason: String) -> bool {
        self.context.trace.link_down(&self.node, self.link, &reason);
        let down = Input::LinkDown {
            node: self.node.clone(),
            reason,
        };
        self.inbound.send(InboundEvent::Core(down)).await.is_ok()
    }

    /// Waits until the next attempt may begin. There is no link meanwhile, so messages that arrive were addressed to
    /// a link that has ended; they are discarded, and their offers are reported as unwritten.
    async fn discard_until(
        &self,
        next_attempt: impl Future<Output = ()>,
        messages: &mut MessageQueue,
    ) {
        tokio::pin!(next_attempt);
        let mut discarded = Vec::new();
        loop {
            tokio::select! {
                () = &mut next_attempt => return,
                received = messages.recv_many(&mut discarded, WRITE_BATCH) => {
                    if received == 0 {
                        return next_attempt.await;
                    }
                    report_unwritten(discarded.drain(..), &self.inbound).await;
                }
            }
        }
    }
}
