//! The task that keeps a link to one node: connects, carries messages, and connects again when the link ends.

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

/// Keeps a link to one node.
pub(super) struct LinkTask {
    /// The node.
    pub node: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The last link that was tried.
    pub link: LinkNumber,
    /// The placer.
    pub context: Arc<PlacerContext>,
    /// Where the core's inputs go.
    pub inbound: InboundSender,
    /// When it may reconnect.
    pub permit: ReconnectPermit,
    /// The versions that the node speaks.
    pub versions: VersionNegotiation,
    /// Counters of this node's messages.
    pub traffic: Option<Arc<Traffic>>,
}

impl LinkTask {
    /// Keeps a link to the node, one after another, until it is cancelled or the placer shuts down.
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

    /// One link from its start to its end.
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

    /// Reports that there is no link; false where the placer shuts down.
    async fn report_down(&self, why: String) -> bool {
        self.context.trace.link_down(&self.node, self.link, &why);
        let down = Input::LinkDown {
            node: self.node.clone(),
            reason: why,
        };
        self.inbound.send(InboundEvent::Core(down)).await.is_ok()
    }

    /// Waits for the next attempt. There is no link meanwhile, so what is to be sent was meant for one that has ended.
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
