//! One client connection: reads requests and writes responses.

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

/// Maximum number of unanswered requests of one connection. At the limit, no further request is submitted until one is
/// answered. This bounds the memory used for a client that sends requests and never reads responses.
const MAX_UNANSWERED: u32 = 32;
/// Size of the read buffer, in bytes.
const READ_BUFFER: usize = 16 * 1024;
/// Time that a client has, after it closed its side of the connection, to read the responses that are already queued.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
/// Error message for a client beyond the connection limit.
const TOO_MANY_CONNECTIONS: &str = "the placer has as many connections as it takes; try later";

/// State shared by the reader and the writer of one client connection.
#[derive(Clone)]
pub(super) struct ClientConnection {
    conn: ConnectionId,
    context: Arc<PlacerContext>,
    inbound: InboundSender,
    /// One permit for each request that may be submitted before another is answered.
    request_permits: Arc<Semaphore>,
}

impl ClientConnection {
    /// Creates the state of the connection with this number.
    pub fn new(conn: ConnectionId, context: Arc<PlacerContext>, inbound: InboundSender) -> Self {
        let request_permits = Arc::new(Semaphore::new(MAX_UNANSWERED as usize));
        Self {
            conn,
            context,
            inbound,
            request_permits,
        }
    }

    /// Serves the client until it disconnects or sends an invalid frame.
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
        // Responses that are queued by now are still written, if the client reads them within the timeout.
        close.cancel();
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, writer.join_next()).await;
        writer.shutdown().await;
        self.context.trace.client_disconnected(self.conn);
    }

    /// Reads requests until the client closes its side or sends an invalid frame, or the placer shuts down.
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

    /// Sends a request to the event loop once fewer than [`MAX_UNANSWERED`] requests are unanswered; one that can't
    /// be parsed is replaced by its error response. Returns false if the placer is shutting down.
    async fn submit(&self, body: &[u8]) -> bool {
        self.context
            .trace
            .client_frame_read(self.conn, || wrap(body));
        match self.request_permits.acquire().await {
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
            Err(response) => InboundEvent::RequestRejected {
                conn,
                response: *response,
            },
        };
        self.inbound.send(event).await.is_ok()
    }

    /// Answers an invalid frame with an error. Returns once all responses are written, as the caller then closes the
    /// connection.
    async fn reject(&self, error: &FrameError) {
        let response = Response::fault(None, INVALID_REQUEST, error.to_string());
        if let Ok(permit) = self.request_permits.acquire().await {
            permit.forget();
        }
        let _ = self
            .inbound
            .send(InboundEvent::RequestRejected {
                conn: self.conn,
                response,
            })
            .await;
        let _ = self.request_permits.acquire_many(MAX_UNANSWERED).await;
    }

    /// Writes responses until the queue is closed or a write fails. Once `closing` is cancelled, only responses that
    /// are already queued are written.
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
            self.request_permits.add_permits(1);
        }
    }
}

/// Answers a client beyond the connection limit with the DRMAA error `TRY_LATER`, and closes the connection.
pub(super) async fn reject_connection(
    conn: ConnectionId,
    stream: ClientStream,
    context: Arc<PlacerContext>,
) {
    let ClientStream { reader, mut writer } = stream;
    drop(reader);
    let code = DRMAA_BASE + i64::from(ErrorCode::TryLater.number());
    let response = Response::fault(None, code, TOO_MANY_CONNECTIONS);
    // An error means that the client has disconnected.
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
