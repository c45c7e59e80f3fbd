//! One connection to a node: frames in and out, from the connect to the end of the link.

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

/// Bytes that are read at once before the link is established.
const HANDSHAKE_BUFFER: usize = 4 * 1024;
/// Bytes that are read at once from then on.
const READ_BUFFER: usize = 64 * 1024;

/// Whose connection it is, and where its frames are recorded and counted.
pub(super) struct LinkObserver {
    /// The placer.
    pub context: Arc<PlacerContext>,
    /// The node.
    pub node: String,
    /// The link.
    pub link: LinkNumber,
    /// Counters of this node's messages.
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
    /// Reads more bytes; how many, zero where the node has closed the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        let count = self.stream.read(&mut self.buffer).await?;
        self.frames.push(&self.buffer[..count]);
        Ok(count)
    }

    /// The next message that was read whole, with its frame.
    fn next_message(&mut self) -> Result<Option<(Message, &[u8])>, FrameError> {
        self.frames.next_message()
    }
}

/// The writing half of a connection.
struct FrameWriter {
    stream: OwnedWriteHalf,
}

impl FrameWriter {
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

/// A connection to a node.
pub(super) struct Connection {
    reader: FrameReader,
    writer: FrameWriter,
    observer: LinkObserver,
}

impl Connection {
    /// Connects within the placer's connect timeout.
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

    /// The placer, for the handshake.
    pub fn context(&self) -> &PlacerContext {
        &self.observer.context
    }

    /// The link's number.
    pub fn link(&self) -> LinkNumber {
        self.observer.link
    }

    /// Writes one message.
    pub async fn write_message(&mut self, message: Message) -> io::Result<()> {
        self.writer.write(&[message], &self.observer).await
    }

    /// The first message of the node; none where it closed the connection instead.
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

    /// Reads until a message of the node is the wanted one; false where the connection ends before. What is read is
    /// counted and not recorded: it belongs to no link.
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

    /// Carries messages both ways until the link ends.
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

/// Hands the node's messages to the event loop; returns only with the reason of the end.
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

/// Writes what the core sends; returns only with the reason of the end.
///
/// Messages that the core meant for an older link are discarded, also where it learns late that this link is established:
/// an offer among them would reach the node after the node has reported its running tasks, and count as never sent.
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
