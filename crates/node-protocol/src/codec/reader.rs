//! Reads the fields of a message body. Each length is checked against its limit before that many bytes are read.

use std::fmt;

use super::{Header, Wire};
use crate::{MAX_NAME, MAX_PAYLOAD, MAX_REPORT};

/// A field or group of fields of a message body. Decoding errors name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Field {
    /// An attempt's id.
    Attempt,
    /// A ballot.
    Ballot,
    /// A configuration's text.
    ConfigText,
    /// A configuration's number and digest.
    ConfigVersion,
    /// Milliseconds within which the placer can use the answer to an offer.
    Deadline,
    /// The scope, window or key by which nodes drop duplicates of a task.
    Deduplication,
    /// An edit of a delta, or the count of edits.
    Edit,
    /// The expected duration of a task, in milliseconds.
    ExpectedDuration,
    /// A boolean: a byte that must be 0 or 1.
    Flag,
    /// The idempotency of a task: whether it may be started again.
    Idempotency,
    /// The incarnation of a placer or node, which each start of the process changes.
    Incarnation,
    /// The count of tasks in flight.
    InFlightCount,
    /// The state of a task in flight.
    InFlightState,
    /// The sequence number of a placer's connection to a node.
    Link,
    /// The revision of a node list.
    ListRevision,
    /// A load report.
    LoadReport,
    /// The name of a placer, node or build.
    Name,
    /// The nonce that relates a report to its probe.
    Nonce,
    /// A task's payload.
    Payload,
    /// The age of the floor or one of the placer counts in an acceptor report.
    ReportCounters,
    /// The reason for which an offer was rejected.
    RejectionReason,
    /// The kind of a request to a node's acceptor, or the step that a delta is for.
    RequestKind,
    /// The cores or the memory that a task requests.
    Resources,
    /// A section of a configuration: its table, name or text.
    Section,
    /// The way in which a task ended.
    TaskEnd,
    /// One of a task's names: session, job, class, tenant or service.
    TaskName,
    /// The kind or amount of a task signal.
    TaskSignal,
    /// An explanation for operators.
    Text,
    /// Milliseconds since a node's start.
    Uptime,
}

impl fmt::Display for Field {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Attempt => "the attempt's id",
            Self::Ballot => "the ballot",
            Self::ConfigText => "the configuration's text",
            Self::ConfigVersion => "the configuration's version",
            Self::Deadline => "the answer's deadline",
            Self::Deduplication => "the deduplication scope, window or key",
            Self::Edit => "an edit",
            Self::ExpectedDuration => "the expected duration",
            Self::Flag => "a flag",
            Self::Idempotency => "the idempotency",
            Self::Incarnation => "the incarnation",
            Self::InFlightCount => "the count of tasks in flight",
            Self::InFlightState => "the state of a task in flight",
            Self::Link => "the link's number",
            Self::ListRevision => "the node list's revision",
            Self::LoadReport => "the load report",
            Self::Name => "a name",
            Self::Nonce => "the nonce",
            Self::Payload => "the payload",
            Self::ReportCounters => "the counters of the acceptor report",
            Self::RejectionReason => "the rejection's reason",
            Self::RequestKind => "the kind of request",
            Self::Resources => "the requested resources",
            Self::Section => "a section",
            Self::TaskEnd => "the task's end",
            Self::TaskName => "one of the task's names",
            Self::TaskSignal => "the task signal",
            Self::Text => "the text",
            Self::Uptime => "the uptime",
        })
    }
}

/// A field is truncated or its value is invalid. `offset` is where the field begins in the body, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FieldError {
    pub(super) field: Field,
    pub(super) offset: usize,
}

/// Reads the fields of a body in order. The `field` argument of the methods is the field that an error names.
pub(super) struct BodyReader<'a> {
    header: Header,
    body: &'a [u8],
    offset: usize,
}

impl<'a> BodyReader<'a> {
    pub(super) fn new(header: Header, body: &'a [u8]) -> Self {
        Self {
            header,
            body,
            offset: 0,
        }
    }

    /// The header of the frame, whose version and flags determine how the body is decoded.
    pub(super) fn header(&self) -> Header {
        self.header
    }

    /// The number of bytes that have not been read yet.
    pub(super) fn remaining(&self) -> usize {
        self.body.len() - self.offset
    }

    /// An error about `field`, beginning at the current offset.
    pub(super) fn error(&self, field: Field) -> FieldError {
        FieldError {
            field,
            offset: self.offset,
        }
    }

    fn take(&mut self, count: usize, field: Field) -> Result<&'a [u8], FieldError> {
        let error = self.error(field);
        let bytes = self.body[self.offset..].get(..count).ok_or(error)?;
        self.offset += count;
        Ok(bytes)
    }

    /// Reads `N` bytes.
    pub(super) fn array<const N: usize>(&mut self, field: Field) -> Result<[u8; N], FieldError> {
        let error = self.error(field);
        self.take(N, field)?.try_into().map_err(|_| error)
    }

    pub(super) fn u8(&mut self, field: Field) -> Result<u8, FieldError> {
        self.array(field).map(u8::from_be_bytes)
    }

    pub(super) fn u16(&mut self, field: Field) -> Result<u16, FieldError> {
        self.array(field).map(u16::from_be_bytes)
    }

    pub(super) fn u32(&mut self, field: Field) -> Result<u32, FieldError> {
        self.array(field).map(u32::from_be_bytes)
    }

    pub(super) fn u64(&mut self, field: Field) -> Result<u64, FieldError> {
        self.array(field).map(u64::from_be_bytes)
    }

    /// Reads a byte that must be 0 or 1.
    pub(super) fn bool(&mut self) -> Result<bool, FieldError> {
        let error = self.error(Field::Flag);
        match self.u8(Field::Flag)? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(error),
        }
    }

    /// Reads a finite number.
    pub(super) fn finite(&mut self, field: Field) -> Result<f64, FieldError> {
        let error = self.error(field);
        let value = f64::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(error)
        }
    }

    /// Reads a finite number that is at least 0.
    pub(super) fn non_negative(&mut self, field: Field) -> Result<f64, FieldError> {
        let error = self.error(field);
        let value = self.finite(field)?;
        if value >= 0.0 { Ok(value) } else { Err(error) }
    }

    fn length_prefixed(&mut self, limit: usize, field: Field) -> Result<&'a [u8], FieldError> {
        let error = self.error(field);
        let length = usize::from(self.u16(field)?);
        if length > limit {
            return Err(error);
        }
        self.take(length, field)
    }

    /// Reads a UTF-8 text of at most `limit` bytes, preceded by its length.
    pub(super) fn text(&mut self, limit: usize, field: Field) -> Result<String, FieldError> {
        let error = self.error(field);
        let bytes = self.length_prefixed(limit, field)?;
        std::str::from_utf8(bytes)
            .map(str::to_owned)
            .map_err(|_| error)
    }

    pub(super) fn name(&mut self, field: Field) -> Result<String, FieldError> {
        self.text(MAX_NAME, field)
    }

    pub(super) fn payload(&mut self) -> Result<Vec<u8>, FieldError> {
        self.length_prefixed(MAX_PAYLOAD, Field::Payload)
            .map(<[u8]>::to_vec)
    }

    pub(super) fn load_report(&mut self) -> Result<Vec<f64>, FieldError> {
        let error = self.error(Field::LoadReport);
        let count = self.u8(Field::LoadReport)?;
        if usize::from(count) > MAX_REPORT {
            return Err(error);
        }
        (0..count).map(|_| self.finite(Field::LoadReport)).collect()
    }

    /// Reads a boolean and, if it is true, a value.
    pub(super) fn optional<T: Wire>(&mut self) -> Result<Option<T>, FieldError> {
        if self.bool()? {
            T::decode(self).map(Some)
        } else {
            Ok(None)
        }
    }

    /// Reads `count` values. No memory is reserved in advance from `count`, which the peer chooses; the length of the
    /// body limits how many values can follow.
    pub(super) fn list<T: Wire>(&mut self, count: u16) -> Result<Vec<T>, FieldError> {
        (0..count).map(|_| T::decode(self)).collect()
    }

    /// Reads a value that the body contains only from protocol version `version` on; `None` in an earlier version.
    pub(super) fn since<T: Wire>(&mut self, version: u8) -> Result<Option<T>, FieldError> {
        if self.header.version < version {
            Ok(None)
        } else {
            T::decode(self).map(Some)
        }
    }
}
