//! Encoding of deltas between configurations. A delta is encoded as:
//!
//! ```text
//! delta   = base, target, count u16, count edits
//! edit    = 0, section, position u16, length u16, text      put
//!         | 1, section                                      remove
//! section = 0                                               [site]
//!         | 1 to 5, length u16, name                        [[kind]], [[class]], [[tenant]], [[category]], [[constraint]]
//! ```

use super::reader::{BodyReader, Field, FieldError};
use super::writer::BodyWriter;
use super::{Wire, WireCode};
use crate::configuration::{Delta, Edit, SectionKey, Table};
use crate::{MAX_NAME, MAX_PLAN};

/// Codes of [`Edit`].
mod edit {
    pub(super) const PUT: u8 = 0;
    pub(super) const REMOVE: u8 = 1;
}

/// Code of [`SectionKey::Site`], encoded in the byte that holds the code of the table for all other sections.
const SITE: u8 = 0;

/// Encoded length in bytes of the base and target versions (number and digest each) and the edit count.
const FIXED_LENGTH: usize = 2 * (8 + 16) + 2;
/// Length in bytes of the `u16` length before a text.
const LENGTH_PREFIX: usize = 2;

impl WireCode for Table {
    const FIELD: Field = Field::Section;
    const VALUES: &'static [Self] = &Self::ALL;

    fn code(self) -> u8 {
        match self {
            Self::Kind => 1,
            Self::Class => 2,
            Self::Tenant => 3,
            Self::Category => 4,
            Self::Constraint => 5,
        }
    }
}

impl Wire for SectionKey {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        match self {
            Self::Site => writer.u8(SITE),
            Self::Named { table, name } => {
                table.encode(writer);
                writer.text(name, MAX_NAME);
            }
        }
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(Field::Section);
        let code = reader.u8(Field::Section)?;
        if code == SITE {
            return Ok(Self::Site);
        }
        let table = Table::from_code(code).ok_or(error)?;
        Ok(Self::Named {
            table,
            name: reader.name(Field::Section)?,
        })
    }
}

impl Wire for Edit {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        match self {
            Self::Put { key, at, text } => {
                writer.u8(edit::PUT);
                key.encode(writer);
                writer.u16(*at);
                writer.text(text, MAX_PLAN);
            }
            Self::Remove { key } => {
                writer.u8(edit::REMOVE);
                key.encode(writer);
            }
        }
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(Field::Edit);
        match reader.u8(Field::Edit)? {
            edit::PUT => Ok(Self::Put {
                key: Wire::decode(reader)?,
                at: reader.u16(Field::Edit)?,
                text: reader.text(MAX_PLAN, Field::Section)?,
            }),
            edit::REMOVE => Ok(Self::Remove {
                key: Wire::decode(reader)?,
            }),
            _ => Err(error),
        }
    }
}

impl Wire for Delta {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        self.base.encode(writer);
        self.target.encode(writer);
        writer.u16(self.edits.len() as u16);
        for edit in &self.edits {
            edit.encode(writer);
        }
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let base = Wire::decode(reader)?;
        let target = Wire::decode(reader)?;
        let count = reader.u16(Field::Edit)?;
        let edits = reader.list(count)?;
        Ok(Self {
            base,
            target,
            edits,
        })
    }
}

fn encoded_section_length(key: &SectionKey) -> usize {
    match key {
        SectionKey::Site => 1,
        SectionKey::Named { name, .. } => 1 + LENGTH_PREFIX + name.len(),
    }
}

fn encoded_edit_length(edit: &Edit) -> usize {
    let position = size_of::<u16>();
    match edit {
        Edit::Put { key, text, .. } => {
            1 + encoded_section_length(key) + position + LENGTH_PREFIX + text.len()
        }
        Edit::Remove { key } => 1 + encoded_section_length(key),
    }
}

impl Delta {
    /// The encoded length of this delta in bytes, which callers compare with the length of the full text and with the
    /// limit of a message.
    pub fn encoded_len(&self) -> usize {
        FIXED_LENGTH + self.edits.iter().map(encoded_edit_length).sum::<usize>()
    }
}
