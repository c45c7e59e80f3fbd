//! Encoding of the first messages on a connection: hello, welcome, and the list of tasks in flight.

use super::Wire;
use super::reader::{BodyReader, Field, FieldError};
use super::tags::since;
use super::writer::BodyWriter;
use crate::MAX_NAME;
use crate::configuration::AcceptorReport;
use crate::message::{InFlightState, InFlightTask, Message, VersionInfo};

impl Wire for VersionInfo {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        self.stamp.encode(writer);
        writer.text(&self.build, MAX_NAME);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            stamp: Wire::decode(reader)?,
            build: reader.name(Field::Name)?,
        })
    }
}

/// Codes of [`InFlightState`].
mod state {
    pub(super) const QUEUED: u8 = 0;
    pub(super) const ACCEPTED: u8 = 1;
    pub(super) const RUNNING: u8 = 2;
    pub(super) const SUSPENDED: u8 = 3;
    pub(super) const ENDED: u8 = 4;
}

impl Wire for InFlightState {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        match self {
            Self::Queued => writer.u8(state::QUEUED),
            Self::Accepted => writer.u8(state::ACCEPTED),
            Self::Running => writer.u8(state::RUNNING),
            Self::Suspended => writer.u8(state::SUSPENDED),
            Self::Ended { end, ran } => {
                writer.u8(state::ENDED);
                writer.bool(*ran);
                end.encode(writer);
            }
        }
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(Field::InFlightState);
        match reader.u8(Field::InFlightState)? {
            state::QUEUED => Ok(Self::Queued),
            state::ACCEPTED => Ok(Self::Accepted),
            state::RUNNING => Ok(Self::Running),
            state::SUSPENDED => Ok(Self::Suspended),
            state::ENDED => {
                let ran = reader.bool()?;
                let end = Wire::decode(reader)?;
                Ok(Self::Ended { end, ran })
            }
            _ => Err(error),
        }
    }
}

impl Wire for InFlightTask {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        self.attempt.encode(writer);
        self.task.encode(writer);
        self.state.encode(writer);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            attempt: Wire::decode(reader)?,
            task: Wire::decode(reader)?,
            state: Wire::decode(reader)?,
        })
    }
}

pub(super) fn encode_hello(
    writer: &mut BodyWriter<'_>,
    placer: &str,
    incarnation: u64,
    link: u64,
    version_info: Option<&VersionInfo>,
) {
    writer.text(placer, MAX_NAME);
    writer.u64(incarnation);
    writer.u64(link);
    if let Some(version_info) = version_info {
        version_info.encode(writer);
    }
}

pub(super) fn decode_hello(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    Ok(Message::Hello {
        placer: reader.name(Field::Name)?,
        incarnation: reader.u64(Field::Incarnation)?,
        link: reader.u64(Field::Link)?,
        version_info: reader.since(since::AGREEMENT)?,
    })
}

pub(super) fn encode_welcome(
    writer: &mut BodyWriter<'_>,
    node: &str,
    incarnation: u64,
    up_ms: u64,
    can_suspend: bool,
    report: Option<&AcceptorReport>,
) {
    writer.text(node, MAX_NAME);
    writer.u64(incarnation);
    writer.u64(up_ms);
    writer.bool(can_suspend);
    if let Some(report) = report {
        report.encode(writer);
    }
}

pub(super) fn decode_welcome(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    Ok(Message::Welcome {
        node: reader.name(Field::Name)?,
        incarnation: reader.u64(Field::Incarnation)?,
        up_ms: reader.u64(Field::Uptime)?,
        can_suspend: reader.bool()?,
        acceptor_report: reader.since(since::AGREEMENT)?,
    })
}

pub(super) fn encode_in_flight(writer: &mut BodyWriter<'_>, tasks: &[InFlightTask], last: bool) {
    writer.bool(last);
    writer.u16(tasks.len() as u16);
    for task in tasks {
        task.encode(writer);
    }
}

pub(super) fn decode_in_flight(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    let last = reader.bool()?;
    let count = reader.u16(Field::InFlightCount)?;
    let tasks = reader.list(count)?;
    Ok(Message::InFlight { tasks, last })
}
