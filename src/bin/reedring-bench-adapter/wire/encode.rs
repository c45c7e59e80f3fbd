//! Encodes replies.

use reedring::{Action, AttemptId, MachineId, Micros, RequestId};

use super::ACTION_BYTES;
use super::codes::action as code;

/// The receiver of a message to all instances.
const ALL_INSTANCES: u32 = u32::MAX;

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl Reply {
    /// Starts the actions of this instance.
    pub fn begin_instance(&mut self, instance: u16) {
        self.push(code::INSTANCE, &[&instance.to_be_bytes()]);
    }

    /// Appends a fault of the current instance with the message of its panic.
    pub fn fault(&mut self, message: &str) {
        let part = self.push_tail(message.as_bytes());
        self.push(code::FAULT, &[&part]);
    }

    /// Appends an action of the decision module.
    pub fn action(&mut self, action: &Action) {
        match action {
            Action::Offer {
                request,
                machine,
                within_us,
            } => {
                let within = within_us.map_or([0; 4], micros_bytes);
                let fields: [&[u8]; 3] =
                    [&request_bytes(request), &machine_bytes(machine), &within];
                self.push(code::OFFER, &fields);
            }
            Action::Stop(AttemptId { request, number }) => {
                self.push(
                    code::STOP,
                    &[&request_bytes(request), &number.to_be_bytes()],
                );
            }
            Action::Refuse {
                request,
                stay_away_us,
            } => {
                let stay_away = stay_away_us.map_or([0; 4], micros_bytes);
                self.push(code::REFUSE, &[&request_bytes(request), &stay_away]);
            }
            Action::Fail(request) => self.push(code::FAIL, &[&request_bytes(request)]),
            Action::Move(request) => self.push(code::MOVE, &[&request_bytes(request)]),
            Action::Probe(machine) => self.push(code::PROBE, &[&machine_bytes(machine)]),
            Action::CloseIdle(machine) => self.push(code::CLOSE_IDLE, &[&machine_bytes(machine)]),
            Action::Tell { to, body } => {
                let part = self.push_tail(body);
                let to = to.unwrap_or(ALL_INSTANCES).to_be_bytes();
                self.push(code::TELL, &[&to, &part]);
            }
            Action::Watch(on) => self.push(code::WATCH, &[&[u8::from(*on)]]),
            Action::Fetch => self.push(code::FETCH, &[]),
            Action::Timer { token, after_us } => {
                self.push(
                    code::TIMER,
                    &[&token.to_be_bytes(), &micros_bytes(*after_us)],
                );
            }
            Action::Log(line) => {
                let part = self.push_tail(line.as_bytes());
                self.push(code::LOG, &[&part]);
            }
        }
    }

    /// The bytes of the reply: header, records, tail.
    pub fn finish(self) -> Vec<u8> {
        let count = (self.records.len() / ACTION_BYTES) as u32;
        let length = (self.records.len() + self.tail.len()) as u32;
        let mut frame = count.to_be_bytes().to_vec();
        frame.extend(length.to_be_bytes());
        frame.extend(self.records);
        frame.extend(self.tail);
        frame
    }

    /// Appends a record, padded with zeros to [`ACTION_BYTES`].
    fn push(&mut self, code: u8, fields: &[&[u8]]) {
        let end = self.records.len() + ACTION_BYTES;
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(end, 0);
    }

    /// Appends bytes to the tail; returns the field that refers to them: offset, then length.
    fn push_tail(&mut self, bytes: &[u8]) -> [u8; 8] {
        let mut part = [0; 8];
        part[..4].copy_from_slice(&(self.tail.len() as u32).to_be_bytes());
        part[4..].copy_from_slice(&(bytes.len() as u32).to_be_bytes());
        self.tail.extend_from_slice(bytes);
        part
    }
}

fn request_bytes(request: &RequestId) -> [u8; 8] {
    request.0.to_be_bytes()
}

/// The IPv4 address and port of a machine: the lower 48 bits of its id.
fn machine_bytes(machine: &MachineId) -> [u8; 6] {
    let [_, _, address_and_port @ ..] = machine.0.to_be_bytes();
    address_and_port
}

/// A time in microseconds in 32 bits; a longer one is reduced to the maximum.
fn micros_bytes(time: Micros) -> [u8; 4] {
    u32::try_from(time).unwrap_or(u32::MAX).to_be_bytes()
}
