//! Accepts, reads and writes the connections of clients.

use std::sync::Arc;
use std::time::Duration;

use reedring_platform_protocol::client::{self, FromClient};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::time::Instant;

use super::input_budget::Reservation;
use super::{
    ConnectionPermits, Incoming, InputBudget, Read, WRITE_STALL_LIMIT, deadline, read,
    read_buffered, write,
};
use crate::errors::ClientReadError;
use crate::ids::ConnId;
use crate::io::Input;
use crate::write_buffer::{WriteBudget, WriteBuffer, WriteQueue};

/// Maximum time for which a message may be incomplete.
const MESSAGE_LIMIT: Duration = Duration::from_millis(2_400);
/// Maximum number of buffers read from a client before its inputs are reported.
pub(super) const MAX_READS: usize = 2;

/// Maximum number of buffers read from a client after its connection broke: more than sockets hold. What it sent before may
/// end tasks.
const MAX_REST_READS: usize = 512;

/// Maximum number of messages reported at once. A decoded message is much larger than the shortest one that a client may
/// send, so the bytes that were read do not bound the memory of their inputs.
pub(super) const MAX_REPORTED_MESSAGES: usize = 255;

/// Accepts client connections.
pub(crate) struct Acceptor {
    pub permits: ConnectionPermits,
    pub budget: WriteBudget,
    pub input_budget: InputBudget,
    pub incoming: mpsc::Sender<Incoming>,
}

impl Acceptor {
    /// Accepts until `stopped` resolves; connections in the accept queue at that time are still accepted.
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

    /// Reports a new connection and starts its task. Returns `false` if the event loop has ended.
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
        let (incoming, budget) = (self.incoming.clone(), self.input_budget.clone());
        tokio::spawn(async move {
            ClientTask::new(conn, &stream, buffer.queue, &incoming, &budget)
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

/// Result of reading all that a client has sent, up to [`MAX_READS`] buffers.
enum ReadOutcome {
    /// Inputs for the engine; `is_last` is set if nothing more is to be read from the client.
    Read { inputs: Vec<Input>, is_last: bool },
    /// The connection failed after these inputs.
    Broken { inputs: Vec<Input> },
}

/// Whether an input still counts when its connection has ended: it ends a request or a task, and needs no answer. A request
/// would be given up at once.
fn outlasts_connection(input: &Input) -> bool {
    matches!(
        input,
        Input::ClientMessage(
            _,
            Ok(FromClient::Release { .. } | FromClient::ReleaseConfirmed(_))
        )
    )
}

/// Reason why a client's task woke up.
enum Wake {
    /// The socket may have data to read.
    Readable,
    /// The socket may accept more bytes, or the write buffer changed.
    Writable,
    /// A message was not complete within [`MESSAGE_LIMIT`].
    MessageOverdue,
    /// The connection failed, or the client does not read.
    Broken,
}

/// The task that reads and writes one client connection.
pub(super) struct ClientTask<'a> {
    conn: ConnId,
    stream: &'a TcpStream,
    queue: WriteQueue,
    incoming: &'a mpsc::Sender<Incoming>,
    input_budget: &'a InputBudget,
    reader: client::Reader,
    /// Time since which the current message has been incomplete.
    message_since: Option<Instant>,
    /// Time since which pending bytes could not be written.
    stalled_since: Option<Instant>,
    /// Whether input of the client is still read.
    is_reading: bool,
    /// Whether it was reported that more input is to be read, and not yet that all was read.
    has_reported_more: bool,
    /// Whether it was reported that the client has closed its sending side.
    has_reported_ending: bool,
    /// Whether messages that were read may wait to be decoded, as the last report was full.
    has_undecoded: bool,
}

impl<'a> ClientTask<'a> {
    pub(super) fn new(
        conn: ConnId,
        stream: &'a TcpStream,
        queue: WriteQueue,
        incoming: &'a mpsc::Sender<Incoming>,
        input_budget: &'a InputBudget,
    ) -> Self {
        Self {
            conn,
            stream,
            queue,
            incoming,
            input_budget,
            reader: client::Reader::default(),
            message_since: None,
            stalled_since: None,
            is_reading: true,
            has_reported_more: false,
            has_reported_ending: false,
            has_undecoded: false,
        }
    }

    /// Reads and writes until the connection ends, and reports what the client sent before that.
    pub(super) async fn run(mut self) {
        let _ = self.stream.set_nodelay(true);
        self.read_and_write().await;
        if self.is_reading {
            self.report_rest().await;
        }
    }

    async fn read_and_write(&mut self) {
        loop {
            let stays_open = match self.wake().await {
                Wake::Broken => false,
                Wake::Writable => true,
                Wake::Readable => self.read_and_report().await,
                Wake::MessageOverdue => {
                    (self.is_reading, self.message_since) = (false, None);
                    let error = ClientReadError::Incomplete;
                    let input = Input::ClientUnreadable(self.conn, error);
                    self.incoming.send(Incoming::Input(input)).await.is_ok()
                }
            };
            if !stays_open {
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
        // Before a connection is closed as idle, input that arrived in the meantime is read.
        let must_read = self.is_reading && (self.has_undecoded || self.queue.is_closing_if_idle());
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
            () = deadline(stalled, WRITE_STALL_LIMIT), if stalled.is_some() => Wake::Broken,
            () = deadline(message, MESSAGE_LIMIT), if message.is_some() => Wake::MessageOverdue,
        }
    }

    /// Reads the available input and reports it. Returns `false` if the connection is to be closed.
    async fn read_and_report(&mut self) -> bool {
        let Some(reservation) = self.input_budget.reserve().await else {
            return false;
        };
        // Requests of a client whose connection was reset are not begun, so they are not read one after the other.
        if !matches!(self.stream.take_error(), Ok(None)) {
            return false;
        }
        let (inputs, is_last) = match self.read() {
            ReadOutcome::Read { inputs, is_last } => (inputs, is_last),
            ReadOutcome::Broken { inputs } => {
                self.report_outlasting(reservation, inputs).await;
                return false;
            }
        };
        let is_read = |input: &Input| matches!(input, Input::ClientInputRead { .. });
        let has_input = inputs.first().is_some_and(|first| !is_read(first));
        // Answers are still written after the client's end of stream.
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
        inputs.is_empty() || self.report(reservation, inputs).await
    }

    /// Reads up to [`MAX_READS`] buffers, so that requests, their cancellations and an end of stream that a client
    /// sends in one go are reported together.
    fn read(&mut self) -> ReadOutcome {
        let mut inputs = Vec::new();
        if let Err(error) = self.decode(&mut inputs) {
            return self.unreadable(inputs, error);
        }
        let mut has_more = self.has_undecoded;
        for _ in 0..MAX_READS {
            if self.has_undecoded {
                break;
            }
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
                Err(_) => return ReadOutcome::Broken { inputs },
            }
            if let Err(error) = self.decode(&mut inputs) {
                return self.unreadable(inputs, error);
            }
        }
        let is_drained = self.has_reported_more && !has_more;
        if !inputs.is_empty() || is_drained {
            self.has_reported_more = has_more;
            if has_more && !self.has_reported_ending && self.has_ended() {
                self.has_reported_ending = true;
                inputs.push(Input::ClientEnding(self.conn));
            }
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

    /// Whether the client has closed its sending side, even if there is input to read before that. The system is asked,
    /// as the runtime learns of it only after the tasks that are ready now.
    fn has_ended(&self) -> bool {
        let mut polled = [PollFd::new(self.stream, PollFlags::RDHUP)];
        let now = Timespec::default();
        poll(&mut polled, Some(&now)).is_ok_and(|ready| ready > 0)
    }

    /// Reports what was not read yet when the connection ended.
    async fn report_rest(&mut self) {
        let mut reads_left = MAX_REST_READS;
        loop {
            let Some(reservation) = self.input_budget.reserve().await else {
                return;
            };
            for _ in 0..MAX_READS.min(reads_left) {
                if self.has_undecoded {
                    break;
                }
                reads_left -= 1;
                let read = read_buffered(self.stream, |bytes| self.reader.push(bytes));
                if !matches!(read, Ok(Read::Bytes)) {
                    reads_left = 0;
                    break;
                }
            }
            let mut inputs = Vec::new();
            let decoded = self.decode(&mut inputs);
            self.report_outlasting(reservation, inputs).await;
            if decoded.is_err() || reads_left == 0 && !self.has_undecoded {
                return;
            }
        }
    }

    /// Reports the inputs that still count when the connection has ended.
    async fn report_outlasting(&self, reservation: Reservation, mut inputs: Vec<Input>) {
        inputs.retain(outlasts_connection);
        if !inputs.is_empty() {
            self.report(reservation, inputs).await;
        }
    }

    fn unreadable(&self, mut inputs: Vec<Input>, error: ClientReadError) -> ReadOutcome {
        inputs.push(Input::ClientUnreadable(self.conn, error));
        ReadOutcome::Read {
            inputs,
            is_last: true,
        }
    }

    /// Decodes the messages that were read, up to [`MAX_REPORTED_MESSAGES`] in `inputs`.
    fn decode(&mut self, inputs: &mut Vec<Input>) -> Result<(), ClientReadError> {
        self.has_undecoded = false;
        while let Some(message) = self.reader.next_message()? {
            inputs.push(Input::ClientMessage(self.conn, message));
            if inputs.len() >= MAX_REPORTED_MESSAGES {
                self.has_undecoded = true;
                break;
            }
        }
        Ok(())
    }

    /// Sends inputs to the event loop. Returns `false` if the loop has ended.
    async fn report(&self, reservation: Reservation, inputs: Vec<Input>) -> bool {
        let inputs = Incoming::Inputs(reservation.assign(inputs));
        self.incoming.send(inputs).await.is_ok()
    }
}
