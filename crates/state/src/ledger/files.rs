//! The files of a state folder.

use std::io;

use super::error::StoreError;
use super::store::{OpenedStore, Store};
use crate::beliefs::{BeliefError, BeliefProblem, BeliefSnapshot};
use crate::folder::Folder;

/// The ledger.
pub(super) const LEDGER: &str = "ledger";
/// A ledger that is being made; it has no meaning after a crash.
pub(super) const LEDGER_NEW: &str = "ledger.new";
/// The beliefs.
const BELIEFS: &str = "learned";
/// The belief file before the last.
const BELIEFS_OLD: &str = "learned.old";
/// A belief file that is being written; it has no meaning after a crash.
const BELIEFS_NEW: &str = "learned.new";
/// Says whether the ledger has every row that was promised, see [`Marker`].
const MARKER: &str = "mark";

/// Whether rows of the last incarnation may be missing from the ledger.
///
/// The file is as long either way, so that a full disk has space for the change. A ledger without it counts as
/// incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Marker {
    Complete,
    Incomplete,
}

impl Marker {
    const fn bytes(self) -> &'static [u8; 16] {
        match self {
            Self::Complete => b"reedring: whole\n",
            Self::Incomplete => b"reedring: holes\n",
        }
    }

    pub fn read<F: Folder>(folder: &F) -> io::Result<Self> {
        let bytes = folder.read(MARKER)?;
        let complete = bytes.as_deref() == Some(Self::Complete.bytes().as_slice());
        Ok(if complete {
            Self::Complete
        } else {
            Self::Incomplete
        })
    }

    /// Writes the marker, and waits until it survives a power cut.
    pub fn write<F: Folder>(self, folder: &F) -> io::Result<()> {
        folder.write(MARKER, self.bytes())?;
        folder.sync(MARKER)
    }
}

/// A file's path, for messages.
fn path<F: Folder>(folder: &F, name: &str) -> String {
    format!("{}/{name}", folder.location())
}

/// Whether the folder has a ledger.
pub(super) fn has_ledger<F: Folder>(folder: &F) -> Result<bool, StoreError> {
    let length = folder.len(LEDGER);
    let length = length.map_err(|error| StoreError::io(&folder.location(), error))?;
    Ok(length.is_some())
}

/// Opens the ledger. It got its name when it was complete, so that an empty file is damage: the database would take it
/// for a new one.
pub(super) fn open_ledger<F: Folder>(
    folder: &F,
    placer: Option<&str>,
) -> Result<OpenedStore, StoreError> {
    let file = path(folder, LEDGER);
    let io = |error: io::Error| StoreError::io(&file, error);
    if folder.len(LEDGER).map_err(io)? == Some(0) {
        return Err(StoreError::damaged(&file, "it is empty"));
    }
    Store::open(folder.open_database(LEDGER).map_err(io)?, &file, placer)
}

/// Makes an empty ledger under its temporary name.
pub(super) fn create_new_ledger<F: Folder>(folder: &F, placer: &str) -> Result<Store, StoreError> {
    let file = path(folder, LEDGER_NEW);
    let io = |error: io::Error| StoreError::io(&file, error);
    folder.remove(LEDGER_NEW).map_err(io)?;
    let data = folder.open_database(LEDGER_NEW).map_err(io)?;
    Ok(Store::open(data, &file, Some(placer))?.store)
}

/// Gives the new ledger its name, in place of the one before, and waits until that survives a power cut.
pub(super) fn install_new_ledger<F: Folder>(folder: &F) -> Result<(), StoreError> {
    let io = |error: io::Error| StoreError::io(&folder.location(), error);
    folder.rename(LEDGER_NEW, LEDGER).map_err(io)?;
    folder.sync_directory().map_err(io)
}

/// The beliefs of a folder, and the files that were not used.
#[derive(Debug, Default)]
pub(super) struct FoundBeliefs {
    pub beliefs: Option<BeliefSnapshot>,
    pub skipped: Vec<BeliefError>,
}

/// Reads the newest belief file that can be used.
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

fn read_belief_file<F: Folder>(
    folder: &F,
    name: &str,
    placer: &str,
) -> Result<Option<BeliefSnapshot>, BeliefError> {
    let file = path(folder, name);
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

/// Replaces the belief file; the one before is kept.
pub(super) fn write_beliefs<F: Folder>(folder: &F, bytes: &[u8]) -> io::Result<()> {
    folder.write(BELIEFS_NEW, bytes)?;
    folder.sync(BELIEFS_NEW)?;
    if folder.len(BELIEFS)?.is_some() {
        folder.rename(BELIEFS, BELIEFS_OLD)?;
    }
    folder.rename(BELIEFS_NEW, BELIEFS)?;
    folder.sync_directory()
}
