//! A straight line by least squares through the values of one quantity along one [`Axis`].

mod prediction;

use crate::axis::Axis;
use crate::measurement::Size;

pub use prediction::{ACCEPTED_ERROR, PredictedValue, predict_largest};

/// A value of one quantity at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size of the cluster.
    pub size: Size,
    /// The value measured there.
    pub value: f64,
}

/// The straight line `intercept + slope × axis` with the least sum of squared differences from its points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// The value of the line at 0.
    pub intercept: f64,
    /// What one more on the axis adds.
    pub slope: f64,
    /// The root mean square of the differences between the points and the line.
    pub residual: f64,
    /// The residual over the mean absolute value of the points; 0 if all of them are 0.
    pub relative_residual: f64,
    /// The number of points.
    pub points: usize,
}

/// Why no line can be fitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum FitError {
    /// The points lie at fewer different values on the axis than the line needs.
    #[error("{found} different values of {axis}, where {needed} are needed")]
    TooFewSizes {
        /// The axis of the line.
        axis: Axis,
        /// How many different values the points have on it.
        found: usize,
        /// How many are needed.
        needed: usize,
    },
    /// A point differs from the first one on something other than the axis.
    #[error("point {point} differs from point 0 in {field}, where only {axis} may differ")]
    OtherAxesDiffer {
        /// The axis of the line.
        axis: Axis,
        /// The index of the point.
        point: usize,
        /// The field of the size that differs.
        field: &'static str,
    },
    /// A point's value is infinite or not a number, or the line overflows.
    #[error("the line through the points is not finite")]
    NotFinite,
}

impl Fit {
    /// Fits a line through points that differ on one axis only.
    pub fn along(axis: Axis, points: &[Point]) -> Result<Self, FitError> {
        require_sizes(axis, points, 2)?;
        require_others_equal(axis, points)?;
        let coordinates: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (axis.of(&point.size), point.value))
            .collect();
        let fit = least_squares(&coordinates);
        let results = [
            fit.intercept,
            fit.slope,
            fit.residual,
            fit.relative_residual,
        ];
        if results.iter().all(|result| result.is_finite()) {
            Ok(fit)
        } else {
            Err(FitError::NotFinite)
        }
    }

    /// The value of the line at a value of its axis.
    pub fn at(&self, axis_value: f64) -> f64 {
        self.intercept + self.slope * axis_value
    }
}

fn require_sizes(axis: Axis, points: &[Point], needed: usize) -> Result<(), FitError> {
    let found = different_values(axis, points).len();
    if found < needed {
        Err(FitError::TooFewSizes {
            axis,
            found,
            needed,
        })
    } else {
        Ok(())
    }
}

/// The different values of the points on the axis, smallest first.
fn different_values(axis: Axis, points: &[Point]) -> Vec<f64> {
    let mut values: Vec<f64> = points.iter().map(|point| axis.of(&point.size)).collect();
    values.sort_by(f64::total_cmp);
    values.dedup();
    values
}

fn require_others_equal(axis: Axis, points: &[Point]) -> Result<(), FitError> {
    for (index, point) in points.iter().enumerate() {
        if let Some(field) = axis.differing_field(&points[0].size, &point.size) {
            return Err(FitError::OtherAxesDiffer {
                axis,
                point: index,
                field,
            });
        }
    }
    Ok(())
}

/// The sums run over values centred on their means, so that a large offset costs no precision.
fn least_squares(coordinates: &[(f64, f64)]) -> Fit {
    let mean_x = mean(coordinates.iter().map(|(x, _)| *x));
    let mean_y = mean(coordinates.iter().map(|(_, y)| *y));
    let centred: Vec<(f64, f64)> = coordinates
        .iter()
        .map(|(x, y)| (x - mean_x, y - mean_y))
        .collect();
    let square: f64 = centred.iter().map(|(x, _)| x * x).sum();
    let product: f64 = centred.iter().map(|(x, y)| x * y).sum();
    let slope = product / square;
    let residual = mean(centred.iter().map(|(x, y)| (y - slope * x).powi(2))).sqrt();
    let magnitude = mean(coordinates.iter().map(|(_, y)| y.abs()));
    Fit {
        intercept: mean_y - slope * mean_x,
        slope,
        residual,
        relative_residual: if magnitude == 0.0 {
            0.0
        } else {
            residual / magnitude
        },
        points: coordinates.len(),
    }
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}
