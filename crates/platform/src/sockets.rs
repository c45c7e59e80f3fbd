//! Connections of clients and to hosts: one task each, which moves bytes and decides nothing.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use reedring_platform_protocol::{client, host};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::time::{Instant, timeout};

use crate::bounds::Bounds;
use crate::decide::Down;
use crate::io::{ConnId, Input, LinkId};
use crate::outbox::{self, Budget, Outbox, outbox};

/// Nothing can be written for so long: whoever is there does not read.
const STUCK: Duration = Duration::from_millis(2_400);
/// A message that has begun ends in this time.
const WHOLE: Duration = Duration::from_millis(2_400);
/// Between two tries to connect while no descriptor is left.
const SHORT: Duration = Duration::from_millis(10);

/// What the tasks of connections, discovery and signals bring to the loop around the engine.
pub(crate) enum Incoming {
    /// A client connected; what it is sent goes here.
    Client(ConnId, outbox::Sender),
    /// Something for the engine.
    Input(Input),
    /// What a client said in one go.
    Said(Vec<Input>),
    /// A line for the staff.
    Log(String),
}

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

/// Descriptors that connections may hold: all of them together, and those of clients alone. Who would go over waits, so
/// that none ever fails for want of one.
#[derive(Clone, Debug)]
pub(crate) struct Places {
    all: Arc<Semaphore>,
    clients: Arc<Semaphore>,
}

/// A place, held until the connection is closed.
type Place = OwnedSemaphorePermit;

impl Places {
    /// Places of connections, and of clients'.
    pub fn new(bounds: &Bounds) -> Self {
        let clients = bounds.clients + bounds.overflow + TURNED_AWAY;
        let all = bounds.all + TURNED_AWAY;
        Self {
            all: Arc::new(Semaphore::new(all)),
            clients: Arc::new(Semaphore::new(clients)),
        }
    }

    /// A place for one more connection to a host.
    async fn link(&self) -> Option<Place> {
        Arc::clone(&self.all).acquire_owned().await.ok()
    }

    /// Places for one more connection of a client.
    async fn client(&self) -> Option<Vec<Place>> {
        let client = Arc::clone(&self.clients).acquire_owned().await.ok()?;
        Some(vec![client, self.link().await?])
    }
}

/// Connections of clients beyond those that are served: they are closed on as soon as the engine sees them.
const TURNED_AWAY: usize = 8;

/// Takes clients' connections until it is told to stop; those that the system took by then are taken as well.
pub(crate) async fn accept(
    listener: TcpListener,
    places: Places,
    budget: Budget,
    came: mpsc::Sender<Incoming>,
    mut stop: oneshot::Receiver<()>,
) {
    let mut last: ConnId = 0;
    loop {
        let Some(place) = places.client().await else {
            return;
        };
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
                messages.attach(&stream, place);
                if came.send(Incoming::Client(last, out)).await.is_err() {
                    return;
                }
                let (conn, came) = (last, came.clone());
                tokio::spawn(async move {
                    serve(conn, &stream, messages, &came).await;
                    drop(stream);
                    let _ = came.send(Incoming::Input(Input::ClientGone(conn))).await;
                });
            }
            Err(error) => reedring_connection::accept_failed(&error).await,
        }
    }
}

/// What was read of a client at once, up to two buffers of it.
enum Heard {
    /// The messages in it, and how it ended, where it did.
    Said(Vec<Input>, bool),
    /// Its connection broke.
    Broke,
}

/// Reads all that is there, up to two buffers: whatever a client says, takes back and ends in one go is known together.
fn hear(conn: ConnId, stream: &TcpStream, reader: &mut client::Reader) -> Heard {
    let mut said = Vec::new();
    let mut more = false;
    for _ in 0..2 {
        match read(stream, |bytes| reader.push(bytes)) {
            Ok(None) => {
                more = false;
                break;
            }
            Ok(Some(0)) => {
                said.push(Input::ClientEnded(conn));
                return Heard::Said(said, true);
            }
            Err(_) => return Heard::Broke,
            Ok(Some(_)) => more = true,
        }
        loop {
            match reader.next_message() {
                Ok(Some(message)) => said.push(Input::Client(conn, message)),
                Ok(None) => break,
                Err(error) => {
                    said.push(Input::ClientSpoilt(conn, error.to_string()));
                    return Heard::Said(said, true);
                }
            }
        }
    }
    if !said.is_empty() {
        said.push(Input::ClientRead { conn, more });
    }
    Heard::Said(said, false)
}

async fn serve(conn: ConnId, stream: &TcpStream, messages: Outbox, came: &mpsc::Sender<Incoming>) {
    let _ = stream.set_nodelay(true);
    let mut reader = client::Reader::default();
    // Since when a message in part waits for its rest, and what waits for the client, for it to read.
    let (mut begun, mut waits): (Option<Instant>, Option<Instant>) = (None, None);
    // It may still say something.
    let mut listens = true;
    loop {
        // One that is to be closed for being idle may have said something meanwhile: that is heard first.
        let leaves = listens && messages.is_idle_closed();
        let ready = tokio::select! {
            () = std::future::ready(()), if leaves => true,
            ready = stream.readable(), if listens => {
                if ready.is_err() {
                    return;
                }
                true
            }
            ready = stream.writable(), if waits.is_some() => {
                if ready.is_err() {
                    return;
                }
                false
            }
            () = messages.news() => false,
            () = over(waits, STUCK), if waits.is_some() => return,
            () = over(begun, WHOLE), if begun.is_some() => {
                (listens, begun) = (false, None);
                let endless = Input::ClientSpoilt(conn, "a message that does not end".to_owned());
                if came.send(Incoming::Said(vec![endless])).await.is_err() {
                    return;
                }
                false
            }
        };
        if ready {
            match hear(conn, stream, &mut reader) {
                Heard::Broke => return,
                Heard::Said(said, ended) => {
                    let heard = !said.is_empty();
                    listens &= !ended;
                    // What it was promised is still written to it after its end.
                    let partial = listens && reader.is_partial();
                    let since = if heard { None } else { begun };
                    begun = partial.then(|| since.unwrap_or_else(Instant::now));
                    if messages.is_idle_closed() {
                        if !heard && !partial {
                            return;
                        }
                        messages.stays();
                    }
                    if heard && came.send(Incoming::Said(said)).await.is_err() {
                        return;
                    }
                }
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
    places: Places,
    messages: Outbox,
    came: mpsc::Sender<Incoming>,
) {
    // That the placer has no place for it for a moment is no sign of the host's.
    let place = tokio::select! {
        place = places.link() => place,
        () = closed(&messages) => return,
    };
    let down = tokio::select! {
        made = timeout(limit, connect(address)) => match made {
            Ok(Ok(stream)) => {
                let stream = Arc::new(stream);
                messages.attach(&stream, place.into_iter().collect());
                if came.send(Incoming::Input(Input::LinkUp(link))).await.is_err() {
                    return;
                }
                carry(link, &stream, &messages, &came).await
            }
            Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => Down::Refused,
            Ok(Err(error)) => {
                let _ = came.send(Incoming::Log(format!("host at {address}: no connection: {error}"))).await;
                Down::Unmade
            }
            Err(_) => Down::Unmade,
        },
        // Nobody wants it any more.
        () = closed(&messages) => return,
    };
    let begun = messages.begun();
    let _ = came
        .send(Incoming::Input(Input::LinkDown { link, down, begun }))
        .await;
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

async fn carry(
    link: LinkId,
    stream: &TcpStream,
    messages: &Outbox,
    came: &mpsc::Sender<Incoming>,
) -> Down {
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
                            if came.send(Incoming::Input(Input::Host(link, message))).await.is_err() {
                                return Down::Broke;
                            }
                        }
                        Ok(None) => break,
                        Err(error) => {
                            let _ = came.send(Incoming::Log(format!("link {link}: closed: {error}"))).await;
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
mod tests;
