//! Connections of owners and to hosts: one task each, which moves bytes and decides nothing.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use reedring_platproto::host::{self, ToHost};
use reedring_platproto::owner::{self, ToOwner};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout};

use crate::decide::Down;
use crate::io::{ConnId, Input, LinkId};
use crate::run::Came;

/// Messages that wait for one who does not read; one more, and the connection is cut.
pub(crate) const QUEUE: usize = 256;
/// Nothing can be written for so long: whoever is there does not read.
const STUCK: Duration = Duration::from_millis(2_400);
/// A message that has begun ends in this time.
const WHOLE: Duration = Duration::from_millis(2_400);

thread_local! {
    /// What is read goes through one buffer, whatever the number of connections.
    static BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; 16 * 1024]);
}

/// Reads what is there; 0 bytes are the end.
fn read(stream: &TcpStream, take: impl FnOnce(&[u8])) -> io::Result<Option<usize>> {
    BUFFER.with_borrow_mut(|buffer| match stream.try_read(buffer) {
        Ok(count) => {
            take(&buffer[..count]);
            Ok(Some(count))
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(None),
        Err(error) => Err(error),
    })
}

/// Writes all of it; whether a byte left.
async fn write(stream: &TcpStream, bytes: &[u8]) -> (bool, io::Result<()>) {
    let mut at = 0;
    while at < bytes.len() {
        if let Err(error) = stream.writable().await {
            return (at > 0, Err(error));
        }
        match stream.try_write(&bytes[at..]) {
            Ok(count) => at += count,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return (at > 0, Err(error)),
        }
    }
    (true, Ok(()))
}

/// Takes owners' connections until the listener is dropped.
pub(crate) async fn accept(listener: TcpListener, came: mpsc::Sender<Came>) {
    let mut last: ConnId = 0;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                last += 1;
                let (out, messages) = mpsc::channel(QUEUE);
                if came.send(Came::Owner(last, out)).await.is_err() {
                    return;
                }
                let (conn, came) = (last, came.clone());
                tokio::spawn(async move {
                    serve(conn, &stream, messages, &came).await;
                    drop(stream);
                    let _ = came.send(Came::Input(Input::OwnerGone(conn))).await;
                });
            }
            Err(error) => reedring_net::accept_failed(&error).await,
        }
    }
}

async fn serve(
    conn: ConnId,
    stream: &TcpStream,
    mut messages: mpsc::Receiver<ToOwner>,
    came: &mpsc::Sender<Came>,
) {
    let _ = stream.set_nodelay(true);
    let mut reader = owner::Reader::default();
    let mut begun: Option<Instant> = None;
    loop {
        tokio::select! {
            ready = stream.readable() => {
                if ready.is_err() {
                    return;
                }
                match read(stream, |bytes| reader.push(bytes)) {
                    Ok(None) => continue,
                    Ok(Some(0)) | Err(_) => return,
                    Ok(Some(_)) => {}
                }
                loop {
                    match reader.next_message() {
                        Ok(Some(message)) => {
                            begun = None;
                            if came.send(Came::Input(Input::Owner(conn, message))).await.is_err() {
                                return;
                            }
                        }
                        Ok(None) => break,
                        Err(error) => {
                            let _ = came.send(Came::Log(format!("owner {conn}: closed: {error}"))).await;
                            return;
                        }
                    }
                }
                begun = reader.is_partial().then(|| begun.unwrap_or_else(Instant::now));
            }
            message = messages.recv() => {
                let Some(message) = message else { return };
                let written = timeout(STUCK, write(stream, &message.encode())).await;
                if !matches!(written, Ok((_, Ok(())))) {
                    return;
                }
            }
            () = tokio::time::sleep_until(begun.unwrap_or_else(Instant::now) + WHOLE), if begun.is_some() => {
                let line = format!("owner {conn}: closed: a message that does not end");
                let _ = came.send(Came::Log(line)).await;
                return;
            }
        }
    }
}

/// Keeps a connection to a host from its making to its end.
pub(crate) async fn link(
    link: LinkId,
    address: SocketAddr,
    limit: Duration,
    messages: mpsc::Receiver<ToHost>,
    came: mpsc::Sender<Came>,
) {
    let mut begun = 0;
    let down = match timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            if came.send(Came::Input(Input::LinkUp(link))).await.is_err() {
                return;
            }
            carry(link, &stream, messages, &came, &mut begun).await
        }
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Down::Refused,
        Ok(Err(error)) => {
            let _ = came.send(Came::Log(format!("host at {address}: no connection: {error}"))).await;
            Down::Unmade
        }
        Err(_) => Down::Unmade,
    };
    let _ = came.send(Came::Input(Input::LinkDown { link, down, begun })).await;
}

async fn carry(
    link: LinkId,
    stream: &TcpStream,
    mut messages: mpsc::Receiver<ToHost>,
    came: &mpsc::Sender<Came>,
    begun: &mut u64,
) -> Down {
    let _ = stream.set_nodelay(true);
    let mut reader = host::Reader::default();
    loop {
        tokio::select! {
            // What the host said or did is seen before anything more is written to it.
            biased;
            ready = stream.readable() => {
                if ready.is_err() {
                    return Down::Broke;
                }
                match read(stream, |bytes| reader.push(bytes)) {
                    Ok(None) => continue,
                    Ok(Some(0)) => return Down::Closed,
                    Err(_) => return Down::Broke,
                    Ok(Some(_)) => {}
                }
                loop {
                    match reader.next_message() {
                        Ok(Some(message)) => {
                            if came.send(Came::Input(Input::Host(link, message))).await.is_err() {
                                return Down::Broke;
                            }
                        }
                        Ok(None) => break,
                        Err(error) => {
                            let _ = came.send(Came::Log(format!("link {link}: closed: {error}"))).await;
                            return Down::Spoilt;
                        }
                    }
                }
            }
            message = messages.recv() => {
                let Some(message) = message else { return Down::Closed };
                // A reset that came already says that nothing more is read.
                if !matches!(stream.take_error(), Ok(None)) {
                    return Down::Broke;
                }
                match timeout(STUCK, write(stream, &message.encode())).await {
                    Ok((left, written)) => {
                        *begun += u64::from(left);
                        if written.is_err() {
                            return Down::Broke;
                        }
                    }
                    // Some of it may have left.
                    Err(_) => {
                        *begun += 1;
                        return Down::Broke;
                    }
                }
            }
        }
    }
}
