//! Checks that the numbers of runs that a page cites and those that it lists are the same.

use super::table::{PageRow, Table};
use super::{Column, PageProblem, Problem, TableName, runs};
use std::collections::BTreeSet;

/// Lists each cited run that the table `runs` doesn't list, and each listed run that no row cites.
pub(super) fn problems(tables: &[Table]) -> Vec<PageProblem> {
    let citations: Vec<Citation> = rows_of(tables, |name| name != TableName::Runs)
        .flat_map(citations)
        .collect();
    let listed: Vec<&PageRow> = rows_of(tables, |name| name == TableName::Runs).collect();
    let mut problems = unknown_runs(&citations, &listed);
    problems.extend(unused_runs(&citations, &listed));
    problems
}

/// A number that a row cites.
struct Citation<'a> {
    row: &'a PageRow,
    number: &'a str,
}

fn rows_of(tables: &[Table], wanted: impl Fn(TableName) -> bool) -> impl Iterator<Item = &PageRow> {
    tables
        .iter()
        .filter(move |table| wanted(table.name))
        .flat_map(|table| &table.rows)
}

fn citations(row: &PageRow) -> impl Iterator<Item = Citation<'_>> {
    runs::cited(row.text(Column::Runs)).map(move |number| Citation { row, number })
}

fn unknown_runs(citations: &[Citation], listed: &[&PageRow]) -> Vec<PageProblem> {
    let listed_numbers: BTreeSet<&str> = listed.iter().map(|row| row.text(Column::Run)).collect();
    let unknown = citations
        .iter()
        .filter(|citation| !listed_numbers.contains(citation.number));
    unknown
        .map(|citation| {
            let problem = Problem::UnknownRun(citation.number.to_owned());
            citation.row.problem_at(Column::Runs, problem)
        })
        .collect()
}

fn unused_runs(citations: &[Citation], listed: &[&PageRow]) -> Vec<PageProblem> {
    let cited_numbers: BTreeSet<&str> = citations.iter().map(|citation| citation.number).collect();
    let unused = listed
        .iter()
        .filter(|row| !cited_numbers.contains(row.text(Column::Run)));
    unused
        .map(|row| {
            row.problem_at(
                Column::Run,
                Problem::UnusedRun(row.text(Column::Run).to_owned()),
            )
        })
        .collect()
}
