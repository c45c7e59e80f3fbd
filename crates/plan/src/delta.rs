//! Deltas between plans: from two texts to the sections that differ, and from a text and a delta to the next text.
//!
//! A plan's text is a list of sections, `[site]` or `[[table]]` with a `name` in its first line, one empty line between
//! two of them. A delta names the sections that were put or removed; all others stand in the target as in the base, in
//! the same order. What comes of a delta counts only if it has the digest of the target's version, so that a mistake
//! in here can cost a text that is sent in full, and never make another plan.
//!
//! | what is wrong with a delta | error |
//! | --- | --- |
//! | the plan it is applied to is not its base | [`DeltaError::OtherBase`] |
//! | the target's number is not the one after the base's | [`DeltaError::Number`] |
//! | the base's text, or that of the target, is no list of sections | [`DeltaError::Text`] |
//! | two edits name one section | [`DeltaError::Twice`] |
//! | it removes a section that the base lacks | [`DeltaError::Missing`] |
//! | the text of a put is not that one section | [`DeltaError::Section`] |
//! | a put's place is past the end | [`DeltaError::Place`] |
//! | its encoding is over the bound | [`DeltaError::Long`] |
//! | the text that comes of it is over the bound, or has another digest | [`DeltaError::Target`] |

use std::collections::{BTreeMap, BTreeSet};

use reedring_node_protocol::{ConfigVersion, Delta, Edit, MAX_NAME, MAX_PLAN, SectionKey, Table};

use crate::text::{ConfigDocument, DocumentError};

/// Why there is no delta between two plans, or why one can't be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DeltaError {
    /// It changes another plan than the one at hand.
    #[error("the delta changes plan {wanted}, not plan {found}")]
    OtherBase {
        /// The one that it changes.
        wanted: ConfigVersion,
        /// The one at hand.
        found: ConfigVersion,
    },
    /// The target's number does not follow.
    #[error("plan {target} can't follow plan {base}: the next number is {}", base.saturating_add(1))]
    Number {
        /// The base's.
        base: u64,
        /// The target's.
        target: u64,
    },
    /// A text is no list of sections.
    #[error("plan {version}, line {line}: {wrong}")]
    Text {
        /// Whose text.
        version: ConfigVersion,
        /// Where, from 1.
        line: usize,
        /// What is wrong.
        wrong: SectionError,
    },
    /// Two edits name the same section.
    #[error("{key}: two edits of one delta change it")]
    Twice {
        /// The section.
        key: SectionKey,
    },
    /// It removes what is not there.
    #[error("{key}: it is to be removed and is not there")]
    Missing {
        /// The section.
        key: SectionKey,
    },
    /// The text of a section is not one section.
    #[error("{key}, line {line}: {wrong}")]
    Section {
        /// The section.
        key: SectionKey,
        /// Where in its text, from 1.
        line: usize,
        /// What is wrong.
        wrong: SectionError,
    },
    /// A section is put past the end.
    #[error("{key}: it is to be section {at}, and only {sections} stand before it")]
    Place {
        /// The section.
        key: SectionKey,
        /// Where it is put.
        at: u16,
        /// Sections that stand before it.
        sections: usize,
    },
    /// Its encoding is over the bound.
    #[error("a delta of {bytes} bytes, at most {MAX_PLAN} fit")]
    Long {
        /// Its bytes.
        bytes: usize,
    },
    /// What comes of it is not its target.
    #[error("what comes of the delta: {0}")]
    Target(#[from] DocumentError),
}

/// What is wrong with the text of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SectionError {
    /// It does not begin with a header.
    #[error(
        "a section begins with [site] or with [[kind]], [[class]], [[tenant]], [[category]] or [[constraint]]"
    )]
    Header,
    /// Its first line has no name.
    #[error("the first line of a section is its name, in quotes and within {MAX_NAME} bytes")]
    Name,
    /// Two sections are not apart by one empty line, or the last one does not end its line.
    #[error("sections end their last line, and one empty line stands between two of them")]
    Gap,
    /// A string does not end.
    #[error("a string does not end")]
    Open,
    /// Another section has that key.
    #[error("a section of this table and name stands before")]
    RepeatPolicy,
    /// There are more sections than can be counted.
    #[error("more than {} sections", u16::MAX)]
    Many,
    /// One section was expected.
    #[error("another section begins")]
    Second,
    /// It is another section than the one named.
    #[error("its header and name are those of another section")]
    Other,
}

/// A section of a text.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Section<'a> {
    key: SectionKey,
    text: &'a str,
}

/// In what a byte of TOML stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Inside {
    Nothing,
    Comment,
    /// A string that these quotes end, which may have escapes.
    Basic(&'static str),
    /// A string that these quotes end, which has none.
    Literal(&'static str),
}

/// The offsets of all lines that begin with a bracket outside of strings: where sections begin.
fn headers(text: &str) -> Result<Vec<usize>, SectionError> {
    let (mut inside, mut begins, mut at, mut line_begins) = (Inside::Nothing, Vec::new(), 0, true);
    while let Some(byte) = text.as_bytes().get(at) {
        let rest = &text.as_bytes()[at..];
        let mut step = 1;
        match inside {
            Inside::Nothing => {
                if line_begins && *byte == b'[' {
                    begins.push(at);
                }
                (inside, step) = match byte {
                    b'#' => (Inside::Comment, 1),
                    b'"' if rest.starts_with(b"\"\"\"") => (Inside::Basic("\"\"\""), 3),
                    b'"' => (Inside::Basic("\""), 1),
                    b'\'' if rest.starts_with(b"'''") => (Inside::Literal("'''"), 3),
                    b'\'' => (Inside::Literal("'"), 1),
                    _ => (Inside::Nothing, 1),
                };
            }
            Inside::Comment if *byte == b'\n' => inside = Inside::Nothing,
            Inside::Comment => {}
            Inside::Basic(_) if *byte == b'\\' => step = 2,
            Inside::Basic(quotes) | Inside::Literal(quotes) => {
                if rest.starts_with(quotes.as_bytes()) {
                    // Up to two more quotes may stand right before those that end a string of several lines.
                    let more = rest[quotes.len()..]
                        .iter()
                        .take(2)
                        .take_while(|next| *next == byte)
                        .count();
                    step = quotes.len() + if quotes.len() == 3 { more } else { 0 };
                    inside = Inside::Nothing;
                } else if *byte == b'\n' && quotes.len() == 1 {
                    return Err(SectionError::Open);
                }
            }
        }
        line_begins = *byte == b'\n';
        at += step;
    }
    match inside {
        Inside::Basic(_) | Inside::Literal(_) => Err(SectionError::Open),
        Inside::Nothing | Inside::Comment => Ok(begins),
    }
}

/// The key of a section, from its first two lines. The error's line is counted from 0.
fn key(text: &str) -> Result<SectionKey, (usize, SectionError)> {
    let mut lines = text.lines();
    let header = lines.next().unwrap_or_default();
    if header == "[site]" {
        return Ok(SectionKey::Site);
    }
    let word = header
        .strip_prefix("[[")
        .and_then(|rest| rest.strip_suffix("]]"));
    let table = word.and_then(|word| Table::ALL.into_iter().find(|table| table.word() == word));
    let table = table.ok_or((0, SectionError::Header))?;
    let name = lines
        .next()
        .and_then(|line| line.strip_prefix("name = "))
        .unwrap_or_default();
    let quoted = |quote: char| name.len() >= 2 && name.starts_with(quote) && name.ends_with(quote);
    // A name over several lines is not told from its first: such a text is sent in full.
    let several = name.starts_with("\"\"\"") || name.starts_with("'''");
    if several || name.len() > MAX_NAME || !(quoted('"') || quoted('\'')) {
        return Err((1, SectionError::Name));
    }
    Ok(SectionKey::Named {
        table,
        name: name.to_owned(),
    })
}

/// Which line of a text an offset is in, from 0.
fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
}

/// The sections of a text, in order. The error's line is counted from 1.
fn sections(text: &str) -> Result<Vec<Section<'_>>, (usize, SectionError)> {
    let begins = headers(text).map_err(|wrong| (1, wrong))?;
    if begins.first() != Some(&0) {
        return Err((1, SectionError::Header));
    }
    if begins.len() > usize::from(u16::MAX) {
        return Err((1, SectionError::Many));
    }
    let (mut found, mut known) = (Vec::with_capacity(begins.len()), BTreeSet::new());
    for (index, begin) in begins.iter().enumerate() {
        let line = || 1 + line_of(text, *begin);
        let whole = &text[*begin..begins.get(index + 1).copied().unwrap_or(text.len())];
        let last = index + 1 == begins.len();
        let own = if last {
            Some(whole)
        } else {
            whole.strip_suffix('\n')
        };
        let own = own.filter(|own| own.ends_with('\n') && !own.ends_with("\n\n"));
        let own = own.ok_or_else(|| (line(), SectionError::Gap))?;
        let key = key(own).map_err(|(after, wrong)| (line() + after, wrong))?;
        if !known.insert(key.clone()) {
            return Err((line(), SectionError::RepeatPolicy));
        }
        found.push(Section { key, text: own });
    }
    Ok(found)
}

fn sections_of(plan: &ConfigDocument) -> Result<Vec<Section<'_>>, DeltaError> {
    sections(plan.text()).map_err(|(line, wrong)| DeltaError::Text {
        version: plan.version(),
        line,
        wrong,
    })
}

fn follows(base: ConfigVersion, target: ConfigVersion) -> Result<(), DeltaError> {
    let (base, target) = (base.number, target.number);
    if base.checked_add(1) == Some(target) {
        Ok(())
    } else {
        Err(DeltaError::Number { base, target })
    }
}

fn bounded(delta: Delta) -> Result<Delta, DeltaError> {
    let bytes = delta.encoded_len();
    if bytes > MAX_PLAN {
        Err(DeltaError::Long { bytes })
    } else {
        Ok(delta)
    }
}

/// Of places in the base, in the order of the target, the most that stand in rising order.
fn longest_rising(places: &[usize]) -> BTreeSet<usize> {
    // For each length, where in `places` the run of that length ends whose last place is the smallest.
    let (mut ends, mut before) = (Vec::<usize>::new(), vec![None; places.len()]);
    for (index, place) in places.iter().enumerate() {
        let length = ends.partition_point(|end| places[*end] < *place);
        before[index] = length.checked_sub(1).map(|shorter| ends[shorter]);
        if length == ends.len() {
            ends.push(index)
        } else {
            ends[length] = index
        }
    }
    let (mut rising, mut next) = (BTreeSet::new(), ends.last().copied());
    while let Some(index) = next {
        rising.insert(places[index]);
        next = before[index];
    }
    rising
}

/// What changed from one plan to the next.
///
/// # Errors
/// See [`DeltaError`]; whoever wanted to send it sends the text in full then.
pub fn between(base: &ConfigDocument, target: &ConfigDocument) -> Result<Delta, DeltaError> {
    follows(base.version(), target.version())?;
    let (old, new) = (sections_of(base)?, sections_of(target)?);
    let old_places: BTreeMap<&SectionKey, usize> = old
        .iter()
        .enumerate()
        .map(|(place, section)| (&section.key, place))
        .collect();
    let unchanged = |section: &Section<'_>| {
        old_places
            .get(&section.key)
            .copied()
            .filter(|place| old[*place].text == section.text)
    };
    let places: Vec<usize> = new.iter().filter_map(unchanged).collect();
    let stays = longest_rising(&places);
    let new_keys: BTreeSet<&SectionKey> = new.iter().map(|section| &section.key).collect();
    let gone = old
        .iter()
        .filter(|section| !new_keys.contains(&section.key));
    let mut edits: Vec<Edit> = gone
        .map(|section| Edit::Remove {
            key: section.key.clone(),
        })
        .collect();
    for (at, section) in new.iter().enumerate() {
        if unchanged(section).is_none_or(|place| !stays.contains(&place)) {
            let (key, text) = (section.key.clone(), section.text.to_owned());
            edits.push(Edit::Put {
                key,
                at: at as u16,
                text,
            });
        }
    }
    bounded(Delta {
        base: base.version(),
        target: target.version(),
        edits,
    })
}

/// What changed from one plan to the next, where that is known and shorter than the next one's text.
pub fn shorter(base: &ConfigDocument, target: &ConfigDocument) -> Option<Delta> {
    between(base, target)
        .ok()
        .filter(|delta| delta.encoded_len() < target.text().len())
}

/// Checks that a text is the section that a key names.
fn check_section(wanted: &SectionKey, text: &str) -> Result<(), DeltaError> {
    let error = |line, wrong| DeltaError::Section {
        key: wanted.clone(),
        line,
        wrong,
    };
    let found = sections(text).map_err(|(line, wrong)| error(line, wrong))?;
    match &found[..] {
        [only] if only.key == *wanted => Ok(()),
        [only] => Err(error(
            1 + usize::from(matches!(only.key, SectionKey::Named { .. })),
            SectionError::Other,
        )),
        [first, ..] => Err(error(2 + first.text.lines().count(), SectionError::Second)),
        [] => Err(error(1, SectionError::Header)),
    }
}

/// The plan that comes of a delta.
///
/// # Errors
/// See [`DeltaError`]: nothing but the plan of the target's number and digest ever comes of it.
pub fn apply(base: &ConfigDocument, delta: &Delta) -> Result<ConfigDocument, DeltaError> {
    if delta.base != base.version() {
        return Err(DeltaError::OtherBase {
            wanted: delta.base,
            found: base.version(),
        });
    }
    follows(delta.base, delta.target)?;
    let bytes = delta.encoded_len();
    if bytes > MAX_PLAN {
        return Err(DeltaError::Long { bytes });
    }
    let old = sections_of(base)?;
    let known: BTreeSet<&SectionKey> = old.iter().map(|section| &section.key).collect();
    let (mut changed, mut puts) = (BTreeSet::new(), Vec::new());
    for edit in &delta.edits {
        if !changed.insert(edit.key()) {
            return Err(DeltaError::Twice {
                key: edit.key().clone(),
            });
        }
        match edit {
            Edit::Remove { key } if !known.contains(key) => {
                return Err(DeltaError::Missing { key: key.clone() });
            }
            Edit::Remove { .. } => {}
            Edit::Put { key, at, text } => {
                check_section(key, text)?;
                puts.push((*at, key, text.as_str()));
            }
        }
    }
    puts.sort_unstable_by_key(|(at, _, _)| *at);
    let mut stays = old
        .iter()
        .filter(|section| !changed.contains(&section.key))
        .map(|section| section.text);
    let mut texts: Vec<&str> = Vec::with_capacity(old.len() + puts.len());
    for (at, key, text) in puts {
        let missing = usize::from(at).saturating_sub(texts.len());
        texts.extend(stays.by_ref().take(missing));
        if texts.len() != usize::from(at) {
            return Err(DeltaError::Place {
                key: key.clone(),
                at,
                sections: texts.len(),
            });
        }
        texts.push(text);
    }
    texts.extend(stays);
    Ok(ConfigDocument::checked(delta.target, &texts.join("\n"))?)
}
