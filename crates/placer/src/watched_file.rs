//! Reading the files that are watched while a placer runs: the settings and the node list.

use std::path::{Path, PathBuf};
use std::time::Duration;

/// How often a watched file is read: well under any grace period for drains.
pub(crate) const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A file can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{path}: {reason}", path = path.display())]
pub struct FileReadError {
    /// The file.
    pub path: PathBuf,
    /// What the system answered.
    pub reason: String,
}

/// The whole text of a file, or why it can't be read.
///
/// The file is small, and its text is a surer sign of a change than its times.
pub(crate) type FileSnapshot = Result<String, FileReadError>;

/// Reads the whole file.
pub(crate) async fn read(path: &Path) -> FileSnapshot {
    let read = tokio::fs::read_to_string(path).await;
    read.map_err(|error| FileReadError {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}
