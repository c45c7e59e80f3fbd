//! The loop around the engine: inputs are taken in, the engine decides, and its outputs are carried out.

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

/// Items taken from the channel at once.
const BATCH: usize = 64;
/// Items that wait for the engine; a sender of one more waits. One of a client may hold 32 KiB of messages.
pub(super) const INPUT_QUEUE: usize = 128;
/// If so much input came at once, or requests wait to be submitted, all input that there is is taken in before the
/// decision module decides: in so many passes over the sockets, and up to so many inputs.
const BUSY_INPUTS: usize = 16;
const MAX_PASSES: usize = 8;
const MAX_INPUTS: usize = 1_024;
/// Answers of discovery that wait for the engine.
pub(super) const DISCOVERY_QUEUE: usize = 4;
/// Bytes that wait to be written may hold this part of the memory, and at least [`MIN_WRITE_BYTES`].
const WRITE_MEMORY_PART: usize = 8;
const MIN_WRITE_BYTES: usize = 64 * 1024;

/// Microseconds since 1970, on a clock that never goes back.
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

/// Serves on a listener until it is asked to exit, by `signals` in place of the process's signals.
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

/// The engine, its shell, and the channels on which input comes.
struct EventLoop {
    clock: Clock,
    engine: Engine,
    shell: Shell,
    incoming: mpsc::Receiver<Incoming>,
    /// Updates of the endpoint list go before all other input: a drain counts from when discovery published it.
    discovery: mpsc::Receiver<Input>,
    batch: Vec<Incoming>,
}

impl EventLoop {
    /// Makes the engine, and starts the tasks for discovery, signals and the listener.
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
        let acceptor = sockets::Acceptor {
            permits: permits.clone(),
            budget: budget.clone(),
            incoming: sender.clone(),
        };
        tokio::spawn(acceptor.run(listener, stopped));
        let write_bytes = config.limits.memory_mb as usize * 1024 * 1024 / WRITE_MEMORY_PART;
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
                // Input that came before the exit is answered, however far behind the loop is.
                if matches!(output, Output::MayExit) && self.incoming.is_empty() {
                    return self.shell.write_all().await;
                }
                self.shell.carry_out(self.clock.now(), output);
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
            let mut taken = 0;
            for update in updates {
                taken += self.take_in(Incoming::Input(update));
            }
            self.take_in_batches(taken).await;
        }
    }

    /// Takes in the batch; when it is busy, all input that there is, as cancellations may be among it.
    async fn take_in_batches(&mut self, mut taken: usize) {
        for pass in 0..MAX_PASSES {
            // Put back afterwards, so that its memory is used again.
            let mut batch = std::mem::take(&mut self.batch);
            for incoming in batch.drain(..) {
                taken += self.take_in(incoming);
            }
            self.batch = batch;
            let is_busy = self.engine.has_backlog() || taken >= BUSY_INPUTS;
            if taken >= MAX_INPUTS || pass + 1 == MAX_PASSES || !is_busy {
                break;
            }
            tokio::task::yield_now().await;
            let waiting = std::iter::from_fn(|| self.incoming.try_recv().ok());
            self.batch.extend(waiting.take(INPUT_QUEUE));
            if self.batch.is_empty() {
                break;
            }
        }
    }

    fn take_in(&mut self, incoming: Incoming) -> usize {
        self.shell
            .take_in(&mut self.engine, self.clock.now(), incoming)
    }
}

/// Waits for input or for the time to wake: all updates of the endpoint list, which go first, and a batch of the rest.
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
