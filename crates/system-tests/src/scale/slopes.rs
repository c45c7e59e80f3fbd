//! Straight lines through runs that differ on one axis, and what they foretell of a run that was not played yet.

use std::fmt;
use std::io::Write;
use std::path::Path;

use clap::{Args, ValueEnum};
use reedring_capacity::axis::Axis;
use reedring_capacity::fit::{Fit, Point, PredictedValue};
use reedring_capacity::measurement::{Run, RunFile, Size};
use reedring_capacity::series::{Group, SeriesKey, groups};

use super::needs::fits;
use super::options::ScaleOptions;
use super::{ScaleError, layout, play};

/// The axis on which the runs differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum AxisName {
    /// Nodes.
    Nodes,
    /// Placers.
    Placers,
    /// Changes an hour, in the phase of fast changes.
    ChangesPerHour,
    /// Tasks that stand.
    Tasks,
    /// Teams.
    Teams,
}

impl AxisName {
    fn axis(self) -> Axis {
        match self {
            Self::Nodes => Axis::Nodes,
            Self::Placers => Axis::Placers,
            Self::ChangesPerHour => Axis::ChangesPerHour,
            Self::Tasks => Axis::RunningTasks,
            Self::Teams => Axis::Teams,
        }
    }

    /// The options of a run at a value of the axis; all else is held as it is.
    fn at(self, base: &ScaleOptions, value: u32) -> ScaleOptions {
        let mut options = base.clone();
        options.tasks = Some(base.running_tasks());
        options.starts_per_second = Some(base.starts());
        match self {
            Self::Nodes => options.nodes = value as usize,
            Self::Placers => options.placers = value as usize,
            Self::ChangesPerHour => options.changes_per_hour = f64::from(value),
            Self::Tasks => options.tasks = Some(value as usize),
            Self::Teams => options.teams = value as usize,
        }
        options
    }

    /// Whether a size was measured with this axis in mind: changes come fast in one phase, and not at all in others.
    fn is_of(self, size: &Size) -> bool {
        (size.changes_per_hour > 0.0) == (self == Self::ChangesPerHour)
    }
}

/// Which runs are played.
#[derive(Args, Clone, Debug)]
pub struct SlopeOptions {
    /// On what the runs differ; all else is as the other options say, for each run alike.
    #[arg(long, value_enum, default_value = "nodes")]
    pub axis: AxisName,
    /// Values of the axis that are played and fitted.
    #[arg(long, value_delimiter = ',', required = true)]
    pub sizes: Vec<u32>,
    /// A value that is foretold from those, and played after that where it fits.
    #[arg(long)]
    pub foretell: u32,
    /// The run itself.
    #[command(flatten)]
    pub run: ScaleOptions,
}

/// A line through what was measured, and what it says of the size that is foretold.
#[derive(Clone, Debug, PartialEq)]
pub struct Prediction {
    /// What was measured.
    pub key: SeriesKey,
    /// The line.
    pub fit: Fit,
    /// What it foretells, and what was played then.
    pub foretold: PredictedValue,
}

impl fmt::Display for Prediction {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SeriesKey {
            role,
            phase,
            quantity,
            ..
        } = &self.key;
        let Fit {
            intercept,
            slope,
            relative_residual,
            ..
        } = self.fit;
        write!(
            f,
            "{role} {phase} {quantity}: {intercept:.4e} + {slope:.4e} a unit"
        )?;
        write!(
            f,
            ", residual {:.1}%; foretold {:.4e}",
            relative_residual * 100.0,
            self.foretold.predicted
        )?;
        if let (Some(played), Some(error)) =
            (self.foretold.measured, self.foretold.relative_error())
        {
            write!(f, ", played {played:.4e}, error {:.1}%", error * 100.0)?;
        }
        Ok(())
    }
}

fn points(group: &Group, axis: AxisName) -> Vec<Point> {
    group
        .samples
        .iter()
        .map(|sample| sample.point)
        .filter(|point| axis.is_of(&point.size))
        .collect()
}

/// Fits a line through each quantity that was measured at two sizes or more, and foretells it.
pub fn foretell(runs: &[Run], axis: AxisName, value: u32) -> Vec<Prediction> {
    let foretold = |group: Group| {
        let points = points(&group, axis);
        let fit = Fit::along(axis.axis(), &points).ok()?;
        let foretold = PredictedValue {
            size: points[0].size,
            predicted: fit.at(f64::from(value)),
            measured: None,
        };
        Some(Prediction {
            key: group.key,
            fit,
            foretold,
        })
    };
    groups(&RunFile(runs.to_vec()))
        .into_iter()
        .filter_map(foretold)
        .collect()
}

/// Holds what was foretold against a run that was played afterwards.
pub fn compare(predictions: &mut [Prediction], played: &Run, axis: AxisName) {
    let groups = groups(&RunFile(vec![played.clone()]));
    for prediction in predictions {
        let group = groups.iter().find(|group| group.key == prediction.key);
        let point = group.and_then(|group| points(group, axis).first().copied());
        if let Some(Point { size, value }) = point {
            // Changes come no faster than they can: the line is asked at the rate that was reached.
            let predicted = prediction.fit.at(axis.axis().of(&size));
            prediction.foretold = PredictedValue {
                size,
                predicted,
                measured: Some(value),
            };
        }
    }
}

/// Plays each size, foretells the unseen one, and plays that where it fits.
///
/// # Errors
/// Where a size does not fit, or can't be played.
pub fn slopes(
    program: &Path,
    options: &SlopeOptions,
    out: &mut dyn Write,
) -> Result<(), ScaleError> {
    let SlopeOptions {
        axis,
        sizes,
        foretell: unseen,
        run: base,
    } = options;
    let at: Vec<ScaleOptions> = sizes.iter().map(|value| axis.at(base, *value)).collect();
    at.iter().try_for_each(check_fits)?;
    let mut runs = Vec::new();
    for options in &at {
        runs.push(play_and_keep(program, options, out)?);
    }
    let mut predictions = foretell(&runs, *axis, *unseen);
    writeln!(
        out,
        "foretold for {} {unseen}, before it was played",
        axis.axis()
    )?;
    predictions
        .iter()
        .try_for_each(|prediction| writeln!(out, "  {prediction}"))?;
    let unseen = axis.at(base, *unseen);
    if let Err(error) = check_fits(&unseen) {
        return Ok(writeln!(out, "not played: {error}")?);
    }
    let played = play_and_keep(program, &unseen, out)?;
    compare(&mut predictions, &played, *axis);
    writeln!(out, "foretold and played")?;
    predictions
        .iter()
        .try_for_each(|prediction| writeln!(out, "  {prediction}"))?;
    Ok(())
}

fn check_fits(options: &ScaleOptions) -> Result<(), ScaleError> {
    let limits = layout::limits();
    Ok(fits(&options.layout(limits.descriptors).needs(), &limits)?)
}

fn play_and_keep(
    program: &Path,
    options: &ScaleOptions,
    out: &mut dyn Write,
) -> Result<Run, ScaleError> {
    let report = play(program, options, out)?;
    write!(out, "{}", report.table())?;
    options
        .json
        .as_deref()
        .map_or(Ok(()), |path| report.add_to(path))?;
    Ok(report.run())
}

#[cfg(test)]
mod tests;
