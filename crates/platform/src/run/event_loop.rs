//! The loop around the engine: passes inputs to the engine, runs it and executes its outputs.

use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use reedring_connection::SignalRequest;
use reedring_platform_protocol::config::Config;
use reedring_platform_protocol::discovery::Names;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};

use crate::bounds::Bounds;
use crate::discovery;
use crate::engine::EngineParameters;
use crate::io::{Input, Output};
use crate::sockets::{self, ConnectionPermits, Incoming};
use crate::state::{Engine, connect_timeout_us};
use crate::write_buffer::WriteBudget;

use super::control::handle_signals;
use super::shell::{Shell, ShellSettings};

/// Maximum number of items taken from the input channel at once.
const BATCH: usize = 64;
/// Capacity of the input channel; senders wait while it is full. `InputBudget` limits the memory of clients' items.
pub(super) const INPUT_QUEUE: usize = 128;
/// If this many inputs were handled since the decision module last ran, or if requests wait to be submitted, more input
/// is received before it runs again, up to [`MAX_PASSES`] passes and until [`MAX_INPUTS`] inputs are handled.
const BUSY_INPUTS: usize = 16;
/// Maximum number of batches of input handled before the decision module runs.
const MAX_PASSES: usize = 8;
/// No further pass begins once this many inputs were handled.
const MAX_INPUTS: usize = 1_024;
/// Capacity of the channel on which the discovery task sends updates and failures.
pub(super) const DISCOVERY_QUEUE: usize = 4;
/// Unwritten bytes may use the configured memory divided by this, but at least [`MIN_WRITE_BYTES`].
const WRITE_MEMORY_DIVISOR: usize = 8;
/// Lower bound of the limit on unwritten bytes.
const MIN_WRITE_BYTES: usize = 64 * 1024;

/// Microseconds since the Unix epoch, on a monotonic clock: the system clock is read once, at the start.
struct Clock {
    started: Instant,
    started_unix_us: u64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            started_unix_us: unix.as_micros() as u64,
        }
    }

    fn now(&self) -> u64 {
        self.started_unix_us + self.started.elapsed().as_micros() as u64
    }
}

/// Serves on a listener until `signals` requests shutdown; `signals` replaces the signals of the process.
///
/// `path` is the configuration file, which is read again on a reload.
pub async fn serve(
    path: &Path,
    config: Config,
    listener: TcpListener,
    signals: mpsc::Receiver<SignalRequest>,
) {
    EventLoop::start(path, config, listener, signals)
        .run()
        .await;
}

/// The engine, its shell, and the channels that deliver input.
struct EventLoop {
    clock: Clock,
    engine: Engine,
    shell: Shell,
    incoming: mpsc::Receiver<Incoming>,
    /// Updates of the endpoint list are handled before all other input, as a drain counts from when discovery published
    /// it.
    discovery: mpsc::Receiver<Input>,
    batch: Vec<Incoming>,
}

impl EventLoop {
    /// Creates the engine, and starts the tasks for discovery, signals and the listener.
    fn start(
        path: &Path,
        config: Config,
        listener: TcpListener,
        signals: mpsc::Receiver<SignalRequest>,
    ) -> Self {
        let clock = Clock::new();
        let (names, revision) = (Names::from(&config.settings), config.known.revision);
        let bounds = Bounds::from_limits(&config.limits);
        let (sender, incoming) = mpsc::channel(INPUT_QUEUE);
        let (updates, discovery) = mpsc::channel(DISCOVERY_QUEUE);
        let (discovery_address, addresses) = watch::channel(config.discovery);
        tokio::spawn(discovery::poll(addresses, names, revision, updates));
        let control = handle_signals(signals, path.to_owned(), discovery_address, sender.clone());
        tokio::spawn(control);
        let (budget, permits) = (WriteBudget::default(), ConnectionPermits::new(&bounds));
        let (stop, stopped) = oneshot::channel();
        let memory_bytes = config.limits.memory_mb as usize * 1024 * 1024;
        let acceptor = sockets::Acceptor {
            permits: permits.clone(),
            budget: budget.clone(),
            input_budget: sockets::InputBudget::new(memory_bytes),
            incoming: sender.clone(),
        };
        tokio::spawn(acceptor.run(listener, stopped));
        let write_bytes = memory_bytes / WRITE_MEMORY_DIVISOR;
        let shell = Shell::new(ShellSettings {
            connect_timeout: Duration::from_micros(connect_timeout_us(&config.settings)),
            permits,
            budget,
            max_pending_bytes: write_bytes.max(MIN_WRITE_BYTES),
            stop_listening: stop,
            incoming: sender,
        });
        let engine = Engine::new(EngineParameters {
            now: clock.started_unix_us,
            seed: config.seed,
            settings: config.settings,
            known: config.known,
            bounds,
        });
        Self {
            clock,
            engine,
            shell,
            incoming,
            discovery,
            batch: Vec::with_capacity(BATCH),
        }
    }

    async fn run(mut self) {
        loop {
            self.engine.flush(self.clock.now());
            while let Some(output) = self.engine.poll() {
                // Input that was received before the exit is still answered, even if the loop lags behind.
                if matches!(output, Output::MayExit) && self.incoming.is_empty() {
                    return self.shell.write_all().await;
                }
                self.shell.execute(self.clock.now(), output);
            }
            self.shell.flush();
            let wake = self.engine.next_wake();
            let wake = wake.map(|at| Duration::from_micros(at.saturating_sub(self.clock.now())));
            let updates = next_input(
                &mut self.discovery,
                &mut self.incoming,
                &mut self.batch,
                wake,
            )
            .await;
            let mut handled = 0;
            for update in updates {
                handled += self.handle_incoming(Incoming::Input(update));
            }
            self.handle_batches(handled).await;
        }
    }

    /// Handles the batch. Under load, further input is received and handled first, as it may contain cancellations of
    /// requests in the batch.
    async fn handle_batches(&mut self, mut handled: usize) {
        for pass in 0..MAX_PASSES {
            // Put back after the loop, so that its allocation is reused.
            let mut batch = std::mem::take(&mut self.batch);
            for incoming in batch.drain(..) {
                handled += self.handle_incoming(incoming);
            }
            self.batch = batch;
            let is_busy = self.engine.has_backlog() || handled >= BUSY_INPUTS;
            if handled >= MAX_INPUTS || pass + 1 == MAX_PASSES || !is_busy {
                break;
            }
            tokio::task::yield_now().await;
            let pending = std::iter::from_fn(|| self.incoming.try_recv().ok());
            self.batch.extend(pending.take(INPUT_QUEUE));
            if self.batch.is_empty() {
                break;
            }
        }
    }

    fn handle_incoming(&mut self, incoming: Incoming) -> usize {
        self.shell
            .handle_incoming(&mut self.engine, self.clock.now(), incoming)
    }
}

/// Waits for input, or until `wake` has elapsed. Returns all pending updates of the endpoint list, which are handled
/// first, and appends up to [`BATCH`] other inputs to `batch`.
pub(super) async fn next_input(
    discovery: &mut mpsc::Receiver<Input>,
    incoming: &mut mpsc::Receiver<Incoming>,
    batch: &mut Vec<Incoming>,
    wake: Option<Duration>,
) -> Vec<Input> {
    let first = tokio::select! {
        Some(update) = discovery.recv() => Some(update),
        _ = incoming.recv_many(batch, BATCH) => None,
        () = tokio::time::sleep(wake.unwrap_or(Duration::MAX)), if wake.is_some() => None,
    };
    first
        .into_iter()
        .chain(std::iter::from_fn(|| discovery.try_recv().ok()))
        .collect()
}
