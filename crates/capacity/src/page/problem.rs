//! What can be wrong with a page, and where.

use super::{Column, TableName};

/// A problem of a page, with the line and the column (both from 1, the column in characters) it stands at.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line}, column {column}: {problem}")]
pub struct PageProblem {
    /// The line of the page.
    pub line: usize,
    /// The column in that line.
    pub column: usize,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with a page.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Problem {
    /// The page has no table of this name.
    #[error("the page has no table `{0}`")]
    NoTable(TableName),
    /// A table has a name that no table of the page has.
    #[error("there is no table `{0}`")]
    UnknownTable(String),
    /// A second table of the same name.
    #[error("the page already has a table `{0}`")]
    SecondTable(TableName),
    /// A comment that begins like a marker is not one.
    #[error("not a marker of the form `<!-- capacity-table: NAME -->`")]
    BadMarker,
    /// A table begins before the one before it ended.
    #[error("the table of line {0} has no `<!-- end -->` before this one")]
    Unclosed(usize),
    /// An end marker without a table.
    #[error("`<!-- end -->` without a table")]
    EndWithoutTable,
    /// The first or second line of a table is not the fixed one.
    #[error("expected `{0}`")]
    Heading(String),
    /// A line of a table is no row.
    #[error("a row begins with `| ` and ends with ` |`")]
    NotARow,
    /// A row has too few or too many cells.
    #[error("{found} cells where {expected} are expected")]
    CellCount {
        /// How many the row has.
        found: usize,
        /// How many a row has.
        expected: usize,
    },
    /// A cell names no role, phase or quantity.
    #[error("`{text}` is no {column}")]
    UnknownName {
        /// The column.
        column: Column,
        /// The cell.
        text: String,
    },
    /// A cell differs from what the runs give.
    #[error("{column} is `{printed}`, the runs give `{expected}`")]
    Differs {
        /// The column.
        column: Column,
        /// What the page says.
        printed: String,
        /// What it has to say.
        expected: String,
    },
    /// A row stands after a row that belongs after it.
    #[error("out of order: belongs before the row of line {0}")]
    OutOfOrder(usize),
    /// A row is on the page twice.
    #[error("the same row as line {0}")]
    Repeated(usize),
    /// The runs give no row of this key, or all of theirs stand for other rows of the page.
    #[error("the runs give no such row")]
    NotInRuns,
    /// A row says `not measured` of something the runs measured.
    #[error("marked `not measured`, but the runs measured it")]
    MeasuredAfterAll,
    /// A row that the runs give is not on the page.
    #[error("missing row `{0}`")]
    MissingRow(String),
    /// A row cites a run that the page doesn't list.
    #[error("cites run `{0}`, which the table `runs` doesn't list")]
    UnknownRun(String),
    /// The page lists a run that no row cites.
    #[error("no row cites run `{0}`")]
    UnusedRun(String),
}
