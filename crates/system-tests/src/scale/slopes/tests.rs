use super::*;
use reedring_capacity::measurement::{Measurement, Phase, Quantity, Role};

fn run(nodes: u32, changes_per_hour: f64, value: f64) -> Run {
    let size = Size {
        nodes,
        placers: 8,
        changes_per_hour,
        running_tasks: 10,
        teams: 5,
        control_machines: 0,
    };
    let (role, phase, quantity) = (
        Role::Placer,
        Phase::ConfigurationChange,
        Quantity::BytesPerEvent,
    );
    Run {
        command: "play".to_owned(),
        seed: 1,
        mechanism: "every node votes".to_owned(),
        revision: "r".to_owned(),
        measurements: vec![Measurement {
            size,
            role,
            phase,
            quantity,
            value,
        }],
    }
}

#[test]
fn an_unseen_size_is_foretold_from_the_others_and_compared_with_its_run() {
    let mut predictions = foretell(
        &[run(100, 0.0, 1_000.0), run(200, 0.0, 1_500.0)],
        AxisName::Nodes,
        400,
    );
    let [prediction] = &predictions[..] else {
        panic!("{predictions:?}")
    };
    assert_eq!(
        (prediction.fit.slope, prediction.foretold.predicted),
        (5.0, 2_500.0)
    );
    assert_eq!(prediction.foretold.relative_error(), None);
    compare(&mut predictions, &run(400, 0.0, 2_000.0), AxisName::Nodes);
    assert_eq!(predictions[0].foretold.relative_error(), Some(0.25));
    assert!(
        predictions[0]
            .to_string()
            .ends_with("foretold 2.5000e3, played 2.0000e3, error 25.0%")
    );
}

#[test]
fn fast_changes_are_fitted_by_their_rate_alone() {
    let slow = [run(100, 0.0, 1.0), run(200, 0.0, 2.0)];
    let fast = [run(100, 1_000.0, 5.0), run(100, 3_000.0, 9.0)];
    let all: Vec<Run> = slow.iter().chain(&fast).cloned().collect();
    assert_eq!(
        foretell(&all, AxisName::Nodes, 400)[0].foretold.predicted,
        4.0
    );
    let mut by_rate = foretell(&all, AxisName::ChangesPerHour, 10_000);
    assert_eq!(by_rate[0].foretold.predicted, 23.0);
    compare(
        &mut by_rate,
        &run(100, 6_000.0, 15.0),
        AxisName::ChangesPerHour,
    );
    assert_eq!(
        by_rate[0].foretold.relative_error(),
        Some(0.0),
        "the line is asked at the rate that was reached"
    );
}

#[test]
fn one_size_foretells_nothing() {
    assert_eq!(foretell(&[run(100, 0.0, 1.0)], AxisName::Nodes, 400), []);
}
