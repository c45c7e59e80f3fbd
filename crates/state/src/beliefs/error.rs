//! Errors of reading a belief file.

use super::codec::VERSION;

/// A belief file that can't be used, and the reason. A file of a newer version is left unchanged.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {problem}")]
pub struct BeliefError {
    /// Path of the file.
    pub file: String,
    /// Reason why the file can't be used.
    pub problem: BeliefProblem,
}

/// Reason why a belief file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BeliefProblem {
    /// The file system failed to read the file.
    #[error("the file can't be read: {reason}")]
    Unreadable {
        /// The error of the file system.
        reason: String,
    },
    /// The file is shorter than its fields.
    #[error("the file is empty or truncated")]
    Truncated,
    /// The checksum or the magic number at the start is wrong.
    #[error("the file is damaged: wrong checksum or magic number")]
    Damaged,
    /// A newer program wrote the file.
    #[error(
        "the file has version {found}, newer than {VERSION}, the newest that this program reads; it is left unchanged"
    )]
    NewerVersion {
        /// Version of the file.
        found: u16,
    },
    /// The file belongs to another placer.
    #[error("the file belongs to placer `{found}`, not to `{expected}`")]
    OtherPlacer {
        /// Name of the placer that wrote the file.
        found: String,
        /// Name of the placer that reads the file.
        expected: String,
    },
    /// The body can't be decoded as a [`BeliefSnapshot`](super::BeliefSnapshot).
    #[error("the beliefs in the file can't be decoded: {reason}")]
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
