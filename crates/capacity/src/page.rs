//! The table of `docs/CAPACITY.md`: rendered from a run file, and checked against it.
//!
//! The table stands between two HTML comments and has one form only (the row is an illustration, not a
//! measurement):
//!
//! ```text
//! <!-- capacity-table: costs -->
//! | role | phase | quantity | formula | foretold at target | budget | ratio | command | mechanism |
//! | --- | --- | --- | --- | --- | --- | --- | --- | --- |
//! | placer | idle | resident-bytes | 21.3 MiB + 27.1 KiB × nodes | 159 MiB | 128 MiB | 1.24 | `run` | every node votes |
//! <!-- end -->
//! ```
//!
//! | kind of row | which | formula | other cells |
//! | --- | --- | --- | --- |
//! | line | each series of a role, phase, quantity and mechanism along one axis | the line | all filled; budget and ratio `-` without a budget |
//! | line times rate | the same for a quantity per event whose phase has a [`Rate`](crate::target::Rate) | `(line) × events per second` | as a line, in the quantity per second |
//! | no line | measured, but no two sizes differ on one axis alone | `no line (1 size)` | foretold, budget and ratio `-` |
//! | not measured | a role without data, or a phase of a role without data | `not measured` | `-` |
//!
//! Where a line's points differ from the target size on another axis, its formula says so after `with`; the
//! figure in `foretold at target` is then for the target on the line's own axis only. Rows are sorted by ratio,
//! the worst first, then rows without a ratio, then rows not measured. Figures have three significant digits.

mod check;
mod figure;
mod problem;
mod row;
mod table;

use crate::measurement::RunFile;
use crate::names::kebab_case_names;

pub use check::check;
pub use problem::{PageProblem, Problem};

/// The name of the one table.
pub const TABLE_NAME: &str = "costs";

const NOT_MEASURED: &str = "not measured";
const NOTHING: &str = "-";

/// A column of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// The role measured.
    Role,
    /// What the cluster did meanwhile.
    Phase,
    /// What was measured.
    Quantity,
    /// The line through the measurements.
    Formula,
    /// The value of the line at the target size.
    Foretold,
    /// The most the value may be.
    Budget,
    /// The foretold value over the budget.
    Ratio,
    /// The commands that made the measurements.
    Command,
    /// How the cluster agreed during the measurements.
    Mechanism,
}

kebab_case_names!(Column {
    Role => "role",
    Phase => "phase",
    Quantity => "quantity",
    Formula => "formula",
    Foretold => "foretold at target",
    Budget => "budget",
    Ratio => "ratio",
    Command => "command",
    Mechanism => "mechanism",
});

/// The number of columns.
const COLUMNS: usize = Column::ALL.len();

/// Renders the table of a run file, with its markers and a final newline.
pub fn render(runs: &RunFile) -> String {
    let mut lines = vec![
        table::opening_marker(TABLE_NAME),
        table::header(),
        table::separator(),
    ];
    lines.extend(row::rows(runs).iter().map(row::Row::to_line));
    lines.push(table::END_MARKER.to_owned());
    lines.join("\n") + "\n"
}
