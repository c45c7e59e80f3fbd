//! Errors of computing a delta between two configurations, and of applying one.

use reedring_node_protocol::{ConfigVersion, MAX_NAME, MAX_PLAN, SectionKey};

use crate::document::DocumentError;

/// Why there is no delta between two configurations, or why a delta can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// The delta is applied to a configuration that is not its base.
    #[error("the delta changes plan {expected}, not plan {found}")]
    BaseMismatch {
        /// The base of the delta.
        expected: ConfigVersion,
        /// The configuration to which it is applied.
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
    /// The text of a configuration is not a list of sections.
    #[error("plan {version}, line {line}: {error}")]
    UnstructuredText {
        /// The configuration of that text.
        version: ConfigVersion,
        /// The line of the text, counted from 1.
        line: usize,
        /// What is wrong on that line.
        error: SectionError,
    },
    /// Two edits name the same section.
    #[error("{key}: two edits of one delta change this section")]
    DuplicateEdit {
        /// The section that both name.
        key: SectionKey,
    },
    /// The delta removes a section that the base does not have.
    #[error("{key}: the delta removes this section, which the base does not have")]
    UnknownSection {
        /// The section that is missing in the base.
        key: SectionKey,
    },
    /// The text of a put is not exactly the section that the put names.
    #[error("{key}, line {line}: {error}")]
    InvalidSection {
        /// The section that the put names.
        key: SectionKey,
        /// The line of the put's text, counted from 1.
        line: usize,
        /// What is wrong on that line.
        error: SectionError,
    },
    /// The position of a put is past the end of the target, or taken by an earlier put.
    #[error(
        "{key}: the delta puts this section at position {position}, and {sections} sections come before it"
    )]
    PositionPastEnd {
        /// The section that the put names.
        key: SectionKey,
        /// The position in the target at which it is put, counted from 0.
        position: u16,
        /// The number of sections that would come before it.
        sections: usize,
    },
    /// The encoded delta is longer than [`MAX_PLAN`] bytes.
    #[error("the delta has {bytes} bytes, at most {MAX_PLAN} are allowed")]
    TooLong {
        /// The length of the encoded delta in bytes.
        bytes: usize,
    },
    /// The resulting text does not match the version of the target.
    #[error("the result of the delta is invalid: {0}")]
    InvalidTarget(#[from] DocumentError),
}

/// Why a text, or a part of it, is not a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SectionError {
    /// The text does not begin with the header of a known table.
    #[error(
        "a section begins with [site] or with [[kind]], [[class]], [[tenant]], [[category]] or [[constraint]]"
    )]
    MissingHeader,
    /// The line after the header is not a `name` with a quoted string on that line, or the name is too long.
    #[error(
        "the line after a section's header must be its name, in quotes and of at most {MAX_NAME} bytes"
    )]
    MissingName,
    /// Two sections are not separated by exactly one empty line, or the last section has no newline at its end.
    #[error(
        "each section must end with a newline, and exactly one empty line must separate two sections"
    )]
    MissingSeparator,
    /// A string has no closing delimiter.
    #[error("a string has no closing delimiter")]
    UnterminatedString,
    /// An earlier section has the same key.
    #[error("an earlier section has the same table and name")]
    DuplicateSection,
    /// There are more sections than a position (`u16`) can number.
    #[error("the text has more than {} sections", u16::MAX)]
    TooManySections,
    /// One section was expected, and a second one follows.
    #[error("another section begins")]
    SecondSection,
    /// The header and name are those of another section than the put names.
    #[error("the header and name are those of another section")]
    KeyMismatch,
}
