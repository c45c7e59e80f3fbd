//! What a line predicts, held against what a run then measured.

use super::{Fit, FitError, Point, different_values, require_sizes};
use crate::axis::Axis;
use crate::measurement::Size;

/// The largest relative error of a prediction that is still good enough.
pub const AIM: f64 = 0.15;

/// A value predicted for a size, and the value a run measured there, if one did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Foretold {
    /// The size the prediction is for.
    pub size: Size,
    /// The value predicted.
    pub foretold: f64,
    /// The value measured at that size.
    pub played: Option<f64>,
}

impl Foretold {
    /// The difference between prediction and measurement over the measurement. A prediction other than 0 for
    /// a measured 0 is infinitely wrong.
    pub fn relative_error(&self) -> Option<f64> {
        let played = self.played?;
        let difference = (self.foretold - played).abs();
        Some(if difference == 0.0 {
            0.0
        } else {
            difference / played.abs()
        })
    }

    /// Whether the relative error is at most [`AIM`]; `None` if nothing was measured at that size.
    pub fn within_aim(&self) -> Option<bool> {
        self.relative_error().map(|error| error <= AIM)
    }
}

/// Fits a line through all sizes but the largest, and holds its prediction for the largest against the mean of
/// the values measured there. Needs three different sizes.
pub fn foretell_largest(axis: Axis, points: &[Point]) -> Result<Foretold, FitError> {
    require_sizes(axis, points, 3)?;
    super::require_others_equal(axis, points)?;
    let values = different_values(axis, points);
    let largest = values[values.len() - 1];
    let (at_largest, smaller): (Vec<Point>, Vec<Point>) = points
        .iter()
        .partition(|point| axis.of(&point.size) == largest);
    let fit = Fit::along(axis, &smaller)?;
    let played = super::mean(at_largest.iter().map(|point| point.value));
    Ok(Foretold {
        size: at_largest[0].size,
        foretold: fit.at(largest),
        played: Some(played),
    })
}
