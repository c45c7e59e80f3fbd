//! Reads the files that are watched while a placer runs: the settings and the node list.

use std::path::{Path, PathBuf};
use std::time::Duration;

/// Interval between two reads of a watched file. It is short in comparison with the grace period of drains, so that a
/// drain in the node list is noticed well within that period.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The error of a file that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}", path = path.display())]
pub struct FileReadError {
    /// Path of the file.
    pub path: PathBuf,
    /// Error message of the operating system.
    pub reason: String,
}

/// The whole text of a file, or the reason why it can't be read.
///
/// Changes are detected by the text, as watched files are small and their modification times are less reliable.
pub(crate) type FileSnapshot = Result<String, FileReadError>;

/// Reads the whole file.
pub(crate) async fn read(path: &Path) -> FileSnapshot {
    let read = tokio::fs::read_to_string(path).await;
    read.map_err(|error| FileReadError {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
