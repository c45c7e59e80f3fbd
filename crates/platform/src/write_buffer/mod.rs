//! Write buffers of connections, which let many messages be written with one system call. A single connection has no
//! limit of its own, so that a burst of messages doesn't close a connection whose peer reads; one [`WriteBudget`]
//! counts the bytes of all connections together.
//!
//! The event loop writes to the sockets itself, in the order of the engine's outputs, as an attempt must not be sent
//! before the release of the previous one was written on another connection. The connection's own task writes only the
//! bytes that the socket did not accept then.

mod pending;

use std::io;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};

use pending::PendingBytes;

/// Counts the unwritten bytes in all write buffers of a placer.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteBudget(Arc<AtomicUsize>);

impl WriteBudget {
    /// Unwritten bytes of all connections.
    pub fn pending(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

/// An established connection.
#[derive(Debug)]
struct Connection {
    stream: Arc<TcpStream>,
    /// Held only to be released when the connection is closed.
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

    /// Writes as much as the socket accepts without blocking; does nothing before the connection is established.
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

    /// Shuts the connection down, if it is established.
    fn shut_down(&self, how: Shutdown) {
        if let Some(connection) = self.connection.get() {
            let _ = SockRef::from(&*connection.stream).shutdown(how);
        }
    }

    /// Discards the pending bytes, and all that is added later.
    fn discard(&self) {
        let mut pending = self.pending();
        self.budget.0.fetch_sub(pending.len(), Ordering::Relaxed);
        pending.discard();
    }
}

/// The event loop's side, which adds messages. Once it is dropped, the connection is closed when all bytes are written.
#[derive(Debug)]
pub(crate) struct MessageWriter(Arc<Shared>);

/// The side of the connection's task, which writes the bytes that the event loop could not write.
#[derive(Debug)]
pub(crate) struct WriteQueue(Arc<Shared>);

/// Both sides of one connection's write buffer.
pub(crate) struct WriteBuffer {
    pub writer: MessageWriter,
    pub queue: WriteQueue,
}

impl WriteBuffer {
    /// Creates an empty buffer; [`WriteQueue::attach`] sets its connection once that is established.
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

    /// Writes as much as the socket accepts and leaves the rest to the connection's task. Returns whether all was
    /// written.
    pub fn flush(&self) -> bool {
        // After an error too: the connection's task writes again and gets the same error.
        let is_empty = self.0.write().is_ok() && self.len() == 0;
        if !is_empty {
            self.0.changed.notify_one();
        }
        is_empty
    }

    /// Number of pending bytes.
    pub fn len(&self) -> usize {
        self.0.pending().len()
    }

    /// Asks the connection's task to close the connection, unless input arrives before the task does so.
    pub fn close_if_idle(&self) {
        self.0.pending().is_closing_if_idle = true;
        self.0.changed.notify_one();
    }

    /// Discards the pending bytes and shuts down the sending side at once. What the peer sends until it learns of that is
    /// still read, until [`Self::abort`] is called or the writer is dropped.
    pub fn half_close(&self) {
        self.0.discard();
        self.0.pending().is_half_closed = true;
        // Shut down here for the same reason as in `abort`.
        self.0.shut_down(Shutdown::Write);
        self.0.changed.notify_one();
    }

    /// Discards the pending bytes and shuts the connection down at once.
    pub fn abort(&self) {
        self.0.discard();
        self.0.pending().is_half_closed = false;
        // Shut down here and not in the connection's task: the peer must see it before anything that is written on another
        // connection afterwards.
        self.0.shut_down(Shutdown::Both);
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
    /// Sets the established connection, which holds `permits` until it is closed. If the writer has half-closed it in the
    /// meantime, its sending side is shut down.
    pub fn attach(&self, stream: &Arc<TcpStream>, permits: Vec<OwnedSemaphorePermit>) {
        let connection = Connection {
            stream: stream.clone(),
            _permits: permits,
        };
        let _ = self.0.connection.set(connection);
        if self.is_half_closed() {
            self.0.shut_down(Shutdown::Write);
        }
    }

    /// Waits until the writer's side has changed since the last call.
    pub async fn changed(&self) {
        self.0.changed.notified().await;
    }

    /// Number of pending bytes.
    pub fn len(&self) -> usize {
        self.0.pending().len()
    }

    /// Whether the writer was dropped or has aborted the connection, even if bytes are pending.
    pub fn is_closed(&self) -> bool {
        let pending = self.0.pending();
        pending.is_finished || pending.is_discarded && !pending.is_half_closed
    }

    /// Whether the writer has shut down the sending side, and the peer's input is still read.
    pub fn is_half_closed(&self) -> bool {
        self.0.pending().is_half_closed
    }

    /// Whether the connection is to be closed as idle: that was requested, and no bytes are pending.
    pub fn is_closing_if_idle(&self) -> bool {
        let pending = self.0.pending();
        pending.is_closing_if_idle && pending.len() == 0
    }

    /// Cancels the idle close, as input has arrived.
    pub fn keep_open(&self) {
        self.0.pending().is_closing_if_idle = false;
    }

    /// Whether the connection is to be closed: no more messages are added, and all bytes were written or discarded.
    pub fn is_done(&self) -> bool {
        let pending = self.0.pending();
        pending.is_discarded && !pending.is_half_closed || pending.is_finished && pending.len() == 0
    }

    /// Ends the connection: the pending bytes and all that is added later are discarded, and both sides are shut down.
    /// Returns the number of messages of which at least one byte was written, which is final.
    pub fn end_writing(&self) -> u64 {
        self.0.discard();
        // Shut down here for the same reason as in `MessageWriter::abort`: the writer may be dropped much later.
        self.0.shut_down(Shutdown::Both);
        self.0.pending().messages_begun()
    }

    /// Number of messages of which at least one byte was written so far.
    #[cfg(test)]
    pub fn messages_begun(&self) -> u64 {
        self.0.pending().messages_begun()
    }

    /// Writes as much as the socket accepts without blocking.
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
