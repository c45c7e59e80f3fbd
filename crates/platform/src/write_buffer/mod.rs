//! Bytes that wait to be written to the other end of a connection, so that many messages leave in one write. A burst of
//! messages is no reason to close a connection whose other end reads; what counts is the memory that all of them hold
//! together, which one [`WriteBudget`] counts.
//!
//! The loop around the engine writes itself, in the order of the engine's outputs: an attempt must not be sent before
//! the release of the previous one was written on another connection. The connection's own task writes only what the
//! other end did not take then.

mod pending;

use std::io;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};

use pending::PendingBytes;

/// Counts the bytes in all write buffers of a placer.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteBudget(Arc<AtomicUsize>);

impl WriteBudget {
    /// Bytes that wait now.
    pub fn pending(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// An established connection.
#[derive(Debug)]
struct Connection {
    stream: Arc<TcpStream>,
    /// Released once the connection is closed.
    _permits: Vec<OwnedSemaphorePermit>,
}

#[derive(Debug)]
struct Shared {
    /// Set once the connection is established.
    connection: OnceLock<Connection>,
    pending: Mutex<PendingBytes>,
    changed: Notify,
    budget: WriteBudget,
}

impl Shared {
    fn pending(&self) -> MutexGuard<'_, PendingBytes> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what the other end takes now.
    fn write(&self) -> io::Result<()> {
        let Some(connection) = self.connection.get() else {
            return Ok(());
        };
        let mut pending = self.pending();
        while pending.len() > 0 && !pending.is_discarded {
            match connection.stream.try_write(pending.unwritten()) {
                Ok(count) => {
                    self.budget.0.fetch_sub(count, Ordering::Relaxed);
                    pending.written(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Discards what waits, and all that is added later.
    fn discard(&self) {
        let mut pending = self.pending();
        self.budget.0.fetch_sub(pending.len(), Ordering::Relaxed);
        pending.discard();
    }
}

/// The engine's side: adds messages. Once it is dropped, the connection ends as soon as all is written.
#[derive(Debug)]
pub(crate) struct MessageWriter(Arc<Shared>);

/// The side of the connection's task, which writes what is left.
#[derive(Debug)]
pub(crate) struct WriteQueue(Arc<Shared>);

/// Both sides of one connection's write buffer.
pub(crate) struct WriteBuffer {
    pub writer: MessageWriter,
    pub queue: WriteQueue,
}

impl WriteBuffer {
    /// An empty buffer of a connection that is being made.
    pub fn new(budget: &WriteBudget) -> Self {
        let shared = Arc::new(Shared {
            connection: OnceLock::new(),
            pending: Mutex::new(PendingBytes::default()),
            changed: Notify::new(),
            budget: budget.clone(),
        });
        Self {
            writer: MessageWriter(shared.clone()),
            queue: WriteQueue(shared),
        }
    }
}

impl MessageWriter {
    /// Adds a message; [`Self::flush`] writes it.
    pub fn send(&self, message: &[u8]) {
        let mut pending = self.0.pending();
        if pending.is_discarded {
            return;
        }
        pending.add(message);
        self.0.budget.0.fetch_add(message.len(), Ordering::Relaxed);
    }

    /// Writes what the other end takes now, and leaves the rest to the connection's task; whether there is none.
    pub fn flush(&self) -> bool {
        // The connection's task learns of an error as well.
        let is_empty = self.0.write().is_ok() && self.len() == 0;
        if !is_empty {
            self.0.changed.notify_one();
        }
        is_empty
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.0.pending().len()
    }

    /// The connection is to end unless its other end sends something before it learns of that.
    pub fn close_if_idle(&self) {
        self.0.pending().is_closing_if_idle = true;
        self.0.changed.notify_one();
    }

    /// Discards what waits and ends the connection at once.
    pub fn abort(&self) {
        self.0.discard();
        if let Some(connection) = self.0.connection.get() {
            // The other end is to see it before anything that is written elsewhere after this.
            let _ = SockRef::from(&*connection.stream).shutdown(Shutdown::Both);
        }
        self.0.changed.notify_one();
    }
}

impl Drop for MessageWriter {
    fn drop(&mut self) {
        self.0.pending().is_finished = true;
        self.0.changed.notify_one();
    }
}

impl WriteQueue {
    /// The connection is established, and holds these permits until it is closed.
    pub fn attach(&self, stream: &Arc<TcpStream>, permits: Vec<OwnedSemaphorePermit>) {
        let connection = Connection {
            stream: stream.clone(),
            _permits: permits,
        };
        let _ = self.0.connection.set(connection);
    }

    /// Waits until something changes on the writer's side, if nothing did since the last call.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.0.pending().len()
    }

    /// Whether the writer is done with the connection, whatever still waits.
    pub fn is_closed(&self) -> bool {
        let pending = self.0.pending();
        pending.is_finished || pending.is_discarded
    }

    /// Whether the connection is to end unless its other end sent something.
    pub fn is_closing_if_idle(&self) -> bool {
        let pending = self.0.pending();
        pending.is_closing_if_idle && pending.len() == 0
    }

    /// The other end sent something: the connection stays.
    pub fn keep_open(&self) {
        self.0.pending().is_closing_if_idle = false;
    }

    /// Whether the connection ends: nothing more is added, and what waited was written or discarded.
    pub fn is_done(&self) -> bool {
        let pending = self.0.pending();
        pending.is_discarded || pending.is_finished && pending.len() == 0
    }

    /// Messages of which at least one byte was written.
    pub fn messages_begun(&self) -> u64 {
        self.0.pending().messages_begun()
    }

    /// Writes what the other end takes now.
    pub fn write(&self) -> io::Result<()> {
        self.0.write()
    }
}

impl Drop for WriteQueue {
    fn drop(&mut self) {
        self.0.discard();
    }
}

#[cfg(test)]
mod tests;
