//! A placer's runtime: the core's task, and all that feeds it.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc as blocking;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use reedring_audit::{Event, Recorder};
use reedring_core::{Core, Input, Output, Start};
use reedring_node_protocol::{PeerTraffic, VersionStamp};
use reedring_settings::{Address, Settings};
use tokio::net::{TcpListener, UnixListener};
use tokio::sync::{mpsc, oneshot, watch};

use crate::clients::{self, Came, Clients, Listener};
use crate::links::Links;
use crate::log_events;
use crate::settings_file::{FileUpdate, SettingsFile};
use crate::source::{NodeSource, Update};
use crate::state::{Folder, StateError, Writer};

/// Inputs taken into the core before the module decides on them.
const BATCH: usize = 512;
/// Inputs that wait for the core; whoever brings one more waits.
const INPUTS: usize = 8_192;

/// What a placer is started with beside its settings.
pub struct Options {
    /// Where its node list comes from.
    pub source: Box<dyn NodeSource>,
    /// Records what crosses its sockets.
    pub recorder: Option<Arc<Recorder>>,
    /// Counts the messages of its links by node.
    pub traffic: Option<Arc<PeerTraffic>>,
    /// The settings file, if changes of its plan are taken up while the placer runs.
    pub settings_file: Option<SettingsFile>,
    /// The settings' text, for the trace.
    pub settings_text: String,
    /// Threads of its runtime; 1 runs the sockets on the core's thread.
    pub threads: usize,
}

/// Why a placer did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its runtime or thread could not be made.
    #[error("placer {name}: can't start its runtime: {error}")]
    Runtime {
        /// The placer.
        name: String,
        /// Why.
        error: io::Error,
    },
    /// Its address can't be listened on.
    #[error("placer {name}: can't listen on {address}: {error}")]
    Listen {
        /// The placer.
        name: String,
        /// The address.
        address: String,
        /// Why.
        error: io::Error,
    },
    /// Its state can't be taken up.
    #[error("placer {name}: {error}")]
    State {
        /// The placer.
        name: String,
        /// Why.
        error: StateError,
    },
}

/// What every task of a placer knows.
pub(crate) struct Shared {
    pub name: String,
    pub life: u64,
    pub connect_timeout: Duration,
    /// By what it acts, where it tells nodes: each greeting says so.
    pub acts: Mutex<Option<VersionStamp>>,
    recorder: Option<Arc<Recorder>>,
    /// Counters of the links' messages, by node.
    pub traffic: Option<Arc<PeerTraffic>>,
}

impl Shared {
    #[cfg(test)]
    pub fn for_tests() -> Self {
        Self {
            name: "p".to_owned(),
            life: 1,
            connect_timeout: Duration::from_secs(10),
            acts: Mutex::default(),
            recorder: None,
            traffic: None,
        }
    }

    pub fn record(&self, event: Event, peer: &str, link: u64, bytes: &[u8]) {
        if let Some(recorder) = &self.recorder {
            recorder.record(event, &self.name, peer, link, bytes);
        }
    }

    pub fn record_with(&self, event: Event, link: u64, bytes: impl FnOnce() -> Vec<u8>) {
        if self.recorder.is_some() {
            self.record(event, "", link, &bytes());
        }
    }

    pub fn record_link(&self, event: Event, node: &str, link: u64, bytes: &[u8]) {
        self.record(event, node, link, bytes);
    }
}

enum ConfigRequest {
    /// Stand still for so long, as a placer does whose host is overloaded.
    Stall(Duration),
}

/// How a placer ends.
#[derive(Clone, Copy, PartialEq)]
enum End {
    /// At once, as if it were killed.
    Killed,
    /// What was promised and learned is kept first.
    Stopped,
}

/// A running placer.
pub struct Placer {
    name: String,
    contact: String,
    life: u64,
    orders: mpsc::UnboundedSender<ConfigRequest>,
    stop: Option<oneshot::Sender<End>>,
    thread: Option<JoinHandle<()>>,
    recorder: Option<Arc<Recorder>>,
    socket: Option<PathBuf>,
    shut_out: Arc<AtomicBool>,
}

impl Placer {
    /// Starts a placer in a thread and a runtime of its own.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(settings: Settings, options: Options) -> Result<Self, StartError> {
        let name = settings.name.clone();
        let runtime_error = |error| StartError::Runtime {
            name: name.clone(),
            error,
        };
        let mut builder = match options.threads {
            0 | 1 => tokio::runtime::Builder::new_current_thread(),
            _ => tokio::runtime::Builder::new_multi_thread(),
        };
        if options.threads > 1 {
            builder.worker_threads(options.threads);
        }
        let runtime = builder.enable_all().build().map_err(runtime_error)?;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let mut life = unix.as_micros() as u64;
        let folder = settings
            .state
            .as_ref()
            .map(|state| Folder::open(&settings, state, life))
            .transpose();
        let folder = folder.map_err(|error| StartError::State {
            name: settings.name.clone(),
            error,
        })?;
        if let Some(folder) = &folder {
            // Nodes and clients take a greater life for the newer one, also where the clock went back.
            life = life.max(folder.restored.image.last_incarnation() + 1);
        }
        let (orders, ordered) = mpsc::unbounded_channel();
        let (stop, stopped) = oneshot::channel();
        let (ready, started) = blocking::channel();
        let socket = match &settings.listen {
            Address::Unix(path) => Some(path.clone()),
            Address::Tcp(_) => None,
        };
        let recorder = options.recorder.clone();
        let shut_out = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&shut_out);
        let thread = std::thread::Builder::new()
            .name(name.clone())
            .spawn(move || {
                let begin = async {
                    let (listener, contact) = match listen(&settings).await {
                        Ok(bound) => bound,
                        Err(error) => return drop(ready.send(Err(error))),
                    };
                    let _ = ready.send(Ok(contact));
                    let life = (life, unix);
                    run(
                        settings,
                        options,
                        listener,
                        life,
                        folder,
                        (ordered, stopped),
                        told,
                    )
                    .await;
                };
                runtime.block_on(begin);
                // What still runs ends here, and its sockets with it.
                runtime.shutdown_background();
            });
        let thread = thread.map_err(runtime_error)?;
        let contact = started
            .recv()
            .map_err(|_| runtime_error(io::Error::other("its thread ended")))??;
        let (stop, thread) = (Some(stop), Some(thread));
        Ok(Self {
            name,
            contact,
            life,
            orders,
            stop,
            thread,
            recorder,
            socket,
            shut_out,
        })
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its contact string for DRMAA clients.
    pub fn contact(&self) -> &str {
        &self.contact
    }

    /// This life of it.
    pub fn life(&self) -> u64 {
        self.life
    }

    /// It takes nothing new until its staff act: its plan is not the fleet's, and it can't take that.
    pub fn is_shut_out(&self) -> bool {
        self.shut_out.load(Ordering::Relaxed)
    }

    /// Makes it stand still.
    pub fn stall(&self, time: Duration) {
        let _ = self.orders.send(ConfigRequest::Stall(time));
    }

    /// Ends it at once; whatever it knew and had not kept is lost.
    pub fn kill(mut self) {
        self.end(End::Killed);
    }

    /// Ends it after it has kept what it promised and learned, where it keeps anything.
    pub fn stop(mut self) {
        self.end(End::Stopped);
    }

    fn end(&mut self, how: End) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(how);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
            if let Some(recorder) = &self.recorder {
                recorder.record(Event::PlacerEnded, &self.name, "", self.life, b"");
            }
            if let Some(socket) = &self.socket {
                let _ = std::fs::remove_file(socket);
            }
        }
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        self.end(End::Killed);
    }
}

async fn listen(settings: &Settings) -> Result<(Listener, String), StartError> {
    let error = |address: String| {
        let name = settings.name.clone();
        move |error| StartError::Listen {
            name,
            address,
            error,
        }
    };
    match &settings.listen {
        Address::Tcp(address) => {
            let listener = TcpListener::bind(address)
                .await
                .map_err(error(address.to_string()))?;
            let bound: SocketAddr = listener.local_addr().map_err(error(address.to_string()))?;
            Ok((Listener::Tcp(listener), format!("tcp:{bound}")))
        }
        Address::Unix(path) => {
            let shown = path.display().to_string();
            // A socket that nobody answers on is left from a placer that was killed.
            if path.exists() && std::os::unix::net::UnixStream::connect(path).is_err() {
                let _ = std::fs::remove_file(path);
            }
            let listener = UnixListener::bind(path).map_err(error(shown.clone()))?;
            Ok((Listener::Unix(listener), format!("unix:{shown}")))
        }
    }
}

fn monotonic_ns() -> u64 {
    static BEGAN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    BEGAN.get_or_init(Instant::now).elapsed().as_nanos() as u64
}

async fn run(
    settings: Settings,
    options: Options,
    listener: Listener,
    (life, unix): (u64, Duration),
    folder: Option<Folder>,
    (mut orders, mut stopped): (
        mpsc::UnboundedReceiver<ConfigRequest>,
        oneshot::Receiver<End>,
    ),
    shut_out: Arc<AtomicBool>,
) {
    // The core's clock starts at the time of day, so that it can name moments before its start.
    let (clock, unix_us) = (Instant::now(), unix.as_micros() as u64);
    let now = || unix_us + clock.elapsed().as_micros() as u64;
    let shared = Arc::new(Shared {
        name: settings.name.clone(),
        life,
        connect_timeout: Duration::from_micros(settings.links.connect_us),
        acts: Mutex::new(reedring_core::first_stamp(&settings)),
        recorder: options.recorder,
        traffic: options.traffic,
    });
    shared.record(
        Event::PlacerStarted,
        "",
        life,
        options.settings_text.as_bytes(),
    );
    let seed = settings.seed.unwrap_or(life);
    let limit = settings.limits.connections;
    let start = Start {
        now: unix_us,
        unix_us,
        life,
        seed,
    };
    let (came, mut coming) = mpsc::channel(INPUTS);
    let (mut core, writer) = match folder {
        None => (Core::new(settings, start), None),
        Some(mut folder) => {
            let core = Core::with_state(settings, start, folder.take_restored());
            match folder.write(came.clone()) {
                Ok(writer) => (core, Some(writer)),
                Err(error) => return tracing::error!(%error, "no thread for the state folder"),
            }
        }
    };
    core.time_module(monotonic_ns);
    let (listed, mut lists) = mpsc::channel(4);
    tokio::spawn(clients::accept(
        listener,
        limit,
        Arc::clone(&shared),
        came.clone(),
    ));
    let (changed, mut changes) = mpsc::channel(4);
    if let Some(file) = options.settings_file {
        tokio::spawn(file.watch(changed));
    }
    let known = options.source.settings();
    tokio::spawn(options.source.run(listed));
    let (clients, links) = (Clients::default(), Links::new(&shared));
    let mut shell = Shell {
        clients,
        links,
        shared,
        came,
        writer,
        known,
        shut_out,
    };
    let mut batch = Vec::with_capacity(BATCH);
    loop {
        let wake = core
            .next_wake()
            .map(|at| Duration::from_micros(at.saturating_sub(now())));
        tokio::select! {
            _ = coming.recv_many(&mut batch, BATCH) => {}
            Some(update) = lists.recv() => shell.listed(&mut core, now(), update),
            Some(update) = changes.recv() => shell.file_changed(&mut core, now(), update),
            Some(ConfigRequest::Stall(time)) = orders.recv() => {
                shell.shared.record(Event::PlacerStalled, "", time.as_micros() as u64, b"");
                std::thread::sleep(time);
            }
            how = &mut stopped => {
                if how == Ok(End::Stopped) {
                    core.farewell(now());
                    core.flush(now());
                    while let Some(output) = core.poll() {
                        shell.carry_out(output);
                    }
                } else {
                    shell.writer.iter().for_each(Writer::abandon);
                }
                // The writer ends with the shell, and must not wait to be heard.
                return coming.close();
            }
            () = tokio::time::sleep(wake.unwrap_or(Duration::MAX)), if wake.is_some() => {}
        }
        for news in batch.drain(..) {
            match news {
                Came::Open(conn, out) => shell.clients.open(conn, out),
                Came::Answer(conn, response) => shell.clients.reply(conn, response),
                Came::Input(input) => {
                    if let Input::ClientGone(conn) = input {
                        shell.clients.gone(conn);
                    }
                    core.handle(now(), input);
                }
                Came::LinkUp(number, input) => {
                    if let Input::LinkUp { node, .. } = &input {
                        shell.links.stands(node, number);
                    }
                    core.handle(now(), input);
                }
            }
        }
        core.release(now());
        while let Some(output) = core.poll() {
            shell.carry_out(output);
        }
        core.flush(now());
        while let Some(output) = core.poll() {
            shell.carry_out(output);
        }
    }
}

struct Shell {
    clients: Clients,
    links: Links,
    shared: Arc<Shared>,
    came: mpsc::Sender<Came>,
    writer: Option<Writer>,
    /// The settings by which the list is read, where its source shares them.
    known: Option<watch::Sender<Settings>>,
    shut_out: Arc<AtomicBool>,
}

impl Shell {
    fn listed(&self, core: &mut Core, now: u64, update: Update) {
        match update {
            Update::List(list, text) => {
                self.shared.record(Event::Listed, "", 0, text.as_bytes());
                core.handle(now, Input::Listed(list));
            }
            Update::Failed(why) => {
                tracing::warn!(
                    placer = self.shared.name,
                    "the node list can't be used, the old one holds: {why}"
                );
            }
        }
    }

    fn file_changed(&self, core: &mut Core, now: u64, update: FileUpdate) {
        match update {
            FileUpdate::Changed(settings) => core.handle(now, Input::SettingsChanged(settings)),
            FileUpdate::Failed(why) => {
                tracing::warn!(
                    placer = self.shared.name,
                    "the settings file can't be used, the old one holds: {why}"
                );
            }
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Reply { conn, response } => self.clients.reply(conn, response),
            Output::Connect {
                node,
                address,
                zone,
            } => {
                self.links
                    .connect(node, (address, zone), &self.shared, &self.came);
            }
            Output::MoveZone { node, zone } => self.links.move_zone(&node, zone),
            Output::Disconnect { node } => self.links.disconnect(&node),
            Output::Send { node, message } => {
                self.links.send(&node, message, &self.shared, &self.came);
            }
            Output::Keep { batch, whole } => {
                if let Some(writer) = &self.writer {
                    writer.keep(batch, whole);
                }
            }
            Output::Learn(learned) => {
                if let Some(writer) = &self.writer {
                    writer.learn(learned);
                }
            }
            Output::Acts(stamp) => {
                *self
                    .shared
                    .acts
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner) = Some(stamp);
            }
            Output::Settings(settings) => {
                if let Some(known) = &self.known {
                    known.send_replace(*settings);
                }
            }
            Output::ShutOut(shut_out) => self.shut_out.store(shut_out, Ordering::Relaxed),
            Output::Event(event) => log_events::record(&self.shared.name, &event),
        }
    }
}
