//! What changed between two configurations that follow each other, section by section.

use std::fmt;

use super::version::ConfigVersion;

/// The tables of a configuration whose sections have names, in the order of its text.
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
    /// Every table.
    pub const ALL: [Self; 5] = [
        Self::Kind,
        Self::Class,
        Self::Tenant,
        Self::Category,
        Self::Constraint,
    ];

    /// The table's name in the settings.
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
    /// `[site]`, of which there is one.
    Site,
    /// A section of a table that may have several.
    Named {
        /// The table.
        table: Table,
        /// The value of its `name`, as the text writes it: in quotes.
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
    /// The target has the section with this text; the base may have it with another one.
    Put {
        /// The section.
        key: SectionKey,
        /// Its position among the target's sections, from 0.
        at: u16,
        /// Its text: its header and its lines.
        text: String,
    },
    /// The target does not have this section of the base.
    Remove {
        /// The section.
        key: SectionKey,
    },
}

impl Edit {
    /// The section that this edit changes.
    pub fn key(&self) -> &SectionKey {
        match self {
            Self::Put { key, .. } | Self::Remove { key } => key,
        }
    }
}

/// The changes from one configuration to the next. The target has sections that no edit names as the base has them, in
/// the same order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Delta {
    /// The configuration that the edits change.
    pub base: ConfigVersion,
    /// The configuration that results.
    pub target: ConfigVersion,
    /// The changes; no two of one section.
    pub edits: Vec<Edit>,
}
