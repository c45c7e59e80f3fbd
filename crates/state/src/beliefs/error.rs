//! Why a belief file is not used.

use super::codec::VERSION;

/// A belief file that is not used. It stays as it is where a newer program wrote it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct BeliefError {
    /// The file.
    pub file: String,
    /// What is wrong with it.
    pub problem: BeliefProblem,
}

/// What is wrong with a belief file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BeliefProblem {
    /// The file system does not give its bytes.
    #[error("{reason}")]
    Unreadable {
        /// The error of the file system.
        reason: String,
    },
    /// Its length is no file's.
    #[error("it is empty or cut short")]
    Truncated,
    /// Its checksum is wrong.
    #[error("it is damaged: its checksum does not fit")]
    Damaged,
    /// A newer program wrote it.
    #[error("it has version {found}, this program knows up to {VERSION}; it stays as it is")]
    NewerVersion {
        /// Its version.
        found: u16,
    },
    /// It belongs to another placer.
    #[error("it belongs to placer `{found}`, not to `{wanted}`")]
    OtherPlacer {
        /// The placer that wrote it.
        found: String,
        /// The placer that reads it.
        wanted: String,
    },
    /// Its body is no belief snapshot.
    #[error("{reason}")]
    InvalidBody {
        /// The error of the decoder.
        reason: String,
    },
}

impl BeliefError {
    /// Whether a newer program wrote the file.
    pub fn is_newer(&self) -> bool {
        matches!(self.problem, BeliefProblem::NewerVersion { .. })
    }
}
