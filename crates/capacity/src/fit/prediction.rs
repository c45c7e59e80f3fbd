//! What a line predicts, compared with what a run then measured.

use super::{Fit, FitError, Point, different_values, require_sizes};
use crate::axis::Axis;
use crate::measurement::Size;

/// The largest relative error of a prediction that is still good enough.
pub const ACCEPTED_ERROR: f64 = 0.15;

/// A value predicted for a size, and the value a run measured there, if one did.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PredictedValue {
    /// The size the prediction is for.
    pub size: Size,
    /// The value predicted.
    pub predicted: f64,
    /// The value measured at that size.
    pub measured: Option<f64>,
}

impl PredictedValue {
    /// The difference between prediction and measurement over the measurement. A prediction other than 0 for
    /// a measured 0 is infinitely wrong.
    pub fn relative_error(&self) -> Option<f64> {
        let measured = self.measured?;
        let difference = (self.predicted - measured).abs();
        Some(if difference == 0.0 {
            0.0
        } else {
            difference / measured.abs()
        })
    }

    /// Whether the relative error is at most [`ACCEPTED_ERROR`]; `None` if nothing was measured at that size.
    pub fn is_accurate(&self) -> Option<bool> {
        self.relative_error().map(|error| error <= ACCEPTED_ERROR)
    }
}

/// Fits a line through all sizes but the largest, and compares its prediction for the largest with the mean of
/// the values measured there. Needs three different sizes.
pub fn predict_largest(axis: Axis, points: &[Point]) -> Result<PredictedValue, FitError> {
    require_sizes(axis, points, 3)?;
    super::require_others_equal(axis, points)?;
    let values = different_values(axis, points);
    let largest = values[values.len() - 1];
    let (at_largest, smaller): (Vec<Point>, Vec<Point>) = points
        .iter()
        .partition(|point| axis.of(&point.size) == largest);
    let fit = Fit::along(axis, &smaller)?;
    let measured = super::mean(at_largest.iter().map(|point| point.value));
    Ok(PredictedValue {
        size: at_largest[0].size,
        predicted: fit.at(largest),
        measured: Some(measured),
    })
}
