//! Connects, reads and writes links to hosts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reedring_platform_protocol::host;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::{
    ConnectionPermits, Incoming, Read, WRITE_STALL_LIMIT, deadline, read, read_buffered, write,
};
use crate::decide::LinkEnd;
use crate::ids::LinkId;
use crate::io::Input;
use crate::log_event::LogEvent;
use crate::write_buffer::WriteQueue;

/// Delay before a connection that failed because no descriptor was free is tried again.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(10);
/// How long a closed link is read while its host does not close it: longer than the 8 s within which clients must be
/// notified of an end that the host could not report. A host that does not answer in between may still report it.
const HALF_CLOSED_LIMIT: Duration = Duration::from_secs(10);
/// Maximum number of buffers read from a link after it ended.
const MAX_REST_READS: usize = 8;
/// System error numbers for no free descriptor in the machine (ENFILE) or in the process (EMFILE).
const NO_DESCRIPTOR_ERRORS: [i32; 2] = [23, 24];

/// Connects a link and serves it until it ends.
pub(crate) struct HostConnector {
    pub link: LinkId,
    pub address: SocketAddr,
    pub timeout: Duration,
    pub permits: ConnectionPermits,
    pub incoming: mpsc::Sender<Incoming>,
}

impl HostConnector {
    /// Connects the link and serves it until it ends. The end is reported unless the event loop has ended.
    pub async fn run(self, queue: WriteQueue) {
        let end = match self.connect(&queue).await {
            Ok(stream) => self.serve(&stream, &queue).await,
            Err(end) => Some(end),
        };
        let Some(end) = end else {
            return;
        };
        let messages_begun = queue.end_writing();
        let down = Input::LinkDown {
            link: self.link,
            end,
            messages_begun,
        };
        let _ = self.incoming.send(Incoming::Input(down)).await;
    }

    /// Waits for a permit and connects. A link that is closed meanwhile is still connected, as the host may report the
    /// ends of tasks on it as soon as it accepts it, but not if the link was aborted.
    ///
    /// # Errors
    /// Why there is no connection.
    async fn connect(&self, queue: &WriteQueue) -> Result<Arc<TcpStream>, LinkEnd> {
        // The connect timeout starts only once there is a permit: a shortage of descriptors in the placer must not
        // count as a failure of the host.
        let permit = tokio::select! {
            permit = self.permits.for_link() => permit,
            () = wait_until(queue, |queue| queue.is_closed() || queue.is_half_closed()) => {
                return Err(LinkEnd::Closed);
            }
        };
        let connected = tokio::select! {
            connected = timeout(self.timeout, connect(self.address)) => connected,
            () = wait_until(queue, WriteQueue::is_closed) => return Err(LinkEnd::Incomplete),
        };
        match connected {
            Ok(Ok(stream)) => {
                let stream = Arc::new(stream);
                queue.attach(&stream, permit.into_iter().collect());
                Ok(stream)
            }
            Ok(Err(error)) => Err(self.connect_failed(error).await),
            Err(_) => Err(LinkEnd::ConnectFailed),
        }
    }

    async fn connect_failed(&self, error: io::Error) -> LinkEnd {
        if error.kind() == io::ErrorKind::ConnectionRefused {
            return LinkEnd::Refused;
        }
        let (address, error) = (self.address, Arc::new(error));
        let event = LogEvent::LinkConnectFailed { address, error };
        let _ = self.incoming.send(Incoming::Log(event)).await;
        LinkEnd::ConnectFailed
    }

    /// Reports that the link is up and serves it until it ends. Returns `None` if the event loop has ended.
    async fn serve(&self, stream: &TcpStream, queue: &WriteQueue) -> Option<LinkEnd> {
        let up = Incoming::Input(Input::LinkUp(self.link));
        self.incoming.send(up).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut reader = host::Reader::default();
        let end = self.read_and_write(stream, queue, &mut reader).await;
        if end == LinkEnd::Unreadable {
            return Some(end);
        }
        // After an abort the socket reports an end of stream that is not the host's.
        let is_read_to_end = self.read_rest(stream, &mut reader).await && !queue.is_closed();
        Some(match end {
            LinkEnd::Closed if !is_read_to_end => LinkEnd::Incomplete,
            end => end,
        })
    }

    /// Reads and writes until the link ends, and returns how it ended; [`LinkEnd::Closed`] if there was no error, whoever
    /// ended it.
    async fn read_and_write(
        &self,
        stream: &TcpStream,
        queue: &WriteQueue,
        reader: &mut host::Reader,
    ) -> LinkEnd {
        let mut stalled_since: Option<Instant> = None;
        let mut half_closed_since: Option<Instant> = None;
        loop {
            tokio::select! {
                // Input and errors of the host are processed before more is written to it.
                biased;
                ready = stream.readable() => {
                    let read = match ready {
                        Ok(()) => self.read(stream, reader).await,
                        Err(_) => Err(LinkEnd::Reset),
                    };
                    match read {
                        Ok(()) => continue,
                        Err(end) => return end,
                    }
                }
                ready = stream.writable(), if stalled_since.is_some() => {
                    if ready.is_err() {
                        return LinkEnd::Reset;
                    }
                }
                () = queue.changed() => {}
                () = deadline(stalled_since, WRITE_STALL_LIMIT), if stalled_since.is_some() => {
                    return LinkEnd::Reset;
                }
                () = deadline(half_closed_since, HALF_CLOSED_LIMIT), if half_closed_since.is_some() => {
                    return LinkEnd::Closed;
                }
            }
            // Checked before writing: the socket may have been reset already.
            if !matches!(stream.take_error(), Ok(None)) {
                return LinkEnd::Reset;
            }
            match write(queue, stalled_since) {
                Ok(since) => stalled_since = since,
                Err(_) => return LinkEnd::Reset,
            }
            if queue.is_done() {
                return LinkEnd::Closed;
            }
            if queue.is_half_closed() && half_closed_since.is_none() {
                half_closed_since = Some(Instant::now());
            }
        }
    }

    /// Reports what the host sent before the link ended and was not read yet. Returns whether all input was read up to an
    /// end of stream that follows a whole message.
    async fn read_rest(&self, stream: &TcpStream, reader: &mut host::Reader) -> bool {
        for _ in 0..MAX_REST_READS {
            match read_buffered(stream, |bytes| reader.push(bytes)) {
                Ok(Read::Bytes) if self.report(reader).await.is_ok() => {}
                Ok(Read::EndOfStream) => return !reader.is_partial(),
                Ok(Read::Bytes | Read::Nothing) | Err(_) => return false,
            }
        }
        false
    }

    /// Reads once and reports all complete messages.
    ///
    /// # Errors
    /// How the link ended.
    async fn read(&self, stream: &TcpStream, reader: &mut host::Reader) -> Result<(), LinkEnd> {
        match read(stream, |bytes| reader.push(bytes)) {
            Ok(Read::Nothing) => return Ok(()),
            Ok(Read::Bytes) => {}
            Ok(Read::EndOfStream) => return Err(LinkEnd::Closed),
            Err(_) => return Err(LinkEnd::Reset),
        }
        self.report(reader).await
    }

    /// Reports all complete messages that were read.
    ///
    /// # Errors
    /// How the link ended: its input can't be read, or the event loop has ended.
    async fn report(&self, reader: &mut host::Reader) -> Result<(), LinkEnd> {
        loop {
            match reader.next_message() {
                Ok(Some(message)) => {
                    let input = Incoming::Input(Input::HostMessage(self.link, message));
                    self.incoming
                        .send(input)
                        .await
                        .map_err(|_| LinkEnd::Reset)?;
                }
                Ok(None) => return Ok(()),
                Err(error) => {
                    let event = LogEvent::LinkUnreadable {
                        link: self.link,
                        error,
                    };
                    let _ = self.incoming.send(Incoming::Log(event)).await;
                    return Err(LinkEnd::Unreadable);
                }
            }
        }
    }
}

/// Waits until the write buffer satisfies `condition`.
async fn wait_until(queue: &WriteQueue, condition: impl Fn(&WriteQueue) -> bool) {
    while !condition(queue) {
        queue.changed().await;
    }
}

/// Connects, and tries again while the placer has no free descriptor, as that is no failure of the host.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if is_out_of_descriptors(&error) => {
                tokio::time::sleep(DESCRIPTOR_RETRY_DELAY).await;
            }
            connected => return connected,
        }
    }
}

fn is_out_of_descriptors(error: &io::Error) -> bool {
    error
        .raw_os_error()
        .is_some_and(|number| NO_DESCRIPTOR_ERRORS.contains(&number))
}
