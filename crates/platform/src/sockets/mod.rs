//! Connections of clients and links to hosts. Each has a task that reads, decodes and writes; the engine makes all
//! decisions.

mod client;
mod host;
mod input_budget;
mod permits;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::io::{self, Read as _};
use std::time::Duration;

use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::ids::ConnId;
use crate::io::Input;
use crate::log_event::LogEvent;
use crate::write_buffer::{MessageWriter, WriteQueue};

pub(crate) use client::Acceptor;
pub(crate) use host::HostConnector;
pub(crate) use input_budget::{ClientInputs, InputBudget};
pub(crate) use permits::ConnectionPermits;

/// A connection on which nothing could be written for this long is closed, as its peer does not read.
const WRITE_STALL_LIMIT: Duration = Duration::from_millis(2_400);
/// Size of the buffer into which all sockets are read.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Items that the tasks of connections and signals send to the event loop.
pub(crate) enum Incoming {
    /// A client connected; the writer sends messages to it.
    Client(ConnId, MessageWriter),
    /// An input for the engine.
    Input(Input),
    /// Inputs of a client that were read together.
    Inputs(ClientInputs),
    /// An event for the operators' log.
    Log(LogEvent),
}

thread_local! {
    /// Shared by all connections of the thread, so that its memory doesn't grow with their number.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// Result of one read of a socket.
enum Read {
    /// The read would block.
    Nothing,
    /// At least one byte was read.
    Bytes,
    /// The peer has closed its sending side.
    EndOfStream,
}

/// Reads once without waiting and passes the bytes to `on_bytes`.
fn read(stream: &TcpStream, on_bytes: impl FnOnce(&[u8])) -> io::Result<Read> {
    read_with(|buffer| stream.try_read(buffer), on_bytes)
}

/// Like [`read`], but asks the system even if the runtime has not noticed yet that there is something to read. Input that
/// arrived before an error of the connection is returned before that error.
fn read_buffered(stream: &TcpStream, on_bytes: impl FnOnce(&[u8])) -> io::Result<Read> {
    let socket = SockRef::from(stream);
    read_with(|buffer| (&*socket).read(buffer), on_bytes)
}

fn read_with(
    read: impl FnOnce(&mut [u8]) -> io::Result<usize>,
    on_bytes: impl FnOnce(&[u8]),
) -> io::Result<Read> {
    BUFFER.with_borrow_mut(|buffer| match read(buffer) {
        Ok(0) => Ok(Read::EndOfStream),
        Ok(count) => {
            on_bytes(&buffer[..count]);
            Ok(Read::Bytes)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Read::Nothing),
        Err(error) => Err(error),
    })
}

/// Waits until `limit` has elapsed since `since`; an absent `since` counts as now.
async fn deadline(since: Option<Instant>, limit: Duration) {
    tokio::time::sleep_until(since.unwrap_or_else(Instant::now) + limit).await;
}

/// Writes as much as the socket accepts. Returns the time since which it has accepted nothing, or `None` if nothing is
/// pending.
fn write(queue: &WriteQueue, stalled_since: Option<Instant>) -> io::Result<Option<Instant>> {
    let before = queue.len();
    queue.write()?;
    Ok(match queue.len() {
        0 => None,
        rest if rest < before => Some(Instant::now()),
        _ => Some(stalled_since.unwrap_or_else(Instant::now)),
    })
}
