//! Makes batches durable, and reports when it can't.

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

/// The ledger can't be written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the ledger can't be written: {reason}")]
pub struct LedgerWriteError {
    /// The reason, for the staff: the file, and the error of its disk.
    pub reason: String,
    /// The folder records that rows are missing, so that a later incarnation knows it.
    pub marked_incomplete: bool,
}

/// What a folder held when it was opened.
#[derive(Debug)]
pub struct OpenedLedger<F: Folder> {
    /// Writes to it from now on.
    pub writer: LedgerWriter<F>,
    /// Its rows.
    pub snapshot: LedgerSnapshot,
    /// The beliefs, if a file of them can be used.
    pub beliefs: Option<BeliefSnapshot>,
    /// Belief files that can't be used.
    pub skipped_belief_files: Vec<BeliefError>,
}

/// The database of a writer.
#[derive(Debug)]
enum Database {
    /// Batches are committed to it.
    Open(Store),
    /// A write failed. What was written since the last sync can't be trusted, and the database takes no more.
    Failed,
    /// A new database waits for its first batch, which must hold every row.
    Replacement(Store),
}

/// The only writer of a placer's state folder.
#[derive(Debug)]
pub struct LedgerWriter<F: Folder> {
    folder: F,
    placer: String,
    database: Database,
    /// Changes that are not committed yet.
    pending: PendingChanges,
    /// The greatest time of a batch.
    last_batch_at: u64,
    /// The last batch that was to be written.
    requested: BatchSequence,
    durable_through: BatchSequence,
    /// The folder's marker says that rows are missing.
    marked_incomplete: bool,
    /// The reason of the last failure.
    failure: String,
    /// A newer program wrote the belief file, which is therefore not replaced.
    belief_file_is_newer: bool,
}

impl<F: Folder> LedgerWriter<F> {
    /// Opens a folder's files, or makes them. A file that can't be read is never written over.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn open(folder: F, placer: &str) -> Result<OpenedLedger<F>, StoreError> {
        let location = folder.location();
        let io = |error: io::Error| StoreError::io(&location, error);
        if !has_ledger(&folder)? {
            // A ledger has its marker and its name only once it is complete.
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
            requested: BatchSequence::default(),
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

    /// Makes batches durable in one transaction, and returns the last of them.
    ///
    /// # Errors
    /// [`LedgerWriteError`]: from then on nothing is durable until [`LedgerWriter::write_replacement`] succeeds.
    pub fn write(
        &mut self,
        batches: impl IntoIterator<Item = Batch>,
    ) -> Result<BatchSequence, LedgerWriteError> {
        for batch in batches {
            self.last_batch_at = self.last_batch_at.max(batch.at);
            self.requested = batch.sequence;
            if matches!(self.database, Database::Open(_)) {
                self.pending.add(batch);
            }
        }
        let Database::Open(store) = &mut self.database else {
            return Err(self.error());
        };
        match store.commit(self.last_batch_at, &self.pending) {
            Ok(()) => {
                self.pending = PendingChanges::default();
                self.durable_through = self.requested;
                self.mark_complete();
                Ok(self.durable_through)
            }
            Err(error) => {
                self.database = Database::Failed;
                self.pending = PendingChanges::default();
                self.failure = error.to_string();
                self.marked_incomplete = self.write_marker(Marker::Incomplete).is_ok();
                Err(self.error())
            }
        }
    }

    /// After a failure: tries whether a new ledger can be made. If so, the next batch must hold every row and goes to
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
                Err(self.error())
            }
        }
    }

    /// Writes every row into the new ledger, and replaces the one that failed by it.
    ///
    /// # Errors
    /// [`LedgerWriteError`]: the folder still can't be written.
    pub fn write_replacement(&mut self, batch: Batch) -> Result<BatchSequence, LedgerWriteError> {
        let database = std::mem::replace(&mut self.database, Database::Failed);
        let Database::Replacement(store) = database else {
            self.database = database;
            return Err(self.error());
        };
        let (sequence, at) = (batch.sequence, batch.at);
        match self.install_replacement(store, batch) {
            Ok(store) => {
                self.database = Database::Open(store);
                self.requested = sequence;
                self.durable_through = sequence;
                self.last_batch_at = at;
                // Whether the last marker was written is not known where the disk failed, so it is written in any case.
                if self.write_marker(Marker::Complete).is_ok() {
                    self.marked_incomplete = false;
                }
                Ok(sequence)
            }
            Err(error) => {
                self.failure = error.to_string();
                Err(self.error())
            }
        }
    }

    fn install_replacement(&self, mut store: Store, batch: Batch) -> Result<Store, StoreError> {
        store.commit(batch.at, &PendingChanges::of(batch))?;
        store.close()?;
        install_new_ledger(&self.folder)?;
        Ok(open_ledger(&self.folder, Some(&self.placer))?.store)
    }

    /// The last batch that is durable.
    pub fn durable_through(&self) -> BatchSequence {
        self.durable_through
    }

    fn error(&self) -> LedgerWriteError {
        LedgerWriteError {
            reason: self.failure.clone(),
            marked_incomplete: self.marked_incomplete,
        }
    }

    pub(super) fn write_marker(&self, marker: Marker) -> io::Result<()> {
        marker.write(&self.folder)
    }

    /// Every row is durable: the marker may say so. Where it can't be written, the next write tries again.
    fn mark_complete(&mut self) {
        if self.marked_incomplete && self.write_marker(Marker::Complete).is_ok() {
            self.marked_incomplete = false;
        }
    }

    /// Replaces the belief file; the one before is kept. The file of a newer program is not replaced.
    ///
    /// # Errors
    /// Those of the file system; a complete file is there all the same.
    pub fn save_beliefs(&self, beliefs: &BeliefSnapshot) -> io::Result<()> {
        if self.belief_file_is_newer {
            return Ok(());
        }
        write_beliefs(&self.folder, &beliefs.encode(&self.placer))
    }

    /// Closes the files.
    pub fn close(self) {
        if let Database::Open(store) = self.database {
            // A database that can't be closed is repaired by the next one to open it.
            let _ = store.close();
        }
    }
}
