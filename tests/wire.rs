//! The adapter's codec: records that an independent encoder wrote are decoded to the same values, and every
//! action is encoded to the expected bytes.

#[path = "../src/bin/reedring-bench-adapter/wire/mod.rs"]
#[allow(
    dead_code,
    unused_imports,
    reason = "the adapter uses the whole codec, this test a part of it"
)]
mod wire;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reedring::*;
use wire::{ListUpdate, Record, Reply};

/// Encodes records independently of the code under test.
#[derive(Default)]
struct Encoder {
    records: Vec<u8>,
    tail: Vec<u8>,
    count: usize,
}

/// The IPv4 address and port of a machine.
fn address(machine: MachineId) -> Vec<u8> {
    machine.0.to_be_bytes()[2..].to_vec()
}

fn float(value: f64) -> Vec<u8> {
    (value as f32).to_be_bytes().to_vec()
}

fn report(values: &[f64]) -> Vec<u8> {
    let four = (0..4).flat_map(|n| float(values.get(n).copied().unwrap_or(0.0)));
    [values.len() as u8].into_iter().chain(four).collect()
}

impl Encoder {
    fn push(&mut self, code: u8, fields: &[Vec<u8>]) {
        let end = self.records.len() + 56;
        self.records.push(code);
        fields.iter().for_each(|field| self.records.extend(field));
        assert!(self.records.len() <= end);
        self.records.resize(end, 0);
        self.count += 1;
    }

    /// Appends bytes to the tail; returns the field that refers to them.
    fn tail_part(&mut self, bytes: &[u8], count: usize) -> Vec<u8> {
        let offset = self.tail.len() as u32;
        self.tail.extend(bytes);
        [offset.to_be_bytes(), (count as u32).to_be_bytes()].concat()
    }

    fn record(&mut self, record: &Record) {
        match record {
            Record::At(n) => self.push(29, &[n.to_be_bytes().to_vec()]),
            Record::Init(seed, text) => {
                let tail_part = self.tail_part(text.as_bytes(), text.len());
                self.push(16, &[seed.to_be_bytes().to_vec(), tail_part]);
            }
            Record::Exit => self.push(25, &[]),
            Record::List(number, lines) => {
                let bytes: Vec<u8> = lines.iter().flat_map(machine_entry).collect();
                let tail_part = self.tail_part(&bytes, lines.len());
                self.push(28, &[number.to_be_bytes().to_vec(), tail_part]);
            }
            Record::Update(update, number) => {
                self.push(
                    17,
                    &[
                        vec![*update as u8],
                        vec![7; 8],
                        number.to_be_bytes().to_vec(),
                    ],
                );
            }
            Record::Event(event) => self.event(event),
        }
    }

    #[allow(clippy::too_many_lines, reason = "a table of cases")]
    fn event(&mut self, event: &Event) {
        let number = |x: u64| x.to_be_bytes().to_vec();
        let time = |x: Micros| (x as u32).to_be_bytes().to_vec();
        let short = |x: u16| x.to_be_bytes().to_vec();
        let attempt_bytes = |id: &AttemptId| [number(id.request.0), short(id.number)].concat();
        let duration = |task: &Task| time(task.life_us.unwrap_or(0));
        let flags =
            |task: &Task| vec![u8::from(task.life_us.is_some()) | if task.again { 16 } else { 0 }];
        match event {
            Event::Arrived { task, grace_us } => {
                let ids = [
                    number(task.request.0),
                    short(task.class),
                    short(task.tenant),
                ];
                let more = [number(task.key.0), time(*grace_us), duration(task)];
                let size = [
                    number(task.service.0),
                    float(task.cores),
                    float(task.memory),
                    flags(task),
                ];
                self.push(18, &[ids.concat(), more.concat(), size.concat()]);
            }
            Event::Adopted { task, machine } => {
                let ids = [number(task.request.0), duration(task), time(9), flags(task)];
                let more = [
                    number(task.key.0),
                    number(task.service.0),
                    short(task.class),
                ];
                let size = [
                    float(task.cores),
                    address(*machine),
                    float(task.memory),
                    short(task.tenant),
                ];
                self.push(26, &[ids.concat(), more.concat(), size.concat()]);
            }
            Event::Placed {
                attempt,
                machine,
                took_us,
            } => {
                self.push(
                    19,
                    &[attempt_bytes(attempt), address(*machine), time(*took_us)],
                );
            }
            Event::TaskSignal {
                attempt,
                machine,
                note,
            } => {
                let (topic, amount) = match note {
                    Note::Runs => (1, 0.0),
                    Note::Cores(x) => (2, *x),
                    Note::Memory(x) => (3, *x),
                    Note::Served(x) => (4, *x),
                    Note::Pressure(x) => (5, *x),
                };
                self.push(
                    27,
                    &[
                        attempt_bytes(attempt),
                        address(*machine),
                        vec![topic],
                        float(amount),
                    ],
                );
            }
            Event::Ended(end) => {
                let code = match end.outcome {
                    Outcome::Finished => 200,
                    Outcome::Error => 502,
                    Outcome::Refused => 429,
                    Outcome::TimedOut => 408,
                    Outcome::Unconnected => 521,
                    Outcome::Reset => 520,
                    Outcome::Stopped => 444,
                    Outcome::Unsent => 409,
                };
                let reason = end.reason.map_or(0, |reason| reason as u32 + 1);
                let ids = [number(end.attempt.request.0), short(code), time(3)];
                let more = [
                    short(end.attempt.number),
                    address(end.machine),
                    time(u64::from(reason)),
                ];
                let rest = [vec![u8::from(end.closed)], report(&end.report)];
                self.push(20, &[ids.concat(), more.concat(), rest.concat()]);
            }
            Event::Withdrawn(request) => self.push(21, &[number(request.0)]),
            Event::TimerDue(token) => self.push(22, &[number(*token)]),
            Event::Probed {
                machine,
                answered,
                took_us,
                report: values,
            } => {
                let code = short(if *answered { 200 } else { 408 });
                self.push(
                    23,
                    &[time(*took_us), code, address(*machine), report(values)],
                );
            }
            Event::Peer { from, body } => {
                let tail_part = self.tail_part(body, body.len());
                self.push(24, &[from.to_be_bytes().to_vec(), tail_part]);
            }
            Event::Listed(_) => unreachable!("lists are sent as updates"),
            Event::EligibilityChanged { .. }
            | Event::Untracked { .. }
            | Event::BeliefsRestored(_)
            | Event::SettingsChanged(_)
            | Event::NoFurtherAttempts(_) => {
                unreachable!("the simulator does not send this event")
            }
        }
    }
}

/// An entry of a machine list.
fn machine_entry(machine: &Machine) -> Vec<u8> {
    let short = |x: u16| x.to_be_bytes().to_vec();
    let health = match machine.health {
        Health::Gone => 0,
        Health::Ready => 1,
        Health::Draining => 2,
    };
    let place = [
        short(machine.zone),
        short(machine.kind),
        short(machine.cell),
        vec![health],
    ];
    let free = |x: Option<f64>| float(x.unwrap_or(0.0));
    let ready = machine.ready_at.unwrap_or(0).to_be_bytes().to_vec();
    let rest = [
        free(machine.free_memory),
        float(1.0),
        ready,
        free(machine.free_cores),
    ];
    [address(machine.id), place.concat(), rest.concat()].concat()
}

#[allow(clippy::too_many_lines, reason = "a table of cases")]
/// Records of every kind with values that are derived from the arguments.
fn records(n: u64, x: u16, flag: bool, text: String) -> Vec<Record> {
    let (real, machine) = (f64::from(x) / 8.0, MachineId(n % (1 << 48)));
    let attempt = AttemptId {
        request: RequestId(n),
        number: x,
    };
    let life_us = flag.then_some(u64::from(x));
    let task = Task {
        request: RequestId(n),
        class: x,
        tenant: x / 2,
        key: TaskKey(n ^ 5),
        service: ServiceId(n ^ 9),
        cores: real,
        memory: real + 1.0,
        life_us,
        again: flag,
    };
    let outcomes = [
        Outcome::Finished,
        Outcome::Error,
        Outcome::Refused,
        Outcome::TimedOut,
        Outcome::Unconnected,
        Outcome::Reset,
        Outcome::Stopped,
        Outcome::Unsent,
    ];
    let reasons = [
        Reason::NoCores,
        Reason::NoMemory,
        Reason::Crowded,
        Reason::NotHere,
        Reason::Evicted,
        Reason::PushedOut,
        Reason::SentAway,
    ];
    let notes = [
        Note::Runs,
        Note::Cores(real),
        Note::Memory(real),
        Note::Served(real),
        Note::Pressure(real),
    ];
    let report = vec![real; usize::from(x % 5)];
    let end = |outcome: Outcome| {
        Event::Ended(Ended {
            attempt,
            machine,
            outcome,
            reason: reasons.get(usize::from(x % 8)).copied(),
            closed: flag,
            report: report.clone(),
        })
    };
    let entry = Machine {
        id: machine,
        zone: x,
        kind: x / 3,
        cell: x / 5,
        health: [Health::Gone, Health::Ready, Health::Draining][usize::from(x % 3)],
        ready_at: flag.then_some(n | 1),
        free_cores: Some(real),
        free_memory: Some(-real),
    };
    let update_kinds = [
        ListUpdate::Delta,
        ListUpdate::Full,
        ListUpdate::Cached,
        ListUpdate::Failed,
    ];
    let events = [
        Event::Arrived {
            task: task.clone(),
            grace_us: u64::from(x),
        },
        Event::Adopted { task, machine },
        Event::Placed {
            attempt,
            machine,
            took_us: u64::from(x),
        },
        Event::Withdrawn(RequestId(n)),
        Event::TimerDue(n),
        Event::Probed {
            machine,
            answered: flag,
            took_us: u64::from(x),
            report: report.clone(),
        },
        Event::Peer {
            from: u32::from(x),
            body: text.clone().into_bytes(),
        },
    ];
    let notes = notes.map(|note| Event::TaskSignal {
        attempt,
        machine,
        note,
    });
    let events = events.into_iter().chain(notes).chain(outcomes.map(end));
    let first = [Record::At(x), Record::Init(n, text), Record::Exit];
    let lists = [Record::List(x, vec![entry.clone(), entry])];
    let updates = update_kinds.map(|update| Record::Update(update, x));
    first
        .into_iter()
        .chain(lists)
        .chain(updates)
        .chain(events.map(Record::Event))
        .collect()
}

#[test]
fn records_of_every_kind_are_decoded() {
    let config = Config {
        failure_persistence: None,
        cases: 200,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let any = (0u64..1 << 52, any::<u16>(), any::<bool>(), "[a-zé]{0,9}");
    let run = TestRunner::new_with_rng(config, rng).run(&any, |(n, x, flag, text)| {
        let sent = records(n, x, flag, text);
        let mut encoder = Encoder::default();
        sent.iter().for_each(|record| encoder.record(record));
        let body = [encoder.records, encoder.tail].concat();
        assert_eq!(wire::decode_records(&body, encoder.count).unwrap(), sent);
        Ok(())
    });
    run.unwrap();
}

#[test]
fn actions_of_every_kind_are_encoded_to_the_expected_bytes() {
    let (request, machine) = (RequestId(0x0102), MachineId(0x0a00_0004_2328));
    let id = [0, 0, 0, 0, 0, 0, 1, 2];
    let cases: Vec<(Action, Vec<u8>)> = vec![
        (
            Action::Offer {
                request,
                machine,
                within_us: Some(7),
            },
            [&[93][..], &id, &[10, 0, 0, 4, 0x23, 0x28, 0, 0, 0, 7]].concat(),
        ),
        (
            Action::Stop(AttemptId { request, number: 3 }),
            [&[83][..], &id, &[0, 3]].concat(),
        ),
        (
            Action::Refuse {
                request,
                stay_away_us: Some(9),
            },
            [&[91][..], &id, &[0, 0, 0, 9]].concat(),
        ),
        (Action::Fail(request), [&[84][..], &id].concat()),
        (Action::Move(request), [&[81][..], &id].concat()),
        (Action::Probe(machine), vec![86, 10, 0, 0, 4, 0x23, 0x28]),
        (
            Action::CloseIdle(machine),
            vec![85, 10, 0, 0, 4, 0x23, 0x28],
        ),
        (Action::Watch(true), vec![92, 1]),
        (Action::Fetch, vec![88]),
        (
            Action::Timer {
                token: 0x0102,
                after_us: u64::MAX,
            },
            [&[90][..], &id, &[255; 4]].concat(),
        ),
        (Action::Log("hé".into()), vec![82, 0, 0, 0, 0, 0, 0, 0, 3]),
        (
            Action::Tell {
                to: None,
                body: vec![5],
            },
            vec![87, 255, 255, 255, 255, 0, 0, 0, 3, 0, 0, 0, 1],
        ),
    ];
    let mut reply = Reply::default();
    cases.iter().for_each(|(action, _)| reply.action(action));
    let frame = reply.finish();
    assert_eq!(frame[..4], (cases.len() as u32).to_be_bytes());
    assert_eq!(frame[4..8], ((frame.len() - 8) as u32).to_be_bytes());
    for (n, (action, mut bytes)) in cases.into_iter().enumerate() {
        bytes.resize(24, 0);
        assert_eq!(frame[8 + n * 24..32 + n * 24], bytes, "{action:?}");
    }
    assert!(frame.ends_with("hé\u{5}".as_bytes()));
}
