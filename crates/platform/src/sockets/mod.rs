//! Connections of clients and links to hosts: one task each, which moves bytes and decides nothing.

mod client;
mod host;
mod permits;
#[cfg(test)]
mod tests;

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::ids::ConnId;
use crate::io::Input;
use crate::log_event::LogEvent;
use crate::write_buffer::{MessageWriter, WriteQueue};

pub(crate) use client::Acceptor;
pub(crate) use host::HostConnector;
pub(crate) use permits::ConnectionPermits;

/// A connection on which nothing can be written for so long is ended: its other end does not read.
const WRITE_STALL_LIMIT: Duration = Duration::from_millis(2_400);
/// The size of the buffer through which all input goes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// What the tasks of connections, discovery and signals send to the loop around the engine.
pub(crate) enum Incoming {
    /// A client connected; its messages are written by this writer.
    Client(ConnId, MessageWriter),
    /// An input for the engine.
    Input(Input),
    /// What was read of a client at once.
    Inputs(Vec<Input>),
    /// An event for the operators' log.
    Log(LogEvent),
}

thread_local! {
    /// All input goes through one buffer, whatever the number of connections.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BUFFER_BYTES]);
}

/// What a read of a socket gave.
enum Read {
    /// There is nothing to read now.
    Nothing,
    /// Some bytes were passed on.
    Bytes,
    /// The other end sends nothing more.
    EndOfStream,
}

/// Reads once what there is, and passes it on.
fn read(stream: &TcpStream, pass_on: impl FnOnce(&[u8])) -> io::Result<Read> {
    BUFFER.with_borrow_mut(|buffer| match stream.try_read(buffer) {
        Ok(0) => Ok(Read::EndOfStream),
        Ok(count) => {
            pass_on(&buffer[..count]);
            Ok(Read::Bytes)
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(Read::Nothing),
        Err(error) => Err(error),
    })
}

/// Waits until a time limit is over that began at `since`.
async fn limit_over(since: Option<Instant>, limit: Duration) {
    tokio::time::sleep_until(since.unwrap_or_else(Instant::now) + limit).await;
}

/// Writes what the other end takes; since when it takes nothing, if something waits.
fn write(queue: &WriteQueue, stalled_since: Option<Instant>) -> io::Result<Option<Instant>> {
    let before = queue.len();
    queue.write()?;
    Ok(match queue.len() {
        0 => None,
        rest if rest < before => Some(Instant::now()),
        _ => Some(stalled_since.unwrap_or_else(Instant::now)),
    })
}
