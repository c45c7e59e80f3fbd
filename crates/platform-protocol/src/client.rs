//! Messages between owners and placers: `length:2 type:1 task:8` and parameters `code:1 length:2 value`,
//! all big-endian. The length counts what follows it.

use std::collections::BTreeMap;

use winnow::Parser;
use winnow::binary::{be_u8, be_u16, length_take};
use winnow::combinator::repeat;
use winnow::error::ContextError;

use crate::{FULL, GIVEN_UP, MAX, Pending, hex};

const SETUP: u8 = 1;
const PROGRESS: u8 = 6;
const ANSWER: u8 = 9;
const RELEASE: u8 = 12;
const RELEASED: u8 = 16;
const NOTE: u8 = 44;
const MOVE: u8 = 51;
const TEST: u8 = 52;
const TESTED: u8 = 53;

const CLASS: u8 = 180;
const LEFT: u8 = 181;
const TENANT: u8 = 182;
const RETRY: u8 = 183;
const KEY: u8 = 184;
const EXTRAS: u8 = 185;
const STAY_AWAY: u8 = 186;
const IDEM: u8 = 193;
const CAUSE: u8 = 194;
const DESCRIPTION: u8 = 195;
/// Parameters that the platform has numbers for.
const KNOWN: std::ops::RangeInclusive<u8> = CLASS..=DESCRIPTION;

/// Type and task, the least that follows a length.
const LEAST: usize = 9;
/// Milliseconds that an owner may wait at most: what 32 bits of microseconds hold, as a task that stands
/// already is handed over with. More is no time but a mistake.
const MOST_LEFT_MS: u64 = u32::MAX as u64 / 1_000;

/// A set-up, as its owner worded it; whether its class and tenant exist is not looked at here.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementRequest {
    /// Its id.
    pub id: u64,
    /// The class's name.
    pub class: String,
    /// Milliseconds for which the owner waits.
    pub left_ms: u64,
    /// The tenant's name, where there are tenants.
    pub tenant: Option<String>,
    /// An owner's retry.
    pub retry: bool,
    /// The name of the task.
    pub key: u64,
    /// The key of keyed classes, the same for all tries.
    pub idem: Option<String>,
    /// Cores asked for.
    pub cores: f64,
    /// Memory asked for.
    pub memory: f64,
    /// The service.
    pub service: u64,
    /// The host that holds the task already.
    pub at: Option<String>,
    /// What goes on to a host unchanged.
    pub description: String,
}

/// A message of an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum FromClient {
    /// A task needs a place, or stands already.
    PlacementRequest(Box<PlacementRequest>),
    /// A set-up is given up, or a standing task ends.
    Release {
        /// The task.
        id: u64,
        /// Why.
        cause: u8,
    },
    /// Is the placer in service?
    Test(u64),
    /// The release of a task was heard.
    Released(u64),
    /// A message that means nothing to a placer.
    Free,
}

/// A message that could be told apart but not used; its sender is told so on this id.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("message on {id:016x}: {why}")]
pub struct InvalidMessage {
    /// The task it names.
    pub id: u64,
    /// What is wrong.
    pub why: String,
}

/// Bytes in which no message can be told apart any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a message of {0} bytes")]
pub struct Unreadable(pub usize);

/// Tells the messages of one connection apart.
#[derive(Debug, Default)]
pub struct Reader(Pending);

impl Reader {
    /// Takes bytes in, in the order in which they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.0.push(bytes);
    }

    /// Whether a message has begun and not ended.
    pub fn is_partial(&self) -> bool {
        !self.0.rest().is_empty()
    }

    /// The next whole message.
    ///
    /// # Errors
    /// [`Unreadable`] where the length can't be one; the connection is of no further use.
    pub fn next_message(
        &mut self,
    ) -> Result<Option<Result<FromClient, InvalidMessage>>, Unreadable> {
        let rest = self.0.rest();
        let Some(length) = rest.first_chunk::<2>() else {
            return Ok(None);
        };
        let length = usize::from(u16::from_be_bytes(*length));
        if !(LEAST..=MAX - 2).contains(&length) {
            return Err(Unreadable(length));
        }
        let Some(body) = rest.get(2..2 + length) else {
            return Ok(None);
        };
        let message = read(body);
        self.0.take(2 + length);
        Ok(Some(message))
    }
}

fn read(body: &[u8]) -> Result<FromClient, InvalidMessage> {
    let (kind, id) = (
        body[0],
        body[1..LEAST]
            .iter()
            .fold(0, |id, byte| id << 8 | u64::from(*byte)),
    );
    let unusable = |why: String| InvalidMessage { id, why };
    let parameters = parameters(&body[LEAST..]).map_err(unusable)?;
    if id == 0 && kind == SETUP {
        return Err(unusable("a set-up without an id".to_owned()));
    }
    match kind {
        SETUP => setup(id, &parameters)
            .map(|setup| FromClient::PlacementRequest(Box::new(setup)))
            .map_err(unusable),
        RELEASE => {
            let cause = match parameters.get(&CAUSE) {
                Some([cause]) => *cause,
                Some(_) => return Err(unusable("cause: not one byte".to_owned())),
                None => GIVEN_UP,
            };
            Ok(FromClient::Release { id, cause })
        }
        TEST => Ok(FromClient::Test(id)),
        RELEASED => Ok(FromClient::Released(id)),
        PROGRESS | NOTE | MOVE | TESTED => Ok(FromClient::Free),
        ANSWER => Err(unusable("an answer, and nobody asked".to_owned())),
        other => Err(unusable(format!("type {other} is no message"))),
    }
}

type Parameters<'a> = BTreeMap<u8, &'a [u8]>;

fn parameters(body: &[u8]) -> Result<Parameters<'_>, String> {
    let list: Result<Vec<(u8, &[u8])>, _> =
        repeat(0.., (be_u8::<&[u8], ContextError>, length_take(be_u16)))
            .parse(body)
            .map_err(|fault| fault.offset());
    let list = list.map_err(|at| format!("parameters do not fit the message, from byte {at}"))?;
    let mut all = Parameters::new();
    for (code, value) in list {
        if !KNOWN.contains(&code) {
            return Err(format!("parameter {code} does not exist"));
        }
        if all.insert(code, value).is_some() {
            return Err(format!("parameter {code} comes twice"));
        }
    }
    Ok(all)
}

fn setup(id: u64, parameters: &Parameters) -> Result<PlacementRequest, String> {
    let text = |code: u8| -> Result<Option<&str>, String> {
        let text = parameters
            .get(&code)
            .map(|value| std::str::from_utf8(value));
        text.transpose()
            .map_err(|_| format!("parameter {code}: not UTF-8"))
    };
    let due = |code: u8| text(code)?.ok_or_else(|| format!("parameter {code} is missing"));
    let left = due(LEFT)?;
    let left_ms = whole(left).filter(|left| (1..=MOST_LEFT_MS).contains(left));
    let left_ms =
        left_ms.ok_or_else(|| format!("parameter {LEFT}: {left:?} is no time to wait"))?;
    let retry = match text(RETRY)? {
        None => false,
        Some("1") => true,
        Some(other) => return Err(format!("parameter {RETRY}: {other:?} is no mark")),
    };
    let key = due(KEY)?;
    let key = hex(key).ok_or_else(|| format!("parameter {KEY}: {key:?} is not 16 hex digits"))?;
    let extras = Extras::read(due(EXTRAS)?)?;
    Ok(PlacementRequest {
        id,
        class: due(CLASS)?.to_owned(),
        left_ms,
        tenant: text(TENANT)?.map(str::to_owned),
        retry,
        key,
        idem: text(IDEM)?.map(str::to_owned),
        cores: extras.cores,
        memory: extras.memory,
        service: extras.service,
        at: extras.at.map(str::to_owned),
        description: due(DESCRIPTION)?.to_owned(),
    })
}

struct Extras<'a> {
    cores: f64,
    memory: f64,
    service: u64,
    at: Option<&'a str>,
}

impl<'a> Extras<'a> {
    fn read(text: &'a str) -> Result<Self, String> {
        let wrong = |what: &str| format!("parameter {EXTRAS}: {what}: {text:?}");
        let mut all: BTreeMap<&str, &str> = BTreeMap::new();
        for part in text.split(';') {
            let (name, value) = part
                .split_once(':')
                .ok_or_else(|| wrong("a figure without a name"))?;
            if all.insert(name, value).is_some() {
                return Err(wrong("a figure comes twice"));
            }
        }
        let figure = |name: &str| {
            let value = all.get(name).and_then(|value| figure(value));
            value.ok_or_else(|| wrong(&format!("{name} is no figure")))
        };
        let service = all.get("service").and_then(|service| hex(service));
        Ok(Self {
            cores: figure("cores")?,
            memory: figure("memory")?,
            service: service.ok_or_else(|| wrong("service is not 16 hex digits"))?,
            at: all.get("at").copied().filter(|at| !at.is_empty()),
        })
    }
}

/// A whole number in digits alone: no sign, no space.
fn whole(text: &str) -> Option<u64> {
    text.bytes()
        .all(|byte| byte.is_ascii_digit())
        .then(|| text.parse().ok())
        .flatten()
}

/// A finite figure of at least 0.
fn figure(text: &str) -> Option<f64> {
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b'e' | b'-'));
    let value: f64 = plain.then(|| text.parse().ok()).flatten()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// A message to an owner.
#[derive(Clone, Debug, PartialEq)]
pub enum ToClient {
    /// The task stands.
    Answer {
        /// The set-up.
        id: u64,
        /// As the host gave it.
        description: String,
    },
    /// Refused or failed before an answer, over after it.
    Release {
        /// The task.
        id: u64,
        /// Why.
        cause: u8,
        /// How long to stay away.
        stay_away_ms: Option<u64>,
    },
    /// The task was moved: it ends, and comes again.
    Moved(u64),
    /// The outcome of a test.
    Tested {
        /// As the test had it.
        id: u64,
        /// In service.
        passed: bool,
    },
}

impl ToClient {
    /// A refusal, which promises that asking again is harmless.
    pub fn refusal(id: u64, stay_away_ms: Option<u64>) -> Self {
        Self::Release {
            id,
            cause: FULL,
            stay_away_ms,
        }
    }

    /// A failure, which promises nothing; after an answer, the end of the task.
    pub fn failure(id: u64, cause: u8) -> Self {
        Self::Release {
            id,
            cause,
            stay_away_ms: None,
        }
    }

    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, id) = match self {
            Self::Answer { id, .. } => (ANSWER, id),
            Self::Release { id, .. } => (RELEASE, id),
            Self::Moved(id) => (MOVE, id),
            Self::Tested { id, .. } => (TESTED, id),
        };
        let mut body = vec![0, 0, kind];
        body.extend(id.to_be_bytes());
        let mut parameter = |code: u8, value: &[u8]| {
            body.push(code);
            body.extend((value.len() as u16).to_be_bytes());
            body.extend_from_slice(value);
        };
        match self {
            Self::Answer { description, .. } => parameter(DESCRIPTION, description.as_bytes()),
            Self::Release {
                cause,
                stay_away_ms,
                ..
            } => {
                if let Some(wait) = stay_away_ms {
                    parameter(STAY_AWAY, wait.to_string().as_bytes());
                }
                parameter(CAUSE, &[*cause]);
            }
            Self::Moved(_) => {}
            Self::Tested { passed, .. } => parameter(CAUSE, &[u8::from(*passed)]),
        }
        let length = (body.len() - 2) as u16;
        body[..2].copy_from_slice(&length.to_be_bytes());
        body
    }
}
