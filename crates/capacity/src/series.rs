//! The measurements of a run file, sorted into series that differ on one axis only.

use crate::axis::Axis;
use crate::fit::Point;
use crate::measurement::{Phase, Quantity, Role, RunFile, RunNumber, Size};
use std::collections::BTreeMap;

/// What the points of a series have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SeriesKey {
    /// The role measured.
    pub role: Role,
    /// What the cluster did meanwhile.
    pub phase: Phase,
    /// What was measured.
    pub quantity: Quantity,
    /// How the cluster agreed. Runs of different revisions and commands share a series if this is the same.
    pub mechanism: String,
}

/// All that was measured for one key, over all runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Group {
    /// What the samples have in common.
    pub key: SeriesKey,
    /// The samples, in the order of the runs.
    pub samples: Vec<Sample>,
}

/// One measured value, and the run that measured it.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// The size and the value.
    pub point: Point,
    /// The run.
    pub run: RunNumber,
}

/// Samples of one group that differ on one axis only and have at least two different values there.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// The axis.
    pub axis: Axis,
    /// The samples, in the order of the runs.
    pub samples: Vec<Sample>,
}

/// The groups of a run file, sorted by key.
pub fn groups(runs: &RunFile) -> Vec<Group> {
    let mut samples_by_key: BTreeMap<SeriesKey, Vec<Sample>> = BTreeMap::new();
    for (number, run) in runs.numbered() {
        for measurement in &run.measurements {
            let key = SeriesKey {
                role: measurement.role,
                phase: measurement.phase,
                quantity: measurement.quantity,
                mechanism: run.mechanism.trim().to_owned(),
            };
            let point = Point {
                size: measurement.size,
                value: measurement.value,
            };
            samples_by_key
                .entry(key)
                .or_default()
                .push(Sample { point, run: number });
        }
    }
    samples_by_key
        .into_iter()
        .map(|(key, samples)| Group { key, samples })
        .collect()
}

impl Group {
    /// The series along each axis. A sample is in one series per axis at most, and may be in several series.
    pub fn series(&self) -> Vec<Series> {
        Axis::ALL
            .iter()
            .flat_map(|axis| self.series_along(*axis))
            .collect()
    }

    /// How many different sizes were measured.
    pub fn size_count(&self) -> usize {
        let mut sizes: Vec<Size> = Vec::new();
        for sample in &self.samples {
            if !sizes.contains(&sample.point.size) {
                sizes.push(sample.point.size);
            }
        }
        sizes.len()
    }

    fn series_along(&self, axis: Axis) -> Vec<Series> {
        let mut all: Vec<Series> = Vec::new();
        for sample in &self.samples {
            let sample = sample.clone();
            match all.iter_mut().find(|series| series.others_equal(&sample)) {
                Some(series) => series.samples.push(sample),
                None => all.push(Series {
                    axis,
                    samples: vec![sample],
                }),
            }
        }
        all.retain(Series::has_two_sizes);
        all
    }
}

impl Series {
    /// The points of the series.
    pub fn points(&self) -> Vec<Point> {
        self.samples.iter().map(|sample| sample.point).collect()
    }

    /// A size of the series; all of them agree on everything but the axis.
    pub fn fixed_size(&self) -> &Size {
        &self.samples[0].point.size
    }

    fn others_equal(&self, sample: &Sample) -> bool {
        self.axis
            .differing_field(self.fixed_size(), &sample.point.size)
            .is_none()
    }

    fn has_two_sizes(&self) -> bool {
        let first = self.axis.of(self.fixed_size());
        self.samples
            .iter()
            .any(|sample| self.axis.of(&sample.point.size) != first)
    }
}

/// The different runs of the samples, in the order of their first use.
pub fn run_numbers(samples: &[Sample]) -> Vec<RunNumber> {
    let mut numbers: Vec<RunNumber> = Vec::new();
    for sample in samples {
        if !numbers.contains(&sample.run) {
            numbers.push(sample.run);
        }
    }
    numbers
}
