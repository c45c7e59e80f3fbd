//! Encodes and decodes message bodies.
//!
//! The submodules implement [`Wire`] for the values that messages consist of; this file defines which values the body
//! of each message kind contains. `docs/node-protocol.md` describes the format.

mod configuration;
mod delta;
mod handshake;
mod outcome;
mod reader;
mod request;
mod tags;
mod task;
mod writer;

pub use reader::Field;
use reader::{BodyReader, FieldError};
use tags::{flag, kind, since};
use writer::BodyWriter;

use crate::MAX_PLAN;
use crate::configuration::ConfigRequest;
use crate::frame::FrameError;
use crate::message::{AttemptId, Message, RejectionReason};

/// A value that can be encoded into a message body and decoded from it.
trait Wire: Sized {
    /// Appends the value's bytes.
    fn encode(&self, writer: &mut BodyWriter<'_>);

    /// Decodes the bytes that [`Wire::encode`] appends.
    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError>;
}

/// A value that is encoded as a single byte.
trait WireCode: Copy + 'static {
    /// The field that decoding errors name.
    const FIELD: Field;
    /// Every value of the type; [`WireCode::from_code`] searches them.
    const VALUES: &'static [Self];

    /// The byte that encodes this value.
    fn code(self) -> u8;

    /// The value that this byte encodes; `None` if the byte is not assigned.
    fn from_code(code: u8) -> Option<Self> {
        Self::VALUES
            .iter()
            .copied()
            .find(|value| value.code() == code)
    }
}

impl<T: WireCode> Wire for T {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        writer.u8(self.code());
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(T::FIELD);
        let code = reader.u8(T::FIELD)?;
        T::from_code(code).ok_or(error)
    }
}

/// The fields of a frame header that determine how the body is decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Header {
    pub(crate) version: u8,
    pub(crate) kind: u8,
    pub(crate) flags: u8,
}

/// Appends the body of a message to `frame` and returns the values for the frame's header.
pub(crate) fn encode(message: &Message, frame: &mut Vec<u8>) -> Header {
    encode_body(message, &mut BodyWriter::new(frame));
    Header {
        version: required_version(message),
        kind: kind_of(message),
        flags: flags_of(message),
    }
}

/// Decodes the body of a frame. A body that continues after its last field is an error.
pub(crate) fn decode(header: Header, body: &[u8]) -> Result<Message, FrameError> {
    let kind = header.kind;
    let mut reader = BodyReader::new(header, body);
    match decode_body(header, &mut reader) {
        Ok(Some(message)) => match reader.remaining() {
            0 => Ok(message),
            count => Err(FrameError::TrailingBytes { kind, count }),
        },
        Ok(None) => Err(FrameError::UnknownKind(kind)),
        Err(FieldError { field, offset }) => Err(FrameError::InvalidField {
            kind,
            field,
            offset,
        }),
    }
}

fn kind_of(message: &Message) -> u8 {
    match message {
        Message::Hello { .. } => kind::HELLO,
        Message::Offer { .. } => kind::OFFER,
        Message::Stop { .. } => kind::STOP,
        Message::Probe { .. } => kind::PROBE,
        Message::Suspend { .. } => kind::SUSPEND,
        Message::Resume { .. } => kind::RESUME,
        Message::Ack { .. } => kind::ACK,
        Message::ConfigRequest(_) => kind::CONFIG_REQUEST,
        Message::Welcome { .. } => kind::WELCOME,
        Message::InFlight { .. } => kind::IN_FLIGHT,
        Message::Accepted { .. } => kind::ACCEPTED,
        Message::Rejected { .. } => kind::REJECTED,
        Message::TaskSignal { .. } => kind::TASK_SIGNAL,
        Message::Ended { .. } => kind::ENDED,
        Message::Report { .. } => kind::REPORT,
        Message::AcceptorReport(_) => kind::ACCEPTOR_REPORT,
        Message::ConfigText { .. } => kind::CONFIG_TEXT,
        Message::ConfigDelta(_) => kind::CONFIG_DELTA,
    }
}

/// The lowest protocol version in which a message can be encoded.
fn required_version(message: &Message) -> u8 {
    match message {
        Message::ConfigRequest(
            ConfigRequest::Fetch { have: Some(_), .. } | ConfigRequest::ByDelta { .. },
        )
        | Message::ConfigDelta(_) => since::DELTAS,
        Message::Hello {
            version_info: Some(_),
            ..
        }
        | Message::Offer { stamp: Some(_), .. }
        | Message::Welcome {
            acceptor_report: Some(_),
            ..
        }
        | Message::Rejected {
            reason: RejectionReason::Superseded,
            ..
        }
        | Message::ConfigRequest(_)
        | Message::AcceptorReport(_)
        | Message::ConfigText { .. } => since::AGREEMENT,
        _ => since::START,
    }
}

/// The header flags of a message: those of the acceptor report in its body, or 0 if it contains no report.
fn flags_of(message: &Message) -> u8 {
    let (Message::Welcome {
        acceptor_report: Some(report),
        ..
    }
    | Message::AcceptorReport(report)) = message
    else {
        return 0;
    };
    let mut flags = 0;
    if report.is_learner {
        flags |= flag::LEARNER;
    }
    if report.reads_deltas {
        flags |= flag::READS_DELTAS;
    }
    flags
}

fn encode_body(message: &Message, writer: &mut BodyWriter<'_>) {
    match message {
        Message::Hello {
            placer,
            incarnation,
            link,
            version_info,
        } => {
            handshake::encode_hello(writer, placer, *incarnation, *link, version_info.as_ref());
        }
        Message::Offer {
            attempt,
            task,
            within_ms,
            stamp,
        } => {
            task::encode_offer(writer, attempt, task, *within_ms, stamp.as_ref());
        }
        Message::Stop { attempt }
        | Message::Suspend { attempt }
        | Message::Resume { attempt }
        | Message::Ack { attempt } => attempt.encode(writer),
        Message::Probe { nonce } => writer.u64(*nonce),
        Message::ConfigRequest(request) => request.encode(writer),
        Message::Welcome {
            node,
            incarnation,
            up_ms,
            can_suspend,
            acceptor_report,
        } => {
            handshake::encode_welcome(
                writer,
                node,
                *incarnation,
                *up_ms,
                *can_suspend,
                acceptor_report.as_ref(),
            );
        }
        Message::InFlight { tasks, last } => handshake::encode_in_flight(writer, tasks, *last),
        Message::Accepted { attempt, report } => {
            attempt.encode(writer);
            writer.load_report(report);
        }
        Message::Rejected {
            attempt,
            reason,
            text,
            report,
        } => {
            outcome::encode_rejected(writer, attempt, *reason, text, report);
        }
        Message::TaskSignal {
            attempt,
            kind,
            amount,
        } => {
            outcome::encode_task_signal(writer, attempt, *kind, *amount);
        }
        Message::Ended {
            attempt,
            end,
            ran,
            report,
        } => {
            outcome::encode_ended(writer, attempt, end, *ran, report);
        }
        Message::Report { nonce, report } => {
            writer.u64(*nonce);
            writer.load_report(report);
        }
        Message::AcceptorReport(report) => report.encode(writer),
        Message::ConfigText { version, text } => {
            version.encode(writer);
            writer.text(text, MAX_PLAN);
        }
        Message::ConfigDelta(delta) => delta.encode(writer),
    }
}

/// Returns `None` if the frame's protocol version has no message of the frame's kind.
fn decode_body(header: Header, reader: &mut BodyReader<'_>) -> Result<Option<Message>, FieldError> {
    let attempt = AttemptId::decode;
    Ok(Some(match header.kind {
        kind::HELLO => handshake::decode_hello(reader)?,
        kind::OFFER => task::decode_offer(reader)?,
        kind::STOP => Message::Stop {
            attempt: attempt(reader)?,
        },
        kind::PROBE => Message::Probe {
            nonce: reader.u64(Field::Nonce)?,
        },
        kind::SUSPEND => Message::Suspend {
            attempt: attempt(reader)?,
        },
        kind::RESUME => Message::Resume {
            attempt: attempt(reader)?,
        },
        kind::ACK => Message::Ack {
            attempt: attempt(reader)?,
        },
        kind::WELCOME => handshake::decode_welcome(reader)?,
        kind::IN_FLIGHT => handshake::decode_in_flight(reader)?,
        kind::ACCEPTED => Message::Accepted {
            attempt: attempt(reader)?,
            report: reader.load_report()?,
        },
        kind::REJECTED => outcome::decode_rejected(reader)?,
        kind::TASK_SIGNAL => outcome::decode_task_signal(reader)?,
        kind::ENDED => outcome::decode_ended(reader)?,
        kind::REPORT => Message::Report {
            nonce: reader.u64(Field::Nonce)?,
            report: reader.load_report()?,
        },
        kind::CONFIG_REQUEST if header.version >= since::AGREEMENT => {
            Message::ConfigRequest(Wire::decode(reader)?)
        }
        kind::ACCEPTOR_REPORT if header.version >= since::AGREEMENT => {
            Message::AcceptorReport(Wire::decode(reader)?)
        }
        kind::CONFIG_TEXT if header.version >= since::AGREEMENT => Message::ConfigText {
            version: Wire::decode(reader)?,
            text: reader.text(MAX_PLAN, Field::ConfigText)?,
        },
        kind::CONFIG_DELTA if header.version >= since::DELTAS => {
            Message::ConfigDelta(Wire::decode(reader)?)
        }
        _ => return Ok(None),
    }))
}
