//! The difference between two consecutive configurations, as edits of whole sections.

use std::fmt;

use super::version::ConfigVersion;

/// The tables of a configuration that have named sections, in the order in which its text lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Table {
    /// `[[kind]]`: kinds of nodes.
    Kind,
    /// `[[class]]`: classes of tasks.
    Class,
    /// `[[tenant]]`: tenants.
    Tenant,
    /// `[[category]]`: job categories.
    Category,
    /// `[[constraint]]`: constraints.
    Constraint,
}

impl Table {
    /// Every table, in the order of the text.
    pub const ALL: [Self; 5] = [
        Self::Kind,
        Self::Class,
        Self::Tenant,
        Self::Category,
        Self::Constraint,
    ];

    /// The table's name in the text of a configuration.
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

/// Identifies a section of a configuration's text.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SectionKey {
    /// `[site]`, which occurs once.
    Site,
    /// A section of a table that may have several sections.
    Named {
        /// The table that contains the section.
        table: Table,
        /// The value of the section's `name` key as written in the text, including the quotes.
        name: String,
    },
}

impl fmt::Display for SectionKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Site => f.write_str("site"),
            Self::Named { table, name } => write!(f, "{} {name}", table.word()),
        }
    }
}

/// A change of one section.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Edit {
    /// Adds the section to the base, or replaces the section's text if the base has it.
    Put {
        /// The section that is added or replaced.
        key: SectionKey,
        /// Position of the section among all sections of the target, from 0.
        at: u16,
        /// Text of the section in the target: its header and its lines.
        text: String,
    },
    /// Removes the section from the base.
    Remove {
        /// The section that is removed.
        key: SectionKey,
    },
}

impl Edit {
    /// The section that this edit adds, replaces or removes.
    pub fn key(&self) -> &SectionKey {
        match self {
            Self::Put { key, .. } | Self::Remove { key } => key,
        }
    }
}

/// The changes from one configuration to the next. Sections that no edit names are the same in the target as in the
/// base and keep their relative order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Delta {
    /// The configuration to which the edits are applied.
    pub base: ConfigVersion,
    /// The configuration that results from the edits.
    pub target: ConfigVersion,
    /// The edits, at most one for each section.
    pub edits: Vec<Edit>,
}
