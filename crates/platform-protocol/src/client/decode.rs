//! Decodes clients' messages.

use std::collections::BTreeMap;

use winnow::Parser;
use winnow::binary::{be_u8, be_u16, length_take};
use winnow::combinator::repeat;
use winnow::error::ContextError;

use super::{
    ExtrasError, FromClient, HEADER_BYTES, InvalidMessage, MessageError, PlacementRequest, code,
    kind,
};
use crate::{GIVEN_UP, hex};

/// The longest time in milliseconds that a client may give a request: 32 bits of microseconds, which is what the request
/// for a task that runs already carries. A longer time is rejected.
pub(super) const MAX_LEFT_MS: u64 = u32::MAX as u64 / 1_000;
/// The value of the parameter [`code::RETRY`], which only retries have.
const RETRY_MARK: &str = "1";

/// Decodes the body of a message: everything after its length field, at least [`HEADER_BYTES`].
pub(super) fn message(body: &[u8]) -> Result<FromClient, InvalidMessage> {
    let (header, parameters) = body.split_at(HEADER_BYTES);
    let id = header[1..]
        .iter()
        .fold(0, |id, byte| id << 8 | u64::from(*byte));
    content(header[0], id, parameters).map_err(|error| InvalidMessage { id, error })
}

fn content(message_kind: u8, id: u64, parameters: &[u8]) -> Result<FromClient, MessageError> {
    let parameters = Parameters::read(parameters)?;
    if id == 0 && message_kind == kind::PLACEMENT_REQUEST {
        return Err(MessageError::MissingId);
    }
    match message_kind {
        kind::PLACEMENT_REQUEST => {
            let request = placement_request(id, &parameters)?;
            Ok(FromClient::PlacementRequest(Box::new(request)))
        }
        kind::RELEASE => {
            let cause = match parameters.0.get(&code::CAUSE) {
                Some([cause]) => *cause,
                Some(value) => return Err(MessageError::InvalidCause(value.len())),
                None => GIVEN_UP,
            };
            Ok(FromClient::Release { id, cause })
        }
        kind::HEALTH_CHECK => Ok(FromClient::HealthCheck(id)),
        kind::RELEASE_CONFIRMED => Ok(FromClient::ReleaseConfirmed(id)),
        kind::PROGRESS | kind::NOTE | kind::MOVED | kind::HEALTH_CHECK_RESULT => {
            Ok(FromClient::Ignored)
        }
        kind::ANSWER => Err(MessageError::UnexpectedAnswer),
        other => Err(MessageError::UnknownType(other)),
    }
}

/// The values of a message's parameters, by parameter code.
struct Parameters<'a>(BTreeMap<u8, &'a [u8]>);

impl<'a> Parameters<'a> {
    fn read(body: &'a [u8]) -> Result<Self, MessageError> {
        let list: Result<Vec<(u8, &[u8])>, _> =
            repeat(0.., (be_u8::<&[u8], ContextError>, length_take(be_u16)))
                .parse(body)
                .map_err(|error| MessageError::Truncated {
                    offset: error.offset(),
                });
        let mut parameters = BTreeMap::new();
        for (code, value) in list? {
            if !code::KNOWN.contains(&code) {
                return Err(MessageError::UnknownParameter(code));
            }
            if parameters.insert(code, value).is_some() {
                return Err(MessageError::RepeatedParameter(code));
            }
        }
        Ok(Self(parameters))
    }

    /// The value of an optional parameter as text; `None` if the message lacks it.
    fn text(&self, code: u8) -> Result<Option<&'a str>, MessageError> {
        let text = self.0.get(&code).map(|value| std::str::from_utf8(value));
        text.transpose().map_err(|_| MessageError::NotUtf8(code))
    }

    /// The value of a required parameter as text.
    fn required(&self, code: u8) -> Result<&'a str, MessageError> {
        self.text(code)?.ok_or(MessageError::MissingParameter(code))
    }
}

fn placement_request(id: u64, parameters: &Parameters) -> Result<PlacementRequest, MessageError> {
    let left = parameters.required(code::TIME_LEFT)?;
    let left_ms = whole_number(left)
        .filter(|left| (1..=MAX_LEFT_MS).contains(left))
        .ok_or_else(|| MessageError::InvalidTime(left.to_owned()))?;
    let is_retry = match parameters.text(code::RETRY)? {
        None => false,
        Some(RETRY_MARK) => true,
        Some(other) => return Err(MessageError::InvalidRetry(other.to_owned())),
    };
    let key = parameters.required(code::KEY)?;
    let key = hex(key).ok_or_else(|| MessageError::InvalidKey(key.to_owned()))?;
    let extras = parameters.required(code::EXTRAS)?;
    let extras = Extras::read(extras).map_err(|error| MessageError::InvalidExtras {
        error,
        text: extras.to_owned(),
    })?;
    let idempotency_key = parameters.text(code::IDEMPOTENCY_KEY)?;
    Ok(PlacementRequest {
        id,
        class: parameters.required(code::CLASS)?.to_owned(),
        left_ms,
        tenant: parameters.text(code::TENANT)?.map(str::to_owned),
        is_retry,
        key,
        idempotency_key: idempotency_key.map(str::to_owned),
        cores: extras.cores,
        memory: extras.memory,
        service: extras.service,
        runs_at: extras.runs_at.map(str::to_owned),
        description: parameters.required(code::DESCRIPTION)?.to_owned(),
    })
}

/// The values in the parameter [`code::EXTRAS`], for example
/// `cores:1;memory:2.5;service:00000000b4d65521;at:host-00017`.
struct Extras<'a> {
    cores: f64,
    memory: f64,
    service: u64,
    runs_at: Option<&'a str>,
}

impl<'a> Extras<'a> {
    fn read(text: &'a str) -> Result<Self, ExtrasError> {
        let mut values: BTreeMap<&str, &str> = BTreeMap::new();
        for part in text.split(';') {
            let (name, value) = part.split_once(':').ok_or(ExtrasError::Unnamed)?;
            if values.insert(name, value).is_some() {
                return Err(ExtrasError::Repeated);
            }
        }
        let amount = |name: &'static str| {
            let value = values.get(name).and_then(|value| finite_number(value));
            value.ok_or(ExtrasError::InvalidFigure(name))
        };
        let service = values.get("service").and_then(|service| hex(service));
        Ok(Self {
            cores: amount("cores")?,
            memory: amount("memory")?,
            service: service.ok_or(ExtrasError::InvalidService)?,
            runs_at: values.get("at").copied().filter(|at| !at.is_empty()),
        })
    }
}

/// Parses a whole number of decimal digits only, without sign or space; `None` for any other text.
fn whole_number(text: &str) -> Option<u64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit());
    is_plain.then(|| text.parse().ok()).flatten()
}

/// Parses a finite number of at least 0; `None` for any other text, also `inf` and `nan`.
fn finite_number(text: &str) -> Option<f64> {
    let is_plain = text
        .bytes()
        .all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b'e' | b'-'));
    let number: f64 = is_plain.then(|| text.parse().ok()).flatten()?;
    (number.is_finite() && number >= 0.0).then_some(number)
}
