//! Why a ledger can't be read or written.

use super::tables::FORMAT;
use crate::rows::SnapshotViolation;

/// Why a ledger can't be read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A newer program wrote it.
    #[error(
        "{file} has format {found}, this program knows up to {FORMAT}; start the newer program again, or \
         export the ledger with it"
    )]
    Newer {
        /// The file.
        file: String,
        /// Its format.
        found: u32,
    },
    /// It belongs to another placer.
    #[error(
        "{file} is the ledger of placer `{found}`, not of `{wanted}`; name the right folder or placer"
    )]
    Foreign {
        /// The file.
        file: String,
        /// The placer that wrote it.
        found: String,
        /// The placer that opened it.
        wanted: String,
    },
    /// Its bytes are damaged.
    #[error(
        "{file} is damaged: {reason}; restore a backup, or move the folder away to start without it"
    )]
    Damaged {
        /// The file.
        file: String,
        /// Where and how.
        reason: String,
    },
    /// The file system or the database failed.
    #[error("{file}: {reason}")]
    Io {
        /// The file.
        file: String,
        /// Its error.
        reason: String,
    },
    /// A folder to be read holds no ledger.
    #[error("{folder}: there is no ledger in it")]
    NoLedger {
        /// The folder.
        folder: String,
    },
    /// A folder to be written holds a ledger.
    #[error("{folder}: there is a ledger in it already; name an empty folder")]
    LedgerExists {
        /// The folder.
        folder: String,
    },
    /// An export has rows of another format.
    #[error("{folder}: the export has format {found}, this program reads {FORMAT}")]
    ExportFormat {
        /// The folder into which it was to be written.
        folder: String,
        /// The export's format.
        found: u32,
    },
    /// An export has rows that no placer writes.
    #[error("{folder}: the export can't be a placer's: {violation}")]
    InvalidExport {
        /// The folder into which it was to be written.
        folder: String,
        /// The first rule that its rows break.
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
