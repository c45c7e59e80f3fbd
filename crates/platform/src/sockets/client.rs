//! Clients' connections: accepted, read and written.

use std::sync::Arc;
use std::time::Duration;

use reedring_platform_protocol::client;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::Instant;

use super::{ConnectionPermits, Incoming, Read, WRITE_STALL_LIMIT, limit_over, read, write};
use crate::errors::ClientReadError;
use crate::ids::ConnId;
use crate::io::Input;
use crate::write_buffer::{WriteBudget, WriteBuffer, WriteQueue};

/// A message that has begun must end in this time.
const MESSAGE_LIMIT: Duration = Duration::from_millis(2_400);
/// How many buffers are read of a client at once.
const MAX_READS: usize = 2;

/// Accepts clients' connections.
pub(crate) struct Acceptor {
    pub permits: ConnectionPermits,
    pub budget: WriteBudget,
    pub incoming: mpsc::Sender<Incoming>,
}

impl Acceptor {
    /// Accepts until it is told to stop; connections that the system accepted by then are taken as well.
    pub async fn run(self, listener: TcpListener, mut stopped: oneshot::Receiver<()>) {
        let mut last: ConnId = 0;
        loop {
            let Some(permits) = self.permits.for_client().await else {
                return;
            };
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = &mut stopped => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    last += 1;
                    if !self.admit(last, stream, permits).await {
                        return;
                    }
                }
                Err(error) => reedring_connection::pause_after_accept_error(&error).await,
            }
        }
    }

    /// Reports a new connection and starts its task; whether the loop still runs.
    async fn admit(
        &self,
        conn: ConnId,
        stream: TcpStream,
        permits: Vec<OwnedSemaphorePermit>,
    ) -> bool {
        let stream = Arc::new(stream);
        let buffer = WriteBuffer::new(&self.budget);
        buffer.queue.attach(&stream, permits);
        if self
            .incoming
            .send(Incoming::Client(conn, buffer.writer))
            .await
            .is_err()
        {
            return false;
        }
        let incoming = self.incoming.clone();
        tokio::spawn(async move {
            ClientTask::new(conn, &stream, buffer.queue, &incoming)
                .run()
                .await;
            drop(stream);
            let _ = incoming
                .send(Incoming::Input(Input::ClientDisconnected(conn)))
                .await;
        });
        true
    }
}

/// What was read of a client at once.
enum ReadOutcome {
    /// Its messages, and whether nothing more is to be read from it.
    Read { inputs: Vec<Input>, is_last: bool },
    /// Its connection broke.
    Broken,
}

/// What happened to a connection.
enum Wake {
    Readable,
    /// Something may be written.
    Writable,
    /// A message did not end in time.
    MessageOverdue,
    /// The connection broke, or its other end does not read.
    Broken,
}

/// The task of a client's connection.
pub(super) struct ClientTask<'a> {
    conn: ConnId,
    stream: &'a TcpStream,
    queue: WriteQueue,
    incoming: &'a mpsc::Sender<Incoming>,
    reader: client::Reader,
    /// Since when a message waits for its rest.
    message_since: Option<Instant>,
    /// Since when bytes wait for the client to read.
    stalled_since: Option<Instant>,
    /// The client may still send something.
    is_reading: bool,
}

impl<'a> ClientTask<'a> {
    pub(super) fn new(
        conn: ConnId,
        stream: &'a TcpStream,
        queue: WriteQueue,
        incoming: &'a mpsc::Sender<Incoming>,
    ) -> Self {
        Self {
            conn,
            stream,
            queue,
            incoming,
            reader: client::Reader::default(),
            message_since: None,
            stalled_since: None,
            is_reading: true,
        }
    }

    /// Reads and writes until the connection ends.
    pub(super) async fn run(mut self) {
        let _ = self.stream.set_nodelay(true);
        loop {
            let may_go_on = match self.wake().await {
                Wake::Broken => false,
                Wake::Writable => true,
                Wake::Readable => self.read_and_report().await,
                Wake::MessageOverdue => {
                    (self.is_reading, self.message_since) = (false, None);
                    let error = ClientReadError::Incomplete;
                    self.report(vec![Input::ClientUnreadable(self.conn, error)])
                        .await
                }
            };
            if !may_go_on {
                return;
            }
            match write(&self.queue, self.stalled_since) {
                Ok(since) => self.stalled_since = since,
                Err(_) => return,
            }
            if self.queue.is_done() {
                return;
            }
        }
    }

    async fn wake(&self) -> Wake {
        // A connection that is to be closed as idle may have sent something meanwhile: that is read first.
        let must_read = self.is_reading && self.queue.is_closing_if_idle();
        let (stalled, message) = (self.stalled_since, self.message_since);
        tokio::select! {
            () = std::future::ready(()), if must_read => Wake::Readable,
            ready = self.stream.readable(), if self.is_reading => {
                if ready.is_ok() { Wake::Readable } else { Wake::Broken }
            }
            ready = self.stream.writable(), if stalled.is_some() => {
                if ready.is_ok() { Wake::Writable } else { Wake::Broken }
            }
            () = self.queue.changed() => Wake::Writable,
            () = limit_over(stalled, WRITE_STALL_LIMIT), if stalled.is_some() => Wake::Broken,
            () = limit_over(message, MESSAGE_LIMIT), if message.is_some() => Wake::MessageOverdue,
        }
    }

    /// Reads what there is and reports it; whether the connection goes on.
    async fn read_and_report(&mut self) -> bool {
        let ReadOutcome::Read { inputs, is_last } = self.read() else {
            return false;
        };
        let has_input = !inputs.is_empty();
        // What the client was promised is still written to it after its end of stream.
        self.is_reading &= !is_last;
        let is_partial = self.is_reading && self.reader.is_partial();
        let since = if has_input { None } else { self.message_since };
        self.message_since = is_partial.then(|| since.unwrap_or_else(Instant::now));
        if self.queue.is_closing_if_idle() {
            if !has_input && !is_partial {
                return false;
            }
            self.queue.keep_open();
        }
        !has_input || self.report(inputs).await
    }

    /// Reads all that there is, up to a limit: what a client sends, cancels and ends at once is reported together.
    fn read(&mut self) -> ReadOutcome {
        let mut inputs = Vec::new();
        let mut has_more = false;
        for _ in 0..MAX_READS {
            match read(self.stream, |bytes| self.reader.push(bytes)) {
                Ok(Read::Nothing) => {
                    has_more = false;
                    break;
                }
                Ok(Read::EndOfStream) => {
                    inputs.push(Input::ClientEndOfStream(self.conn));
                    return ReadOutcome::Read {
                        inputs,
                        is_last: true,
                    };
                }
                Ok(Read::Bytes) => has_more = true,
                Err(_) => return ReadOutcome::Broken,
            }
            if let Err(error) = self.decode(&mut inputs) {
                inputs.push(Input::ClientUnreadable(self.conn, error));
                return ReadOutcome::Read {
                    inputs,
                    is_last: true,
                };
            }
        }
        if !inputs.is_empty() {
            inputs.push(Input::ClientInputRead {
                conn: self.conn,
                has_more,
            });
        }
        ReadOutcome::Read {
            inputs,
            is_last: false,
        }
    }

    fn decode(&mut self, inputs: &mut Vec<Input>) -> Result<(), ClientReadError> {
        while let Some(message) = self.reader.next_message()? {
            inputs.push(Input::ClientMessage(self.conn, message));
        }
        Ok(())
    }

    /// Passes inputs on; whether the loop still runs.
    async fn report(&self, inputs: Vec<Input>) -> bool {
        self.incoming.send(Incoming::Inputs(inputs)).await.is_ok()
    }
}
