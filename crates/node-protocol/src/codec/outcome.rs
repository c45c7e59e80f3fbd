//! Encoding of rejected offers, signals about accepted tasks, and task ends.

use super::reader::{BodyReader, Field, FieldError};
use super::writer::BodyWriter;
use super::{Wire, WireCode};
use crate::MAX_TEXT;
use crate::message::{AttemptId, Message, RejectionReason, TaskEnd, TaskSignalKind};

impl WireCode for RejectionReason {
    const FIELD: Field = Field::RejectionReason;
    const VALUES: &'static [Self] = &Self::ALL;

    fn code(self) -> u8 {
        match self {
            Self::Unspecified => 0,
            Self::NoCores => 1,
            Self::NoMemory => 2,
            Self::QueueFull => 3,
            Self::Draining => 4,
            Self::DuplicateActive => 5,
            Self::DeadlineExceeded => 6,
            Self::Unsupported => 7,
            Self::Superseded => 8,
        }
    }
}

impl WireCode for TaskSignalKind {
    const FIELD: Field = Field::TaskSignal;
    const VALUES: &'static [Self] = &Self::ALL;

    fn code(self) -> u8 {
        match self {
            Self::Running => 1,
            Self::CoresUsed => 2,
            Self::MemoryUsed => 3,
            Self::ServiceFraction => 4,
            Self::MemoryPressure => 5,
            Self::Suspended => 6,
            Self::Resumed => 7,
        }
    }
}

/// Codes of [`TaskEnd`].
mod end {
    pub(super) const EXITED: u8 = 0;
    pub(super) const SIGNALED: u8 = 1;
    pub(super) const EVICTED: u8 = 2;
    pub(super) const PREEMPTED: u8 = 3;
    pub(super) const DRAINED: u8 = 4;
    pub(super) const STOPPED: u8 = 5;
    pub(super) const ERROR: u8 = 6;
    pub(super) const UNKNOWN: u8 = 7;
}

/// Every task end is encoded as a code, a byte and a text. The byte is the exit status or the signal number, otherwise
/// 0; the text is the error's, otherwise empty.
impl Wire for TaskEnd {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        let (code, detail, text) = match self {
            Self::Exited(status) => (end::EXITED, *status, ""),
            Self::Signaled(signal) => (end::SIGNALED, *signal, ""),
            Self::Evicted => (end::EVICTED, 0, ""),
            Self::Preempted => (end::PREEMPTED, 0, ""),
            Self::Drained => (end::DRAINED, 0, ""),
            Self::Stopped => (end::STOPPED, 0, ""),
            Self::Error(text) => (end::ERROR, 0, text.as_str()),
            Self::Unknown => (end::UNKNOWN, 0, ""),
        };
        writer.u8(code);
        writer.u8(detail);
        writer.text(text, MAX_TEXT);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(Field::TaskEnd);
        let code = reader.u8(Field::TaskEnd)?;
        let detail = reader.u8(Field::TaskEnd)?;
        let text = reader.text(MAX_TEXT, Field::TaskEnd)?;
        match code {
            end::EXITED => Ok(Self::Exited(detail)),
            end::SIGNALED => Ok(Self::Signaled(detail)),
            end::EVICTED => Ok(Self::Evicted),
            end::PREEMPTED => Ok(Self::Preempted),
            end::DRAINED => Ok(Self::Drained),
            end::STOPPED => Ok(Self::Stopped),
            end::ERROR => Ok(Self::Error(text)),
            end::UNKNOWN => Ok(Self::Unknown),
            _ => Err(error),
        }
    }
}

pub(super) fn encode_rejected(
    writer: &mut BodyWriter<'_>,
    attempt: &AttemptId,
    reason: RejectionReason,
    text: &str,
    report: &[f64],
) {
    attempt.encode(writer);
    reason.encode(writer);
    writer.text(text, MAX_TEXT);
    writer.load_report(report);
}

pub(super) fn decode_rejected(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    Ok(Message::Rejected {
        attempt: Wire::decode(reader)?,
        reason: Wire::decode(reader)?,
        text: reader.text(MAX_TEXT, Field::Text)?,
        report: reader.load_report()?,
    })
}

pub(super) fn encode_task_signal(
    writer: &mut BodyWriter<'_>,
    attempt: &AttemptId,
    kind: TaskSignalKind,
    amount: f64,
) {
    attempt.encode(writer);
    kind.encode(writer);
    writer.f64(amount);
}

pub(super) fn decode_task_signal(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    Ok(Message::TaskSignal {
        attempt: Wire::decode(reader)?,
        kind: Wire::decode(reader)?,
        amount: reader.finite(Field::TaskSignal)?,
    })
}

pub(super) fn encode_ended(
    writer: &mut BodyWriter<'_>,
    attempt: &AttemptId,
    end: &TaskEnd,
    ran: bool,
    report: &[f64],
) {
    attempt.encode(writer);
    end.encode(writer);
    writer.bool(ran);
    writer.load_report(report);
}

pub(super) fn decode_ended(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    Ok(Message::Ended {
        attempt: Wire::decode(reader)?,
        end: Wire::decode(reader)?,
        ran: reader.bool()?,
        report: reader.load_report()?,
    })
}
