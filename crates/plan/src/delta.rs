//! Deltas between successive configurations: [`between`] computes the delta of two texts, [`apply`] computes the next
//! text from a base and a delta.
//!
//! The text of a configuration is a list of sections, `[site]` or `[[table]]` with a `name` in its first line, with one
//! empty line between two of them. A delta lists the sections that are put or removed; the target has all others as the
//! base has them, in the same order. A result is valid only if it has the digest of the target's version. A bug in this
//! module can therefore cause a text to be sent in full, but never yield another configuration.
//!
//! | fault | error |
//! | --- | --- |
//! | the configuration that it is applied to is not its base | [`DeltaError::BaseMismatch`] |
//! | the target's number is not the one after the base's | [`DeltaError::NumberGap`] |
//! | the text of the base, or of the target, is not a list of sections | [`DeltaError::UnstructuredText`] |
//! | two edits name the same section | [`DeltaError::DuplicateEdit`] |
//! | the delta removes a section that the base does not have | [`DeltaError::UnknownSection`] |
//! | the text of a put is not exactly the section that the put names | [`DeltaError::InvalidSection`] |
//! | a put's position is past the end | [`DeltaError::PositionPastEnd`] |
//! | the encoded delta is longer than `MAX_PLAN` bytes | [`DeltaError::TooLong`] |
//! | the resulting text is longer than `MAX_PLAN` bytes, or has another digest | [`DeltaError::InvalidTarget`] |

mod apply;
mod difference;
mod error;
mod section;

use reedring_node_protocol::{ConfigVersion, Delta, MAX_PLAN};

use crate::document::ConfigDocument;

pub use apply::apply;
pub use difference::{between, shorter_than_text};
pub use error::{DeltaError, SectionError};
use section::{Section, parse_sections};

/// The sections of a configuration's text, in order.
fn sections_of(document: &ConfigDocument) -> Result<Vec<Section<'_>>, DeltaError> {
    parse_sections(document.text()).map_err(|fault| DeltaError::UnstructuredText {
        version: document.version(),
        line: fault.line,
        error: fault.error,
    })
}

/// Checks that the target's number is the one after the base's.
fn check_successor(base: ConfigVersion, target: ConfigVersion) -> Result<(), DeltaError> {
    let (base, target) = (base.number, target.number);
    if base.checked_add(1) == Some(target) {
        Ok(())
    } else {
        Err(DeltaError::NumberGap { base, target })
    }
}

/// Checks that the encoded delta has at most [`MAX_PLAN`] bytes.
fn check_length(delta: &Delta) -> Result<(), DeltaError> {
    let bytes = delta.encoded_len();
    if bytes > MAX_PLAN {
        Err(DeltaError::TooLong { bytes })
    } else {
        Ok(())
    }
}
