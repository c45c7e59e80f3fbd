//! Permits for file descriptors: a connection that has none waits, so that none ever fails for want of a descriptor.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::bounds::Bounds;

/// Connections of clients beyond those that are served: they are closed as soon as the engine learns of them.
pub(super) const EXCESS_CLIENTS: usize = 8;

/// Descriptors that connections may hold: all of them together, and those of clients alone.
#[derive(Clone, Debug)]
pub(crate) struct ConnectionPermits {
    all: Arc<Semaphore>,
    clients: Arc<Semaphore>,
}

impl ConnectionPermits {
    pub fn new(bounds: &Bounds) -> Self {
        let clients = bounds.clients + bounds.client_overflow + EXCESS_CLIENTS;
        let all = bounds.connections + EXCESS_CLIENTS;
        Self {
            all: Arc::new(Semaphore::new(all)),
            clients: Arc::new(Semaphore::new(clients)),
        }
    }

    /// Waits for the permit of one more link, which is held until it is closed.
    pub(super) async fn for_link(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.all).acquire_owned().await.ok()
    }

    /// Waits for the permits of one more connection of a client.
    pub(super) async fn for_client(&self) -> Option<Vec<OwnedSemaphorePermit>> {
        let client = Arc::clone(&self.clients).acquire_owned().await.ok()?;
        Some(vec![client, self.for_link().await?])
    }
}
