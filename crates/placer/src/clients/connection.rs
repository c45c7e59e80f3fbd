//! One client's connection: requests in, responses out.

use std::sync::Arc;
use std::time::Duration;

use reedring_core::{ConnectionId, Input};
use reedring_drmaa::ErrorCode;
use reedring_drmaa::framing::{FrameError, Reader, wrap};
use reedring_drmaa::rpc::{DRMAA_BASE, INVALID_REQUEST, MAX_REQUEST, Response, read_request};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::context::PlacerContext;
use crate::inbound::{InboundEvent, InboundSender};
use crate::listener::ClientStream;
use crate::tasks::{CancelHandle, CancelToken};

/// Requests of one connection that are not answered yet; it is not read further before one is. A client that sends and
/// never reads uses no more memory than these.
const MAX_UNANSWERED: u32 = 32;
/// Bytes that are read at once.
const READ_BUFFER: usize = 16 * 1024;
/// How long a client that has closed its side may take to read the responses that were queued by then.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// What a client beyond the limit of connections is told.
const TOO_MANY_CONNECTIONS: &str = "the placer has as many connections as it takes; try later";

/// One client's connection.
#[derive(Clone)]
pub(super) struct ClientConnection {
    conn: ConnectionId,
    context: Arc<PlacerContext>,
    inbound: InboundSender,
    /// One permit for each request that may still be read before another is answered.
    unanswered: Arc<Semaphore>,
}

impl ClientConnection {
    /// The connection of this number.
    pub fn new(conn: ConnectionId, context: Arc<PlacerContext>, inbound: InboundSender) -> Self {
        let unanswered = Arc::new(Semaphore::new(MAX_UNANSWERED as usize));
        Self {
            conn,
            context,
            inbound,
            unanswered,
        }
    }

    /// Serves the client until it disconnects, or sends what is no frame.
    pub async fn run(self, stream: ClientStream) {
        let (responses, queue) = mpsc::unbounded_channel();
        let close = CancelHandle::new();
        let mut writer = JoinSet::new();
        writer.spawn(
            self.clone()
                .write_responses(stream.writer, queue, close.token()),
        );
        let connected = InboundEvent::ClientConnected {
            conn: self.conn,
            responses,
        };
        if self.inbound.send(connected).await.is_ok() {
            self.read_requests(stream.reader).await;
            let _ = self
                .inbound
                .send(InboundEvent::Core(Input::ClientDisconnected(self.conn)))
                .await;
        }
        // What was answered by now is written, unless the client does not read it.
        close.cancel();
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, writer.join_next()).await;
        writer.shutdown().await;
        self.context.trace.client_disconnected(self.conn);
    }

    async fn read_requests(&self, mut stream: impl AsyncRead + Unpin) {
        let (mut frames, mut buffer) = (Reader::new(MAX_REQUEST), vec![0; READ_BUFFER]);
        loop {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => frames.push(&buffer[..count]),
            }
            loop {
                match frames.next_body() {
                    Ok(Some(body)) => {
                        if !self.submit(&body).await {
                            return;
                        }
                    }
                    Ok(None) => break,
                    Err(error) => return self.reject(&error).await,
                }
            }
        }
    }

    /// Hands a request to the event loop; false where the placer shuts down.
    async fn submit(&self, body: &[u8]) -> bool {
        self.context
            .trace
            .client_frame_read(self.conn, || wrap(body));
        match self.unanswered.acquire().await {
            Ok(permit) => permit.forget(),
            Err(_) => return false,
        }
        let conn = self.conn;
        let event = match read_request(body) {
            Ok(request) => InboundEvent::Core(Input::Call {
                conn,
                id: request.id,
                call: request.call,
            }),
            Err(response) => InboundEvent::ClientAnswered {
                conn,
                response: *response,
            },
        };
        self.inbound.send(event).await.is_ok()
    }

    /// Answers what is no frame. Returns once all answers are written: the connection is closed then.
    async fn reject(&self, error: &FrameError) {
        let response = Response::fault(None, INVALID_REQUEST, error.to_string());
        if let Ok(permit) = self.unanswered.acquire().await {
            permit.forget();
        }
        let _ = self
            .inbound
            .send(InboundEvent::ClientAnswered {
                conn: self.conn,
                response,
            })
            .await;
        let _ = self.unanswered.acquire_many(MAX_UNANSWERED).await;
    }

    /// Writes responses until they end. Once `closing` is cancelled only those that are queued are written.
    async fn write_responses(
        self,
        mut stream: impl AsyncWrite + Unpin,
        mut responses: mpsc::UnboundedReceiver<Response>,
        mut closing: CancelToken,
    ) {
        loop {
            let next = tokio::select! {
                biased;
                next = responses.recv() => next,
                () = closing.cancelled() => {
                    responses.close();
                    responses.recv().await
                }
            };
            let Some(response) = next else { return };
            if write_response(&mut stream, self.conn, &response, &self.context)
                .await
                .is_err()
            {
                return;
            }
            self.unanswered.add_permits(1);
        }
    }
}

/// Tells a client beyond the limit of connections to try later.
pub(super) async fn refuse(conn: ConnectionId, stream: ClientStream, context: Arc<PlacerContext>) {
    let ClientStream { reader, mut writer } = stream;
    drop(reader);
    let code = DRMAA_BASE + i64::from(ErrorCode::TryLater.number());
    let response = Response::fault(None, code, TOO_MANY_CONNECTIONS);
    // A client that has gone needs no answer.
    let _ = write_response(&mut writer, conn, &response, &context).await;
}

async fn write_response(
    stream: &mut (impl AsyncWrite + Unpin),
    conn: ConnectionId,
    response: &Response,
    context: &PlacerContext,
) -> std::io::Result<()> {
    let body = serde_json::to_vec(response).unwrap_or_default();
    let frame = wrap(&body);
    context.trace.client_frame_written(conn, || frame.clone());
    stream.write_all(&frame).await
}
