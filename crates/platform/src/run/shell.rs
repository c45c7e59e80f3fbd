//! Executes the engine's outputs: connections, messages and log events.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::host::ToHost;
use tokio::sync::{mpsc, oneshot};

use crate::ids::{ConnId, LinkId};
use crate::io::{Input, Output};
use crate::log_event::{LogEvent, Peer};
use crate::message_log;
use crate::sockets::{ConnectionPermits, HostConnector, Incoming};
use crate::state::Engine;
use crate::write_buffer::{MessageWriter, WriteBudget, WriteBuffer};

use super::log::RateLimitedLog;

/// Maximum time at the exit for the last messages to clients to be written.
const WRITE_ALL_LIMIT: Duration = Duration::from_millis(300);
/// Interval at which the exit checks whether all messages are written.
const WRITE_ALL_POLL: Duration = Duration::from_millis(5);

/// Links that are being closed are ended early if fewer permits than this are left for other connections.
const MIN_FREE_PERMITS: usize = 8;

/// Parameters of [`Shell::new`].
pub(super) struct ShellSettings {
    pub connect_timeout: Duration,
    pub permits: ConnectionPermits,
    pub budget: WriteBudget,
    /// Limit on the unwritten bytes of all connections together.
    pub max_pending_bytes: usize,
    /// Dropped to stop accepting new connections.
    pub stop_listening: oneshot::Sender<()>,
    pub incoming: mpsc::Sender<Incoming>,
}

/// Holds the writers of client connections and of links to hosts, by their numbers.
pub(super) struct Shell {
    pub(super) clients: BTreeMap<ConnId, MessageWriter>,
    pub(super) links: BTreeMap<LinkId, MessageWriter>,
    /// Links whose sending side is closed and whose hosts have not closed the other side yet.
    closing_links: BTreeMap<LinkId, MessageWriter>,
    connect_timeout: Duration,
    permits: ConnectionPermits,
    pub(super) budget: WriteBudget,
    max_pending_bytes: usize,
    /// Client connections with messages added since the last [`Shell::flush`].
    unflushed_clients: Vec<ConnId>,
    /// Links with messages added since the last [`Shell::flush`].
    unflushed_links: Vec<LinkId>,
    stop_listening: Option<oneshot::Sender<()>>,
    incoming: mpsc::Sender<Incoming>,
    log: RateLimitedLog,
}

impl Shell {
    pub(super) fn new(settings: ShellSettings) -> Self {
        Self {
            clients: BTreeMap::new(),
            links: BTreeMap::new(),
            closing_links: BTreeMap::new(),
            connect_timeout: settings.connect_timeout,
            permits: settings.permits,
            budget: settings.budget,
            max_pending_bytes: settings.max_pending_bytes,
            unflushed_clients: Vec::new(),
            unflushed_links: Vec::new(),
            stop_listening: Some(settings.stop_listening),
            incoming: settings.incoming,
            log: RateLimitedLog::default(),
        }
    }

    /// Passes received input to the engine; returns the number of inputs.
    pub(super) fn handle_incoming(
        &mut self,
        engine: &mut Engine,
        now: u64,
        incoming: Incoming,
    ) -> usize {
        match incoming {
            Incoming::Client(conn, writer) => {
                self.clients.insert(conn, writer);
                self.handle(engine, now, Input::ClientConnected(conn));
                1
            }
            Incoming::Input(input) => {
                self.handle(engine, now, input);
                1
            }
            Incoming::Inputs(inputs) => inputs.handle_all(|input| self.handle(engine, now, input)),
            Incoming::Log(event) => {
                self.log.write(now, &event);
                0
            }
        }
    }

    fn handle(&mut self, engine: &mut Engine, now: u64, input: Input) {
        match &input {
            Input::ClientDisconnected(conn) => drop(self.clients.remove(conn)),
            Input::LinkDown { link, .. } => {
                self.links.remove(link);
                self.closing_links.remove(link);
            }
            _ => {}
        }
        message_log::write(|| message_log::input_line(&input));
        engine.handle(now, input);
    }

    pub(super) fn execute(&mut self, now: u64, output: Output) {
        message_log::write(|| message_log::output_line(&output));
        match output {
            Output::ToClient(conn, message) => {
                if let Some(writer) = self.clients.get(&conn) {
                    writer.send(&message.encode());
                    self.unflushed_clients.push(conn);
                    self.limit_pending_bytes(now);
                }
            }
            Output::CloseClient(conn) => {
                if let Some(writer) = self.clients.remove(&conn) {
                    writer.flush();
                }
            }
            Output::CloseIdleClient(conn) => {
                if let Some(writer) = self.clients.get(&conn) {
                    writer.close_if_idle();
                }
            }
            Output::Connect(link, address) => self.connect(link, address),
            Output::ToHost(link, message) => self.send_to_host(now, link, &message),
            Output::CloseLink(link) => self.close_link(link),
            Output::StopListening => drop(self.stop_listening.take()),
            Output::Log(event) => self.log.write(now, &event),
            Output::MayExit => {}
        }
    }

    fn connect(&mut self, link: LinkId, address: SocketAddr) {
        let buffer = WriteBuffer::new(&self.budget);
        self.links.insert(link, buffer.writer);
        let connector = HostConnector {
            link,
            address,
            timeout: self.connect_timeout,
            permits: self.permits.clone(),
            incoming: self.incoming.clone(),
        };
        tokio::spawn(connector.run(buffer.queue));
    }

    /// Closes the sending side of a link. The link ends when the host has closed the other side, as the host may send the
    /// end of a task until it learns of the close.
    fn close_link(&mut self, link: LinkId) {
        let Some(writer) = self.links.remove(&link) else {
            return;
        };
        // Closing the link gives up its attempts, which must happen before they are sent on another link.
        writer.flush();
        writer.half_close();
        self.closing_links.insert(link, writer);
    }

    /// Ends links that are being closed, the oldest first, as long as few permits for other connections are left.
    fn end_closing_links_for_permits(&mut self) {
        let missing = MIN_FREE_PERMITS.saturating_sub(self.permits.available());
        for _ in 0..missing {
            let Some((_, writer)) = self.closing_links.pop_first() else {
                return;
            };
            writer.abort();
        }
    }

    fn send_to_host(&mut self, now: u64, link: LinkId, message: &ToHost) {
        let Some(writer) = self.links.get(&link) else {
            return;
        };
        writer.send(&message.encode());
        if !matches!(
            message,
            ToHost::Release {
                cause: GIVEN_UP,
                ..
            }
        ) {
            self.unflushed_links.push(link);
        } else if !writer.flush() {
            // The host must learn that the attempt is given up before the request is sent elsewhere. If the release
            // can't be written now, the link is shut down instead.
            writer.abort();
        }
        self.limit_pending_bytes(now);
    }

    /// Writes the messages that were added since the last call, and makes permits available for other connections.
    pub(super) fn flush(&mut self) {
        self.end_closing_links_for_permits();
        for link in self.unflushed_links.drain(..) {
            self.links.get(&link).map(MessageWriter::flush);
        }
        for conn in self.unflushed_clients.drain(..) {
            self.clients.get(&conn).map(MessageWriter::flush);
        }
    }

    /// If the unwritten bytes exceed the limit, closes the connection with the most of them, as its peer does not read.
    fn limit_pending_bytes(&mut self, now: u64) {
        if self.budget.pending() <= self.max_pending_bytes {
            return;
        }
        let client = self.clients.iter().max_by_key(|(_, writer)| writer.len());
        let link = self.links.iter().max_by_key(|(_, writer)| writer.len());
        let client = client.map(|(conn, writer)| (Peer::Client(*conn), writer));
        let link = link.map(|(link, writer)| (Peer::Host(*link), writer));
        let largest = client
            .into_iter()
            .chain(link)
            .max_by_key(|(_, writer)| writer.len());
        if let Some((peer, writer)) = largest {
            let pending_bytes = writer.len();
            writer.abort();
            self.log.write(
                now,
                &LogEvent::WriteBufferLimit {
                    peer,
                    pending_bytes,
                },
            );
        }
    }

    /// Waits up to [`WRITE_ALL_LIMIT`] until the last messages to clients are written.
    pub(super) async fn write_all(&mut self) {
        let clients = std::mem::take(&mut self.clients);
        let written = async {
            for writer in clients.into_values() {
                while writer.len() > 0 {
                    tokio::time::sleep(WRITE_ALL_POLL).await;
                }
            }
        };
        let _ = tokio::time::timeout(WRITE_ALL_LIMIT, written).await;
        tokio::time::sleep(WRITE_ALL_POLL).await;
    }
}
