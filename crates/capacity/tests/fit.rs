//! Lines through points: known answers, noise, what cannot be fitted, and invariance.

mod common;

use common::nodes;
use proptest::prelude::*;
use reedring_capacity::axis::Axis;
use reedring_capacity::fit::{
    ACCEPTED_ERROR, Fit, FitError, Point, PredictedValue, predict_largest,
};
use reedring_capacity::measurement::Size;
use reedring_capacity::target::TARGET;

type SizeChange = fn(&mut Size);

fn points(coordinates: &[(u32, f64)]) -> Vec<Point> {
    coordinates
        .iter()
        .map(|(count, value)| Point {
            size: nodes(*count),
            value: *value,
        })
        .collect()
}

fn along_nodes(coordinates: &[(u32, f64)]) -> Result<Fit, FitError> {
    Fit::along(Axis::Nodes, &points(coordinates))
}

fn assert_close(found: f64, expected: f64, tolerance: f64) {
    assert!(
        (found - expected).abs() <= tolerance,
        "{found} is not {expected} within {tolerance}"
    );
}

#[test]
fn a_straight_line_is_found_exactly() {
    let fit = along_nodes(&[(100, 1_200.0), (200, 1_400.0), (400, 1_800.0)]).unwrap();
    assert_close(fit.intercept, 1_000.0, 1e-9);
    assert_close(fit.slope, 2.0, 1e-12);
    assert_close(fit.residual, 0.0, 1e-9);
    assert_eq!(fit.points, 3);
    assert_close(fit.at(5_200.0), 11_400.0, 1e-8);
}

#[test]
fn four_points_off_their_line() {
    // Worked by hand: mean (2.5, 5.25), sums of squares 5 and products 11.5 give slope 2.3, intercept -0.5.
    let fit = along_nodes(&[(1, 2.0), (2, 4.0), (3, 6.0), (4, 9.0)]).unwrap();
    assert_close(fit.slope, 2.3, 1e-12);
    assert_close(fit.intercept, -0.5, 1e-12);
    // Differences 0.2, -0.1, -0.4, 0.3: mean of squares 0.075.
    assert_close(fit.residual, 0.075_f64.sqrt(), 1e-12);
    assert_close(fit.relative_residual, 0.075_f64.sqrt() / 5.25, 1e-12);
}

#[test]
fn each_axis_is_read_from_its_own_field() {
    let other = Size {
        nodes: TARGET.nodes + 1,
        placers: TARGET.placers + 2,
        changes_per_hour: TARGET.changes_per_hour + 3.0,
        running_tasks: TARGET.running_tasks + 4,
        teams: TARGET.teams + 5,
        control_machines: TARGET.control_machines,
    };
    let sizes = [
        (
            Axis::Nodes,
            Size {
                nodes: other.nodes,
                ..TARGET
            },
            1.0,
        ),
        (
            Axis::Placers,
            Size {
                placers: other.placers,
                ..TARGET
            },
            2.0,
        ),
        (
            Axis::ChangesPerHour,
            Size {
                changes_per_hour: other.changes_per_hour,
                ..TARGET
            },
            3.0,
        ),
        (
            Axis::RunningTasks,
            Size {
                running_tasks: other.running_tasks,
                ..TARGET
            },
            4.0,
        ),
        (
            Axis::Teams,
            Size {
                teams: other.teams,
                ..TARGET
            },
            5.0,
        ),
    ];
    assert_eq!(sizes.len(), Axis::ALL.len());
    for (axis, size, step) in sizes {
        let points = [
            Point {
                size: TARGET,
                value: 10.0,
            },
            Point { size, value: 70.0 },
        ];
        assert_close(Fit::along(axis, &points).unwrap().slope, 60.0 / step, 1e-9);
    }
}

#[test]
fn noise_moves_the_line_little() {
    // 200 points on 50 + 3 x, moved by a fixed sequence between -1 and 1.
    let coordinates: Vec<(u32, f64)> = (1..=200)
        .map(|x| {
            (
                x,
                50.0 + 3.0 * f64::from(x) + f64::from(x * 7_919 % 2_001) / 1_000.0 - 1.0,
            )
        })
        .collect();
    let fit = along_nodes(&coordinates).unwrap();
    assert_close(fit.slope, 3.0, 0.01);
    assert_close(fit.intercept, 50.0, 0.5);
    assert!((0.4..0.7).contains(&fit.residual), "{}", fit.residual);
}

#[test]
fn a_large_offset_costs_no_precision() {
    let offset = 1e12;
    let start = 4_000_000_000;
    let coordinates: Vec<(u32, f64)> = (0..5)
        .map(|step| (start + step, offset + 0.5 * f64::from(step)))
        .collect();
    let fit = along_nodes(&coordinates).unwrap();
    assert_close(fit.slope, 0.5, 1e-4);
    assert_close(fit.residual, 0.0, 1e-3);
}

#[test]
fn all_zero_has_no_residual() {
    let fit = along_nodes(&[(1, 0.0), (2, 0.0)]).unwrap();
    assert_eq!(
        (
            fit.intercept,
            fit.slope,
            fit.residual,
            fit.relative_residual
        ),
        (0.0, 0.0, 0.0, 0.0)
    );
}

#[test]
fn a_line_needs_two_different_sizes() {
    for (coordinates, found) in [
        (vec![], 0),
        (vec![(5, 1.0)], 1),
        (vec![(5, 1.0), (5, 2.0)], 1),
    ] {
        let error = along_nodes(&coordinates).unwrap_err();
        assert_eq!(
            error,
            FitError::TooFewSizes {
                axis: Axis::Nodes,
                found,
                needed: 2
            }
        );
    }
    let error = along_nodes(&[(5, 1.0)]).unwrap_err().to_string();
    assert_eq!(error, "1 different values of nodes, where 2 are needed");
}

#[test]
fn the_other_axes_must_be_equal() {
    let changes: [(&str, SizeChange); 5] = [
        ("placers", |size| size.placers += 1),
        ("changes-per-hour", |size| size.changes_per_hour += 1.0),
        ("running-tasks", |size| size.running_tasks += 1),
        ("teams", |size| size.teams += 1),
        ("control-machines", |size| size.control_machines += 1),
    ];
    for (field, change) in changes {
        let mut points = points(&[(1, 1.0), (2, 2.0), (3, 3.0)]);
        change(&mut points[2].size);
        let error = Fit::along(Axis::Nodes, &points).unwrap_err();
        assert_eq!(
            error,
            FitError::OtherAxesDiffer {
                axis: Axis::Nodes,
                point: 2,
                field
            }
        );
    }
}

#[test]
fn a_line_that_is_not_finite_is_an_error() {
    for value in [f64::NAN, f64::INFINITY, f64::MAX] {
        assert_eq!(
            along_nodes(&[(1, value), (2, -value)]),
            Err(FitError::NotFinite)
        );
    }
    let tiny = Size {
        changes_per_hour: f64::MIN_POSITIVE,
        ..TARGET
    };
    let none = Size {
        changes_per_hour: 0.0,
        ..TARGET
    };
    let points = [
        Point {
            size: none,
            value: 1.0,
        },
        Point {
            size: tiny,
            value: 2.0,
        },
    ];
    assert_eq!(
        Fit::along(Axis::ChangesPerHour, &points),
        Err(FitError::NotFinite)
    );
}

#[test]
fn a_prediction_is_accurate_up_to_the_accepted_error() {
    let cases = [
        (100.0, Some(100.0), Some(0.0), Some(true)),
        (115.0, Some(100.0), Some(ACCEPTED_ERROR), Some(true)),
        (85.0, Some(100.0), Some(ACCEPTED_ERROR), Some(true)),
        (116.0, Some(100.0), Some(0.16), Some(false)),
        (84.0, Some(100.0), Some(0.16), Some(false)),
        (0.0, Some(0.0), Some(0.0), Some(true)),
        (1.0, Some(0.0), Some(f64::INFINITY), Some(false)),
        (f64::NAN, Some(1.0), None, Some(false)),
        (100.0, None, None, None),
    ];
    for (predicted, measured, error, is_accurate) in cases {
        let prediction = PredictedValue {
            size: TARGET,
            predicted,
            measured,
        };
        assert_eq!(prediction.is_accurate(), is_accurate, "{prediction:?}");
        if let Some(error) = error {
            assert_eq!(prediction.relative_error(), Some(error), "{prediction:?}");
        }
    }
}

#[test]
fn the_largest_size_is_predicted_from_the_others() {
    let mut points = points(&[(400, 30.0), (100, 10.0), (200, 20.0), (400, 50.0)]);
    let prediction = predict_largest(Axis::Nodes, &points).unwrap();
    assert_eq!(prediction.size, nodes(400));
    assert_close(prediction.predicted, 40.0, 1e-9);
    assert_eq!(prediction.measured, Some(40.0));
    assert_eq!(prediction.is_accurate(), Some(true));
    let error = predict_largest(Axis::Nodes, &points[..2]).unwrap_err();
    assert_eq!(
        error,
        FitError::TooFewSizes {
            axis: Axis::Nodes,
            found: 2,
            needed: 3
        }
    );
    points[3].size.teams += 1;
    let error = predict_largest(Axis::Nodes, &points).unwrap_err();
    assert_eq!(
        error,
        FitError::OtherAxesDiffer {
            axis: Axis::Nodes,
            point: 3,
            field: "teams"
        }
    );
}

fn rate_point(changes_per_hour: f64, value: f64) -> Point {
    Point {
        size: Size {
            changes_per_hour,
            ..TARGET
        },
        value,
    }
}

fn along_rate(coordinates: &[(f64, f64)]) -> Fit {
    let points: Vec<Point> = coordinates
        .iter()
        .map(|(x, y)| rate_point(*x, *y))
        .collect();
    Fit::along(Axis::ChangesPerHour, &points).unwrap()
}

proptest! {
    /// Stretching and moving the points stretches and moves the line, and leaves its residual alone but for
    /// the stretch.
    #[test]
    fn a_line_follows_affine_changes(
        ys in prop::collection::vec(0.0..1e3_f64, 2..20),
        x_scale in 0.1..10.0_f64, x_shift in -100.0..100.0_f64,
        y_scale in -10.0..10.0_f64, y_shift in -1e4..1e4_f64,
    ) {
        let plain: Vec<(f64, f64)> = ys.iter().enumerate().map(|(x, y)| (x as f64, *y)).collect();
        let changed: Vec<(f64, f64)> =
            plain.iter().map(|(x, y)| (x_scale * x + x_shift, y_scale * y + y_shift)).collect();
        let (fit, changed) = (along_rate(&plain), along_rate(&changed));
        for x in [-3.0, 0.0, 0.5, 30.0] {
            let expected = y_scale * fit.at(x) + y_shift;
            prop_assert!((changed.at(x_scale * x + x_shift) - expected).abs() < 1e-6);
        }
        prop_assert!((changed.residual - y_scale.abs() * fit.residual).abs() < 1e-6);
    }

    /// No other line is nearer to the points.
    #[test]
    fn no_other_line_is_nearer(
        ys in prop::collection::vec(0.0..1e3_f64, 2..20), intercept_step in -10.0..10.0_f64, slope_step in -1.0..1.0_f64,
    ) {
        let points: Vec<(f64, f64)> = ys.iter().enumerate().map(|(x, y)| (x as f64, *y)).collect();
        let fit = along_rate(&points);
        let squares: f64 = points
            .iter()
            .map(|(x, y)| (y - (fit.intercept + intercept_step) - (fit.slope + slope_step) * x).powi(2))
            .sum();
        let other_residual = (squares / points.len() as f64).sqrt();
        prop_assert!(fit.residual <= other_residual + 1e-9);
    }
}
