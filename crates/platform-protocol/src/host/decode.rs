//! Decodes lines from hosts.

use std::collections::BTreeMap;

use reedring::{Note, Reason};
use serde::Deserialize;
use serde_json::Value;

use super::{Figures, FromHost, LineError, MAX_FIGURES};
use crate::hex;

/// The cause in the result of a health check that passed; any other cause means that it failed.
const PASSED: u8 = 1;

#[derive(Deserialize)]
struct Line {
    r#type: String,
    id: String,
    #[serde(default)]
    fields: BTreeMap<String, Value>,
    cause: Option<u64>,
    sdp: Option<String>,
}

impl Line {
    fn id(&self) -> Result<u64, LineError> {
        hex(&self.id).ok_or_else(|| LineError::InvalidId(self.id.clone()))
    }

    fn cause(&self) -> Result<u8, LineError> {
        let cause = self.cause.ok_or(LineError::Missing("cause"))?;
        u8::try_from(cause).map_err(|_| LineError::InvalidCause(cause))
    }

    fn note(&self) -> Option<&str> {
        self.fields.get("note").and_then(Value::as_str)
    }

    /// The numbers in all fields, by name: a field is itself a number, or a text that lists named numbers, for example
    /// `x0:12.157;x1:1.399`.
    fn figures(&self) -> Result<Figures, LineError> {
        let mut figures = Figures::new();
        for (name, value) in &self.fields {
            match number(value) {
                Some(value) => drop(figures.insert(name.clone(), value)),
                None => figures.extend(listed_numbers(value).take(MAX_FIGURES + 1)),
            }
            if figures.len() > MAX_FIGURES {
                return Err(LineError::TooManyFigures);
            }
        }
        Ok(figures)
    }
}

/// Decodes a line without its line feed.
pub(super) fn message(line: &[u8]) -> Result<FromHost, LineError> {
    let line: Line =
        serde_json::from_slice(line).map_err(|error| LineError::Json(error.to_string()))?;
    let id = line.id()?;
    match line.r#type.as_str() {
        "answer" => Ok(FromHost::Answer {
            id,
            description: line.sdp.ok_or(LineError::Missing("sdp"))?,
        }),
        "release" => Ok(FromHost::Release {
            id,
            cause: line.cause()?,
            reason: line.note().and_then(reason),
            figures: line.figures()?,
        }),
        "note" => {
            let name = line.note().ok_or(LineError::Missing("fields.note"))?;
            let signal = task_signal(name, line.fields.get("value").and_then(number))?;
            Ok(signal.map_or(FromHost::Ignored, |note| FromHost::TaskSignal { id, note }))
        }
        "pong" => Ok(FromHost::HealthCheckResult {
            id,
            passed: line.cause()? == PASSED,
            figures: line.figures()?,
        }),
        "released" => Ok(FromHost::ReleaseConfirmed(id)),
        "progress" | "ping" | "move" => Ok(FromHost::Ignored),
        other => Err(LineError::UnknownType(other.to_owned())),
    }
}

/// The named numbers that a text lists as `name:number` parts. Other parts, and values that are no text, are skipped.
fn listed_numbers(value: &Value) -> impl Iterator<Item = (String, f64)> {
    let parts = value.as_str().into_iter().flat_map(|text| text.split(';'));
    parts.filter_map(|part| {
        let (name, value) = part.split_once(':')?;
        let value: f64 = value.trim().parse().ok()?;
        value.is_finite().then(|| (name.trim().to_owned(), value))
    })
}

/// A finite number, which hosts send as a JSON number or as text; `None` for any other value.
fn number(value: &Value) -> Option<f64> {
    let number = match value {
        Value::Number(number) => number.as_f64(),
        Value::String(text) => text.parse().ok(),
        _ => None,
    };
    number.filter(|number| number.is_finite())
}

/// The reason that a host's note gives for a release; `None` for an unknown note.
fn reason(name: &str) -> Option<Reason> {
    Some(match name {
        "lack_cpu" => Reason::NoCores,
        "lack_ram" => Reason::NoMemory,
        "backlog" => Reason::Crowded,
        "unfit" => Reason::NotHere,
        "killed" => Reason::Evicted,
        "displaced" => Reason::PushedOut,
        "dismissed" => Reason::SentAway,
        _ => return None,
    })
}

/// The signal in a note about a running task; `None` for a note that a placer does not act on.
fn task_signal(name: &str, value: Option<f64>) -> Result<Option<Note>, LineError> {
    let required = |name: &'static str| value.ok_or(LineError::MissingValue(name));
    Ok(Some(match name {
        "running" => Note::Runs,
        "use_cpu" => Note::Cores(required("use_cpu")?),
        "use_ram" => Note::Memory(required("use_ram")?),
        "health" => Note::Served(required("health")?),
        "ram_high" => Note::Pressure(required("ram_high")?),
        _ => return Ok(None),
    }))
}
