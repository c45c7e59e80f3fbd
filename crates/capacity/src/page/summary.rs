//! The rows of the table `summary`: what each budget comes to under each mechanism.

use super::costs::{CostRow, Limited};
use super::row::{Row, escaped};
use super::{Column, TableName, costs};
use crate::measurement::{Quantity, RunFile};

/// The worst row of each mechanism and budget: mechanisms from the latest run back, in each the worst ratio first.
pub(super) fn rows(runs: &RunFile) -> Vec<Row> {
    let cost_rows = costs::cost_rows(runs);
    let mechanisms = mechanisms_latest_first(runs);
    mechanisms
        .iter()
        .flat_map(|mechanism| rows_of_mechanism(&cost_rows, mechanism))
        .collect()
}

fn mechanisms_latest_first(runs: &RunFile) -> Vec<&str> {
    let mut mechanisms: Vec<&str> = Vec::new();
    for run in runs.0.iter().rev() {
        let mechanism = run.mechanism.trim();
        if !mechanisms.contains(&mechanism) {
            mechanisms.push(mechanism);
        }
    }
    mechanisms
}

/// Cost rows are sorted worst first, so the first row of a budget is its worst.
fn rows_of_mechanism(cost_rows: &[CostRow], mechanism: &str) -> Vec<Row> {
    let mut seen: Vec<Quantity> = Vec::new();
    let mut rows = Vec::new();
    for cost_row in cost_rows
        .iter()
        .filter(|row| row.row.cell(Column::Mechanism) == escaped(mechanism))
    {
        let Some(Limited { quantity, .. }) = cost_row.limited else {
            continue;
        };
        if !seen.contains(&quantity) {
            seen.push(quantity);
            rows.push(summary_row(quantity, &cost_row.row));
        }
    }
    rows
}

fn summary_row(quantity: Quantity, cost_row: &Row) -> Row {
    let copied = |column| (column, cost_row.cell(column).to_owned());
    Row::new(
        TableName::Summary,
        [
            (Column::Quantity, quantity.to_string()),
            copied(Column::Mechanism),
            copied(Column::Role),
            copied(Column::Phase),
            copied(Column::Predicted),
            copied(Column::Budget),
            copied(Column::Ratio),
            copied(Column::Runs),
        ],
    )
}
