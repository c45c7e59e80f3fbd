//! Polls discovery: one long poll is always pending.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use reedring_connection::Backoff;
use reedring_platform_protocol::discovery::{Names, WatchResponse};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, timeout};

use crate::errors::DiscoveryError;
use crate::io::Input;

/// How long discovery may hold a poll open without an event before it answers.
const LONG_POLL: Duration = Duration::from_millis(1_000);
/// How much longer a response may take. If none arrives by then, discovery is considered hung and polled again.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Maximum size of a response in bytes; a list of thousands of hosts is smaller.
const MAX_RESPONSE_BYTES: usize = 2 * 1024 * 1024;
/// Delays between polls of discovery while it does not answer.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(320));

type RequestSender = SendRequest<Empty<Bytes>>;

/// A socket that is opened before it is needed, so that clients that use up all file descriptors do not keep the placer
/// from polling again.
#[derive(Default)]
struct ReservedSocket(Option<TcpSocket>);

impl ReservedSocket {
    /// Opens the socket if there is none. If no descriptor is left, this is tried again later.
    fn prepare(&mut self, address: SocketAddr) {
        let new = || {
            if address.is_ipv4() {
                TcpSocket::new_v4()
            } else {
                TcpSocket::new_v6()
            }
        };
        self.0 = self.0.take().or_else(|| new().ok());
    }

    async fn connect(&mut self, address: SocketAddr) -> Result<TcpStream, DiscoveryError> {
        self.prepare(address);
        let socket = self.0.take().ok_or(DiscoveryError::NoDescriptor)?;
        let connected = socket.connect(address).await;
        connected.map_err(|error| DiscoveryError::Connect { address, error })
    }
}

/// A response to a poll, and whether its connection can carry another request.
struct PollResponse {
    update: WatchResponse,
    is_reusable: bool,
}

/// Polls until the placer exits. When the address in `addresses` changes, the new one is polled at once.
pub(crate) async fn poll(
    addresses: watch::Receiver<SocketAddr>,
    names: Names,
    revision: u64,
    inputs: mpsc::Sender<Input>,
) {
    let poller = Poller {
        names,
        revision,
        sender: None,
        reserved: ReservedSocket::default(),
        backoff: RETRY_BACKOFF,
        is_failing: false,
    };
    poller.run(addresses, inputs).await;
}

struct Poller {
    names: Names,
    /// The number of the last event that was received.
    revision: u64,
    /// The sending half of an open connection; `None` if the next poll must connect.
    sender: Option<RequestSender>,
    reserved: ReservedSocket,
    backoff: Backoff,
    /// Whether the last poll failed. Only the first of several failures in a row is reported.
    is_failing: bool,
}

impl Poller {
    async fn run(
        mut self,
        mut addresses: watch::Receiver<SocketAddr>,
        inputs: mpsc::Sender<Input>,
    ) {
        loop {
            let address = *addresses.borrow_and_update();
            self.reserved.prepare(address);
            let polled = tokio::select! {
                polled = self.poll_once(address) => polled,
                changed = addresses.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    // The poll of the former address is dropped, and the new address is polled from the same event.
                    self.sender = None;
                    continue;
                }
            };
            if let Some(input) = self.input_from_result(polled)
                && inputs.send(input).await.is_err()
            {
                return;
            }
            if self.is_failing {
                tokio::select! {
                    () = sleep(self.backoff.next_delay()) => {}
                    _ = addresses.changed() => addresses.mark_changed(),
                }
            }
        }
    }

    /// Converts the result of a poll to an input; `None` for a failure that follows another one.
    fn input_from_result(
        &mut self,
        polled: Result<WatchResponse, DiscoveryError>,
    ) -> Option<Input> {
        match polled {
            Ok(update) => {
                self.revision = self.revision.max(update.revision);
                self.backoff.reset();
                self.is_failing = false;
                Some(Input::DiscoveryUpdate(update))
            }
            Err(error) => {
                self.sender = None;
                let was_failing = std::mem::replace(&mut self.is_failing, true);
                (!was_failing).then(|| Input::DiscoveryFailed(Arc::new(error)))
            }
        }
    }

    async fn poll_once(&mut self, address: SocketAddr) -> Result<WatchResponse, DiscoveryError> {
        let limit = LONG_POLL + ANSWER_MARGIN;
        let polled = timeout(limit, async {
            let mut sender = match self.sender.take().filter(|sender| !sender.is_closed()) {
                Some(sender) => sender,
                None => self.connect(address).await?,
            };
            let response = self.exchange(&mut sender, address).await?;
            if response.is_reusable {
                self.sender = Some(sender);
            }
            Ok(response.update)
        });
        let timed_out = DiscoveryError::Timeout {
            limit_ms: limit.as_millis(),
        };
        polled.await.unwrap_or(Err(timed_out))
    }

    async fn connect(&mut self, address: SocketAddr) -> Result<RequestSender, DiscoveryError> {
        let stream = self.reserved.connect(address).await?;
        // Opens the next socket while this connection still holds a descriptor of its own.
        self.reserved.prepare(address);
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|error| DiscoveryError::Http { address, error })?;
        // The task ends with the connection, or as soon as the sender is dropped.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }

    async fn exchange(
        &self,
        sender: &mut RequestSender,
        address: SocketAddr,
    ) -> Result<PollResponse, DiscoveryError> {
        let http = |error| DiscoveryError::Http { address, error };
        let (revision, linger) = (self.revision, LONG_POLL.as_millis());
        let request = Request::get(format!("/board/poll?watch={revision}&linger={linger}"))
            .header(header::HOST, address.to_string())
            .body(Empty::new())?;
        sender.ready().await.map_err(http)?;
        let response = sender.send_request(request).await.map_err(http)?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
            .collect()
            .await;
        let body = body.map_err(DiscoveryError::Body)?;
        let update = WatchResponse::read(&body.to_bytes(), &self.names)?;
        Ok(PollResponse {
            update,
            is_reusable: !sender.is_closed(),
        })
    }
}
