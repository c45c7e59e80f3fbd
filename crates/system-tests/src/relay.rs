//! A relay on each link: it passes bytes on, holds a direction back, or ends connections.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::watch;

/// What a relay does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Mode {
    /// Bytes of the placer wait.
    pub holds_there: bool,
    /// Bytes of the node wait.
    pub holds_back: bool,
    /// No connection is made.
    pub refuses: bool,
    /// Each new number ends the connections that stand.
    pub cut: u64,
    /// Each new number closes only what nodes send.
    pub half: u64,
}

/// The placer and the node of a link.
type Ends = (String, String);

/// The relays of a fleet, one for each placer and node.
pub struct Relays {
    runtime: Option<Runtime>,
    /// By placer and node: where it listens, and what it does.
    all: BTreeMap<Ends, (SocketAddr, watch::Sender<Mode>)>,
}

impl Drop for Relays {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Bytes go one way until either end closes.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    back: bool,
) {
    let mut buffer = vec![0; 16 * 1024];
    let began = *mode.borrow();
    loop {
        let now = *mode.borrow_and_update();
        if now.cut != began.cut || back && now.half != began.half {
            return;
        }
        let held = if back {
            now.holds_back
        } else {
            now.holds_there
        };
        tokio::select! {
            read = from.read(&mut buffer), if !held => match read {
                Ok(count) if count > 0 => {
                    if to.write_all(&buffer[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            },
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

async fn pass(near: TcpStream, address: SocketAddr, mut mode: watch::Receiver<Mode>) {
    let Ok(far) = TcpStream::connect(address).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let there = pump(near_read, far_write, mode.clone(), false);
    let back = pump(far_read, near_write, mode.clone(), true);
    let began = mode.borrow_and_update().cut;
    let cut = async move { while mode.changed().await.is_ok() && mode.borrow().cut == began {} };
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        () = cut => {}
    }
}

impl Relays {
    /// Relays without any link.
    ///
    /// # Errors
    /// Where their threads can't be made.
    pub fn new() -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()?;
        Ok(Self {
            runtime: Some(runtime),
            all: BTreeMap::new(),
        })
    }

    /// Where a placer reaches a node that listens there; the relay stays when the node moves.
    ///
    /// # Errors
    /// Where no port is to be had.
    pub fn link(&mut self, placer: &str, node: &str, to: SocketAddr) -> io::Result<SocketAddr> {
        let key = (placer.to_owned(), node.to_owned());
        if let Some((address, _)) = self.all.get(&key) {
            return Ok(*address);
        }
        let Some(runtime) = &self.runtime else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::default());
        let modes = mode.subscribe();
        runtime.spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                if !modes.borrow().refuses {
                    tokio::spawn(pass(near, to, modes.clone()));
                }
            }
        });
        self.all.insert(key, (address, mode));
        Ok(address)
    }

    /// Changes what the relays of these links do.
    pub fn set(&self, of: impl Fn(&str, &str) -> bool, change: impl Fn(&mut Mode)) {
        for ((placer, node), (_, mode)) in &self.all {
            if of(placer, node) {
                mode.send_modify(&change);
            }
        }
    }
}
