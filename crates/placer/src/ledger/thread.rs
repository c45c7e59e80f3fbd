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

/// Commands that are carried out in one transaction at most, beside the first.
const MAX_GROUP: usize = 1_024;

/// What the thread is asked to do, in order.
pub(super) enum LedgerCommand {
    /// Write these changes.
    Append(Batch),
    /// Write a new ledger, of which these are all rows.
    Rewrite(Batch),
    /// Replace the belief file.
    SaveBeliefs(Box<BeliefSnapshot>),
}

/// The owner of the thread. Dropping it waits until all that was asked is written.
pub(crate) struct LedgerThread {
    commands: Option<Sender<LedgerCommand>>,
    thread: Option<JoinHandle<()>>,
    abandoned: Arc<AtomicBool>,
}

impl LedgerThread {
    /// No thread: the folder can't be written.
    pub(super) fn without_folder() -> Self {
        Self {
            commands: None,
            thread: None,
            abandoned: Arc::default(),
        }
    }

    /// Starts a thread for the loop that `new_loop` makes of the thread's commands and the sign to give up.
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

    /// Writes changes; [`Input::Durable`] follows once they are on disk.
    pub fn append(&self, batch: Batch) {
        self.send(LedgerCommand::Append(batch));
    }

    /// Writes a new ledger of these rows; [`Input::Durable`] follows once it is on disk.
    pub fn rewrite(&self, batch: Batch) {
        self.send(LedgerCommand::Rewrite(batch));
    }

    /// Replaces the belief file. Nothing follows.
    pub fn save_beliefs(&self, beliefs: Box<BeliefSnapshot>) {
        self.send(LedgerCommand::SaveBeliefs(beliefs));
    }

    fn send(&self, command: LedgerCommand) {
        if let Some(commands) = &self.commands {
            // The thread ends only with this handle.
            let _ = commands.send(command);
        }
    }

    /// Ends as if the placer had been killed: what waits is not written.
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

/// What the thread runs.
pub(super) struct LedgerLoop<F: Folder> {
    writer: LedgerWriter<F>,
    commands: Receiver<LedgerCommand>,
    retry_interval: Duration,
    inbound: InboundSender,
    abandoned: Arc<AtomicBool>,
    /// When the folder is tried again; set while it can't be written.
    next_retry: Option<Instant>,
}

impl<F: Folder> LedgerLoop<F> {
    /// Over an open folder that can be written.
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

    /// Carries out commands until their sender is dropped, or all is abandoned.
    pub fn run(mut self) {
        loop {
            let received = self.receive();
            if self.abandoned.load(Ordering::Relaxed) {
                return;
            }
            match received {
                Ok(first) => self.carry_out(first),
                Err(RecvTimeoutError::Timeout) => self.retry(),
                Err(RecvTimeoutError::Disconnected) => return self.writer.close(),
            }
        }
    }

    /// The next command; a timeout where the folder is due to be tried again before.
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

    /// Tries whether a folder that was lost can be written again.
    fn retry(&mut self) {
        match self.writer.prepare_replacement() {
            Ok(()) => {
                self.next_retry = None;
                self.notify(Input::StateAvailable);
            }
            Err(_) => self.next_retry = Some(Instant::now() + self.retry_interval),
        }
    }

    /// Carries out a command and those that wait behind it, changes in one transaction.
    fn carry_out(&mut self, first: LedgerCommand) {
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
                    // While the folder is lost the staff know already.
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

    /// Notifies the core. One that has ended waits for no answer any more.
    fn notify(&self, input: Input) {
        let _ = self.inbound.blocking_send(InboundEvent::Core(input));
    }
}

fn log_unsaved_beliefs(error: &std::io::Error) {
    tracing::warn!(event = "belief_file_write_failed", %error, "belief file not written, the previous file stays in place");
}
