//! The DRMAA front: JSON-RPC over TCP or a Unix socket.
//!
//! [`ClientAcceptor`] owns the listener and a task for each connection; [`ClientRegistry`] is the event loop's side.

mod connection;
mod registry;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use reedring_connection::pause_after_accept_error;
use reedring_core::ConnectionId;
use tokio::sync::Semaphore;

use self::connection::{ClientConnection, refuse};
pub(crate) use self::registry::ClientRegistry;
use crate::context::PlacerContext;
use crate::inbound::InboundSender;
use crate::listener::{ClientStream, Listener};
use crate::tasks::{CancelToken, TaskGroup};

/// Accepts clients, and owns the tasks of their connections.
pub(crate) struct ClientAcceptor {
    listener: Listener,
    /// One for each connection that may still be served.
    permits: Arc<Semaphore>,
    last_conn: ConnectionId,
    tasks: TaskGroup,
    context: Arc<PlacerContext>,
    inbound: InboundSender,
}

impl ClientAcceptor {
    /// Accepts on this listener, and serves up to `max_connections` at a time.
    pub fn new(
        listener: Listener,
        max_connections: usize,
        context: Arc<PlacerContext>,
        inbound: InboundSender,
    ) -> Self {
        let permits = Arc::new(Semaphore::new(max_connections));
        Self {
            listener,
            permits,
            last_conn: 0,
            tasks: TaskGroup::new(),
            context,
            inbound,
        }
    }

    /// Accepts until the token is cancelled; cancels and joins the connections' tasks then.
    pub async fn run(mut self, token: CancelToken) {
        token.run(self.accept_all()).await;
        self.tasks.shutdown().await;
    }

    async fn accept_all(&mut self) {
        loop {
            tokio::select! {
                accepted = self.listener.accept() => match accepted {
                    Ok(stream) => self.serve(stream),
                    Err(error) => pause_after_accept_error(&error).await,
                },
                () = self.tasks.next_ended() => {}
            }
        }
    }

    /// Serves a client; one beyond the limit is asked to try later.
    fn serve(&mut self, stream: ClientStream) {
        self.last_conn += 1;
        let (conn, context) = (self.last_conn, Arc::clone(&self.context));
        match Arc::clone(&self.permits).try_acquire_owned() {
            Ok(permit) => {
                let connection = ClientConnection::new(conn, context, self.inbound.clone());
                self.tasks.spawn(async move {
                    connection.run(stream).await;
                    drop(permit);
                });
            }
            Err(_) => self.tasks.spawn(refuse(conn, stream, context)),
        }
    }
}
