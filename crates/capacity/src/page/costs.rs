//! The rows of the table `costs`, in the order of the page.

use super::row::{Row, escaped};
use super::{Column, NOT_MEASURED, NOTHING, TableName, figure, runs};
use crate::axis::Axis;
use crate::fit::Fit;
use crate::measurement::{Phase, Quantity, Role, RunFile, Size};
use crate::series::{Group, Series, SeriesKey, groups};
use crate::target::{Budget, Rate, TARGET};

/// A row of a group of measurements.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct CostRow {
    pub(super) row: Row,
    /// `None` if the row predicts nothing or nothing limits what it predicts.
    pub(super) limited: Option<Limited>,
}

/// What a prediction takes of its budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Limited {
    /// The quantity of the budget.
    pub(super) quantity: Quantity,
    /// The ratio to full precision, by which rows are sorted.
    pub(super) ratio: f64,
}

/// All rows of a run file.
pub(super) fn rows(runs: &RunFile) -> Vec<Row> {
    let mut rows: Vec<Row> = cost_rows(runs)
        .into_iter()
        .map(|cost_row| cost_row.row)
        .collect();
    rows.extend(not_measured_rows(&groups(runs)));
    rows
}

/// The rows of what was measured: by ratio, the worst first, then those without a ratio.
pub(super) fn cost_rows(runs: &RunFile) -> Vec<CostRow> {
    let mut rows: Vec<CostRow> = groups(runs).iter().flat_map(group_rows).collect();
    rows.sort_by(worst_first);
    rows
}

fn worst_first(one: &CostRow, other: &CostRow) -> std::cmp::Ordering {
    match (one.limited, other.limited) {
        (Some(one), Some(other)) => other.ratio.total_cmp(&one.ratio),
        (one, other) => other.is_some().cmp(&one.is_some()),
    }
}

fn group_rows(group: &Group) -> Vec<CostRow> {
    let rows: Vec<CostRow> = group
        .series()
        .iter()
        .filter_map(|series| line_row(&group.key, series))
        .collect();
    if rows.is_empty() {
        vec![no_line_row(group)]
    } else {
        rows
    }
}

/// The row of a series; `None` if the line through it or its prediction overflows.
fn line_row(key: &SeriesKey, series: &Series) -> Option<CostRow> {
    let fit = Fit::along(series.axis, &series.points()).ok()?;
    let prediction = Prediction::of(key, &fit, series.axis);
    if !prediction.value.is_finite() {
        return None;
    }
    let budget = Budget::of(key.role, prediction.quantity);
    let limited = budget.map(|budget| Limited {
        quantity: budget.quantity,
        ratio: budget.ratio(prediction.value),
    });
    let row = Row::new(
        TableName::Costs,
        [
            (Column::Role, key.role.to_string()),
            (Column::Phase, key.phase.to_string()),
            (Column::Quantity, key.quantity.to_string()),
            (Column::Formula, formula(key, &fit, series, prediction.rate)),
            (
                Column::Predicted,
                figure::with_unit(prediction.quantity, prediction.value),
            ),
            (
                Column::Budget,
                budget.map_or(NOTHING.to_owned(), budget_text),
            ),
            (
                Column::Ratio,
                limited.map_or(NOTHING.to_owned(), |limited| figure::plain(limited.ratio)),
            ),
            (Column::Runs, runs::citation(&series.samples)),
            (Column::Mechanism, escaped(&key.mechanism)),
        ],
    );
    Some(CostRow { row, limited })
}

fn budget_text(budget: Budget) -> String {
    figure::with_unit(budget.quantity, budget.most)
}

/// What a line predicts at the target size.
struct Prediction {
    /// The quantity of the value: per second if a rate was applied.
    quantity: Quantity,
    value: f64,
    rate: Option<Rate>,
}

impl Prediction {
    fn of(key: &SeriesKey, fit: &Fit, axis: Axis) -> Self {
        let value = fit.at(axis.of(&TARGET));
        let per_second = Rate::quantity_per_second(key.quantity);
        match (per_second, Rate::of(key.role, key.phase)) {
            (Some(quantity), Some(rate)) => Self {
                quantity,
                value: value * rate.events_per_second,
                rate: Some(rate),
            },
            _ => Self {
                quantity: key.quantity,
                value,
                rate: None,
            },
        }
    }
}

fn formula(key: &SeriesKey, fit: &Fit, series: &Series, rate: Option<Rate>) -> String {
    let sign = if fit.slope < 0.0 { '-' } else { '+' };
    let intercept = figure::with_unit(key.quantity, fit.intercept);
    let slope = figure::with_unit(key.quantity, fit.slope.abs());
    let line = format!("{intercept} {sign} {slope} × {}", series.axis);
    let line = match rate {
        Some(rate) => format!("({line}) × {}/s", figure::plain(rate.events_per_second)),
        None => line,
    };
    match differences_from_target(series.axis, series.fixed_size()) {
        differences if differences.is_empty() => line,
        differences => format!("{line}, with {}", differences.join(", ")),
    }
}

/// What a series keeps fixed at another value than the target's, such as `placers 2`.
fn differences_from_target(axis: Axis, fixed: &Size) -> Vec<String> {
    let others = Axis::ALL
        .iter()
        .filter(|other| **other != axis && other.of(fixed) != other.of(&TARGET));
    let mut differences: Vec<String> = others
        .map(|other| format!("{other} {}", figure::plain(other.of(fixed))))
        .collect();
    if fixed.control_machines != TARGET.control_machines {
        differences.push(format!("control-machines {}", fixed.control_machines));
    }
    differences
}

fn no_line_row(group: &Group) -> CostRow {
    let plural = if group.size_count() == 1 { "" } else { "s" };
    let row = Row::new(
        TableName::Costs,
        [
            (Column::Role, group.key.role.to_string()),
            (Column::Phase, group.key.phase.to_string()),
            (Column::Quantity, group.key.quantity.to_string()),
            (
                Column::Formula,
                format!("no line ({} size{plural})", group.size_count()),
            ),
            (Column::Runs, runs::citation(&group.samples)),
            (Column::Mechanism, escaped(&group.key.mechanism)),
        ],
    );
    CostRow { row, limited: None }
}

fn not_measured_rows(groups: &[Group]) -> Vec<Row> {
    let mut rows = Vec::new();
    for role in Role::ALL {
        if !groups.iter().any(|group| group.key.role == *role) {
            rows.push(not_measured_row(*role, None));
            continue;
        }
        for phase in Phase::ALL {
            if !groups
                .iter()
                .any(|group| group.key.role == *role && group.key.phase == *phase)
            {
                rows.push(not_measured_row(*role, Some(*phase)));
            }
        }
    }
    rows
}

fn not_measured_row(role: Role, phase: Option<Phase>) -> Row {
    let phase = phase.map_or(NOTHING.to_owned(), |phase| phase.to_string());
    Row::new(
        TableName::Costs,
        [
            (Column::Role, role.to_string()),
            (Column::Phase, phase),
            (Column::Formula, NOT_MEASURED.to_owned()),
        ],
    )
}
