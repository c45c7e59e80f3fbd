//! The placer's state folder: opens it, and runs the thread that writes it.

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
    /// Another placer has locked the folder.
    #[error(transparent)]
    Lock(#[from] LockError),
    /// Its ledger can't be used: it is damaged, belongs to another placer or was written by a newer program.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// An opened state folder, before its thread is started.
pub(crate) struct LedgerFolder {
    /// `None` if the folder could not be opened because of an I/O error.
    writer: Option<LedgerWriter<Disk>>,
    /// What the folder held; empty once it has been taken.
    restored: Restored,
    /// Time between two attempts to write again to a folder that can't be written.
    retry_interval: Duration,
}

impl LedgerFolder {
    /// Opens the state folder that the settings name.
    ///
    /// An I/O error doesn't prevent the start: what is stored in the folder stays there, and the core is notified by
    /// [`Restored::unavailable`].
    ///
    /// # Errors
    /// If another placer has locked the folder, or its ledger can't be used: a placer that started without its state
    /// could break promises that an earlier incarnation made.
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
            Err(error @ LockError::InUse { .. }) => return Err(error.into()),
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
                "belief file skipped because it can't be used"
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

    /// The greatest incarnation of the placer that the ledger records; 0 if there is none.
    pub fn last_incarnation(&self) -> u64 {
        self.restored.ledger.last_incarnation()
    }

    /// Takes what the folder held, for the start of the core.
    pub fn take_restored(&mut self) -> Restored {
        std::mem::take(&mut self.restored)
    }

    /// Starts the thread that writes the folder. If the folder could not be opened, no thread is started, and
    /// everything that is to be written is dropped.
    ///
    /// # Errors
    /// If the system can't create the thread.
    pub fn start(self, inbound: InboundSender) -> std::io::Result<LedgerThread> {
        match self.writer {
            None => Ok(LedgerThread::disabled()),
            Some(writer) => LedgerThread::spawn(|commands, abandoned| {
                LedgerLoop::new(writer, commands, self.retry_interval, inbound, abandoned)
            }),
        }
    }
}
