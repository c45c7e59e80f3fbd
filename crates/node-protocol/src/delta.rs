//! What changed between two plans that follow each other, section by section, and its bytes.
//!
//! ```text
//! delta = base, target, count u16, count edits
//! edit  = 0, key, at u16, length u16, text       put
//!       | 1, key                                 remove
//! key   = 0                                      [site]
//!       | 1 to 5, length u16, name               [[kind]], [[class]], [[tenant]], [[category]], [[constraint]]
//! ```

use winnow::binary::{be_u16, u8};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;

use crate::codec::{Input, label, plan_version, put_text, put_version, text};
use crate::versions::ConfigVersion;
use crate::{MAX_NAME, MAX_PLAN};

/// The tables of a plan whose sections have names, in the order in which its text has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// Kinds of nodes.
    Kind,
    /// Classes of tasks.
    Class,
    /// Tenants.
    Tenant,
    /// Job categories.
    Category,
    /// Constraints.
    Constraint,
}

impl Table {
    /// Every table; its place here, from 1, is its code on the wire.
    pub const ALL: [Self; 5] = [
        Self::Kind,
        Self::Class,
        Self::Tenant,
        Self::Category,
        Self::Constraint,
    ];

    /// Its name in the settings.
    pub const fn word(self) -> &'static str {
        match self {
            Self::Kind => "kind",
            Self::Class => "class",
            Self::Tenant => "tenant",
            Self::Category => "category",
            Self::Constraint => "constraint",
        }
    }
}

/// Which section of a plan's text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKey {
    /// `[site]`, of which there is one.
    Site,
    /// A section of a table with several.
    Named {
        /// The table.
        table: Table,
        /// The value of its `name`, as the text writes it: in quotes.
        name: String,
    },
}

impl std::fmt::Display for SectionKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Site => f.write_str("site"),
            Self::Named { table, name } => write!(f, "{} {name}", table.word()),
        }
    }
}

/// A change of one section.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Edit {
    /// The section stands in the target with this text, whether or not the base has it.
    Put {
        /// The section.
        key: SectionKey,
        /// Its place among the target's sections, from 0.
        at: u16,
        /// Its text: its header and its lines.
        text: String,
    },
    /// The base has the section, the target does not.
    Remove {
        /// The section.
        key: SectionKey,
    },
}

impl Edit {
    /// The section that it changes.
    pub fn key(&self) -> &SectionKey {
        match self {
            Self::Put { key, .. } | Self::Remove { key } => key,
        }
    }
}

/// All that changed from one plan to the next. Sections that no edit names stand in the target as in the base, in the
/// same order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Delta {
    /// The plan that it changes.
    pub base: ConfigVersion,
    /// The plan that comes of it.
    pub target: ConfigVersion,
    /// The changes; each names another section.
    pub edits: Vec<Edit>,
}

const PUT: u8 = 0;
const REMOVE: u8 = 1;
const SITE: u8 = 0;
/// Bytes of both versions and the count of edits.
const FIXED: usize = 2 * 24 + 2;

impl SectionKey {
    fn encoded_len(&self) -> usize {
        match self {
            Self::Site => 1,
            Self::Named { name, .. } => 3 + name.len(),
        }
    }
}

impl Delta {
    /// Bytes of its encoding.
    pub fn encoded_len(&self) -> usize {
        let edit = |edit: &Edit| match edit {
            Edit::Put { key, text, .. } => 5 + key.encoded_len() + text.len(),
            Edit::Remove { key } => 1 + key.encoded_len(),
        };
        FIXED + self.edits.iter().map(edit).sum::<usize>()
    }
}

fn put_key(out: &mut Vec<u8>, key: &SectionKey) {
    match key {
        SectionKey::Site => out.push(SITE),
        SectionKey::Named { table, name } => {
            out.push(*table as u8 + 1);
            put_text(out, name, MAX_NAME);
        }
    }
}

pub(crate) fn put_delta(out: &mut Vec<u8>, delta: &Delta) {
    put_version(out, &delta.base);
    put_version(out, &delta.target);
    out.extend_from_slice(&(delta.edits.len() as u16).to_be_bytes());
    for edit in &delta.edits {
        match edit {
            Edit::Put { key, at, text } => {
                out.push(PUT);
                put_key(out, key);
                out.extend_from_slice(&at.to_be_bytes());
                put_text(out, text, MAX_PLAN);
            }
            Edit::Remove { key } => {
                out.push(REMOVE);
                put_key(out, key);
            }
        }
    }
}

fn key(input: &mut Input<'_>) -> ModalResult<SectionKey> {
    let code = u8.context(label("a section's table")).parse_next(input)?;
    if code == SITE {
        return Ok(SectionKey::Site);
    }
    let table = Table::ALL.get(usize::from(code - 1)).copied();
    let table = table.ok_or_else(|| ErrMode::Backtrack(ContextError::new()))?;
    let name = text(MAX_NAME)
        .context(label("a section's name"))
        .parse_next(input)?;
    Ok(SectionKey::Named { table, name })
}

fn edit(input: &mut Input<'_>) -> ModalResult<Edit> {
    match u8.context(label("an edit")).parse_next(input)? {
        PUT => {
            let (key, at) = (key, be_u16).parse_next(input)?;
            let text = text(MAX_PLAN)
                .context(label("a section's text"))
                .parse_next(input)?;
            Ok(Edit::Put { key, at, text })
        }
        REMOVE => Ok(Edit::Remove { key: key(input)? }),
        _ => Err(ErrMode::Backtrack(ContextError::new())),
    }
}

pub(crate) fn delta(input: &mut Input<'_>) -> ModalResult<Delta> {
    let (base, target) = (plan_version, plan_version).parse_next(input)?;
    let count = be_u16
        .context(label("the count of edits"))
        .parse_next(input)?;
    // Nothing is set aside by the count: the body's length bounds what can follow.
    let edits: ModalResult<Vec<Edit>> = (0..count).map(|_| edit(input)).collect();
    Ok(Delta {
        base,
        target,
        edits: edits?,
    })
}
