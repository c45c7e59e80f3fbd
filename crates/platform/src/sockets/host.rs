//! Connects, reads and writes links to hosts.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reedring_platform_protocol::host;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use super::{ConnectionPermits, Incoming, Read, WRITE_STALL_LIMIT, deadline, read, write};
use crate::decide::LinkEnd;
use crate::ids::LinkId;
use crate::io::Input;
use crate::log_event::LogEvent;
use crate::write_buffer::WriteQueue;

/// Delay before a connection that failed because no descriptor was free is tried again.
const DESCRIPTOR_RETRY_DELAY: Duration = Duration::from_millis(10);
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
    /// Connects the link and serves it until it ends. The end is not reported if the engine closed the link before it
    /// was served, or if the event loop has ended.
    pub async fn run(self, queue: WriteQueue) {
        // The connect timeout starts only once there is a permit: a shortage of descriptors in the placer must not
        // count as a failure of the host.
        let permit = tokio::select! {
            permit = self.permits.for_link() => permit,
            () = closed(&queue) => return,
        };
        let end = tokio::select! {
            connected = timeout(self.timeout, connect(self.address)) => match connected {
                Ok(Ok(stream)) => {
                    let stream = Arc::new(stream);
                    queue.attach(&stream, permit.into_iter().collect());
                    match self.serve(&stream, &queue).await {
                        Some(end) => end,
                        None => return,
                    }
                }
                Ok(Err(error)) => self.connect_failed(error).await,
                Err(_) => LinkEnd::ConnectFailed,
            },
            () = closed(&queue) => return,
        };
        let messages_begun = queue.messages_begun();
        let down = Input::LinkDown {
            link: self.link,
            end,
            messages_begun,
        };
        let _ = self.incoming.send(Incoming::Input(down)).await;
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
        let mut stalled_since: Option<Instant> = None;
        loop {
            tokio::select! {
                // Input and errors of the host are processed before more is written to it.
                biased;
                ready = stream.readable() => {
                    let read = match ready {
                        Ok(()) => self.read(stream, &mut reader).await,
                        Err(_) => Err(LinkEnd::Reset),
                    };
                    match read {
                        Ok(()) => continue,
                        Err(end) => return Some(end),
                    }
                }
                ready = stream.writable(), if stalled_since.is_some() => {
                    if ready.is_err() {
                        return Some(LinkEnd::Reset);
                    }
                }
                () = queue.changed() => {}
                () = deadline(stalled_since, WRITE_STALL_LIMIT), if stalled_since.is_some() => {
                    return Some(LinkEnd::Reset);
                }
            }
            // Checked before writing: the socket may have been reset already.
            if !matches!(stream.take_error(), Ok(None)) {
                return Some(LinkEnd::Reset);
            }
            match write(queue, stalled_since) {
                Ok(since) => stalled_since = since,
                Err(_) => return Some(LinkEnd::Reset),
            }
            if queue.is_done() {
                return Some(LinkEnd::Closed);
            }
        }
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

/// Waits until the engine has closed the link.
async fn closed(queue: &WriteQueue) {
    while !queue.is_closed() {
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
