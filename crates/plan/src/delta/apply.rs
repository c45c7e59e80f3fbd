//! Computes the target of a delta from its base.

use std::collections::BTreeSet;

use reedring_node_protocol::{Delta, Edit, SectionKey};

use super::section::{Section, SectionFault, parse_sections};
use super::{DeltaError, SectionError, check_length, check_successor, sections_of};
use crate::document::ConfigDocument;

/// A section that a delta puts into the target.
struct Put<'a> {
    /// The index of the section in the target.
    position: u16,
    key: &'a SectionKey,
    text: &'a str,
}

/// The configuration that results from a delta and its base. It always has the number and digest of the target.
///
/// # Errors
/// If the delta does not fit the base, or its result is not the target; see [`DeltaError`].
pub fn apply(base: &ConfigDocument, delta: &Delta) -> Result<ConfigDocument, DeltaError> {
    if delta.base != base.version() {
        return Err(DeltaError::BaseMismatch {
            expected: delta.base,
            found: base.version(),
        });
    }
    check_successor(delta.base, delta.target)?;
    check_length(delta)?;
    let sections = sections_of(base)?;
    let edited = check_edits(&sections, delta)?;
    let text = merge(&sections, &edited, puts_by_position(delta))?;
    Ok(ConfigDocument::verify(delta.target, &text)?)
}

/// Checks each edit against the sections of the base. Returns the keys of the edited sections.
fn check_edits<'a>(
    sections: &[Section<'_>],
    delta: &'a Delta,
) -> Result<BTreeSet<&'a SectionKey>, DeltaError> {
    let known: BTreeSet<&SectionKey> = sections.iter().map(|section| &section.key).collect();
    let mut edited = BTreeSet::new();
    for edit in &delta.edits {
        if !edited.insert(edit.key()) {
            return Err(DeltaError::DuplicateEdit {
                key: edit.key().clone(),
            });
        }
        match edit {
            Edit::Remove { key } if !known.contains(key) => {
                return Err(DeltaError::UnknownSection { key: key.clone() });
            }
            Edit::Remove { .. } => {}
            Edit::Put { key, text, .. } => check_section(key, text)?,
        }
    }
    Ok(edited)
}

/// Checks that a text consists of exactly the section that `expected` names.
fn check_section(expected: &SectionKey, text: &str) -> Result<(), DeltaError> {
    let invalid = |line, error| DeltaError::InvalidSection {
        key: expected.clone(),
        line,
        error,
    };
    let found =
        parse_sections(text).map_err(|SectionFault { line, error }| invalid(line, error))?;
    match &found[..] {
        [only] if only.key == *expected => Ok(()),
        [only] => {
            let line = match only.key {
                SectionKey::Site => 1,
                SectionKey::Named { .. } => 2,
            };
            Err(invalid(line, SectionError::KeyMismatch))
        }
        [first, ..] => {
            let second_header = 2 + first.text.lines().count();
            Err(invalid(second_header, SectionError::SecondSection))
        }
        [] => Err(invalid(1, SectionError::MissingHeader)),
    }
}

/// The puts of a delta in the order of their positions.
fn puts_by_position(delta: &Delta) -> Vec<Put<'_>> {
    let mut puts: Vec<Put<'_>> = delta
        .edits
        .iter()
        .filter_map(|edit| match edit {
            Edit::Put { key, at, text } => Some(Put {
                position: *at,
                key,
                text,
            }),
            Edit::Remove { .. } => None,
        })
        .collect();
    puts.sort_unstable_by_key(|put| put.position);
    puts
}

/// The text of the target: each put at its position, and between them the unedited sections of the base in their order.
fn merge(
    sections: &[Section<'_>],
    edited: &BTreeSet<&SectionKey>,
    puts: Vec<Put<'_>>,
) -> Result<String, DeltaError> {
    let mut unedited = sections
        .iter()
        .filter(|section| !edited.contains(&section.key))
        .map(|section| section.text);
    let mut texts: Vec<&str> = Vec::with_capacity(sections.len() + puts.len());
    for put in puts {
        let position = usize::from(put.position);
        let missing = position.saturating_sub(texts.len());
        texts.extend(unedited.by_ref().take(missing));
        if texts.len() != position {
            return Err(DeltaError::PositionPastEnd {
                key: put.key.clone(),
                position: put.position,
                sections: texts.len(),
            });
        }
        texts.push(put.text);
    }
    texts.extend(unedited);
    Ok(texts.join("\n"))
}
