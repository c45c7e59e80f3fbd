//! The handle of a running placer: starts its thread and runtime, and shuts it down.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc as blocking;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use reedring_settings::{Address, Settings};
use tokio::runtime::{Builder, Runtime};

use crate::control::{ControlChannel, ControlSender, PlacerCommand, ShutdownMode};
use crate::error::StartError;
use crate::ledger::LedgerFolder;
use crate::listener::{BoundListener, Listener};
use crate::options::PlacerOptions;
use crate::startup::Startup;
use crate::trace::PlacerTrace;

/// A running placer. Dropping the handle ends the placer as [`Placer::kill`] does.
pub struct Placer {
    name: String,
    contact: String,
    incarnation: u64,
    control: ControlSender,
    /// `None` once the placer has ended.
    thread: Option<JoinHandle<()>>,
    trace: PlacerTrace,
    /// Path of the Unix socket on which the placer listens, which is removed when the placer ends; `None` for TCP.
    socket: Option<PathBuf>,
    is_fenced: Arc<AtomicBool>,
}

impl Placer {
    /// Starts a placer in its own thread and runtime, and returns once it listens for clients.
    ///
    /// # Errors
    /// See [`StartError`].
    pub fn start(settings: Settings, options: PlacerOptions) -> Result<Self, StartError> {
        let name = settings.name.clone();
        let runtime_error = |error| StartError::Runtime {
            name: name.clone(),
            error,
        };
        let runtime = build_runtime(options.threads).map_err(runtime_error)?;
        let unix_time = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let ledger = open_ledger(&settings, unix_time)?;
        let incarnation = incarnation(unix_time, ledger.as_ref());
        let socket = match &settings.listen {
            Address::Unix(path) => Some(path.clone()),
            Address::Tcp(_) => None,
        };
        let trace = PlacerTrace::new(&name, options.recorder.clone());
        let ControlChannel { sender, receiver } = ControlChannel::new();
        let is_fenced = Arc::new(AtomicBool::new(false));
        let startup = Startup {
            settings,
            options,
            unix_time,
            incarnation,
            ledger,
            trace: trace.clone(),
            control: receiver,
            is_fenced: Arc::clone(&is_fenced),
        };
        let (ready, started) = blocking::channel();
        let thread = std::thread::Builder::new().name(name.clone());
        let thread = thread
            .spawn(move || run_thread(runtime, startup, &ready))
            .map_err(runtime_error)?;
        let contact = started.recv().map_err(|_| {
            runtime_error(io::Error::other(
                "its thread ended before the listener was bound",
            ))
        })??;
        let (control, thread) = (sender, Some(thread));
        Ok(Self {
            name,
            contact,
            incarnation,
            control,
            thread,
            trace,
            socket,
            is_fenced,
        })
    }

    /// The placer's name in its settings.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The contact string with which DRMAA clients connect: `tcp:` or `unix:`, and the address.
    pub fn contact(&self) -> &str {
        &self.contact
    }

    /// The number of this start: greater than that of any earlier start with the same state folder.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the placer is fenced: it accepts no new work until an operator acts, because its configuration differs
    /// from the cluster's and it can't adopt that one.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced.load(Ordering::Relaxed)
    }

    /// Blocks the event loop for this time, as on an overloaded host.
    pub fn stall(&self, duration: Duration) {
        self.control.send(PlacerCommand::Stall(duration));
    }

    /// Ends the placer at once; what is not yet written to its state folder is lost.
    pub fn kill(mut self) {
        self.end(ShutdownMode::Kill);
    }

    /// Ends the placer once its ledger and beliefs are written to its state folder, if it has one.
    pub fn stop(mut self) {
        self.end(ShutdownMode::Stop);
    }

    fn end(&mut self, mode: ShutdownMode) {
        self.control.shut_down(mode);
        let Some(thread) = self.thread.take() else {
            return;
        };
        let _ = thread.join();
        self.trace.placer_ended(self.incarnation);
        if let Some(socket) = &self.socket {
            let _ = std::fs::remove_file(socket);
        }
    }
}

impl Drop for Placer {
    fn drop(&mut self) {
        self.end(ShutdownMode::Kill);
    }
}

fn build_runtime(threads: usize) -> io::Result<Runtime> {
    let mut builder = match threads {
        0 | 1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if threads > 1 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build()
}

fn open_ledger(
    settings: &Settings,
    unix_time: Duration,
) -> Result<Option<LedgerFolder>, StartError> {
    let Some(state) = &settings.state else {
        return Ok(None);
    };
    let opened = LedgerFolder::open(settings, state, unix_time.as_micros() as u64);
    opened.map(Some).map_err(|error| StartError::State {
        name: settings.name.clone(),
        error,
    })
}

/// Returns the number of this start: the time in microseconds since 1970, or one more than the last incarnation if
/// the clock went back, because nodes and clients take the greater incarnation to be the newer one.
fn incarnation(unix_time: Duration, ledger: Option<&LedgerFolder>) -> u64 {
    let now = unix_time.as_micros() as u64;
    ledger.map_or(now, |folder| now.max(folder.last_incarnation() + 1))
}

/// Binds the listener, reports its contact string or the error to `ready`, and runs the placer until it ends.
fn run_thread(
    runtime: Runtime,
    startup: Startup,
    ready: &blocking::Sender<Result<String, StartError>>,
) {
    runtime.block_on(async {
        match Listener::bind(&startup.settings).await {
            Ok(BoundListener { listener, contact }) => {
                let _ = ready.send(Ok(contact));
                serve(startup, listener).await;
            }
            Err(error) => drop(ready.send(Err(error))),
        }
    });
    // Does not wait for blocking calls that still run, such as reads of a watched file.
    runtime.shutdown_background();
}

async fn serve(startup: Startup, listener: Listener) {
    let placer = startup.settings.name.clone();
    match startup.into_event_loop(listener) {
        Ok(event_loop) => event_loop.run().await,
        Err(error) => {
            tracing::error!(
                event = "ledger_thread_failed",
                placer,
                %error,
                "placer ends: the thread that writes its state folder could not be started"
            );
        }
    }
}
