//! Commits batches to the ledger, and replaces a ledger after a write error.

use std::io;

use super::error::StoreError;
use super::files::{
    Marker, create_new_ledger, has_ledger, install_new_ledger, open_ledger, read_beliefs,
    write_beliefs,
};
use super::pending::PendingChanges;
use super::store::{OpenedStore, Store};
use crate::beliefs::{BeliefError, BeliefSnapshot};
use crate::folder::Folder;
use crate::rows::{Batch, BatchSequence, LedgerSnapshot};

/// Error of writing the ledger: nothing was made durable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ledger can't be written: {reason}")]
pub struct LedgerWriteError {
    /// The reason, for operators: the file and its error.
    pub reason: String,
    /// Whether the folder's marker records that rows are missing, so that a later incarnation knows it.
    pub marked_incomplete: bool,
}

/// The content of a state folder when it was opened, and the writer to it.
#[derive(Debug)]
pub struct OpenedLedger<F: Folder> {
    /// The writer to the folder.
    pub writer: LedgerWriter<F>,
    /// All rows of the ledger.
    pub snapshot: LedgerSnapshot,
    /// Beliefs of the newest usable belief file; `None` where there is no usable one.
    pub beliefs: Option<BeliefSnapshot>,
    /// Why each unusable belief file was skipped.
    pub skipped_belief_files: Vec<BeliefError>,
}

/// State of a writer's database.
#[derive(Debug)]
enum Database {
    /// Batches are committed to it.
    Open(Store),
    /// A write failed. Data written since the last sync can't be trusted, so nothing more is written to the database.
    Failed,
    /// A new database that is not in use yet. Its first batch must contain every row.
    Replacement(Store),
}

/// The only writer of a placer's state folder.
#[derive(Debug)]
pub struct LedgerWriter<F: Folder> {
    folder: F,
    placer: String,
    database: Database,
    /// Changes since the last commit.
    pending: PendingChanges,
    /// Greatest time of all batches, in microseconds since 1970.
    last_batch_at: u64,
    /// The last batch that was passed to [`LedgerWriter::write`], durable or not.
    last_received: BatchSequence,
    /// The last durable batch.
    durable_through: BatchSequence,
    /// Whether the folder's marker records that rows are missing.
    marked_incomplete: bool,
    /// Text of the last error; empty before the first.
    failure: String,
    /// Whether a newer program wrote a belief file. Belief files are then not replaced.
    belief_file_is_newer: bool,
}

impl<F: Folder> LedgerWriter<F> {
    /// Opens the files of a folder, or creates them. A file that can't be read is never overwritten.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(folder: F, placer: &str) -> Result<OpenedLedger<F>, StoreError> {
        let location = folder.location();
        let io = |error: io::Error| StoreError::io(&location, error);
        if !has_ledger(&folder)? {
            // The marker is written first and the ledger is renamed last, so that a ledger under its final name always has
            // a marker and is complete.
            Marker::Complete.write(&folder).map_err(io)?;
            create_new_ledger(&folder, placer)?.close()?;
            install_new_ledger(&folder)?;
        }
        let marked_incomplete = Marker::read(&folder).map_err(io)? == Marker::Incomplete;
        let OpenedStore { store, snapshot } = open_ledger(&folder, Some(placer))?;
        let found = read_beliefs(&folder, placer);
        let writer = Self {
            folder,
            placer: placer.to_owned(),
            database: Database::Open(store),
            pending: PendingChanges::default(),
            last_batch_at: 0,
            last_received: BatchSequence::default(),
            durable_through: BatchSequence::default(),
            marked_incomplete,
            failure: String::new(),
            belief_file_is_newer: found.skipped.iter().any(BeliefError::is_newer),
        };
        Ok(OpenedLedger {
            writer,
            snapshot: LedgerSnapshot {
                incomplete: marked_incomplete,
                ..snapshot
            },
            beliefs: found.beliefs,
            skipped_belief_files: found.skipped,
        })
    }

    /// Commits batches in one transaction, and returns the sequence number of the last durable batch.
    ///
    /// # Errors
    /// [`LedgerWriteError`]: from then on every write fails until [`LedgerWriter::write_replacement`] succeeds.
    pub fn write(
        &mut self,
        batches: impl IntoIterator<Item = Batch>,
    ) -> Result<BatchSequence, LedgerWriteError> {
        for batch in batches {
            self.last_batch_at = self.last_batch_at.max(batch.at);
            self.last_received = batch.sequence;
            if matches!(self.database, Database::Open(_)) {
                self.pending.add(batch);
            }
        }
        let Database::Open(store) = &mut self.database else {
            return Err(self.write_error());
        };
        match store.commit(self.last_batch_at, &self.pending) {
            Ok(()) => {
                self.pending = PendingChanges::default();
                self.durable_through = self.last_received;
                self.mark_complete();
                Ok(self.durable_through)
            }
            Err(error) => {
                self.database = Database::Failed;
                self.pending = PendingChanges::default();
                self.failure = error.to_string();
                self.marked_incomplete = self.write_marker(Marker::Incomplete).is_ok();
                Err(self.write_error())
            }
        }
    }

    /// Tries to create a new ledger after a write error. Once that succeeds, a batch with every row must be passed to
    /// [`LedgerWriter::write_replacement`].
    ///
    /// # Errors
    /// [`LedgerWriteError`]: the folder still can't be written.
    pub fn prepare_replacement(&mut self) -> Result<(), LedgerWriteError> {
        if !self.marked_incomplete {
            self.marked_incomplete = self.write_marker(Marker::Incomplete).is_ok();
        }
        match create_new_ledger(&self.folder, &self.placer) {
            Ok(store) => {
                self.database = Database::Replacement(store);
                Ok(())
            }
            Err(error) => {
                self.failure = error.to_string();
                Err(self.write_error())
            }
        }
    }

    /// Writes a batch with every row to the new ledger, and replaces the failed ledger by it.
    ///
    /// # Errors
    /// [`LedgerWriteError`]: the folder still can't be written.
    pub fn write_replacement(&mut self, batch: Batch) -> Result<BatchSequence, LedgerWriteError> {
        let database = std::mem::replace(&mut self.database, Database::Failed);
        let Database::Replacement(store) = database else {
            self.database = database;
            return Err(self.write_error());
        };
        let (sequence, at) = (batch.sequence, batch.at);
        match self.install_replacement(store, batch) {
            Ok(store) => {
                self.database = Database::Open(store);
                self.last_received = sequence;
                self.durable_through = sequence;
                self.last_batch_at = at;
                // The marker is written even if `marked_incomplete` is false: a write of it that failed may have reached
                // the disk.
                if self.write_marker(Marker::Complete).is_ok() {
                    self.marked_incomplete = false;
                }
                Ok(sequence)
            }
            Err(error) => {
                self.failure = error.to_string();
                Err(self.write_error())
            }
        }
    }

    /// Commits the batch to the new ledger, renames it in place of the failed one, and opens it under its final name.
    fn install_replacement(&self, mut store: Store, batch: Batch) -> Result<Store, StoreError> {
        store.commit(batch.at, &PendingChanges::of(batch))?;
        store.close()?;
        install_new_ledger(&self.folder)?;
        Ok(open_ledger(&self.folder, Some(&self.placer))?.store)
    }

    /// The last durable batch; 0 where there is none.
    pub fn durable_through(&self) -> BatchSequence {
        self.durable_through
    }

    fn write_error(&self) -> LedgerWriteError {
        LedgerWriteError {
            reason: self.failure.clone(),
            marked_incomplete: self.marked_incomplete,
        }
    }

    pub(super) fn write_marker(&self, marker: Marker) -> io::Result<()> {
        marker.write(&self.folder)
    }

    /// Sets the marker to complete after a commit. If the marker can't be written, the next commit tries again.
    fn mark_complete(&mut self) {
        if self.marked_incomplete && self.write_marker(Marker::Complete).is_ok() {
            self.marked_incomplete = false;
        }
    }

    /// Replaces the belief file, and keeps the previous one. Does nothing where a newer program wrote a belief file.
    ///
    /// # Errors
    /// Errors of the file system. A complete belief file remains after an error, if there was one before.
    pub fn save_beliefs(&self, beliefs: &BeliefSnapshot) -> io::Result<()> {
        if self.belief_file_is_newer {
            return Ok(());
        }
        write_beliefs(&self.folder, &beliefs.encode(&self.placer))
    }

    /// Closes the ledger.
    pub fn close(self) {
        if let Database::Open(store) = self.database {
            // A database that was not closed cleanly is repaired when it is opened again.
            let _ = store.close();
        }
    }
}
