//! Reading and writing a run file, and the checks made on both ways.

use super::{Measurement, Phase, Quantity, Role, Run, RunFile, Size};
use std::fmt;

/// Why a run file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RunFileError {
    /// The text is not JSON, or not a run file.
    #[error("{0}")]
    Json(#[from] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the list of runs.
    #[error("after the list of runs: {0}")]
    TextAfterRuns(serde_json::Error),
    /// The runs hold a value that no run can have measured.
    #[error("{0}")]
    Invalid(#[from] ValidationError),
}

/// A fault in the runs, with its place as a path such as `[0].measurements[3].value`.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{place}: {fault}")]
pub struct ValidationError {
    /// The path to the faulty value.
    pub place: String,
    /// What is wrong there.
    pub fault: Fault,
}

/// What is wrong with a value in a run file.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A number is negative, infinite or not a number.
    NotAMeasure(f64),
    /// A count that must be at least one is zero.
    Zero,
    /// A text that must say something is empty.
    Empty,
    /// A text that must fit on one line has a line break or another control character.
    NotOneLine,
    /// The run already has a value for this size, role, phase and quantity.
    Duplicate {
        /// The index of the first of the two in the run.
        first: usize,
        /// The role measured twice.
        role: Role,
        /// The phase measured twice.
        phase: Phase,
        /// The quantity measured twice.
        quantity: Quantity,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAMeasure(value) => {
                write!(formatter, "{value} is not a finite number of at least 0")
            }
            Self::Zero => write!(formatter, "must be at least 1"),
            Self::Empty => write!(formatter, "must not be empty"),
            Self::NotOneLine => write!(formatter, "must be one line without control characters"),
            Self::Duplicate {
                first,
                role,
                phase,
                quantity,
            } => {
                write!(
                    formatter,
                    "{role} {phase} {quantity} at this size is already in measurements[{first}]"
                )
            }
        }
    }
}

impl RunFile {
    /// Reads and checks a run file.
    pub fn from_json(text: &str) -> Result<Self, RunFileError> {
        let mut deserializer = serde_json::Deserializer::from_str(text);
        let runs: Self = serde_path_to_error::deserialize(&mut deserializer)?;
        deserializer.end().map_err(RunFileError::TextAfterRuns)?;
        runs.validate()?;
        Ok(runs)
    }

    /// Checks the runs and writes them as indented JSON with a final newline.
    pub fn to_json(&self) -> Result<String, ValidationError> {
        self.validate()?;
        let mut text =
            serde_json::to_string_pretty(self).expect("run files have no maps with odd keys");
        text.push('\n');
        Ok(text)
    }

    /// Checks every run; the error names the first faulty place.
    pub fn validate(&self) -> Result<(), ValidationError> {
        self.0
            .iter()
            .enumerate()
            .try_for_each(|(index, run)| validate_run(run, &format!("[{index}]")))
    }
}

fn validate_run(run: &Run, place: &str) -> Result<(), ValidationError> {
    let texts = [
        ("command", &run.command),
        ("mechanism", &run.mechanism),
        ("revision", &run.revision),
    ];
    for (field, text) in texts {
        validate_text(text, &format!("{place}.{field}"))?;
    }
    for (index, measurement) in run.measurements.iter().enumerate() {
        let place = format!("{place}.measurements[{index}]");
        validate_size(&measurement.size, &format!("{place}.size"))?;
        validate_number(measurement.value, &format!("{place}.value"))?;
        validate_first(measurement, &run.measurements[..index], &place)?;
    }
    Ok(())
}

fn validate_text(text: &str, place: &str) -> Result<(), ValidationError> {
    let fault = if text.trim().is_empty() {
        Fault::Empty
    } else if text.chars().any(char::is_control) {
        Fault::NotOneLine
    } else {
        return Ok(());
    };
    Err(ValidationError {
        place: place.to_owned(),
        fault,
    })
}

fn validate_size(size: &Size, place: &str) -> Result<(), ValidationError> {
    for (field, count) in [("nodes", size.nodes), ("placers", size.placers)] {
        if count == 0 {
            return Err(ValidationError {
                place: format!("{place}.{field}"),
                fault: Fault::Zero,
            });
        }
    }
    validate_number(size.changes_per_hour, &format!("{place}.changes-per-hour"))
}

fn validate_number(value: f64, place: &str) -> Result<(), ValidationError> {
    if value.is_finite() && value >= 0.0 {
        return Ok(());
    }
    Err(ValidationError {
        place: place.to_owned(),
        fault: Fault::NotAMeasure(value),
    })
}

fn validate_first(
    measurement: &Measurement,
    earlier: &[Measurement],
    place: &str,
) -> Result<(), ValidationError> {
    let Some(first) = earlier
        .iter()
        .position(|other| measures_the_same(measurement, other))
    else {
        return Ok(());
    };
    let fault = Fault::Duplicate {
        first,
        role: measurement.role,
        phase: measurement.phase,
        quantity: measurement.quantity,
    };
    Err(ValidationError {
        place: place.to_owned(),
        fault,
    })
}

fn measures_the_same(one: &Measurement, other: &Measurement) -> bool {
    one.size == other.size
        && one.role == other.role
        && one.phase == other.phase
        && one.quantity == other.quantity
}
