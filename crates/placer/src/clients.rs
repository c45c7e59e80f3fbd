//! The DRMAA front: JSON-RPC over TCP or a Unix socket.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use reedring_audit::Event;
use reedring_connection::accept_failed;
use reedring_core::{ConnId, Input};
use reedring_drmaa::ErrorCode;
use reedring_drmaa::framing::{Reader, wrap};
use reedring_drmaa::rpc::{DRMAA_BASE, INVALID_REQUEST, MAX_REQUEST, Response, read_request};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::run::Shared;

/// Calls of one connection that are not answered yet; it is not read on before one is. A client that
/// sends and never reads holds no more than this.
const UNDER_WAY: usize = 32;

/// The socket on which calls come.
pub(crate) enum Listener {
    Tcp(TcpListener),
    Unix(UnixListener),
}

/// Connections by number, for the replies.
#[derive(Default)]
pub(crate) struct Clients {
    all: BTreeMap<ConnId, mpsc::UnboundedSender<Response>>,
}

/// News of connections for the core's task.
pub(crate) enum Came {
    Open(ConnId, mpsc::UnboundedSender<Response>),
    Input(Input),
    /// A link to a node stands: its number, and the word of it.
    LinkUp(u64, Input),
    /// What the core need not see: it is answered at once.
    Answer(ConnId, Response),
}

impl Clients {
    pub fn open(&mut self, conn: ConnId, out: mpsc::UnboundedSender<Response>) {
        self.all.insert(conn, out);
    }

    pub fn gone(&mut self, conn: ConnId) {
        self.all.remove(&conn);
    }

    pub fn reply(&self, conn: ConnId, response: Response) {
        if let Some(out) = self.all.get(&conn) {
            let _ = out.send(response);
        }
    }
}

/// Accepts connections up to the limit; one more is told so and closed.
pub(crate) async fn accept(
    listener: Listener,
    limit: usize,
    shared: Arc<Shared>,
    came: mpsc::Sender<Came>,
) {
    let (places, numbers) = (Arc::new(Semaphore::new(limit)), AtomicU64::new(1));
    loop {
        let conn = numbers.fetch_add(1, Ordering::Relaxed);
        let place = |places: &Arc<Semaphore>| Arc::clone(places).try_acquire_owned().ok();
        match &listener {
            Listener::Tcp(listener) => match listener.accept().await {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    let (read, write) = stream.into_split();
                    serve(conn, read, write, place(&places), &shared, &came);
                }
                Err(error) => accept_failed(&error).await,
            },
            Listener::Unix(listener) => match listener.accept().await {
                Ok((stream, _)) => {
                    let (read, write) = stream.into_split();
                    serve(conn, read, write, place(&places), &shared, &came);
                }
                Err(error) => accept_failed(&error).await,
            },
        }
    }
}

fn serve(
    conn: ConnId,
    read: impl AsyncRead + Unpin + Send + 'static,
    write: impl AsyncWrite + Unpin + Send + 'static,
    place: Option<OwnedSemaphorePermit>,
    shared: &Arc<Shared>,
    came: &mpsc::Sender<Came>,
) {
    let (shared, came) = (Arc::clone(shared), came.clone());
    let under_way = Arc::new(Semaphore::new(UNDER_WAY));
    let (out, responses) = mpsc::unbounded_channel();
    let writer = tokio::spawn(writes(
        conn,
        write,
        responses,
        Arc::clone(&under_way),
        Arc::clone(&shared),
    ));
    let Some(place) = place else {
        let code = DRMAA_BASE + i64::from(ErrorCode::TryLater.number());
        let _ = out.send(Response::fault(
            None,
            code,
            "the placer has as many connections as it takes; try later",
        ));
        return;
    };
    tokio::spawn(async move {
        if came.send(Came::Open(conn, out)).await.is_ok() {
            reads(conn, read, &came, &under_way, &shared).await;
            let _ = came.send(Came::Input(Input::ClientGone(conn))).await;
        }
        drop(place);
        writer.abort();
        shared.record(Event::ClientGone, "", conn, b"");
    });
}

async fn reads(
    conn: ConnId,
    mut read: impl AsyncRead + Unpin,
    came: &mpsc::Sender<Came>,
    under_way: &Semaphore,
    shared: &Shared,
) {
    let (mut reader, mut buffer) = (Reader::new(MAX_REQUEST), vec![0; 16 * 1024]);
    loop {
        match read.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => reader.push(&buffer[..count]),
        }
        loop {
            let body = match reader.next_body() {
                Ok(Some(body)) => body,
                Ok(None) => break,
                Err(error) => {
                    let response = Response::fault(None, INVALID_REQUEST, error.to_string());
                    if let Ok(permit) = under_way.acquire().await {
                        permit.forget();
                    }
                    let _ = came.send(Came::Answer(conn, response)).await;
                    // The answer leaves before the connection is closed.
                    let _ = under_way.acquire_many(UNDER_WAY as u32).await;
                    return;
                }
            };
            shared.record_with(Event::FromClient, conn, || wrap(&body));
            match under_way.acquire().await {
                Ok(permit) => permit.forget(),
                Err(_) => return,
            }
            let news = match read_request(&body) {
                Ok(request) => Came::Input(Input::Call {
                    conn,
                    id: request.id,
                    call: request.call,
                }),
                Err(response) => Came::Answer(conn, *response),
            };
            if came.send(news).await.is_err() {
                return;
            }
        }
    }
}

async fn writes(
    conn: ConnId,
    mut write: impl AsyncWrite + Unpin,
    mut responses: mpsc::UnboundedReceiver<Response>,
    under_way: Arc<Semaphore>,
    shared: Arc<Shared>,
) {
    while let Some(response) = responses.recv().await {
        let body = serde_json::to_vec(&response).unwrap_or_default();
        let frame = wrap(&body);
        shared.record_with(Event::ToClient, conn, || frame.clone());
        if write.write_all(&frame).await.is_err() {
            return;
        }
        under_way.add_permits(1);
    }
}
