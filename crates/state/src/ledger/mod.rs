//! The ledger: the sessions, responses, jobs and attempts for which a placer is committed, as rows of an embedded
//! database.

mod error;
mod export;
mod files;
mod migration;
mod pending;
mod reader;
mod store;
mod tables;
#[cfg(test)]
mod tests;
mod writer;

pub use self::error::StoreError;
pub use self::export::{FolderContents, StateExport};
pub use self::tables::FORMAT;
pub use self::writer::{LedgerWriteError, LedgerWriter, OpenedLedger};
