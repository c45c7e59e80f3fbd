//! Connections of DRMAA clients: JSON-RPC over TCP or a Unix socket.
//!
//! [`ClientAcceptor`] owns the listener and a task for each connection. [`ClientRegistry`] belongs to the event loop,
//! which sends responses through it.

mod connection;
mod registry;
#[cfg(test)]
mod tests;

use std::sync::Arc;

use reedring_connection::pause_after_accept_error;
use reedring_core::ConnectionId;
use tokio::sync::Semaphore;

use self::connection::{ClientConnection, reject_connection};
pub(crate) use self::registry::ClientRegistry;
use crate::context::PlacerContext;
use crate::inbound::InboundSender;
use crate::listener::{ClientStream, Listener};
use crate::tasks::{CancelToken, TaskGroup};

/// Accepts client connections, and owns their tasks.
pub(crate) struct ClientAcceptor {
    listener: Listener,
    /// One permit for each further connection that may be served.
    permits: Arc<Semaphore>,
    /// Number of the latest connection; 0 before the first.
    last_conn: ConnectionId,
    tasks: TaskGroup,
    context: Arc<PlacerContext>,
    inbound: InboundSender,
}

impl ClientAcceptor {
    /// Creates an acceptor for this listener that serves at most `max_connections` connections at a time.
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

    /// Accepts connections until the token is cancelled, then cancels and joins the tasks of all connections.
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

    /// Spawns a task that serves the client, or rejects it if the connection limit is reached.
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
            Err(_) => self.tasks.spawn(reject_connection(conn, stream, context)),
        }
    }
}
