//! How measurements are sorted into groups and series.

mod common;

use common::{nodes, one_run, placer, run};
use reedring_capacity::axis::Axis;
use reedring_capacity::measurement::{Measurement, Phase, Quantity, Run, RunFile, Size};
use reedring_capacity::series::{groups, run_numbers};

fn memory(size: Size, value: f64) -> Measurement {
    placer(size, Phase::Idle, Quantity::ResidentBytes, value)
}

/// The axis and the values of each series of the only group.
fn series_of(runs: &RunFile) -> Vec<(Axis, Vec<f64>)> {
    let groups = groups(runs);
    assert_eq!(groups.len(), 1);
    let series = groups[0].series();
    series
        .iter()
        .map(|series| {
            (
                series.axis,
                series.points().iter().map(|point| point.value).collect(),
            )
        })
        .collect()
}

#[test]
fn sizes_around_one_size_give_a_series_per_axis() {
    let base = nodes(100);
    let more_teams = Size {
        teams: 1_000,
        ..base
    };
    let runs = one_run(vec![
        memory(base, 1.0),
        memory(nodes(200), 2.0),
        memory(more_teams, 3.0),
    ]);
    assert_eq!(
        series_of(&runs),
        [(Axis::Nodes, vec![1.0, 2.0]), (Axis::Teams, vec![1.0, 3.0])]
    );
}

#[test]
fn two_sweeps_of_one_axis_are_two_series() {
    let small = |count| Size {
        placers: 2,
        ..nodes(count)
    };
    let runs = one_run(vec![
        memory(nodes(100), 1.0),
        memory(small(100), 2.0),
        memory(nodes(200), 3.0),
        memory(small(200), 4.0),
    ]);
    let expected = [
        (Axis::Nodes, vec![1.0, 3.0]),
        (Axis::Nodes, vec![2.0, 4.0]),
        (Axis::Placers, vec![1.0, 2.0]),
        (Axis::Placers, vec![3.0, 4.0]),
    ];
    assert_eq!(series_of(&runs), expected);
}

#[test]
fn sizes_that_differ_on_two_axes_give_no_series() {
    let runs = one_run(vec![
        memory(nodes(100), 1.0),
        memory(
            Size {
                placers: 2,
                ..nodes(200)
            },
            2.0,
        ),
    ]);
    assert_eq!(series_of(&runs), []);
    assert_eq!(groups(&runs)[0].size_count(), 2);
}

#[test]
fn another_number_of_control_machines_is_no_axis() {
    let runs = one_run(vec![
        memory(nodes(100), 1.0),
        memory(
            Size {
                control_machines: 5,
                ..nodes(200)
            },
            2.0,
        ),
    ]);
    assert_eq!(series_of(&runs), []);
}

#[test]
fn one_size_measured_twice_gives_no_series() {
    let mut runs = one_run(vec![memory(nodes(100), 1.0)]);
    runs.0.push(runs.0[0].clone());
    assert_eq!(series_of(&runs), []);
    assert_eq!(groups(&runs)[0].size_count(), 1);
}

#[test]
fn runs_of_one_mechanism_share_a_series_and_others_do_not() {
    let with = |command: &str, mechanism: &str, measurement| Run {
        measurements: vec![measurement],
        ..run(command, mechanism)
    };
    let mut runs = RunFile(vec![
        with("scale 100", "every node votes", memory(nodes(100), 1.0)),
        with("scale 200", "every node votes", memory(nodes(200), 2.0)),
        with("scale 200", " every node votes", memory(nodes(200), 4.0)),
    ]);
    assert_eq!(series_of(&runs), [(Axis::Nodes, vec![1.0, 2.0, 4.0])]);
    let numbers = run_numbers(&groups(&runs)[0].samples);
    let numbers: Vec<String> = numbers.iter().map(ToString::to_string).collect();
    assert_eq!(numbers, ["R1", "R2", "R3"]);
    runs.0.push(with(
        "scale 400",
        "5 control machines",
        memory(nodes(400), 8.0),
    ));
    assert_eq!(groups(&runs).len(), 2);
}
