//! Errors of reading, writing, exporting and importing a ledger.

use super::tables::FORMAT;
use crate::rows::SnapshotViolation;

/// Error of reading, writing, exporting or importing a ledger.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The ledger has a format of a newer program.
    #[error(
        "{file} has ledger format {found}, newer than {FORMAT}, the newest that this program reads; start the newer \
         program again, or export the ledger with it"
    )]
    NewerFormat {
        /// Path of the ledger.
        file: String,
        /// Format of the ledger.
        found: u32,
    },
    /// The ledger belongs to another placer.
    #[error(
        "{file} is the ledger of placer `{found}`, not of `{expected}`; configure the right folder or placer name"
    )]
    OtherPlacer {
        /// Path of the ledger.
        file: String,
        /// Name of the placer that wrote it.
        found: String,
        /// Name of the placer that opened it.
        expected: String,
    },
    /// The content of the ledger is damaged.
    #[error(
        "{file} is damaged: {reason}; restore a backup, or move the folder away to start without it"
    )]
    Damaged {
        /// Path of the ledger.
        file: String,
        /// What is damaged: the error of the database or the decoder.
        reason: String,
    },
    /// The file system or the database failed.
    #[error("{file}: {reason}")]
    Io {
        /// Path of the file or folder.
        file: String,
        /// Text of the error.
        reason: String,
    },
    /// The folder to export contains no ledger.
    #[error("{folder}: there is no ledger in it")]
    NoLedger {
        /// Path of the folder.
        folder: String,
    },
    /// The folder into which to import contains a ledger.
    #[error("{folder}: there is a ledger in it already; name an empty folder")]
    LedgerExists {
        /// Path of the folder.
        folder: String,
    },
    /// The export to import has another format than [`FORMAT`].
    #[error(
        "{folder}: the export has format {found}, but this program imports only format {FORMAT}"
    )]
    ExportFormat {
        /// Path of the folder into which to import.
        folder: String,
        /// Format of the export.
        found: u32,
    },
    /// The export to import has inconsistent rows, as no placer writes them.
    #[error("{folder}: the export has inconsistent rows: {violation}")]
    InvalidExport {
        /// Path of the folder into which to import.
        folder: String,
        /// The first violation that was found.
        violation: SnapshotViolation,
    },
}

impl StoreError {
    pub(super) fn io(file: &str, error: impl std::fmt::Display) -> Self {
        Self::Io {
            file: file.to_owned(),
            reason: error.to_string(),
        }
    }

    pub(super) fn damaged(file: &str, error: impl std::fmt::Display) -> Self {
        Self::Damaged {
            file: file.to_owned(),
            reason: error.to_string(),
        }
    }
}
