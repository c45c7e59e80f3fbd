//! Why a process did not do what a test waits for.

use std::io;

/// Why a process did not do what a test waits for.
#[derive(Debug, thiserror::Error)]
pub enum ProcessError {
    /// It could not be started, signalled, written to or waited for.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It ended, or did not do this in time.
    #[error("{process}: never seen: {awaited}; its last lines:\n{last_lines}")]
    NotSeen {
        /// The process.
        process: String,
        /// What was awaited of it.
        awaited: String,
        /// What it printed last.
        last_lines: String,
    },
}
