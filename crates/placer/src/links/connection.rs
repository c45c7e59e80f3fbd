//! One TCP connection to a node: connecting, and reading and writing frames until the link ends.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use reedring_core::Input;
use reedring_node_protocol::{FrameDecoder, FrameError, Message, Traffic, encode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::error::{ConnectError, Disconnect};
use super::outbox::{AddressedMessage, MessageQueue, WRITE_BATCH, report_unwritten};
use crate::context::PlacerContext;
use crate::inbound::{InboundEvent, InboundSender};
use crate::link_number::LinkNumber;

/// Size of the read buffer during the handshake, in bytes.
const HANDSHAKE_BUFFER: usize = 4 * 1024;
/// Size of the read buffer once the link is established, or while a version probe runs, in bytes.
const READ_BUFFER: usize = 64 * 1024;

/// Identifies a connection, and records its frames in the trace and in the traffic counters.
pub(super) struct LinkObserver {
    /// Context of the placer that connects; it holds the trace and the connect timeout.
    pub context: Arc<PlacerContext>,
    /// Name of the node in the node list.
    pub node: String,
    /// Number of the link, which the hello carries.
    pub link: LinkNumber,
    /// Counters of the messages exchanged with this node; `None` if they are not counted.
    pub traffic: Option<Arc<Traffic>>,
}

impl LinkObserver {
    fn record_read(&self, message: &Message, frame: &[u8]) {
        self.context
            .trace
            .node_frame_read(&self.node, self.link, frame);
        self.count_read(message, frame);
    }

    fn count_read(&self, message: &Message, frame: &[u8]) {
        if let Some(traffic) = &self.traffic {
            traffic.record_read(message, frame.len());
        }
    }

    fn record_write(&self, message: &Message, frame: &[u8]) {
        self.context
            .trace
            .node_frame_written(&self.node, self.link, frame);
        if let Some(traffic) = &self.traffic {
            traffic.record_written(message, frame.len());
        }
    }
}

/// The reading half of a connection.
struct FrameReader {
    stream: OwnedReadHalf,
    frames: FrameDecoder,
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Reads more bytes and returns their number, which is 0 if the node has closed the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        let count = self.stream.read(&mut self.buffer).await?;
        self.frames.push(&self.buffer[..count]);
        Ok(count)
    }

    /// Returns the next complete message with its frame; `None` while more bytes are needed.
    fn next_message(&mut self) -> Result<Option<(Message, &[u8])>, FrameError> {
        self.frames.next_message()
    }
}

/// The writing half of a connection.
struct FrameWriter {
    stream: OwnedWriteHalf,
}

impl FrameWriter {
    /// Records the messages, then writes them with one call.
    async fn write(&mut self, messages: &[Message], observer: &LinkObserver) -> io::Result<()> {
        let mut bytes = Vec::new();
        for message in messages {
            let frame = encode(message);
            observer.record_write(message, &frame);
            bytes.extend_from_slice(&frame);
        }
        self.stream.write_all(&bytes).await
    }
}

/// A TCP connection to a node, before or after the handshake.
pub(super) struct Connection {
    reader: FrameReader,
    writer: FrameWriter,
    observer: LinkObserver,
}

impl Connection {
    /// Connects to the node; fails if that takes longer than the placer's connect timeout.
    pub async fn open(address: SocketAddr, observer: LinkObserver) -> Result<Self, ConnectError> {
        let limit = observer.context.connect_timeout;
        let connected = tokio::time::timeout(limit, TcpStream::connect(address)).await;
        let connected = connected.map_err(|_| ConnectError::ConnectTimeout(address))?;
        let stream = connected.map_err(|error| ConnectError::Connect { address, error })?;
        let _ = stream.set_nodelay(true);
        let (read, write) = stream.into_split();
        let reader = FrameReader {
            stream: read,
            frames: FrameDecoder::default(),
            buffer: vec![0; HANDSHAKE_BUFFER],
        };
        Ok(Self {
            reader,
            writer: FrameWriter { stream: write },
            observer,
        })
    }

    /// Context of the placer, which the handshake reads.
    pub fn context(&self) -> &PlacerContext {
        &self.observer.context
    }

    /// Number of the link, which the hello carries.
    pub fn link(&self) -> LinkNumber {
        self.observer.link
    }

    /// Writes one message.
    pub async fn write_message(&mut self, message: Message) -> io::Result<()> {
        self.writer.write(&[message], &self.observer).await
    }

    /// Reads the node's first message; returns `None` if the node closes the connection without one.
    pub async fn read_first_message(&mut self) -> Result<Option<Message>, ConnectError> {
        loop {
            if let Some((message, frame)) = self.reader.next_message()? {
                self.observer.record_read(&message, frame);
                return Ok(Some(message));
            }
            if self
                .reader
                .fill()
                .await
                .map_err(ConnectError::ReadWelcome)?
                == 0
            {
                return Ok(None);
            }
        }
    }

    /// Reads messages until `is_wanted` matches one; returns false if the connection ends first. The messages are
    /// counted but not recorded in the trace, as they are not part of an established link.
    pub async fn read_until(&mut self, is_wanted: impl Fn(&Message) -> bool) -> bool {
        self.reader.buffer.resize(READ_BUFFER, 0);
        loop {
            match self.reader.next_message() {
                Ok(Some((message, frame))) => {
                    self.observer.count_read(&message, frame);
                    if is_wanted(&message) {
                        return true;
                    }
                    continue;
                }
                Ok(None) => {}
                Err(_) => return false,
            }
            match self.reader.fill().await {
                Ok(count) if count > 0 => {}
                _ => return false,
            }
        }
    }

    /// Reads and writes messages until the link ends, and returns why it ended.
    pub async fn run(self, messages: &mut MessageQueue, inbound: &InboundSender) -> Disconnect {
        let Self {
            mut reader,
            mut writer,
            observer,
        } = self;
        let end = tokio::select! {
            end = read_messages(&mut reader, &observer, inbound) => end,
            end = write_messages(&mut writer, &observer, messages, inbound) => end,
        };
        end.unwrap_or_else(|reason| reason)
    }
}

/// Sends the node's messages to the event loop until the link ends, and returns why it ended.
///
/// An error of the connection is returned as `Err`, so that `?` can be used; both variants mean the end of the link.
async fn read_messages(
    reader: &mut FrameReader,
    observer: &LinkObserver,
    inbound: &InboundSender,
) -> Result<Disconnect, Disconnect> {
    reader.buffer.resize(READ_BUFFER, 0);
    loop {
        while let Some((message, frame)) = reader.next_message()? {
            observer.record_read(&message, frame);
            let input = Input::Message {
                node: observer.node.clone(),
                message,
            };
            if inbound.send(InboundEvent::Core(input)).await.is_err() {
                return Ok(Disconnect::ShuttingDown);
            }
        }
        if reader.fill().await? == 0 {
            return Ok(Disconnect::ClosedByNode);
        }
    }
}

/// Writes the core's messages until the link ends, and returns why it ended.
///
/// Messages that the core addressed to an older link are discarded, including those that it sends before it has handled
/// that this link is established. An offer among them would reach the node after the node has reported its running
/// tasks, when the core already counts the offer as never sent.
async fn write_messages(
    writer: &mut FrameWriter,
    observer: &LinkObserver,
    messages: &mut MessageQueue,
    inbound: &InboundSender,
) -> Result<Disconnect, Disconnect> {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, WRITE_BATCH).await > 0 {
        let (current, outdated): (Vec<AddressedMessage>, Vec<AddressedMessage>) = batch
            .drain(..)
            .partition(|message| message.link == Some(observer.link));
        report_unwritten(outdated, inbound).await;
        let current: Vec<Message> = current
            .into_iter()
            .map(|addressed| addressed.message)
            .collect();
        writer.write(&current, observer).await?;
    }
    Ok(Disconnect::ClosedByPlacer)
}
