//! Messages between placers and hosts: one JSON object a line.

use std::collections::BTreeMap;

use reedring::{Note, Reason};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{MAX, Pending, hex};

/// A message of a host.
#[derive(Clone, Debug, PartialEq)]
pub enum FromHost {
    /// The task stands.
    Answer {
        /// The set-up.
        id: u64,
        /// To be passed on unchanged.
        description: String,
    },
    /// The attempt ended, before or after its answer.
    Release {
        /// The task.
        id: u64,
        /// How.
        cause: u8,
        /// Why, where told.
        reason: Option<Reason>,
        /// Figures that may be a load report, by name.
        figures: Figures,
    },
    /// News of a task that stands.
    Note {
        /// The task.
        id: u64,
        /// The news.
        note: Note,
    },
    /// A probe came back.
    Tested {
        /// As the probe had it.
        id: u64,
        /// It passed.
        passed: bool,
        /// Figures that may be a load report, by name.
        figures: Figures,
    },
    /// A message that means nothing to a placer.
    Free,
}

/// Numbers by name.
pub type Figures = BTreeMap<String, f64>;

/// A line that is no message.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unreadable {
    /// It does not end.
    #[error("a line of more than {MAX} bytes")]
    TooLong,
    /// It is not what the protocol has.
    #[error("no message: {0}")]
    NoMessage(String),
}

/// Tells the lines of one connection apart.
#[derive(Debug, Default)]
pub struct Reader {
    pending: Pending,
    searched: usize,
}

impl Reader {
    /// Takes bytes in, in the order in which they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.push(bytes);
    }

    /// The next whole message.
    ///
    /// # Errors
    /// [`Unreadable`]; the connection is of no further use.
    pub fn next_message(&mut self) -> Result<Option<FromHost>, Unreadable> {
        let rest = self.pending.rest();
        let end = rest[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end.map(|end| end + self.searched) else {
            self.searched = rest.len();
            return if rest.len() >= MAX {
                Err(Unreadable::TooLong)
            } else {
                Ok(None)
            };
        };
        if end >= MAX {
            return Err(Unreadable::TooLong);
        }
        let message = read(&rest[..end]);
        self.searched = 0;
        self.pending.take(end + 1);
        message.map(Some).map_err(Unreadable::NoMessage)
    }
}

#[derive(Deserialize)]
struct Line {
    r#type: String,
    id: String,
    #[serde(default)]
    fields: BTreeMap<String, Value>,
    cause: Option<u64>,
    sdp: Option<String>,
}

fn read(line: &[u8]) -> Result<FromHost, String> {
    let line: Line = serde_json::from_slice(line).map_err(|error| error.to_string())?;
    let id = hex(&line.id).ok_or_else(|| format!("id: {:?} is not 16 hex digits", line.id))?;
    let cause = || {
        let cause = line.cause.ok_or("cause: missing")?;
        u8::try_from(cause).map_err(|_| format!("cause: {cause} is none"))
    };
    let figures = || {
        line.fields
            .iter()
            .flat_map(|(name, value)| figures(name, value))
    };
    match line.r#type.as_str() {
        "answer" => {
            let description = line.sdp.ok_or("sdp: missing")?;
            Ok(FromHost::Answer { id, description })
        }
        "release" => {
            let reason = line
                .fields
                .get("note")
                .and_then(Value::as_str)
                .and_then(reason);
            Ok(FromHost::Release {
                id,
                cause: cause()?,
                reason,
                figures: figures().collect(),
            })
        }
        "note" => {
            let (name, value) = (
                line.fields.get("note").and_then(Value::as_str),
                line.fields.get("value"),
            );
            let value = value.and_then(number);
            let note = note(name.ok_or("note: missing")?, value)?;
            Ok(note.map_or(FromHost::Free, |note| FromHost::Note { id, note }))
        }
        "pong" => Ok(FromHost::Tested {
            id,
            passed: cause()? == 1,
            figures: figures().collect(),
        }),
        "progress" | "released" | "ping" | "move" => Ok(FromHost::Free),
        other => Err(format!("type: {other:?} is none")),
    }
}

/// The figures of a field: itself, or those that it lists in one text, as `x0:12.157;x1:1.399`.
fn figures(name: &str, value: &Value) -> Vec<(String, f64)> {
    if let Some(value) = number(value) {
        return vec![(name.to_owned(), value)];
    }
    let parts = value.as_str().into_iter().flat_map(|text| text.split(';'));
    let figure = |part: &str| {
        let (name, value) = part.split_once(':')?;
        let value = value
            .trim()
            .parse()
            .ok()
            .filter(|value: &f64| value.is_finite())?;
        Some((name.trim().to_owned(), value))
    };
    parts.filter_map(figure).collect()
}

/// Numbers are told as such or as text.
fn number(value: &Value) -> Option<f64> {
    let number = match value {
        Value::Number(number) => number.as_f64(),
        Value::String(text) => text.parse().ok(),
        _ => None,
    };
    number.filter(|number| number.is_finite())
}

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

fn note(name: &str, value: Option<f64>) -> Result<Option<Note>, String> {
    let due = || value.ok_or_else(|| format!("value of {name}: no number"));
    Ok(Some(match name {
        "running" => Note::Runs,
        "use_cpu" => Note::Cores(due()?),
        "use_ram" => Note::Memory(due()?),
        "health" => Note::Served(due()?),
        "ram_high" => Note::Pressure(due()?),
        _ => return Ok(None),
    }))
}

/// A message to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum ToHost {
    /// A task is offered.
    PlacementRequest {
        /// The owner's id.
        id: u64,
        /// The class's name.
        class: String,
        /// The name of the task.
        key: u64,
        /// The key of keyed classes.
        idem: Option<String>,
        /// Milliseconds for which the placer waits.
        left_ms: u64,
        /// As the owner gave it.
        description: String,
    },
    /// A set-up is given up, or a standing task cut.
    Release {
        /// The task.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// A probe.
    Test {
        /// Comes back with the outcome.
        id: u64,
        /// A load report is wanted.
        report: bool,
    },
}

#[derive(Serialize)]
struct Sent<'a> {
    r#type: &'a str,
    id: String,
    fields: BTreeMap<&'a str, String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sdp: Option<&'a str>,
}

impl ToHost {
    /// Its line.
    pub fn encode(&self) -> Vec<u8> {
        let mut fields = BTreeMap::new();
        let (r#type, id, cause, sdp) = match self {
            Self::PlacementRequest {
                id,
                class,
                key,
                idem,
                left_ms,
                description,
            } => {
                fields.insert("class", class.clone());
                fields.insert("key", format!("{key:016x}"));
                fields.insert("left", left_ms.to_string());
                if let Some(idem) = idem {
                    fields.insert("idem", idem.clone());
                }
                ("setup", id, None, Some(description.as_str()))
            }
            Self::Release { id, cause } => ("release", id, Some(*cause), None),
            Self::Test { id, report } => ("ping", id, Some(u8::from(*report)), None),
        };
        let sent = Sent {
            r#type,
            id: format!("{id:016x}"),
            fields,
            cause,
            sdp,
        };
        let mut line = serde_json::to_vec(&sent).unwrap_or_default();
        line.push(b'\n');
        line
    }
}
