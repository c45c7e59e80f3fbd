//! What waits to be written to the other end of a connection: bytes, so that many messages leave in one write. A burst
//! of messages is no reason to cut a connection whose other end reads; what counts is the memory that all of them
//! hold together, which one budget bounds.
//!
//! The loop around the engine writes itself, in the order in which the engine spoke: a set-up must not leave before
//! the word on another connection that gave its last attempt up. The connection's own task writes only what the other
//! end did not take then.

use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::{Notify, OwnedSemaphorePermit};

/// Bytes that all outboxes of a placer hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Budget(Arc<AtomicUsize>);

impl Budget {
    /// Bytes that wait now.
    pub fn held(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }
}

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    /// Bytes of `bytes` that left.
    left: usize,
    /// Bytes that left, ever.
    gone: u64,
    /// Where the messages end that did not leave whole, counted from the first byte ever.
    ends: VecDeque<u64>,
    /// Messages that left whole, and where the last of them ended.
    whole: u64,
    whole_until: u64,
    /// Nothing more comes.
    closed: bool,
    /// What waits is not written any more.
    cut: bool,
    /// The connection ends, unless its other end says something first.
    idle: bool,
}

impl Waiting {
    fn len(&self) -> usize {
        self.bytes.len() - self.left
    }

    fn leave(&mut self, count: usize) {
        self.left += count;
        self.gone += count as u64;
        while let Some(end) = self.ends.front().copied().filter(|end| *end <= self.gone) {
            self.ends.pop_front();
            (self.whole, self.whole_until) = (self.whole + 1, end);
        }
        if self.left == self.bytes.len() {
            // An idle connection keeps no buffer.
            (self.bytes, self.ends) = (Vec::new(), VecDeque::new());
            self.left = 0;
        } else if self.left > self.bytes.len() / 2 {
            self.bytes.drain(..self.left);
            self.left = 0;
        }
    }
}

#[derive(Debug)]
struct Shared {
    /// None as long as it is being made; and its places, which are free once it is closed.
    stream: OnceLock<(Arc<TcpStream>, Vec<OwnedSemaphorePermit>)>,
    waiting: Mutex<Waiting>,
    news: Notify,
    budget: Budget,
}

impl Shared {
    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes what the other end takes now.
    fn write(&self) -> io::Result<()> {
        let Some((stream, _)) = self.stream.get() else {
            return Ok(());
        };
        let mut waiting = self.waiting();
        while waiting.len() > 0 && !waiting.cut {
            match stream.try_write(&waiting.bytes[waiting.left..]) {
                Ok(count) => {
                    self.budget.0.fetch_sub(count, Ordering::Relaxed);
                    waiting.leave(count);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// What waits is given up, and nothing more put in.
    fn cut(&self) {
        let mut waiting = self.waiting();
        self.budget.0.fetch_sub(waiting.len(), Ordering::Relaxed);
        (waiting.bytes, waiting.left, waiting.cut) = (Vec::new(), 0, true);
    }
}

/// Puts messages in. Once it is dropped, the connection ends as soon as all is written.
#[derive(Debug)]
pub(crate) struct Sender(Arc<Shared>);

/// Takes bytes out, for the task that writes them.
#[derive(Debug)]
pub(crate) struct Outbox(Arc<Shared>);

/// Both sides of one connection's outbox.
pub(crate) fn outbox(budget: &Budget) -> (Sender, Outbox) {
    let waiting = Mutex::new(Waiting::default());
    let stream = OnceLock::new();
    let shared = Arc::new(Shared {
        stream,
        waiting,
        news: Notify::new(),
        budget: budget.clone(),
    });
    (Sender(shared.clone()), Outbox(shared))
}

impl Sender {
    /// Puts a message in; [`Self::flush`] writes it.
    pub fn send(&self, message: &[u8]) {
        let mut waiting = self.0.waiting();
        if waiting.cut {
            return;
        }
        waiting.bytes.extend_from_slice(message);
        let end = waiting.gone + waiting.len() as u64;
        waiting.ends.push_back(end);
        self.0.budget.0.fetch_add(message.len(), Ordering::Relaxed);
    }

    /// Writes what the other end takes now, and leaves the rest to the connection's task; whether there is none.
    pub fn flush(&self) -> bool {
        // Of what went wrong the connection's task learns as well.
        let whole = self.0.write().is_ok() && self.len() == 0;
        if !whole {
            self.0.news.notify_one();
        }
        whole
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.0.waiting().len()
    }

    /// The connection is to end if its other end says nothing before it learns of that.
    pub fn close_idle(&self) {
        self.0.waiting().idle = true;
        self.0.news.notify_one();
    }

    /// Gives up what waits: the connection ends at once.
    pub fn cut(&self) {
        self.0.cut();
        if let Some((stream, _)) = self.0.stream.get() {
            // The other end is to see it before anything that is written elsewhere after this.
            let _ = SockRef::from(&**stream).shutdown(Shutdown::Both);
        }
        self.0.news.notify_one();
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        self.0.waiting().closed = true;
        self.0.news.notify_one();
    }
}

impl Outbox {
    /// The connection stands, and holds these places until it is closed.
    pub fn attach(&self, stream: &Arc<TcpStream>, places: Vec<OwnedSemaphorePermit>) {
        let _ = self.0.stream.set((stream.clone(), places));
    }

    /// Comes back when something was put in, or nothing more will be, since it last did.
    pub async fn news(&self) {
        self.0.news.notified().await;
    }

    /// Bytes that wait.
    pub fn len(&self) -> usize {
        self.0.waiting().len()
    }

    /// Whether its sender is done with the connection, whatever still waits.
    pub fn is_closed(&self) -> bool {
        let waiting = self.0.waiting();
        waiting.closed || waiting.cut
    }

    /// Whether the connection is to end unless its other end said something.
    pub fn is_idle_closed(&self) -> bool {
        let waiting = self.0.waiting();
        waiting.idle && waiting.len() == 0
    }

    /// Its other end said something.
    pub fn stays(&self) {
        self.0.waiting().idle = false;
    }

    /// Whether the connection ends: nothing more comes, and what waits was written or given up.
    pub fn is_over(&self) -> bool {
        let waiting = self.0.waiting();
        waiting.cut || waiting.closed && waiting.len() == 0
    }

    /// Messages of which a byte left.
    pub fn begun(&self) -> u64 {
        let waiting = self.0.waiting();
        waiting.whole + u64::from(waiting.gone > waiting.whole_until)
    }

    /// Writes what the other end takes now.
    pub fn write(&self) -> io::Result<()> {
        self.0.write()
    }
}

impl Drop for Outbox {
    fn drop(&mut self) {
        self.0.cut();
    }
}

#[cfg(test)]
mod tests;
