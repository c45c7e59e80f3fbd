//! The run file: its form, and one clear error for each fault.

mod common;

use common::{nodes, one_run, placer};
use reedring_capacity::axis::Axis;
use reedring_capacity::measurement::{Measurement, Phase, Quantity, Role, Run, RunFile, Size};

const TWO_MEASUREMENTS: &str = r#"[{
  "command": "scale --nodes 650", "seed": 7, "mechanism": "every node votes", "revision": "5e09912",
  "measurements": [
    {"size": {"nodes": 650, "placers": 2, "changes-per-hour": 1.5, "running-tasks": 0, "teams": 3,
      "control-machines": 0}, "role": "list-source", "phase": "plan-change", "quantity": "seconds-to-force",
      "value": 0.25},
    {"size": {"nodes": 650, "placers": 2, "changes-per-hour": 1.5, "running-tasks": 0, "teams": 3,
      "control-machines": 0}, "role": "placer", "phase": "idle", "quantity": "resident-bytes", "value": 1e7}
  ]}]"#;

fn measurement() -> Measurement {
    placer(nodes(650), Phase::Idle, Quantity::ResidentBytes, 1e7)
}

fn fault_of(runs: &RunFile) -> String {
    runs.validate().expect_err("a fault").to_string()
}

fn fault_of_run(change: impl FnOnce(&mut Run)) -> String {
    let mut runs = one_run(vec![measurement()]);
    change(&mut runs.0[0]);
    fault_of(&runs)
}

fn fault_of_size(change: impl FnOnce(&mut Size)) -> String {
    fault_of_run(|run| change(&mut run.measurements[0].size))
}

#[test]
fn a_run_file_is_read_and_written_alike() {
    let runs = RunFile::from_json(TWO_MEASUREMENTS).unwrap();
    let size = Size {
        nodes: 650,
        placers: 2,
        changes_per_hour: 1.5,
        running_tasks: 0,
        teams: 3,
        control_machines: 0,
    };
    assert_eq!(runs.0[0].measurements[0].role, Role::ListSource);
    assert_eq!(runs.0[0].measurements[0].phase, Phase::ConfigurationChange);
    assert_eq!(
        runs.0[0].measurements[0].quantity,
        Quantity::SecondsUntilEffective
    );
    assert_eq!(runs.0[0].measurements[1].size, size);
    let written = runs.to_json().unwrap();
    assert!(written.ends_with("]\n"));
    assert_eq!(RunFile::from_json(&written).unwrap(), runs);
}

#[test]
fn an_empty_list_is_a_run_file() {
    assert_eq!(RunFile::from_json("[]\n").unwrap(), RunFile::default());
}

#[test]
fn names_are_those_of_the_json() {
    fn same<T: Copy + serde::Serialize>(all: &[T], name: impl Fn(T) -> &'static str) {
        for variant in all {
            assert_eq!(serde_json::to_value(variant).unwrap(), name(*variant));
        }
    }
    same(Role::ALL, Role::name);
    same(Phase::ALL, Phase::name);
    same(Quantity::ALL, Quantity::name);
    same(Axis::ALL, Axis::name);
    assert!(
        Role::ALL
            .iter()
            .all(|role| Role::from_name(role.name()) == Some(*role))
    );
    assert_eq!(Role::from_name("Placer"), None);
}

#[test]
fn wrong_json_is_told_with_its_place() {
    let faults = [
        ("{}", "invalid type: map"),
        ("[] []", "after the list of runs: trailing characters"),
        (
            &TWO_MEASUREMENTS.replace("1e7", "\"many\""),
            "[0].measurements[1].value: invalid type: string",
        ),
        (
            &TWO_MEASUREMENTS.replace("1e7", "NaN"),
            "[0].measurements[1]",
        ),
        (
            &TWO_MEASUREMENTS.replace("1e7", "1e999"),
            "[0].measurements[1].value: number out of range",
        ),
        (
            &TWO_MEASUREMENTS.replace("idle", "resting"),
            "[0].measurements[1].phase: unknown variant `resting`",
        ),
        (
            &TWO_MEASUREMENTS.replace("1e7", "1e7, \"unit\": 1"),
            "[0].measurements[1].unit: unknown field `unit`",
        ),
        (
            &TWO_MEASUREMENTS.replace("1e7", "-1"),
            "[0].measurements[1].value: -1 is not a finite number",
        ),
    ];
    for (text, expected) in faults {
        let error = RunFile::from_json(text).expect_err(expected).to_string();
        assert!(
            error.contains(expected),
            "{error:?} should say {expected:?}"
        );
    }
}

#[test]
fn values_must_be_finite_and_not_negative() {
    for value in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        let expected =
            format!("[0].measurements[0].value: {value} is not a finite number of at least 0");
        assert_eq!(
            fault_of_run(|run| run.measurements[0].value = value),
            expected
        );
        let expected = format!(
            "[0].measurements[0].size.changes-per-hour: {value} is not a finite number of at least 0"
        );
        assert_eq!(
            fault_of_size(|size| size.changes_per_hour = value),
            expected
        );
    }
}

#[test]
fn a_cluster_has_a_node_and_a_placer() {
    assert_eq!(
        fault_of_size(|size| size.nodes = 0),
        "[0].measurements[0].size.nodes: must be at least 1"
    );
    assert_eq!(
        fault_of_size(|size| size.placers = 0),
        "[0].measurements[0].size.placers: must be at least 1"
    );
}

#[test]
fn texts_are_one_line_that_says_something() {
    assert_eq!(
        fault_of_run(|run| run.command = " ".to_owned()),
        "[0].command: must not be empty"
    );
    assert_eq!(
        fault_of_run(|run| run.mechanism.clear()),
        "[0].mechanism: must not be empty"
    );
    let fault = fault_of_run(|run| run.revision = "a\nb".to_owned());
    assert_eq!(
        fault,
        "[0].revision: must be one line without control characters"
    );
}

#[test]
fn a_run_measures_each_thing_once() {
    let again = Measurement {
        value: 2.0,
        ..measurement()
    };
    let other_phase = Measurement {
        phase: Phase::Starts,
        ..measurement()
    };
    let runs = one_run(vec![measurement(), other_phase, again]);
    assert_eq!(
        fault_of(&runs),
        "[0].measurements[2]: placer idle resident-bytes at this size is already in measurements[0]"
    );
}

#[test]
fn another_run_or_another_size_may_measure_it_again() {
    let mut runs = one_run(vec![
        measurement(),
        Measurement {
            size: nodes(651),
            ..measurement()
        },
    ]);
    runs.0.push(runs.0[0].clone());
    assert_eq!(runs.validate(), Ok(()));
}

#[test]
fn a_faulty_run_is_not_written() {
    let runs = one_run(vec![measurement(), measurement()]);
    assert!(runs.to_json().is_err());
}
