//! The tables of `docs/CAPACITY.md`: rendered from a run file, and checked against it.
//!
//! Each table stands between two HTML comments and has one form only (the rows are illustrations, not
//! measurements):
//!
//! ```text
//! <!-- capacity-table: costs -->
//! | role | phase | quantity | formula | predicted at target | budget | ratio | runs | mechanism |
//! | --- | --- | --- | --- | --- | --- | --- | --- | --- |
//! | placer | idle | resident-bytes | 21.3 MiB + 27.1 KiB × nodes | 159 MiB | 128 MiB | 1.24 | R1, R2 | every node votes |
//! <!-- end -->
//!
//! <!-- capacity-table: summary -->
//! | quantity | mechanism | role | phase | predicted at target | budget | ratio | runs |
//! | --- | --- | --- | --- | --- | --- | --- | --- |
//! | resident-bytes | every node votes | placer | idle | 159 MiB | 128 MiB | 1.24 | R1, R2 |
//! <!-- end -->
//!
//! <!-- capacity-table: runs -->
//! | run | revision | mechanism | command |
//! | --- | --- | --- | --- |
//! | R1 | 5e09912 | every node votes | `scale --nodes 100` |
//! | R2 | 5e09912 | every node votes | `scale --nodes 200` |
//! <!-- end -->
//! ```
//!
//! `runs` numbers the runs in the order of the file; the other tables cite these numbers. Every cited number is
//! listed, and every listed run is cited.
//!
//! `summary` has for each mechanism and budget the row of `costs` that takes most of the budget.
//!
//! The rows of `costs`:
//!
//! | kind of row | which | formula | other cells |
//! | --- | --- | --- | --- |
//! | line | each series of a role, phase, quantity and mechanism along one axis | the line | all filled; budget and ratio `-` without a budget |
//! | line times rate | the same for a quantity per event whose phase has a [`Rate`](crate::target::Rate) | `(line) × events per second` | as a line, in the quantity per second |
//! | no line | measured, but no two sizes differ on one axis alone | `no line (1 size)` | predicted, budget and ratio `-` |
//! | not measured | a role without data, or a phase of a role without data | `not measured` | `-` |
//!
//! Where a line's points differ from the target size on another axis, its formula says so after `with`; the
//! figure in `predicted at target` is then for the target on the line's own axis only. Rows are sorted by ratio,
//! the worst first, then rows without a ratio, then rows not measured. Figures have three significant digits.

mod check;
mod citations;
mod costs;
mod figure;
mod problem;
mod row;
mod runs;
mod summary;
mod table;

use crate::measurement::RunFile;
use crate::names::kebab_case_names;

pub use check::check;
pub use problem::{PageProblem, Problem};

const NOT_MEASURED: &str = "not measured";
const NOTHING: &str = "-";

/// A table of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableName {
    /// The cost of each role, phase and quantity.
    Costs,
    /// The worst cost of each budget.
    Summary,
    /// The runs that the other tables cite.
    Runs,
}

kebab_case_names!(TableName {
    Costs => "costs",
    Summary => "summary",
    Runs => "runs",
});

/// A column of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Column {
    /// The role measured.
    Role,
    /// What the cluster did meanwhile.
    Phase,
    /// What was measured; in the summary, the quantity of the budget.
    Quantity,
    /// The line through the measurements.
    Formula,
    /// The value of the line at the target size.
    Predicted,
    /// The most the value may be.
    Budget,
    /// The predicted value over the budget.
    Ratio,
    /// The numbers of the runs that made the measurements.
    Runs,
    /// How the cluster agreed during the measurements.
    Mechanism,
    /// The number of a run.
    Run,
    /// The revision of the source that was run.
    Revision,
    /// The command that repeats a run.
    Command,
}

kebab_case_names!(Column {
    Role => "role",
    Phase => "phase",
    Quantity => "quantity",
    Formula => "formula",
    Predicted => "predicted at target",
    Budget => "budget",
    Ratio => "ratio",
    Runs => "runs",
    Mechanism => "mechanism",
    Run => "run",
    Revision => "revision",
    Command => "command",
});

impl TableName {
    /// The columns of the table, from left to right.
    pub fn columns(self) -> &'static [Column] {
        use Column::{
            Budget, Command, Formula, Mechanism, Phase, Predicted, Quantity, Ratio, Revision, Role,
            Run, Runs,
        };
        match self {
            Self::Costs => &[
                Role, Phase, Quantity, Formula, Predicted, Budget, Ratio, Runs, Mechanism,
            ],
            Self::Summary => &[
                Quantity, Mechanism, Role, Phase, Predicted, Budget, Ratio, Runs,
            ],
            Self::Runs => &[Run, Revision, Mechanism, Command],
        }
    }

    /// The columns whose texts say which row a row is.
    fn key(self) -> &'static [Column] {
        match self {
            Self::Costs => &[
                Column::Role,
                Column::Phase,
                Column::Quantity,
                Column::Mechanism,
            ],
            Self::Summary => &[Column::Quantity, Column::Mechanism],
            Self::Runs => &[Column::Run],
        }
    }

    /// The index of a column of the table. Panics if the table has no such column.
    fn position(self, column: Column) -> usize {
        let found = self.columns().iter().position(|other| *other == column);
        found.unwrap_or_else(|| panic!("the table {self} has no column {column}"))
    }

    /// The rows that a run file gives.
    fn rows(self, run_file: &RunFile) -> Vec<row::Row> {
        match self {
            Self::Costs => costs::rows(run_file),
            Self::Summary => summary::rows(run_file),
            Self::Runs => runs::rows(run_file),
        }
    }
}

/// Renders the tables of a run file, each with its markers and a final newline, with an empty line between them.
pub fn render(run_file: &RunFile) -> String {
    let tables: Vec<String> = TableName::ALL
        .iter()
        .map(|name| render_table(*name, run_file))
        .collect();
    tables.join("\n")
}

fn render_table(name: TableName, run_file: &RunFile) -> String {
    let mut lines = vec![
        table::opening_marker(name),
        table::header(name),
        table::separator(name),
    ];
    lines.extend(name.rows(run_file).iter().map(row::Row::to_line));
    lines.push(table::END_MARKER.to_owned());
    lines.join("\n") + "\n"
}
