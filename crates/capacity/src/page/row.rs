//! The rows that a run file gives, in the order of the page.

use super::{COLUMNS, Column, NOT_MEASURED, NOTHING, figure};
use crate::axis::Axis;
use crate::fit::Fit;
use crate::measurement::{Phase, Quantity, Role, RunFile, Size};
use crate::series::{Group, Sample, Series, SeriesKey, commands, groups};
use crate::target::{Budget, Rate, TARGET};

/// A row of the table.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Row {
    /// The texts of the cells, as they stand between the bars.
    pub(super) cells: [String; COLUMNS],
    /// The ratio to full precision, by which rows are sorted.
    ratio: Option<f64>,
}

impl Row {
    /// The text of one cell.
    pub(super) fn cell(&self, column: Column) -> &str {
        &self.cells[column as usize]
    }

    /// Whether the row says that nothing was measured.
    pub(super) fn is_not_measured(&self) -> bool {
        self.cell(Column::Formula) == NOT_MEASURED
    }

    /// The row as a line of the page.
    pub(super) fn to_line(&self) -> String {
        format!("| {} |", self.cells.join(" | "))
    }
}

/// All rows of a run file.
pub(super) fn rows(runs: &RunFile) -> Vec<Row> {
    let groups = groups(runs);
    let mut rows: Vec<Row> = groups.iter().flat_map(group_rows).collect();
    rows.sort_by(worst_first);
    rows.extend(not_measured_rows(&groups));
    rows
}

fn worst_first(one: &Row, other: &Row) -> std::cmp::Ordering {
    match (one.ratio, other.ratio) {
        (Some(one), Some(other)) => other.total_cmp(&one),
        (one, other) => other.is_some().cmp(&one.is_some()),
    }
}

fn group_rows(group: &Group) -> Vec<Row> {
    let rows: Vec<Row> = group
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
fn line_row(key: &SeriesKey, series: &Series) -> Option<Row> {
    let fit = Fit::along(series.axis, &series.points()).ok()?;
    let prediction = Prediction::of(key, &fit, series.axis);
    if !prediction.value.is_finite() {
        return None;
    }
    let budget = Budget::of(key.role, prediction.quantity);
    let ratio = budget.map(|budget| budget.ratio(prediction.value));
    let cells = [
        key.role.to_string(),
        key.phase.to_string(),
        key.quantity.to_string(),
        formula(key, &fit, series, prediction.rate),
        figure::with_unit(prediction.quantity, prediction.value),
        budget.map_or(NOTHING.to_owned(), |budget| {
            figure::with_unit(budget.quantity, budget.most)
        }),
        ratio.map_or(NOTHING.to_owned(), figure::plain),
        command_cell(&series.samples),
        escaped(&key.mechanism),
    ];
    Some(Row { cells, ratio })
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
    match differences_from_target(series.axis, series.held_size()) {
        differences if differences.is_empty() => line,
        differences => format!("{line}, with {}", differences.join(", ")),
    }
}

/// What a series holds fixed at another value than the target's, such as `placers 2`.
fn differences_from_target(axis: Axis, held: &Size) -> Vec<String> {
    let others = Axis::ALL
        .iter()
        .filter(|other| **other != axis && other.of(held) != other.of(&TARGET));
    let mut differences: Vec<String> = others
        .map(|other| format!("{other} {}", figure::plain(other.of(held))))
        .collect();
    if held.control_machines != TARGET.control_machines {
        differences.push(format!("control-machines {}", held.control_machines));
    }
    differences
}

fn no_line_row(group: &Group) -> Row {
    let plural = if group.size_count() == 1 { "" } else { "s" };
    let formula = format!("no line ({} size{plural})", group.size_count());
    let mut cells = empty_cells();
    cells[Column::Role as usize] = group.key.role.to_string();
    cells[Column::Phase as usize] = group.key.phase.to_string();
    cells[Column::Quantity as usize] = group.key.quantity.to_string();
    cells[Column::Formula as usize] = formula;
    cells[Column::Command as usize] = command_cell(&group.samples);
    cells[Column::Mechanism as usize] = escaped(&group.key.mechanism);
    Row { cells, ratio: None }
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
    let mut cells = empty_cells();
    cells[Column::Role as usize] = role.to_string();
    if let Some(phase) = phase {
        cells[Column::Phase as usize] = phase.to_string();
    }
    cells[Column::Formula as usize] = NOT_MEASURED.to_owned();
    Row { cells, ratio: None }
}

fn empty_cells() -> [String; COLUMNS] {
    std::array::from_fn(|_| NOTHING.to_owned())
}

fn command_cell(samples: &[Sample]) -> String {
    let commands: Vec<String> = commands(samples)
        .iter()
        .map(|command| format!("`{}`", escaped(command)))
        .collect();
    commands.join("; ")
}

/// A bar inside a cell has a backslash before it.
fn escaped(text: &str) -> String {
    text.replace('|', "\\|")
}
