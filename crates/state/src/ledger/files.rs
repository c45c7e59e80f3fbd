//! The files of a state folder.

use std::io;

use super::error::StoreError;
use super::store::{OpenedStore, Store};
use crate::beliefs::{BeliefError, BeliefProblem, BeliefSnapshot};
use crate::folder::Folder;

/// File name of the ledger.
pub(super) const LEDGER: &str = "ledger";
/// File name of a ledger that is being created. A file of this name that a crash left behind is never used.
pub(super) const LEDGER_NEW: &str = "ledger.new";
/// File name of the beliefs.
const BELIEFS: &str = "learned";
/// File name of the previous beliefs.
const BELIEFS_OLD: &str = "learned.old";
/// File name of beliefs that are being written. A file of this name that a crash left behind is never used.
const BELIEFS_NEW: &str = "learned.new";
/// File name of the [`Marker`].
const MARKER: &str = "mark";

/// Whether rows of the last incarnation may be missing from the ledger.
///
/// Both values are stored in the same number of bytes, so that the marker can be changed on a full disk. A ledger
/// without a marker counts as incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Marker {
    /// No row is missing.
    Complete,
    /// Rows may be missing.
    Incomplete,
}

impl Marker {
    const fn bytes(self) -> &'static [u8; 16] {
        match self {
            Self::Complete => b"reedring: whole\n",
            Self::Incomplete => b"reedring: holes\n",
        }
    }

    /// Reads the marker; a missing or unknown one is [`Marker::Incomplete`].
    pub fn read<F: Folder>(folder: &F) -> io::Result<Self> {
        let bytes = folder.read(MARKER)?;
        let complete = bytes.as_deref() == Some(Self::Complete.bytes().as_slice());
        Ok(if complete {
            Self::Complete
        } else {
            Self::Incomplete
        })
    }

    /// Writes the marker and syncs it to disk.
    pub fn write<F: Folder>(self, folder: &F) -> io::Result<()> {
        folder.write(MARKER, self.bytes())?;
        folder.sync(MARKER)
    }
}

/// Path of a file in the folder, for messages.
fn file_path<F: Folder>(folder: &F, name: &str) -> String {
    format!("{}/{name}", folder.location())
}

/// Whether the folder contains a ledger.
pub(super) fn has_ledger<F: Folder>(folder: &F) -> Result<bool, StoreError> {
    let length = folder.len(LEDGER);
    let length = length.map_err(|error| StoreError::io(&folder.location(), error))?;
    Ok(length.is_some())
}

/// Opens the ledger, and checks that it belongs to `placer`; with `None` any placer's is opened.
///
/// An empty file is reported as damaged, as a ledger gets its name only once it is complete. The database would
/// otherwise initialize the empty file as a new one.
pub(super) fn open_ledger<F: Folder>(
    folder: &F,
    placer: Option<&str>,
) -> Result<OpenedStore, StoreError> {
    let file = file_path(folder, LEDGER);
    let io = |error: io::Error| StoreError::io(&file, error);
    if folder.len(LEDGER).map_err(io)? == Some(0) {
        return Err(StoreError::damaged(&file, "it is empty"));
    }
    Store::open(folder.open_database(LEDGER).map_err(io)?, &file, placer)
}

/// Creates an empty ledger under [`LEDGER_NEW`], in place of a file that a crash left behind.
pub(super) fn create_new_ledger<F: Folder>(folder: &F, placer: &str) -> Result<Store, StoreError> {
    let file = file_path(folder, LEDGER_NEW);
    let io = |error: io::Error| StoreError::io(&file, error);
    folder.remove(LEDGER_NEW).map_err(io)?;
    let data = folder.open_database(LEDGER_NEW).map_err(io)?;
    Ok(Store::open(data, &file, Some(placer))?.store)
}

/// Renames the new ledger to [`LEDGER`], which replaces the previous one, and syncs the rename to disk.
pub(super) fn install_new_ledger<F: Folder>(folder: &F) -> Result<(), StoreError> {
    let io = |error: io::Error| StoreError::io(&folder.location(), error);
    folder.rename(LEDGER_NEW, LEDGER).map_err(io)?;
    folder.sync_directory().map_err(io)
}

/// The beliefs read from a folder, and the errors of the files that were skipped.
#[derive(Debug, Default)]
pub(super) struct FoundBeliefs {
    /// `None` where there is no usable file.
    pub beliefs: Option<BeliefSnapshot>,
    pub skipped: Vec<BeliefError>,
}

/// Reads the newest usable belief file.
pub(super) fn read_beliefs<F: Folder>(folder: &F, placer: &str) -> FoundBeliefs {
    let mut found = FoundBeliefs::default();
    for name in [BELIEFS, BELIEFS_OLD] {
        match read_belief_file(folder, name, placer) {
            Ok(None) => {}
            Ok(Some(beliefs)) => {
                found.beliefs = Some(beliefs);
                break;
            }
            Err(error) => found.skipped.push(error),
        }
    }
    found
}

/// Reads one belief file; `None` where there is no file of that name.
fn read_belief_file<F: Folder>(
    folder: &F,
    name: &str,
    placer: &str,
) -> Result<Option<BeliefSnapshot>, BeliefError> {
    let file = file_path(folder, name);
    match folder.read(name) {
        Ok(Some(bytes)) => BeliefSnapshot::decode(&bytes, &file, placer).map(Some),
        Ok(None) => Ok(None),
        Err(error) => Err(BeliefError {
            file,
            problem: BeliefProblem::Unreadable {
                reason: error.to_string(),
            },
        }),
    }
}

/// Replaces the belief file, and keeps the previous one as [`BELIEFS_OLD`].
pub(super) fn write_beliefs<F: Folder>(folder: &F, bytes: &[u8]) -> io::Result<()> {
    folder.write(BELIEFS_NEW, bytes)?;
    folder.sync(BELIEFS_NEW)?;
    if folder.len(BELIEFS)?.is_some() {
        folder.rename(BELIEFS, BELIEFS_OLD)?;
    }
    folder.rename(BELIEFS_NEW, BELIEFS)?;
    folder.sync_directory()
}
