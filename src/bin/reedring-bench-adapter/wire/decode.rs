//! Decodes batches.

use reedring::{
    AttemptId, Ended, Event, Health, Machine, Micros, Note, Outcome, Reason, ServiceId, Task,
    TaskKey,
};

use super::codes::record as code;
use super::cursor::Cursor;
use super::error::{FieldError, WireError};
use super::{EVENT_BYTES, HEADER_BYTES, ListUpdate, MACHINE_BYTES, Record};

/// The header of a batch.
pub struct BatchHeader {
    /// The simulator's clock, in microseconds.
    pub clock: Micros,
    /// The number of bytes after the header.
    pub body_bytes: usize,
    /// The number of records at the start of the body; the tail is what follows them.
    pub records: usize,
}

impl BatchHeader {
    /// Decodes a header.
    pub fn decode(bytes: &[u8; HEADER_BYTES]) -> Self {
        let mut cursor = Cursor::new(bytes);
        Self {
            clock: cursor.u64(),
            body_bytes: cursor.u32() as usize,
            records: cursor.u32() as usize,
        }
    }
}

/// Decodes `count` records of a batch from `body`, the bytes after its header.
pub fn decode_records(body: &[u8], count: usize) -> Result<Vec<Record>, WireError> {
    let size = count
        .checked_mul(EVENT_BYTES)
        .filter(|size| *size <= body.len())
        .ok_or(WireError::RecordCount {
            count,
            body_bytes: body.len(),
        })?;
    let tail = &body[size..];
    body[..size]
        .chunks_exact(EVENT_BYTES)
        .enumerate()
        .map(|(index, bytes)| {
            decode_record(bytes, tail).map_err(|field| WireError::Record { index, field })
        })
        .collect()
}

fn decode_record(bytes: &[u8], tail: &[u8]) -> Result<Record, FieldError> {
    let mut cursor = Cursor::new(bytes);
    let fields = &mut cursor;
    let event = match fields.u8() {
        code::INIT => return init(fields, tail),
        code::UPDATE => return list_update(fields),
        code::EXIT => return Ok(Record::Exit),
        code::LIST => return list(fields, tail),
        code::AT => return Ok(Record::At(fields.u16())),
        code::ARRIVED => arrived(fields),
        code::PLACED => placed(fields),
        code::ENDED => Event::Ended(ended(fields)?),
        code::WITHDRAWN => Event::Withdrawn(fields.request()),
        code::WOKEN => Event::TimerDue(fields.u64()),
        code::PROBED => probed(fields)?,
        code::PEER => peer(fields, tail)?,
        code::ADOPTED => adopted(fields),
        code::TASK_SIGNAL => task_signal(fields)?,
        other => return Err(unknown("code", other, "record code")),
    };
    Ok(Record::Event(event))
}

fn unknown(field: &'static str, value: impl Into<u32>, expected: &'static str) -> FieldError {
    FieldError::Unknown {
        field,
        value: value.into(),
        expected,
    }
}

fn init(fields: &mut Cursor<'_>, tail: &[u8]) -> Result<Record, FieldError> {
    const FIELD: &str = "settings";
    let seed = fields.u64();
    let text = fields.tail_part(tail, 1, FIELD)?;
    let text = std::str::from_utf8(text).map_err(|source| FieldError::NotUtf8 {
        field: FIELD,
        source,
    })?;
    Ok(Record::Init(seed, text.to_owned()))
}

fn list_update(fields: &mut Cursor<'_>) -> Result<Record, FieldError> {
    let update = match fields.u8() {
        0 => ListUpdate::Delta,
        1 => ListUpdate::Full,
        2 => ListUpdate::Cached,
        3 => ListUpdate::Failed,
        other => return Err(unknown("how", other, "kind of update")),
    };
    let _revision = fields.u64();
    Ok(Record::Update(update, fields.u16()))
}

fn list(fields: &mut Cursor<'_>, tail: &[u8]) -> Result<Record, FieldError> {
    let number = fields.u16();
    let machines = fields
        .tail_part(tail, MACHINE_BYTES, "lines")?
        .chunks_exact(MACHINE_BYTES)
        .map(machine)
        .collect::<Result<_, _>>()?;
    Ok(Record::List(number, machines))
}

fn machine(bytes: &[u8]) -> Result<Machine, FieldError> {
    let mut fields = Cursor::new(bytes);
    let id = fields.machine();
    let (zone, kind, cell) = (fields.u16(), fields.u16(), fields.u16());
    let health = match fields.u8() {
        0 => Health::Gone,
        1 => Health::Ready,
        2 => Health::Draining,
        other => return Err(unknown("health", other, "health state")),
    };
    let free_memory = Some(fields.f32());
    let _weight = fields.f32();
    let ready_at = Some(fields.u64()).filter(|at| *at != 0);
    let free_cores = Some(fields.f32());
    Ok(Machine {
        id,
        zone,
        kind,
        cell,
        health,
        ready_at,
        free_cores,
        free_memory,
    })
}

/// The flags of a task, one bit each.
struct TaskFlags(u8);

impl TaskFlags {
    /// The field with the expected duration is valid.
    const HAS_LIFE: u8 = 1;
    /// The task was submitted before if either of these bits is set.
    const SUBMITTED_BEFORE: u8 = 2 | 16;

    fn life_us(&self, life_us: Micros) -> Option<Micros> {
        (self.0 & Self::HAS_LIFE != 0).then_some(life_us)
    }

    fn was_submitted_before(&self) -> bool {
        self.0 & Self::SUBMITTED_BEFORE != 0
    }
}

fn arrived(fields: &mut Cursor<'_>) -> Event {
    let (request, class, tenant) = (fields.request(), fields.u16(), fields.u16());
    let key = TaskKey(fields.u64());
    let grace_us = Micros::from(fields.u32());
    let life_us = Micros::from(fields.u32());
    let service = ServiceId(fields.u64());
    let (cores, memory) = (fields.f32(), fields.f32());
    let flags = TaskFlags(fields.u8());
    let task = Task {
        request,
        class,
        tenant,
        key,
        service,
        cores,
        memory,
        life_us: flags.life_us(life_us),
        again: flags.was_submitted_before(),
    };
    Event::Arrived { task, grace_us }
}

fn adopted(fields: &mut Cursor<'_>) -> Event {
    let request = fields.request();
    let life_us = Micros::from(fields.u32());
    let _grace_us = fields.u32();
    let flags = TaskFlags(fields.u8());
    let (key, service) = (TaskKey(fields.u64()), ServiceId(fields.u64()));
    let (class, cores) = (fields.u16(), fields.f32());
    let machine = fields.machine();
    let (memory, tenant) = (fields.f32(), fields.u16());
    let task = Task {
        request,
        class,
        tenant,
        key,
        service,
        cores,
        memory,
        life_us: flags.life_us(life_us),
        again: flags.was_submitted_before(),
    };
    Event::Adopted { task, machine }
}

fn placed(fields: &mut Cursor<'_>) -> Event {
    Event::Placed {
        attempt: fields.attempt(),
        machine: fields.machine(),
        took_us: Micros::from(fields.u32()),
    }
}

fn ended(fields: &mut Cursor<'_>) -> Result<Ended, FieldError> {
    let request = fields.request();
    let outcome = outcome(fields.u16())?;
    let _took_us = fields.u32();
    let number = fields.u16();
    let machine = fields.machine();
    let reason = reason(fields.u32())?;
    let closed = fields.u8() != 0;
    Ok(Ended {
        attempt: AttemptId { request, number },
        machine,
        outcome,
        reason,
        closed,
        report: fields.report()?,
    })
}

fn outcome(code: u16) -> Result<Outcome, FieldError> {
    Ok(match code {
        200 => Outcome::Finished,
        502 => Outcome::Error,
        429 => Outcome::Refused,
        408 => Outcome::TimedOut,
        521 => Outcome::Unconnected,
        520 => Outcome::Reset,
        444 => Outcome::Stopped,
        409 => Outcome::Unsent,
        other => return Err(unknown("rc", other, "outcome")),
    })
}

fn reason(code: u32) -> Result<Option<Reason>, FieldError> {
    Ok(Some(match code {
        0 => return Ok(None),
        1 => Reason::NoCores,
        2 => Reason::NoMemory,
        3 => Reason::Crowded,
        4 => Reason::NotHere,
        5 => Reason::Evicted,
        6 => Reason::PushedOut,
        7 => Reason::SentAway,
        other => return Err(unknown("note", other, "reason")),
    }))
}

fn probed(fields: &mut Cursor<'_>) -> Result<Event, FieldError> {
    const ANSWERED: u16 = 200;
    let took_us = Micros::from(fields.u32());
    let code = fields.u16();
    Ok(Event::Probed {
        machine: fields.machine(),
        answered: code == ANSWERED,
        took_us,
        report: fields.report()?,
    })
}

fn peer(fields: &mut Cursor<'_>, tail: &[u8]) -> Result<Event, FieldError> {
    let from = fields.u32();
    let body = fields.tail_part(tail, 1, "raw")?.to_vec();
    Ok(Event::Peer { from, body })
}

fn task_signal(fields: &mut Cursor<'_>) -> Result<Event, FieldError> {
    let (attempt, machine) = (fields.attempt(), fields.machine());
    let (topic, amount) = (fields.u8(), fields.f32());
    let note = match topic {
        1 => Note::Runs,
        2 => Note::Cores(amount),
        3 => Note::Memory(amount),
        4 => Note::Served(amount),
        5 => Note::Pressure(amount),
        other => return Err(unknown("topic", other, "signal of a task")),
    };
    Ok(Event::TaskSignal {
        attempt,
        machine,
        note,
    })
}
