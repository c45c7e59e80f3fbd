//! Polls discovery: one ask is always out.

use std::net::SocketAddr;
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

use crate::io::Input;

/// How long discovery may wait for news before it answers.
const LINGER: Duration = Duration::from_millis(1_000);
/// How much longer an answer may take; discovery that stops and stays open is asked again after this.
const OVER: Duration = Duration::from_millis(300);
/// What an answer may hold; a list of thousands of hosts stays under it.
const MOST: usize = 2 * 1024 * 1024;
/// Between two asks of discovery that does not answer.
const WAITS: Backoff = Backoff::new(Duration::from_millis(20), Duration::from_millis(320));

type Sender = SendRequest<Empty<Bytes>>;

/// A socket that is made before it is needed: whoever fills the descriptors meanwhile keeps nobody from asking again.
#[derive(Default)]
struct Spare(Option<TcpSocket>);

impl Spare {
    /// Makes one where there is none; without a descriptor left it is tried again later.
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

    async fn connect(&mut self, address: SocketAddr) -> Result<TcpStream, String> {
        self.prepare(address);
        let socket = self.0.take().ok_or("no descriptor is left")?;
        socket
            .connect(address)
            .await
            .map_err(|error| format!("{address}: {error}"))
    }
}

/// Polls until the placer ends. An address that `addresses` names later is asked at once.
pub(crate) async fn poll(
    mut addresses: watch::Receiver<SocketAddr>,
    names: Names,
    mut rev: u64,
    came: mpsc::Sender<Input>,
) {
    let (mut waits, mut sender, mut lost, mut spare) = (WAITS, None, false, Spare::default());
    loop {
        let address = *addresses.borrow_and_update();
        spare.prepare(address);
        let asked = tokio::select! {
            asked = ask(address, &mut sender, &mut spare, rev, &names) => asked,
            changed = addresses.changed() => {
                if changed.is_err() {
                    return;
                }
                // The old discovery tells nothing more; what it was asked goes to the new one.
                sender = None;
                continue;
            }
        };
        let input = match asked {
            Ok(update) => {
                rev = rev.max(update.rev);
                waits.reset();
                lost = false;
                Some(Input::Discovery(update))
            }
            Err(why) => {
                sender = None;
                (!std::mem::replace(&mut lost, true)).then_some(Input::DiscoveryLost(why))
            }
        };
        if let Some(input) = input
            && came.send(input).await.is_err()
        {
            return;
        }
        if lost {
            tokio::select! {
                () = sleep(waits.wait()) => {}
                _ = addresses.changed() => addresses.mark_changed(),
            }
        }
    }
}

async fn ask(
    address: SocketAddr,
    sender: &mut Option<Sender>,
    spare: &mut Spare,
    rev: u64,
    names: &Names,
) -> Result<WatchResponse, String> {
    let most = LINGER + OVER;
    let asked = timeout(most, async {
        let mut open = match sender.take().filter(|sender| !sender.is_closed()) {
            Some(open) => open,
            None => connect(address, spare).await?,
        };
        let (update, whole) = exchange(&mut open, address, rev, names).await?;
        if whole {
            *sender = Some(open);
        }
        Ok(update)
    });
    asked
        .await
        .unwrap_or_else(|_| Err(format!("no answer within {} ms", most.as_millis())))
}

async fn connect(address: SocketAddr, spare: &mut Spare) -> Result<Sender, String> {
    let stream = spare.connect(address).await?;
    // The next one, while this one still holds its own.
    spare.prepare(address);
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| format!("{address}: {error}"))?;
    // It ends with the connection, or as soon as nobody holds the sender.
    tokio::spawn(async move {
        let _ = connection.await;
    });
    Ok(sender)
}

/// One ask; whether the connection can take another.
async fn exchange(
    sender: &mut Sender,
    address: SocketAddr,
    rev: u64,
    names: &Names,
) -> Result<(WatchResponse, bool), String> {
    let request = Request::get(format!(
        "/board/poll?watch={rev}&linger={}",
        LINGER.as_millis()
    ))
    .header(header::HOST, address.to_string())
    .body(Empty::new())
    .map_err(|error| error.to_string())?;
    sender.ready().await.map_err(|error| error.to_string())?;
    let response = sender
        .send_request(request)
        .await
        .map_err(|error| error.to_string())?;
    if response.status() != StatusCode::OK {
        return Err(format!("status {}", response.status()));
    }
    let body = Limited::new(response.into_body(), MOST)
        .collect()
        .await
        .map_err(|error| error.to_string())?;
    let update = WatchResponse::read(&body.to_bytes(), names).map_err(|error| error.to_string())?;
    Ok((update, !sender.is_closed()))
}
