//! Connections of clients and to hosts: one task each, which moves bytes and decides nothing.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reedring_platproto::{host, owner};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::decide::Down;
use crate::io::{ConnId, Input, LinkId};
use crate::outbox::{Budget, Outbox, outbox};
use crate::run::Came;

/// Nothing can be written for so long: whoever is there does not read.
const STUCK: Duration = Duration::from_millis(2_400);
/// A message that has begun ends in this time.
const WHOLE: Duration = Duration::from_millis(2_400);
/// Between two tries to connect while no descriptor is left.
const SHORT: Duration = Duration::from_millis(10);

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

/// Comes back when something has gone on for so long.
async fn over(since: Option<Instant>, limit: Duration) {
    tokio::time::sleep_until(since.unwrap_or_else(Instant::now) + limit).await;
}

/// Writes what the other end takes; since when nothing of it does, where something waits.
fn write(outbox: &Outbox, since: Option<Instant>) -> io::Result<Option<Instant>> {
    let before = outbox.len();
    outbox.write()?;
    Ok(match outbox.len() {
        0 => None,
        rest if rest < before => Some(Instant::now()),
        _ => Some(since.unwrap_or_else(Instant::now)),
    })
}

/// Takes clients' connections until it is told to stop; those that the system took by then are taken as well.
pub(crate) async fn accept(
    listener: TcpListener,
    budget: Budget,
    came: mpsc::Sender<Came>,
    mut stop: oneshot::Receiver<()>,
) {
    let mut last: ConnId = 0;
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = &mut stop => return,
        };
        match accepted {
            Ok((stream, _)) => {
                last += 1;
                let stream = Arc::new(stream);
                let (out, messages) = outbox(&budget);
                messages.attach(&stream);
                if came.send(Came::Client(last, out)).await.is_err() {
                    return;
                }
                let (conn, came) = (last, came.clone());
                tokio::spawn(async move {
                    serve(conn, &stream, messages, &came).await;
                    drop(stream);
                    let _ = came.send(Came::Input(Input::ClientGone(conn))).await;
                });
            }
            Err(error) => reedring_net::accept_failed(&error).await,
        }
    }
}

async fn serve(conn: ConnId, stream: &TcpStream, messages: Outbox, came: &mpsc::Sender<Came>) {
    let _ = stream.set_nodelay(true);
    let mut reader = owner::Reader::default();
    // Since when a message in part waits for its rest, and what waits for the client, for it to read.
    let (mut begun, mut waits): (Option<Instant>, Option<Instant>) = (None, None);
    // It may still say something.
    let mut listens = true;
    loop {
        let ended = tokio::select! {
            ready = stream.readable(), if listens => {
                if ready.is_err() {
                    return;
                }
                match read(stream, |bytes| reader.push(bytes)) {
                    Ok(None) => continue,
                    Ok(Some(0)) => Some(Input::ClientEnded(conn)),
                    Err(_) => return,
                    Ok(Some(_)) => loop {
                        match reader.next_message() {
                            Ok(Some(message)) => {
                                begun = None;
                                if came.send(Came::Input(Input::Client(conn, message))).await.is_err() {
                                    return;
                                }
                            }
                            Ok(None) => {
                                begun = reader.is_partial().then(|| begun.unwrap_or_else(Instant::now));
                                break None;
                            }
                            Err(error) => break Some(Input::ClientSpoilt(conn, error.to_string())),
                        }
                    },
                }
            }
            ready = stream.writable(), if waits.is_some() => {
                if ready.is_err() {
                    return;
                }
                None
            }
            () = messages.news() => None,
            () = over(waits, STUCK), if waits.is_some() => return,
            () = over(begun, WHOLE), if begun.is_some() => {
                Some(Input::ClientSpoilt(conn, "a message that does not end".to_owned()))
            }
        };
        if let Some(ended) = ended {
            // What it was promised is still written to it.
            (listens, begun) = (false, None);
            if came.send(Came::Input(ended)).await.is_err() {
                return;
            }
        }
        match write(&messages, waits) {
            Ok(since) => waits = since,
            Err(_) => return,
        }
        if messages.is_over() {
            return;
        }
    }
}

/// Keeps a connection to a host from its making to its end.
pub(crate) async fn link(
    link: LinkId,
    address: SocketAddr,
    limit: Duration,
    messages: Outbox,
    came: mpsc::Sender<Came>,
) {
    let down = tokio::select! {
        made = timeout(limit, connect(address)) => match made {
            Ok(Ok(stream)) => {
                let stream = Arc::new(stream);
                messages.attach(&stream);
                if came.send(Came::Input(Input::LinkUp(link))).await.is_err() {
                    return;
                }
                carry(link, &stream, &messages, &came).await
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Down::Refused,
            Ok(Err(error)) => {
                let _ = came.send(Came::Log(format!("host at {address}: no connection: {error}"))).await;
                Down::Unmade
            }
            Err(_) => Down::Unmade,
        },
        // Nobody wants it any more.
        () = closed(&messages) => return,
    };
    let begun = messages.begun();
    let _ = came.send(Came::Input(Input::LinkDown { link, down, begun })).await;
}

async fn closed(messages: &Outbox) {
    while !messages.is_closed() {
        messages.news().await;
    }
}

/// Connects; where the placer has no descriptor left for a moment, that is no sign of the host's.
async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    loop {
        match TcpStream::connect(address).await {
            Err(error) if is_short(&error) => tokio::time::sleep(SHORT).await,
            made => return made,
        }
    }
}

/// Out of descriptors, of the machine (ENFILE) or the process (EMFILE).
fn is_short(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(23 | 24))
}

async fn carry(link: LinkId, stream: &TcpStream, messages: &Outbox, came: &mpsc::Sender<Came>) -> Down {
    let _ = stream.set_nodelay(true);
    let mut reader = host::Reader::default();
    let mut waits: Option<Instant> = None;
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
                continue;
            }
            ready = stream.writable(), if waits.is_some() => {
                if ready.is_err() {
                    return Down::Broke;
                }
            }
            () = messages.news() => {}
            () = over(waits, STUCK), if waits.is_some() => return Down::Broke,
        }
        // A reset that came already says that nothing more is read.
        if !matches!(stream.take_error(), Ok(None)) {
            return Down::Broke;
        }
        match write(messages, waits) {
            Ok(since) => waits = since,
            Err(_) => return Down::Broke,
        }
        if messages.is_over() {
            return Down::Closed;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A placer that ends has taken whom the system took for it, however late its own turn comes.
    #[tokio::test]
    async fn who_waits_when_listening_stops_is_taken() {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut clients = Vec::new();
        for _ in 0..8 {
            clients.push(TcpStream::connect(address).await.unwrap());
        }
        let ((stop, stopped), (came, mut coming)) = (oneshot::channel(), mpsc::channel(16));
        drop(stop);
        accept(listener, Budget::default(), came, stopped).await;
        for _ in 0..8 {
            assert!(matches!(coming.recv().await, Some(Came::Client(..))));
        }
        assert!(TcpStream::connect(address).await.is_err(), "and nobody after that");
    }
}
