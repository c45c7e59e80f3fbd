//! Export and import of a whole state folder, for operators who inspect or move it.

use serde::{Deserialize, Serialize};

use super::error::StoreError;
use super::files::{Marker, has_ledger, open_ledger, read_beliefs};
use super::store::OpenedStore;
use super::tables::FORMAT;
use super::writer::LedgerWriter;
use crate::beliefs::{BeliefError, BeliefSnapshot};
use crate::folder::Folder;
use crate::rows::LedgerSnapshot;

/// The content of a state folder: ledger and beliefs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StateExport {
    /// Format of the ledger, see [`FORMAT`].
    pub format: u32,
    /// Name of the placer to which the state belongs.
    pub placer: String,
    /// All rows of the ledger.
    pub ledger: LedgerSnapshot,
    /// Beliefs of the newest usable belief file; `None` where there is no usable one.
    #[serde(rename = "learned")]
    pub beliefs: Option<BeliefSnapshot>,
}

/// The export of a state folder, and the belief files that could not be read.
#[derive(Clone, Debug)]
pub struct FolderContents {
    /// The export.
    pub export: StateExport,
    /// Why each unusable belief file was skipped.
    pub skipped_belief_files: Vec<BeliefError>,
}

impl StateExport {
    /// Reads the state folder of any placer. It writes only to repair the database after a crash, and to migrate a ledger
    /// of an older format.
    ///
    /// # Errors
    /// See [`StoreError`]; a folder without a ledger is an error, too.
    pub fn read<F: Folder>(folder: F) -> Result<FolderContents, StoreError> {
        if !has_ledger(&folder)? {
            return Err(StoreError::NoLedger {
                folder: folder.location(),
            });
        }
        let OpenedStore { store, snapshot } = open_ledger(&folder, None)?;
        let placer = store.placer().to_owned();
        store.close()?;
        let marker =
            Marker::read(&folder).map_err(|error| StoreError::io(&folder.location(), error))?;
        let found = read_beliefs(&folder, &placer);
        let export = Self {
            format: FORMAT,
            placer,
            ledger: LedgerSnapshot {
                incomplete: marker == Marker::Incomplete,
                ..snapshot
            },
            beliefs: found.beliefs,
        };
        Ok(FolderContents {
            export,
            skipped_belief_files: found.skipped,
        })
    }

    /// Writes the export into a folder that has no ledger yet.
    ///
    /// # Errors
    /// See [`StoreError`].
    pub fn write<F: Folder>(&self, folder: F) -> Result<(), StoreError> {
        let location = folder.location();
        self.check(&location)?;
        if has_ledger(&folder)? {
            return Err(StoreError::LedgerExists { folder: location });
        }
        let mut writer = LedgerWriter::open(folder, &self.placer)?.writer;
        writer
            .write(self.ledger.to_batches())
            .map_err(|error| StoreError::io(&location, error.reason))?;
        if self.ledger.incomplete {
            writer
                .write_marker(Marker::Incomplete)
                .map_err(|error| StoreError::io(&location, error))?;
        }
        if let Some(beliefs) = &self.beliefs {
            writer
                .save_beliefs(beliefs)
                .map_err(|error| StoreError::io(&location, error))?;
        }
        writer.close();
        Ok(())
    }

    /// Checks the format of the export and the consistency of its rows.
    fn check(&self, folder: &str) -> Result<(), StoreError> {
        let folder = folder.to_owned();
        if self.format != FORMAT {
            let found = self.format;
            return Err(StoreError::ExportFormat { folder, found });
        }
        match self.ledger.violations().first() {
            Some(violation) => Err(StoreError::InvalidExport {
                folder,
                violation: *violation,
            }),
            None => Ok(()),
        }
    }
}
