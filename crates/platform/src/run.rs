//! The shell: sockets, signals, the clock and the configuration file around [`Engine`], in one thread.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use reedring_connection::{Asked, Signals};
use reedring_platform_protocol::GIVEN_UP;
use reedring_platform_protocol::config::{self, Config};
use reedring_platform_protocol::discovery::Names;
use reedring_platform_protocol::host::ToHost;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use crate::bounds::Bounds;
use crate::discovery;
use crate::engine::Start;
use crate::follow;
use crate::io::{ConnId, Input, LinkId, Output};
use crate::outbox::{self, Budget, outbox};
use crate::sockets::{self, Incoming, Places};
use crate::state::{Engine, connect_us};

/// Items taken from the channel at once.
const BATCH: usize = 64;
/// Items that wait for the engine; whoever brings one more waits. One of a client may hold 32 KiB of messages.
const INPUTS: usize = 128;
/// Where so much came at once, or arrivals wait for their turn, all that there is to read is taken in before the module
/// decides: in so many looks at the sockets, and up to so many inputs.
const BUSY: usize = 16;
const ROUNDS: usize = 8;
const MOST: usize = 1_024;
/// Answers of discovery that wait for the engine.
const LISTED: usize = 4;
/// Between two tries to read a configuration that could not be read.
const READ_AGAIN: Duration = Duration::from_millis(200);
/// How long the last answers may take to be written at the end.
const FAREWELL: Duration = Duration::from_millis(300);
/// What waits to be written may hold this part of the memory.
const OUTBOXES: usize = 8;
/// Lines logged in a second, at most.
const LINES: u32 = 50;

/// Why a placer did not start.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// Its configuration can't be opened.
    #[error("{path}: {error}; name a file that can be read")]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// Its configuration can't be used.
    #[error("{path}: {error}")]
    Config {
        /// The file.
        path: PathBuf,
        /// Why.
        error: config::Error,
    },
    /// Its address can't be listened on.
    #[error("can't listen on {address}: {error}; give it an address of this machine that is free")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        error: io::Error,
    },
    /// Its runtime can't be made.
    #[error("can't start: {0}")]
    Runtime(#[from] io::Error),
}

fn read(path: &Path) -> Result<Config, RunError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| RunError::Read {
        path: path.to_owned(),
        error,
    })?;
    Config::read(&text).map_err(|error| RunError::Config {
        path: path.to_owned(),
        error,
    })
}

/// Serves until it is asked to end.
///
/// # Errors
/// See [`RunError`].
pub fn run(path: &Path, listen: Option<SocketAddr>) -> Result<(), RunError> {
    let mut config = read(path)?;
    config.listen = listen.unwrap_or(config.listen);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let served = runtime.block_on(async {
        // They stand before the listener does: who can connect can also ask for the end.
        let mut signals = Signals::new()?;
        let (ask, asked) = mpsc::channel(4);
        tokio::spawn(async move { while ask.send(signals.next().await).await.is_ok() {} });
        let address = config.listen;
        let listener = TcpListener::bind(address)
            .await
            .map_err(|error| RunError::Listen { address, error })?;
        serve(path, config, listener, asked).await;
        Ok(())
    });
    runtime.shutdown_background();
    served
}

/// Serves on a listener until it is asked to end, by `asked` in place of signals.
pub async fn serve(
    path: &Path,
    config: Config,
    listener: TcpListener,
    asked: mpsc::Receiver<Asked>,
) {
    let unix = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let (began, unix_us) = (Instant::now(), unix.as_micros() as u64);
    let now = || unix_us + began.elapsed().as_micros() as u64;
    let (names, rev) = (Names::from(&config.settings), config.known.rev);
    let connect = connect_us(&config.settings);
    let bounds = Bounds::of(&config.limits);
    let start = Start {
        now: unix_us,
        seed: config.seed,
        settings: config.settings,
        known: config.known,
        bounds,
    };
    let mut engine = Engine::new(start);
    let (came, mut coming) = mpsc::channel(INPUTS);
    let (move_discovery, addresses) = watch::channel(config.board);
    // Updates of the list go before all that waits: a drain counts from when discovery said it.
    let (list, mut listed) = mpsc::channel(LISTED);
    tokio::spawn(discovery::poll(addresses, names, rev, list));
    tokio::spawn(answer(asked, path.to_owned(), move_discovery, came.clone()));
    let budget = Budget::default();
    let (stop, stopped) = oneshot::channel();
    let places = Places::new(&bounds);
    tokio::spawn(sockets::accept(
        listener,
        places.clone(),
        budget.clone(),
        came.clone(),
        stopped,
    ));
    let mut shell = Shell {
        clients: BTreeMap::new(),
        links: BTreeMap::new(),
        connect: Duration::from_micros(connect),
        places,
        budget,
        most: (config.limits.memory_mb as usize * 1024 * 1024 / OUTBOXES).max(64 * 1024),
        stop: Some(stop),
        came,
        touched_clients: Vec::new(),
        touched_links: Vec::new(),
        second: (0, 0),
    };
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        engine.flush(now());
        while let Some(output) = engine.poll() {
            // What came before it may end is answered, however far behind the loop is.
            if output == Output::Finished && coming.is_empty() {
                return shell.farewell().await;
            }
            shell.carry_out(now(), output);
        }
        shell.write();
        let wake = engine
            .next_wake()
            .map(|at| Duration::from_micros(at.saturating_sub(now())));
        let updates = next(&mut listed, &mut coming, &mut batch, wake).await;
        let mut taken = 0;
        for input in updates {
            taken += shell.take_in(&mut engine, now(), Incoming::Input(input));
        }
        // All that there is to read goes before the module's next draws: what ends or is taken back is among it.
        for round in 0..ROUNDS {
            taken += batch
                .drain(..)
                .map(|news| shell.take_in(&mut engine, now(), news))
                .sum::<usize>();
            let behind = engine.has_backlog() || taken >= BUSY;
            if taken >= MOST || round + 1 == ROUNDS || !behind {
                break;
            }
            tokio::task::yield_now().await;
            batch.extend(std::iter::from_fn(|| coming.try_recv().ok()).take(INPUTS));
            if batch.is_empty() {
                break;
            }
        }
    }
}

/// Waits for what comes or for the time to wake: all updates of the list, which go first, and a batch of the rest.
async fn next(
    listed: &mut mpsc::Receiver<Input>,
    coming: &mut mpsc::Receiver<Incoming>,
    batch: &mut Vec<Incoming>,
    wake: Option<Duration>,
) -> Vec<Input> {
    let first = tokio::select! {
        Some(update) = listed.recv() => Some(update),
        _ = coming.recv_many(batch, BATCH) => None,
        () = tokio::time::sleep(wake.unwrap_or(Duration::MAX)), if wake.is_some() => None,
    };
    first
        .into_iter()
        .chain(std::iter::from_fn(|| listed.try_recv().ok()))
        .collect()
}

fn follow(line: impl FnOnce() -> Option<String>) {
    if tracing::enabled!(target: "reedring_platform::follow", tracing::Level::DEBUG)
        && let Some(line) = line()
    {
        tracing::debug!(target: "reedring_platform::follow", "{line}");
    }
}

/// Does what is asked; a configuration that can't be used leaves the old one in force and is read again.
async fn answer(
    mut asked: mpsc::Receiver<Asked>,
    path: PathBuf,
    discovery: watch::Sender<SocketAddr>,
    came: mpsc::Sender<Incoming>,
) {
    let mut reading = false;
    loop {
        let next = tokio::select! {
            next = asked.recv() => next,
            () = tokio::time::sleep(READ_AGAIN), if reading => Some(Asked::Reload),
        };
        let Some(next) = next else { return };
        match next {
            Asked::End => {
                if came.send(Incoming::Input(Input::Terminate)).await.is_err() {
                    return;
                }
            }
            Asked::Reload => match read(&path) {
                Ok(config) => {
                    reading = false;
                    tracing::warn!("configuration read again; discovery is at {}", config.board);
                    discovery.send_replace(config.board);
                }
                Err(error) => {
                    reading = true;
                    tracing::warn!("the old configuration holds: {error}");
                }
            },
        }
    }
}

struct Shell {
    clients: BTreeMap<ConnId, outbox::Sender>,
    links: BTreeMap<LinkId, outbox::Sender>,
    connect: Duration,
    places: Places,
    /// What waits to be written, and how much may.
    budget: Budget,
    most: usize,
    /// Who was sent something that is not written yet.
    touched_clients: Vec<ConnId>,
    touched_links: Vec<LinkId>,
    /// Tells that no new connections are taken any more.
    stop: Option<oneshot::Sender<()>>,
    came: mpsc::Sender<Incoming>,
    /// The second in which lines were logged last, and how many.
    second: (u64, u32),
}

impl Shell {
    /// Tells the engine what came; how much it was.
    fn take_in(&mut self, engine: &mut Engine, now: u64, news: Incoming) -> usize {
        match news {
            Incoming::Client(conn, out) => {
                self.clients.insert(conn, out);
                self.tell(engine, now, Input::ClientCame(conn))
            }
            Incoming::Input(input) => self.tell(engine, now, input),
            Incoming::Said(inputs) => inputs
                .into_iter()
                .map(|input| self.tell(engine, now, input))
                .sum(),
            Incoming::Log(line) => {
                self.log(now, &line);
                0
            }
        }
    }

    fn tell(&mut self, engine: &mut Engine, now: u64, input: Input) -> usize {
        match &input {
            Input::ClientGone(conn) => drop(self.clients.remove(conn)),
            Input::LinkDown { link, .. } => drop(self.links.remove(link)),
            _ => {}
        }
        follow(|| follow::input(&input));
        engine.handle(now, input);
        1
    }

    fn carry_out(&mut self, now: u64, output: Output) {
        follow(|| follow::output(&output));
        match output {
            Output::ToClient(conn, message) => {
                if let Some(out) = self.clients.get(&conn) {
                    out.send(&message.encode());
                    self.touched_clients.push(conn);
                    self.bound(now);
                }
            }
            Output::CloseClient(conn) => {
                if let Some(out) = self.clients.remove(&conn) {
                    out.flush();
                }
            }
            Output::CloseIdleClient(conn) => {
                self.clients.get(&conn).map(outbox::Sender::close_idle);
            }
            Output::Connect(link, address) => {
                let (out, messages) = outbox(&self.budget);
                self.links.insert(link, out);
                let (places, came) = (self.places.clone(), self.came.clone());
                tokio::spawn(sockets::link(
                    link,
                    address,
                    self.connect,
                    places,
                    messages,
                    came,
                ));
            }
            Output::ToHost(link, message) => {
                if let Some(out) = self.links.get(&link) {
                    out.send(&message.encode());
                    if !matches!(
                        message,
                        ToHost::Release {
                            cause: GIVEN_UP,
                            ..
                        }
                    ) {
                        self.touched_links.push(link);
                    } else if !out.flush() {
                        // It is to be given up before it is sent elsewhere: a host that takes nothing any more sees
                        // the connection end instead.
                        out.cut();
                    }
                    self.bound(now);
                }
            }
            Output::CloseLink(link) => {
                // What is open on it is given up with it, before it is sent elsewhere.
                if let Some(out) = self.links.remove(&link) {
                    out.flush();
                    out.cut();
                }
            }
            Output::StopListening => drop(self.stop.take()),
            Output::Log(line) => self.log(now, &line),
            Output::Finished => {}
        }
    }

    /// Writes what was sent since the last time.
    fn write(&mut self) {
        for link in self.touched_links.drain(..) {
            self.links.get(&link).map(outbox::Sender::flush);
        }
        for conn in self.touched_clients.drain(..) {
            self.clients.get(&conn).map(outbox::Sender::flush);
        }
    }

    /// Where too much waits to be written, whoever most of it waits for does not read: it is cut.
    fn bound(&mut self, now: u64) {
        if self.budget.held() <= self.most {
            return;
        }
        let client = self.clients.iter().max_by_key(|(_, out)| out.len());
        let link = self.links.iter().max_by_key(|(_, out)| out.len());
        let (client, link) = (
            client.map(|(id, out)| (out, "client", id)),
            link.map(|(id, out)| (out, "link", id)),
        );
        if let Some((out, what, id)) = client
            .into_iter()
            .chain(link)
            .max_by_key(|(out, _, _)| out.len())
        {
            let line = format!("{what} {id}: closed: {} bytes wait for it", out.len());
            out.cut();
            self.log(now, &line);
        }
    }

    /// A bounded number of lines: a flood of bad input is no flood of lines.
    fn log(&mut self, now: u64, line: &str) {
        let second = now / 1_000_000;
        if self.second.0 != second {
            self.second = (second, 0);
        }
        self.second.1 += 1;
        if self.second.1 <= LINES {
            tracing::info!("{line}");
        }
    }

    /// Lets the last messages be written.
    async fn farewell(&mut self) {
        let clients = std::mem::take(&mut self.clients);
        let written = async {
            for out in clients.into_values() {
                while out.len() > 0 {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }
        };
        let _ = tokio::time::timeout(FAREWELL, written).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[cfg(test)]
mod tests;
