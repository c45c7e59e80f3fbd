//! The rows of the table `runs`, and the way in which other tables cite them.

use super::row::{Row, escaped};
use super::{Column, NOTHING, TableName};
use crate::measurement::{Run, RunFile, RunNumber};
use crate::series::{Sample, run_numbers};

const SEPARATOR: &str = ", ";

/// A row for each run, in the order of the file.
pub(super) fn rows(runs: &RunFile) -> Vec<Row> {
    runs.numbered()
        .map(|(number, run)| row(number, run))
        .collect()
}

fn row(number: RunNumber, run: &Run) -> Row {
    Row::new(
        TableName::Runs,
        [
            (Column::Run, number.to_string()),
            (Column::Revision, escaped(&run.revision)),
            (Column::Mechanism, escaped(run.mechanism.trim())),
            (Column::Command, format!("`{}`", escaped(&run.command))),
        ],
    )
}

/// The runs of samples as a cell cites them, such as `R2, R3`.
pub(super) fn citation(samples: &[Sample]) -> String {
    let numbers: Vec<String> = run_numbers(samples)
        .iter()
        .map(RunNumber::to_string)
        .collect();
    numbers.join(SEPARATOR)
}

/// The numbers that a cell cites, as they stand there.
pub(super) fn cited(cell: &str) -> impl Iterator<Item = &str> {
    cell.split(SEPARATOR).filter(|number| *number != NOTHING)
}
