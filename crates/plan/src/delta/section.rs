//! Splits the text of a configuration into its sections.

mod scanner;

use std::collections::BTreeSet;

use reedring_node_protocol::{MAX_NAME, SectionKey, Table};

use super::error::SectionError;
use scanner::header_offsets;

/// A section of a configuration's text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Section<'a> {
    pub(super) key: SectionKey,
    /// The lines of the section, without the empty line that separates it from the next.
    pub(super) text: &'a str,
}

/// An error in a text, and the line on which it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SectionFault {
    /// The line, counted from 1.
    pub(super) line: usize,
    pub(super) error: SectionError,
}

/// Splits a text into its sections, in order.
pub(super) fn parse_sections(text: &str) -> Result<Vec<Section<'_>>, SectionFault> {
    let at_first_line = |error| SectionFault { line: 1, error };
    let offsets = header_offsets(text).map_err(at_first_line)?;
    if offsets.first() != Some(&0) {
        return Err(at_first_line(SectionError::MissingHeader));
    }
    if offsets.len() > usize::from(u16::MAX) {
        return Err(at_first_line(SectionError::TooManySections));
    }
    let mut sections = Vec::with_capacity(offsets.len());
    let mut known_keys = BTreeSet::new();
    for (index, start) in offsets.iter().enumerate() {
        let end = offsets.get(index + 1).copied();
        let section = parse_section(text, *start, end)?;
        if !known_keys.insert(section.key.clone()) {
            return Err(SectionFault {
                line: line_of(text, *start),
                error: SectionError::DuplicateSection,
            });
        }
        sections.push(section);
    }
    Ok(sections)
}

/// The section from `start` to `end`, or to the end of the text if `end` is `None`.
fn parse_section(
    text: &str,
    start: usize,
    end: Option<usize>,
) -> Result<Section<'_>, SectionFault> {
    let first_line = || line_of(text, start);
    let with_separator = &text[start..end.unwrap_or(text.len())];
    let own = match end {
        Some(_) => with_separator.strip_suffix('\n'),
        None => Some(with_separator),
    };
    let own = own.filter(|own| own.ends_with('\n') && !own.ends_with("\n\n"));
    let own = own.ok_or_else(|| SectionFault {
        line: first_line(),
        error: SectionError::MissingSeparator,
    })?;
    let key = parse_key(own).map_err(|fault| SectionFault {
        line: first_line() + fault.line - 1,
        error: fault.error,
    })?;
    Ok(Section { key, text: own })
}

/// The key of a section, from its first two lines. The line of an error is counted within the section.
fn parse_key(section: &str) -> Result<SectionKey, SectionFault> {
    let mut lines = section.lines();
    let header = lines.next().unwrap_or_default();
    if header == "[site]" {
        return Ok(SectionKey::Site);
    }
    let word = header
        .strip_prefix("[[")
        .and_then(|rest| rest.strip_suffix("]]"));
    let table = word.and_then(|word| Table::ALL.into_iter().find(|table| table.word() == word));
    let table = table.ok_or(SectionFault {
        line: 1,
        error: SectionError::MissingHeader,
    })?;
    let name = lines
        .next()
        .and_then(|line| line.strip_prefix("name = "))
        .unwrap_or_default();
    if name.len() > MAX_NAME || !is_single_line_string(name) {
        return Err(SectionFault {
            line: 2,
            error: SectionError::MissingName,
        });
    }
    Ok(SectionKey::Named {
        table,
        name: name.to_owned(),
    })
}

/// Whether this is a quoted TOML string that ends on its line. A multi-line name can't be read from its first line
/// alone, so there is no delta for a text with such a name, and it is sent in full.
fn is_single_line_string(value: &str) -> bool {
    let is_quoted_by =
        |quote: char| value.len() >= 2 && value.starts_with(quote) && value.ends_with(quote);
    let is_multi_line = value.starts_with("\"\"\"") || value.starts_with("'''");
    !is_multi_line && (is_quoted_by('"') || is_quoted_by('\''))
}

/// The line of a text that contains an offset, counted from 1.
fn line_of(text: &str, offset: usize) -> usize {
    let line_ends = text.as_bytes()[..offset]
        .iter()
        .filter(|byte| **byte == b'\n');
    1 + line_ends.count()
}
