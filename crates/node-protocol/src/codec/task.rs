//! Encoding of attempt ids, tasks and offers.

use super::reader::{BodyReader, Field, FieldError};
use super::tags::since;
use super::writer::BodyWriter;
use super::{Wire, WireCode};
use crate::MAX_NAME;
use crate::configuration::VersionStamp;
use crate::message::{AttemptId, DeduplicationScope, Idempotency, Message, Task};

impl Wire for AttemptId {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        writer.u64(self.incarnation);
        writer.u64(self.request);
        writer.u16(self.number);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            incarnation: reader.u64(Field::Attempt)?,
            request: reader.u64(Field::Attempt)?,
            number: reader.u16(Field::Attempt)?,
        })
    }
}

impl WireCode for Idempotency {
    const FIELD: Field = Field::Idempotency;
    const VALUES: &'static [Self] = &[Self::Idempotent, Self::IdempotentByKey, Self::NonIdempotent];

    fn code(self) -> u8 {
        match self {
            Self::Idempotent => 0,
            Self::IdempotentByKey => 1,
            Self::NonIdempotent => 2,
        }
    }
}

impl WireCode for DeduplicationScope {
    const FIELD: Field = Field::Deduplication;
    const VALUES: &'static [Self] = &[Self::All, Self::Zone, Self::Rack];

    fn code(self) -> u8 {
        match self {
            Self::All => 0,
            Self::Zone => 1,
            Self::Rack => 2,
        }
    }
}

impl Wire for Task {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        writer.text(&self.session, MAX_NAME);
        writer.text(&self.job, MAX_NAME);
        writer.text(&self.class, MAX_NAME);
        writer.text(&self.tenant, MAX_NAME);
        writer.text(&self.service, MAX_NAME);
        self.idempotency.encode(writer);
        self.deduplication_scope.encode(writer);
        writer.u32(self.deduplication_window_ms);
        writer.u64(self.idempotency_key);
        writer.f64(self.cores);
        writer.f64(self.memory);
        writer.u64(self.expected_duration_ms);
        writer.payload(&self.payload);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            session: reader.name(Field::TaskName)?,
            job: reader.name(Field::TaskName)?,
            class: reader.name(Field::TaskName)?,
            tenant: reader.name(Field::TaskName)?,
            service: reader.name(Field::TaskName)?,
            idempotency: Wire::decode(reader)?,
            deduplication_scope: Wire::decode(reader)?,
            deduplication_window_ms: reader.u32(Field::Deduplication)?,
            idempotency_key: reader.u64(Field::Deduplication)?,
            cores: reader.non_negative(Field::Resources)?,
            memory: reader.non_negative(Field::Resources)?,
            expected_duration_ms: reader.u64(Field::ExpectedDuration)?,
            payload: reader.payload()?,
        })
    }
}

pub(super) fn encode_offer(
    writer: &mut BodyWriter<'_>,
    attempt: &AttemptId,
    task: &Task,
    within_ms: u32,
    stamp: Option<&VersionStamp>,
) {
    attempt.encode(writer);
    writer.u32(within_ms);
    task.encode(writer);
    if let Some(stamp) = stamp {
        stamp.encode(writer);
    }
}

pub(super) fn decode_offer(reader: &mut BodyReader<'_>) -> Result<Message, FieldError> {
    let attempt = AttemptId::decode(reader)?;
    let within_ms = reader.u32(Field::Deadline)?;
    let task = Box::new(Task::decode(reader)?);
    let stamp = reader.since(since::AGREEMENT)?;
    Ok(Message::Offer {
        attempt,
        task,
        within_ms,
        stamp,
    })
}
