//! The placer's state folder: opening it, and the thread that writes it.

#[cfg(test)]
mod tests;
mod thread;

use std::time::Duration;

use reedring_core::Restored;
use reedring_settings::{Settings, State};
use reedring_state::{BeliefHalfLives, Disk, LedgerWriter, LockError, OpenedLedger, StoreError};

use self::thread::LedgerLoop;
pub(crate) use self::thread::LedgerThread;
use crate::inbound::InboundSender;

/// Why a state folder can't be used.
#[derive(Debug, thiserror::Error)]
pub enum StateError {
    /// It is another placer's, or can't be made.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// Its ledger can't be read.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// A state folder that was opened, before its thread starts.
pub(crate) struct LedgerFolder {
    /// None where the folder can't be written.
    writer: Option<LedgerWriter<Disk>>,
    restored: Restored,
    retry_interval: Duration,
}

impl LedgerFolder {
    /// Opens the folder of the settings.
    ///
    /// A folder that can't be written is no reason not to start: what is stored there stays, and the core is notified.
    /// One that can't be read is, as a placer that starts without its state may break promises.
    pub fn open(settings: &Settings, state: &State, now_unix_us: u64) -> Result<Self, StateError> {
        let retry_interval = Duration::from_micros(state.retry_us);
        let unwritable = |reason: String| {
            let restored = Restored {
                unavailable: Some(reason),
                ..Restored::default()
            };
            Ok(Self {
                writer: None,
                restored,
                retry_interval,
            })
        };
        let disk = match Disk::lock(&state.folder) {
            Ok(disk) => disk,
            Err(error @ LockError::Taken { .. }) => return Err(error.into()),
            Err(error) => return unwritable(error.to_string()),
        };
        let OpenedLedger {
            writer,
            snapshot,
            beliefs,
            skipped_belief_files,
        } = match LedgerWriter::open(disk, &settings.name) {
            Ok(opened) => opened,
            Err(error @ StoreError::Io { .. }) => return unwritable(error.to_string()),
            Err(error) => return Err(error.into()),
        };
        for error in skipped_belief_files {
            tracing::warn!(
                event = "belief_file_skipped",
                placer = settings.name,
                %error,
                "belief file skipped, as it can't be used"
            );
        }
        let half_lives = BeliefHalfLives::from_settings(settings);
        let learned = beliefs
            .map(|beliefs| beliefs.aged(now_unix_us, &half_lives))
            .unwrap_or_default();
        let restored = Restored {
            ledger: snapshot,
            beliefs: learned,
            unavailable: None,
        };
        Ok(Self {
            writer: Some(writer),
            restored,
            retry_interval,
        })
    }

    /// The last incarnation that the ledger knows of.
    pub fn last_incarnation(&self) -> u64 {
        self.restored.ledger.last_incarnation()
    }

    /// Takes out what was stored.
    pub fn take_restored(&mut self) -> Restored {
        std::mem::take(&mut self.restored)
    }

    /// Starts the thread. Where the folder can't be written there is none, and what is to be written is dropped.
    ///
    /// # Errors
    /// Where the system makes no thread.
    pub fn start(self, inbound: InboundSender) -> std::io::Result<LedgerThread> {
        match self.writer {
            None => Ok(LedgerThread::without_folder()),
            Some(writer) => LedgerThread::spawn(|commands, abandoned| {
                LedgerLoop::new(writer, commands, self.retry_interval, inbound, abandoned)
            }),
        }
    }
}
