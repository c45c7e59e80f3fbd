//! Permits for file descriptors: a connection waits for a permit, so that none fails because descriptors run out.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::bounds::Bounds;

/// Client connections accepted beyond those that are served; the engine closes them as soon as they are reported.
pub(super) const EXCESS_CLIENTS: usize = 8;

/// Limits the descriptors held by all connections together, and by client connections alone.
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

    /// How many permits are left for links.
    pub fn available(&self) -> usize {
        self.all.available_permits()
    }

    /// Waits for the permit of one more link, which the link holds until it is closed.
    pub(super) async fn for_link(&self) -> Option<OwnedSemaphorePermit> {
        Arc::clone(&self.all).acquire_owned().await.ok()
    }

    /// Waits for the permits of one more client connection.
    pub(super) async fn for_client(&self) -> Option<Vec<OwnedSemaphorePermit>> {
        let client = Arc::clone(&self.clients).acquire_owned().await.ok()?;
        Some(vec![client, self.for_link().await?])
    }
}
