//! Sizes, measurements and runs that the tests share.
#![allow(dead_code, reason = "each test uses a part of it")]

use reedring_capacity::measurement::{Measurement, Phase, Quantity, Role, Run, RunFile, Size};
use reedring_capacity::target::TARGET;

/// The target size with another number of nodes.
pub fn nodes(nodes: u32) -> Size {
    Size { nodes, ..TARGET }
}

/// A run without measurements.
pub fn run(command: &str, mechanism: &str) -> Run {
    Run {
        command: command.to_owned(),
        seed: 7,
        mechanism: mechanism.to_owned(),
        revision: "5e09912".to_owned(),
        measurements: Vec::new(),
    }
}

/// A run file of one run.
pub fn one_run(measurements: Vec<Measurement>) -> RunFile {
    RunFile(vec![Run {
        measurements,
        ..run("scale --seed 7", "every node votes")
    }])
}

/// A measurement of a placer.
pub fn placer(size: Size, phase: Phase, quantity: Quantity, value: f64) -> Measurement {
    Measurement {
        size,
        role: Role::Placer,
        phase,
        quantity,
        value,
    }
}
