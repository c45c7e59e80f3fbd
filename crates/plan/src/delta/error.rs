//! Why there is no delta between two configurations, or why one can't be applied.

use reedring_node_protocol::{ConfigVersion, MAX_NAME, MAX_PLAN, SectionKey};

use crate::document::DocumentError;

/// The fault of a delta.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It changes another configuration than the one at hand.
    #[error("the delta changes plan {expected}, not plan {found}")]
    BaseMismatch {
        /// The configuration that it changes.
        expected: ConfigVersion,
        /// The one at hand.
        found: ConfigVersion,
    },
    /// The target's number is not the one after the base's.
    #[error("plan {target} can't follow plan {base}: the next number is {}", base.saturating_add(1))]
    NumberGap {
        /// The number of the base.
        base: u64,
        /// The number of the target.
        target: u64,
    },
    /// A text is no list of sections.
    #[error("plan {version}, line {line}: {error}")]
    UnstructuredText {
        /// The configuration whose text it is.
        version: ConfigVersion,
        /// The line, from 1.
        line: usize,
        /// What is wrong there.
        error: SectionError,
    },
    /// Two edits name the same section.
    #[error("{key}: two edits of one delta change it")]
    DuplicateEdit {
        /// The section.
        key: SectionKey,
    },
    /// It removes a section that the base lacks.
    #[error("{key}: it is to be removed and is not there")]
    UnknownSection {
        /// The section.
        key: SectionKey,
    },
    /// The text of a put is not the one section that it names.
    #[error("{key}, line {line}: {error}")]
    InvalidSection {
        /// The section.
        key: SectionKey,
        /// The line of its text, from 1.
        line: usize,
        /// What is wrong there.
        error: SectionError,
    },
    /// A section is put past the end.
    #[error("{key}: it is to be section {position}, and only {sections} stand before it")]
    PositionPastEnd {
        /// The section.
        key: SectionKey,
        /// The position at which it is put.
        position: u16,
        /// Sections that stand before it.
        sections: usize,
    },
    /// Its encoding is over the size bound.
    #[error("a delta of {bytes} bytes, at most {MAX_PLAN} fit")]
    TooLong {
        /// Bytes of its encoding.
        bytes: usize,
    },
    /// The resulting text is not that of its target.
    #[error("what comes of the delta: {0}")]
    InvalidTarget(#[from] DocumentError),
}

/// The fault of a section's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SectionError {
    /// It does not begin with a header.
    #[error(
        "a section begins with [site] or with [[kind]], [[class]], [[tenant]], [[category]] or [[constraint]]"
    )]
    MissingHeader,
    /// Its first line has no name.
    #[error("the first line of a section is its name, in quotes and within {MAX_NAME} bytes")]
    MissingName,
    /// Two sections are not separated by one empty line, or the last one does not end its line.
    #[error("sections end their last line, and one empty line stands between two of them")]
    MissingSeparator,
    /// A string does not end.
    #[error("a string does not end")]
    UnterminatedString,
    /// Another section has the same key.
    #[error("a section of this table and name stands before")]
    DuplicateSection,
    /// There are more sections than can be counted.
    #[error("more than {} sections", u16::MAX)]
    TooManySections,
    /// One section was expected, and a second one follows.
    #[error("another section begins")]
    SecondSection,
    /// It is another section than the one named.
    #[error("its header and name are those of another section")]
    KeyMismatch,
}
