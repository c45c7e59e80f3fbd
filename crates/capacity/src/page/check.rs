//! Compares a page with the runs.

use super::row::Row;
use super::table::{PageRow, Table, parse};
use super::{Column, NOT_MEASURED, NOTHING, PageProblem, Problem, TableName, citations};
use crate::measurement::{Measurement, Phase, Quantity, Role, RunFile};

/// Checks that the page has the tables of the runs, and lists all that differs in the order of the page.
///
/// A row `not measured` is right if the runs have nothing on its role, phase and quantity, where `-` stands for
/// any; the page may have more of them than [`render`](super::render) writes. No other row may be added.
pub fn check(page: &str, runs: &RunFile) -> Result<(), Vec<PageProblem>> {
    let tables = parse(page)?;
    let mut problems: Vec<PageProblem> = tables
        .iter()
        .flat_map(|table| Comparison::new(table, runs).problems())
        .collect();
    problems.extend(citations::problems(&tables));
    problems.sort_by_key(|problem| (problem.line, problem.column));
    if problems.is_empty() {
        Ok(())
    } else {
        Err(problems)
    }
}

struct Comparison<'a> {
    table: &'a Table,
    runs: &'a RunFile,
    expected: Vec<Row>,
    /// For each row of the page, the index of the expected row it stands for.
    matches: Vec<Option<usize>>,
    problems: Vec<PageProblem>,
}

impl<'a> Comparison<'a> {
    fn new(table: &'a Table, runs: &'a RunFile) -> Self {
        let matches = vec![None; table.rows.len()];
        Self {
            table,
            runs,
            expected: table.name.rows(runs),
            matches,
            problems: Vec::new(),
        }
    }

    fn problems(mut self) -> Vec<PageProblem> {
        self.match_rows();
        self.check_rows();
        self.check_order();
        self.check_missing();
        self.problems
    }

    /// Rows with the right formula find their expected row first, so that one wrong formula among several rows
    /// of the same key is reported as that.
    fn match_rows(&mut self) {
        self.match_rows_where(|row, expected| {
            same_key(row, expected) && formula(row) == expected_formula(expected)
        });
        self.match_rows_where(|row, expected| {
            same_key(row, expected) && is_not_measured(row) == expects_no_measurement(expected)
        });
    }

    fn match_rows_where(&mut self, stands_for: impl Fn(&PageRow, &Row) -> bool) {
        for (page_index, row) in self.table.rows.iter().enumerate() {
            if self.matches[page_index].is_some() {
                continue;
            }
            let free = |index: &usize| !self.matches.contains(&Some(*index));
            let found = (0..self.expected.len())
                .filter(free)
                .find(|index| stands_for(row, &self.expected[*index]));
            self.matches[page_index] = found;
        }
    }

    fn check_rows(&mut self) {
        for (page_index, row) in self.table.rows.iter().enumerate() {
            let earlier = &self.table.rows[..page_index];
            let problems = match self.matches[page_index] {
                _ if !names_known(row) => unknown_names(row),
                Some(index) => differences(row, &self.expected[index]),
                None => self.check_unmatched(row, earlier),
            };
            self.problems.extend(problems);
        }
    }

    fn check_unmatched(&self, row: &PageRow, earlier: &[PageRow]) -> Vec<PageProblem> {
        if let Some(first) = earlier.iter().find(|first| same_texts(first, row)) {
            return vec![row.problem(Problem::Repeated(first.line))];
        }
        if !is_not_measured(row) {
            return vec![row.problem(Problem::NotInRuns)];
        }
        if measurements(self.runs).any(|measurement| is_about(row, measurement)) {
            return vec![row.problem_at(Column::Formula, Problem::MeasuredAfterAll)];
        }
        let figures = [
            Column::Predicted,
            Column::Budget,
            Column::Ratio,
            Column::Runs,
            Column::Mechanism,
        ]
        .into_iter();
        figures
            .filter_map(|column| difference(row, column, NOTHING))
            .collect()
    }

    /// Rows with measurements stand in the expected order, then come the rows without in any order.
    fn check_order(&mut self) {
        let measured_rows = self
            .expected
            .iter()
            .filter(|row| !expects_no_measurement(row))
            .count();
        let mut latest: Option<(usize, usize)> = None;
        for (row, matched) in self.table.rows.iter().zip(&self.matches) {
            let rank = match matched {
                Some(index) => (*index).min(measured_rows),
                None if is_not_measured(row) => measured_rows,
                None => continue,
            };
            match latest {
                Some((latest_rank, line)) if rank < latest_rank => {
                    self.problems.push(row.problem(Problem::OutOfOrder(line)));
                }
                _ => latest = Some((rank, row.line)),
            }
        }
    }

    fn check_missing(&mut self) {
        for (index, expected) in self.expected.iter().enumerate() {
            if !self.matches.contains(&Some(index)) {
                let problem = Problem::MissingRow(expected.to_line());
                self.problems.push(PageProblem {
                    line: self.table.end_line,
                    column: 1,
                    problem,
                });
            }
        }
    }
}

fn same_key(row: &PageRow, expected: &Row) -> bool {
    row.table
        .key()
        .iter()
        .all(|column| row.text(*column) == expected.cell(*column))
}

fn same_texts(one: &PageRow, other: &PageRow) -> bool {
    one.texts().eq(other.texts())
}

/// The formula of a row of `costs`, where several rows may have one key.
fn formula(row: &PageRow) -> Option<&str> {
    (row.table == TableName::Costs).then(|| row.text(Column::Formula))
}

fn expected_formula(expected: &Row) -> Option<&str> {
    (expected.table() == TableName::Costs).then(|| expected.cell(Column::Formula))
}

fn is_not_measured(row: &PageRow) -> bool {
    formula(row) == Some(NOT_MEASURED)
}

fn expects_no_measurement(expected: &Row) -> bool {
    expected_formula(expected) == Some(NOT_MEASURED)
}

fn differences(row: &PageRow, expected: &Row) -> Vec<PageProblem> {
    let columns = row.table.columns().iter();
    columns
        .filter_map(|column| difference(row, *column, expected.cell(*column)))
        .collect()
}

fn difference(row: &PageRow, column: Column, expected: &str) -> Option<PageProblem> {
    let printed = row.text(column);
    if printed == expected {
        return None;
    }
    let problem = Problem::Differs {
        column,
        printed: printed.to_owned(),
        expected: expected.to_owned(),
    };
    Some(row.problem_at(column, problem))
}

fn names_known(row: &PageRow) -> bool {
    unknown_names(row).is_empty()
}

/// Only a row `not measured` may have `-` for its phase or quantity.
fn unknown_names(row: &PageRow) -> Vec<PageProblem> {
    let columns = row.table.columns().iter();
    let unknown = columns.filter(|column| !is_known_name(row, **column));
    unknown
        .map(|column| {
            let text = row.text(*column).to_owned();
            row.problem_at(
                *column,
                Problem::UnknownName {
                    column: *column,
                    text,
                },
            )
        })
        .collect()
}

/// Whether a cell is a name of what its column names; columns that name nothing have no unknown names.
fn is_known_name(row: &PageRow, column: Column) -> bool {
    let text = row.text(column);
    let any_allowed = is_not_measured(row) && text == NOTHING;
    match column {
        Column::Role => Role::from_name(text).is_some(),
        Column::Phase => any_allowed || Phase::from_name(text).is_some(),
        Column::Quantity => any_allowed || Quantity::from_name(text).is_some(),
        _ => true,
    }
}

fn measurements(runs: &RunFile) -> impl Iterator<Item = &Measurement> {
    runs.0.iter().flat_map(|run| &run.measurements)
}

fn is_about(row: &PageRow, measurement: &Measurement) -> bool {
    let fits = |column, name: &str| row.text(column) == NOTHING || row.text(column) == name;
    fits(Column::Role, measurement.role.name())
        && fits(Column::Phase, measurement.phase.name())
        && fits(Column::Quantity, measurement.quantity.name())
}
