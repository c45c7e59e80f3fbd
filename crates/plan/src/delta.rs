//! Deltas between successive configurations: [`between`] computes one from two texts, [`apply`] makes the next text of
//! a base and a delta.
//!
//! The text of a configuration is a list of sections, `[site]` or `[[table]]` with a `name` in its first line, with one
//! empty line between two of them. A delta names the sections that were put or removed; all others stand in the target
//! as in the base, in the same order. The result counts only if it has the digest of the target's version, so a fault
//! in this module can cost a text that is sent in full, and can never produce another configuration.
//!
//! | fault of a delta | error |
//! | --- | --- |
//! | the configuration that it is applied to is not its base | [`DeltaError::BaseMismatch`] |
//! | the target's number is not the one after the base's | [`DeltaError::NumberGap`] |
//! | the text of the base, or of the target, is no list of sections | [`DeltaError::UnstructuredText`] |
//! | two edits name the same section | [`DeltaError::DuplicateEdit`] |
//! | it removes a section that the base lacks | [`DeltaError::UnknownSection`] |
//! | the text of a put is not that one section | [`DeltaError::InvalidSection`] |
//! | a put's position is past the end | [`DeltaError::PositionPastEnd`] |
//! | its encoding is over the size bound | [`DeltaError::TooLong`] |
//! | the resulting text is over the bound, or has another digest | [`DeltaError::InvalidTarget`] |

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

/// Checks that a delta fits the bound of a message.
fn check_length(delta: &Delta) -> Result<(), DeltaError> {
    let bytes = delta.encoded_len();
    if bytes > MAX_PLAN {
        Err(DeltaError::TooLong { bytes })
    } else {
        Ok(())
    }
}
