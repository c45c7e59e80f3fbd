//! The simulator's wire: frames to records and back, with no state.

use reedring::{
    Action, AttemptId, Ended, Event, Health, Machine, MachineId, Micros, Note, Outcome, Reason,
    RequestId, ServiceId, Task, TaskKey,
};

/// Bytes of a batch header: clock, length, number of records.
pub const HEADER: usize = 16;
const EVENT: usize = 56;
const ACTION: usize = 24;
const LINE: usize = 33;

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record {
    /// The records after this belong to this instance.
    At(u16),
    /// A fresh instance: its seed and its settings as JSON.
    Init(u64, String),
    /// The instance is killed.
    Exit,
    /// A list, under a number that holds until it is used again.
    List(u16, Vec<Machine>),
    /// News of the list for this instance.
    Update(How, u16),
    /// Any other event, as the library knows it.
    Event(Event),
}

/// What a list update says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum How {
    /// Changed lines.
    Delta,
    /// The whole list.
    Full,
    /// The whole list, as last seen.
    Cached,
    /// The ask failed.
    Failed,
}

/// What is wrong with a frame: the record and the field.
pub type Fault = String;

/// Reads the header of a batch.
pub fn header(bytes: &[u8; HEADER]) -> (Micros, usize, usize) {
    let mut at = Cursor { bytes, at: 0 };
    let clock = at.u64();
    let length = at.u32() as usize;
    (clock, length, at.u32() as usize)
}

/// Reads the records of a batch from what follows its header.
pub fn records(body: &[u8], count: usize) -> Result<Vec<Record>, Fault> {
    let size = count
        .checked_mul(EVENT)
        .filter(|size| *size <= body.len())
        .ok_or_else(|| format!("record count: {count} records do not fit the frame"))?;
    let tail = &body[size..];
    let chunks = body[..size].chunks_exact(EVENT).enumerate();
    chunks
        .map(|(n, bytes)| record(bytes, tail).map_err(|fault| format!("record {n}: {fault}")))
        .collect()
}

struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Cursor<'_> {
    fn take<const N: usize>(&mut self) -> [u8; N] {
        let mut out = [0; N];
        out.copy_from_slice(&self.bytes[self.at..self.at + N]);
        self.at += N;
        out
    }
    fn u8(&mut self) -> u8 {
        u8::from_be_bytes(self.take())
    }
    fn u16(&mut self) -> u16 {
        u16::from_be_bytes(self.take())
    }
    fn u32(&mut self) -> u32 {
        u32::from_be_bytes(self.take())
    }
    fn u64(&mut self) -> u64 {
        u64::from_be_bytes(self.take())
    }
    fn f32(&mut self) -> f64 {
        f64::from(f32::from_be_bytes(self.take()))
    }
    fn machine(&mut self) -> MachineId {
        let address = u64::from(self.u32());
        MachineId(address << 16 | u64::from(self.u16()))
    }
    fn request(&mut self) -> RequestId {
        RequestId(self.u64())
    }
    fn attempt(&mut self) -> AttemptId {
        let request = self.request();
        AttemptId {
            request,
            number: self.u16(),
        }
    }
    fn report(&mut self) -> Result<Vec<f64>, Fault> {
        let count = usize::from(self.u8());
        let values: Vec<f64> = (0..4).map(|_| self.f32()).collect();
        values
            .get(..count)
            .map(<[f64]>::to_vec)
            .ok_or_else(|| format!("gauge: {count} values, at most 4 fit"))
    }
    fn span<'t>(&mut self, tail: &'t [u8], unit: usize, field: &str) -> Result<&'t [u8], Fault> {
        let (from, count) = (self.u32() as usize, self.u32() as usize);
        count
            .checked_mul(unit)
            .and_then(|size| from.checked_add(size))
            .and_then(|end| tail.get(from..end))
            .ok_or_else(|| format!("{field}: offset {from} and length {count} leave the tail"))
    }
}

fn record(bytes: &[u8], tail: &[u8]) -> Result<Record, Fault> {
    let mut c = Cursor { bytes, at: 0 };
    Ok(match c.u8() {
        16 => {
            let seed = c.u64();
            let text = c.span(tail, 1, "settings")?;
            let text = std::str::from_utf8(text).map_err(|e| format!("settings: {e}"))?;
            Record::Init(seed, text.to_owned())
        }
        17 => {
            let how = match c.u8() {
                0 => How::Delta,
                1 => How::Full,
                2 => How::Cached,
                3 => How::Failed,
                other => return Err(format!("how: {other} is no kind of update")),
            };
            let _revision = c.u64();
            Record::Update(how, c.u16())
        }
        18 => {
            let (request, class, tenant) = (c.request(), c.u16(), c.u16());
            let key = TaskKey(c.u64());
            let (grace_us, life) = (u64::from(c.u32()), u64::from(c.u32()));
            let service = ServiceId(c.u64());
            let (cores, memory) = (c.f32(), c.f32());
            let bits = c.u8();
            let ids = (request, class, tenant);
            let task = task(ids, key, service, (cores, memory), (bits, life));
            Record::Event(Event::Arrived { task, grace_us })
        }
        19 => Record::Event(Event::Placed {
            attempt: c.attempt(),
            machine: c.machine(),
            took_us: u64::from(c.u32()),
        }),
        20 => {
            let request = c.request();
            let outcome = match c.u16() {
                200 => Outcome::Finished,
                502 => Outcome::Error,
                429 => Outcome::Refused,
                408 => Outcome::TimedOut,
                521 => Outcome::Unconnected,
                520 => Outcome::Reset,
                444 => Outcome::Stopped,
                409 => Outcome::Unsent,
                other => return Err(format!("rc: {other} is no outcome")),
            };
            let _took_us = c.u32();
            let number = c.u16();
            let attempt = AttemptId { request, number };
            let machine = c.machine();
            let reason = match c.u32() {
                0 => None,
                1 => Some(Reason::NoCores),
                2 => Some(Reason::NoMemory),
                3 => Some(Reason::Crowded),
                4 => Some(Reason::NotHere),
                5 => Some(Reason::Evicted),
                6 => Some(Reason::PushedOut),
                7 => Some(Reason::SentAway),
                other => return Err(format!("note: {other} is no reason")),
            };
            let closed = c.u8() != 0;
            let report = c.report()?;
            Record::Event(Event::Ended(Ended {
                attempt,
                machine,
                outcome,
                reason,
                closed,
                report,
            }))
        }
        21 => Record::Event(Event::Withdrawn(c.request())),
        22 => Record::Event(Event::Woken(c.u64())),
        23 => {
            let (took_us, rc) = (u64::from(c.u32()), c.u16());
            Record::Event(Event::Probed {
                machine: c.machine(),
                answered: rc == 200,
                took_us,
                report: c.report()?,
            })
        }
        24 => {
            let from = c.u32();
            let body = c.span(tail, 1, "raw")?.to_vec();
            Record::Event(Event::Peer { from, body })
        }
        25 => Record::Exit,
        26 => {
            let (request, life) = (c.request(), u64::from(c.u32()));
            let _grace = c.u32();
            let bits = c.u8();
            let (key, service) = (TaskKey(c.u64()), ServiceId(c.u64()));
            let (class, cores, machine) = (c.u16(), c.f32(), c.machine());
            let memory = c.f32();
            let ids = (request, class, c.u16());
            let task = task(ids, key, service, (cores, memory), (bits, life));
            Record::Event(Event::Adopted { task, machine })
        }
        27 => {
            let (attempt, machine) = (c.attempt(), c.machine());
            let (topic, amount) = (c.u8(), c.f32());
            let note = match topic {
                1 => Note::Runs,
                2 => Note::Cores(amount),
                3 => Note::Memory(amount),
                4 => Note::Served(amount),
                5 => Note::Pressure(amount),
                other => return Err(format!("topic: {other} is no topic")),
            };
            Record::Event(Event::TaskSignal {
                attempt,
                machine,
                note,
            })
        }
        28 => {
            let number = c.u16();
            let lines = c.span(tail, LINE, "lines")?.chunks_exact(LINE);
            Record::List(number, lines.map(line).collect::<Result<_, _>>()?)
        }
        29 => Record::At(c.u16()),
        other => return Err(format!("code: {other} is no event")),
    })
}

fn task(
    (request, class, tenant): (RequestId, u16, u16),
    key: TaskKey,
    service: ServiceId,
    (cores, memory): (f64, f64),
    (bits, life): (u8, Micros),
) -> Task {
    let (life_us, again) = ((bits & 1 != 0).then_some(life), bits & (2 | 16) != 0);
    Task {
        request,
        class,
        tenant,
        key,
        service,
        cores,
        memory,
        life_us,
        again,
    }
}

fn line(bytes: &[u8]) -> Result<Machine, Fault> {
    let mut c = Cursor { bytes, at: 0 };
    let id = c.machine();
    let (zone, kind, cell) = (c.u16(), c.u16(), c.u16());
    let health = match c.u8() {
        0 => Health::Gone,
        1 => Health::Ready,
        2 => Health::Draining,
        other => return Err(format!("health: {other} is no state")),
    };
    let free_memory = Some(c.f32());
    let _weight = c.f32();
    Ok(Machine {
        id,
        zone,
        kind,
        cell,
        health,
        ready_at: Some(c.u64()).filter(|at| *at != 0),
        free_memory,
        free_cores: Some(c.f32()),
    })
}

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    fn push(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION;
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    fn text(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut span = [0; 8];
        span[..4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        span[4..].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
        span
    }

    /// The actions after this belong to this instance.
    pub fn speaking(&mut self, instance: u16) {
        self.push(89, &[&instance.to_be_bytes()]);
    }

    /// The decisions broke.
    pub fn fault(&mut self, text: &str) {
        let span = self.text(text.as_bytes());
        self.push(80, &[&span]);
    }

    /// One action of the library.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Offer {
                request,
                machine,
                within_us,
            } => {
                let within = within_us.map_or([0; 4], clip);
                self.push(93, &[&id(request), &host(machine), &within]);
            }
            Action::Stop(AttemptId { request, number }) => {
                self.push(83, &[&id(request), &number.to_be_bytes()]);
            }
            Action::Refuse {
                request,
                stay_away_us,
            } => {
                let stay_away = stay_away_us.map_or([0; 4], clip);
                self.push(91, &[&id(request), &stay_away]);
            }
            Action::Fail(request) => self.push(84, &[&id(request)]),
            Action::Move(request) => self.push(81, &[&id(request)]),
            Action::Probe(machine) => self.push(86, &[&host(machine)]),
            Action::CloseIdle(machine) => self.push(85, &[&host(machine)]),
            Action::Tell { to, body } => {
                let span = self.text(body);
                self.push(87, &[&to.unwrap_or(u32::MAX).to_be_bytes(), &span]);
            }
            Action::Watch(on) => self.push(92, &[&[u8::from(*on)]]),
            Action::Fetch => self.push(88, &[]),
            Action::Timer { token, after_us } => {
                self.push(90, &[&token.to_be_bytes(), &clip(*after_us)]);
            }
            Action::Log(text) => {
                let span = self.text(text.as_bytes());
                self.push(82, &[&span]);
            }
        }
    }

    /// The frame: header, records, tail.
    pub fn finish(self) -> Vec<u8> {
        let count = (self.records.len() / ACTION) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut frame = count.to_be_bytes().to_vec();
        frame.extend(length.to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }
}

fn id(request: &RequestId) -> [u8; 8] {
    request.0.to_be_bytes()
}

fn host(machine: &MachineId) -> [u8; 6] {
    let bytes = machine.0.to_be_bytes();
    [bytes[2], bytes[3], bytes[4], bytes[5], bytes[6], bytes[7]]
}

fn clip(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_be_bytes()
}
