//! The thread that writes a placer's state, so that the core never waits for the disk.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use reedring_core::Input;
use reedring_state::{
    Batch, BatchSequence, BeliefSnapshot, Folder, LedgerWriteError, LedgerWriter,
};

use crate::inbound::{InboundEvent, InboundSender};

/// Maximum number of queued commands that are executed together with the first one. Their appended batches are
/// written in one transaction.
const MAX_GROUP: usize = 1_024;

/// A command to the thread. Commands are executed in order.
pub(super) enum LedgerCommand {
    /// Append these changes to the ledger.
    Append(Batch),
    /// Replace the ledger with a new one that holds exactly these rows.
    Rewrite(Batch),
    /// Replace the belief file.
    SaveBeliefs(Box<BeliefSnapshot>),
}

/// Owns the thread. Dropping it joins the thread, which first executes all queued commands unless it was abandoned.
pub(crate) struct LedgerThread {
    /// `None` without a thread.
    commands: Option<Sender<LedgerCommand>>,
    thread: Option<JoinHandle<()>>,
    /// Set when the thread must end without executing queued commands.
    abandoned: Arc<AtomicBool>,
}

impl LedgerThread {
    /// Creates a handle without a thread, for a folder that could not be opened; commands are dropped.
    pub(super) fn disabled() -> Self {
        Self {
            commands: None,
            thread: None,
            abandoned: Arc::default(),
        }
    }

    /// Starts the thread. `new_loop` creates its loop from the receiver of commands and the flag that tells the
    /// thread to end without executing queued commands.
    pub(super) fn spawn<F: Folder + Send + 'static>(
        new_loop: impl FnOnce(Receiver<LedgerCommand>, Arc<AtomicBool>) -> LedgerLoop<F>,
    ) -> std::io::Result<Self> {
        let (commands, queue) = channel();
        let abandoned = Arc::new(AtomicBool::new(false));
        let ledger_loop = new_loop(queue, Arc::clone(&abandoned));
        let thread = std::thread::Builder::new().name("state".to_owned());
        let thread = thread.spawn(move || ledger_loop.run())?;
        Ok(Self {
            commands: Some(commands),
            thread: Some(thread),
            abandoned,
        })
    }

    /// Appends changes to the ledger. [`Input::Durable`] is sent once they are on disk, or
    /// [`Input::StateUnavailable`] if the write fails.
    pub fn append(&self, batch: Batch) {
        self.send(LedgerCommand::Append(batch));
    }

    /// Replaces the ledger with a new one that holds exactly these rows. The result is sent as for [`Self::append`].
    pub fn rewrite(&self, batch: Batch) {
        self.send(LedgerCommand::Rewrite(batch));
    }

    /// Replaces the belief file. The core is not notified of the result; a failure is logged.
    pub fn save_beliefs(&self, beliefs: Box<BeliefSnapshot>) {
        self.send(LedgerCommand::SaveBeliefs(beliefs));
    }

    fn send(&self, command: LedgerCommand) {
        if let Some(commands) = &self.commands {
            // Fails only after `abandon`, when the command is to be dropped.
            let _ = commands.send(command);
        }
    }

    /// Makes the thread end without executing queued commands, as if the placer's process had been killed.
    pub fn abandon(&self) {
        self.abandoned.store(true, Ordering::Relaxed);
    }
}

impl Drop for LedgerThread {
    fn drop(&mut self) {
        self.commands = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The loop that the thread runs.
pub(super) struct LedgerLoop<F: Folder> {
    writer: LedgerWriter<F>,
    commands: Receiver<LedgerCommand>,
    retry_interval: Duration,
    inbound: InboundSender,
    abandoned: Arc<AtomicBool>,
    /// When the next attempt to write to the folder again is due; `None` while the folder can be written.
    next_retry: Option<Instant>,
}

impl<F: Folder> LedgerLoop<F> {
    /// Creates the loop for an open folder.
    pub fn new(
        writer: LedgerWriter<F>,
        commands: Receiver<LedgerCommand>,
        retry_interval: Duration,
        inbound: InboundSender,
        abandoned: Arc<AtomicBool>,
    ) -> Self {
        Self {
            writer,
            commands,
            retry_interval,
            inbound,
            abandoned,
            next_retry: None,
        }
    }

    /// Executes commands until their sender is dropped or the thread is abandoned.
    pub fn run(mut self) {
        loop {
            let received = self.receive();
            if self.abandoned.load(Ordering::Relaxed) {
                return;
            }
            match received {
                Ok(first) => self.execute(first),
                Err(RecvTimeoutError::Timeout) => self.retry(),
                Err(RecvTimeoutError::Disconnected) => return self.writer.close(),
            }
        }
    }

    /// Waits for the next command; returns a timeout if an attempt to write to the folder again is due before.
    fn receive(&self) -> Result<LedgerCommand, RecvTimeoutError> {
        match self.next_retry {
            None => self
                .commands
                .recv()
                .map_err(|_| RecvTimeoutError::Disconnected),
            Some(at) => self
                .commands
                .recv_timeout(at.saturating_duration_since(Instant::now())),
        }
    }

    /// Checks whether a folder that could not be written can be written again, and notifies the core if so.
    fn retry(&mut self) {
        match self.writer.prepare_replacement() {
            Ok(()) => {
                self.next_retry = None;
                self.notify(Input::StateAvailable);
            }
            Err(_) => self.next_retry = Some(Instant::now() + self.retry_interval),
        }
    }

    /// Executes a command and those that are queued behind it. Appended batches are written in one transaction; those
    /// before a rewrite are dropped, as the rewrite holds every row.
    fn execute(&mut self, first: LedgerCommand) {
        let mut appended = Vec::new();
        let mut written = None;
        for command in std::iter::once(first).chain(self.commands.try_iter().take(MAX_GROUP)) {
            match command {
                LedgerCommand::Append(batch) => appended.push(batch),
                LedgerCommand::Rewrite(batch) => {
                    appended.clear();
                    written = Some(self.writer.write_replacement(batch));
                }
                LedgerCommand::SaveBeliefs(beliefs) => {
                    // While a retry is pending, the failure of the folder has already been reported to the core.
                    if let (Err(error), None) =
                        (self.writer.save_beliefs(&beliefs), self.next_retry)
                    {
                        log_unsaved_beliefs(&error);
                    }
                }
            }
        }
        if !appended.is_empty() {
            written = Some(self.writer.write(appended));
        }
        if let Some(written) = written {
            self.report(written);
        }
    }

    /// Notifies the core of the result of a write, and schedules a retry after a failure.
    fn report(&mut self, written: Result<BatchSequence, LedgerWriteError>) {
        match written {
            Ok(BatchSequence(sequence)) => self.notify(Input::Durable(sequence)),
            Err(error) => {
                self.next_retry
                    .get_or_insert_with(|| Instant::now() + self.retry_interval);
                self.notify(Input::StateUnavailable {
                    reason: error.reason,
                    marked_incomplete: error.marked_incomplete,
                });
            }
        }
    }

    /// Sends an input to the core. Fails without effect once the event loop has ended.
    fn notify(&self, input: Input) {
        let _ = self.inbound.blocking_send(InboundEvent::Core(input));
    }
}

fn log_unsaved_beliefs(error: &std::io::Error) {
    tracing::warn!(event = "belief_file_write_failed", %error, "belief file not written, the previous file stays in place");
}
