//! Runs the placer on the simulator's wire: batches on standard input, replies
//! on standard output. Every instance is a [`Placer`] of its own.
#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::panic::{self, AssertUnwindSafe};
use std::process::ExitCode;

use reedring::{Action, Event, Listing, Machine, Micros, Placer, settings};
use wire::{HEADER, How, Record, Reply};

struct Instance {
    placer: Placer,
    lists_free: bool,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Instance>,
    lists: BTreeMap<u16, Vec<Machine>>,
}

fn main() -> ExitCode {
    // A panic is answered on the wire; standard error stays one line a fault.
    panic::set_hook(Box::new(|_| {}));
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("reedring-bench-adapter: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut input: impl Read, mut output: impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut header = [0; HEADER];
    loop {
        match fill(&mut input, &mut header, "header")? {
            0 => return Ok(()),
            HEADER => {}
            got => return Err(format!("header: truncated after {got} of {HEADER} bytes")),
        }
        let (clock, length, count) = wire::header(&header);
        let mut body = Vec::new();
        let read = input.by_ref().take(length as u64).read_to_end(&mut body);
        read.map_err(|error| format!("records: {error}"))?;
        if body.len() < length {
            let got = body.len();
            return Err(format!("records: truncated after {got} of {length} bytes"));
        }
        let reply = host.batch(clock, wire::records(&body, count)?)?.finish();
        let written = output.write_all(&reply).and_then(|()| output.flush());
        written.map_err(|error| format!("reply: {error}"))?;
    }
}

fn fill(input: &mut impl Read, buffer: &mut [u8], place: &str) -> Result<usize, String> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(more) => got += more,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("{place}: {error}")),
        }
    }
    Ok(got)
}

impl Host {
    /// Plays the records in order; the events of one instance between two of
    /// its starts go to its placer together.
    fn batch(&mut self, clock: Micros, records: Vec<Record>) -> Result<Reply, String> {
        let mut reply = Reply::default();
        let mut waiting: BTreeMap<u16, Vec<Event>> = BTreeMap::new();
        let mut current = None;
        for (n, record) in records.into_iter().enumerate() {
            let started = |at: Option<u16>, instances: &BTreeMap<u16, Instance>| {
                at.filter(|at| instances.contains_key(at)).ok_or_else(|| {
                    let name = at.map_or("none".to_owned(), |at| at.to_string());
                    format!("record {n}: placer: instance {name} was never started")
                })
            };
            match record {
                Record::At(instance) => current = Some(instance),
                Record::List(number, lines) => {
                    self.lists.insert(number, lines);
                }
                Record::Init(seed, text) => {
                    let at =
                        current.ok_or_else(|| format!("record {n}: placer: Init before At"))?;
                    let deployment = settings::read(&text)
                        .map_err(|error| format!("record {n}: settings: {error}"))?;
                    let placer = Placer::new(deployment.module, seed);
                    waiting.remove(&at);
                    self.instances.insert(
                        at,
                        Instance {
                            placer,
                            lists_free: deployment.lists_free,
                        },
                    );
                }
                Record::Exit => {
                    let at = started(current, &self.instances)?;
                    waiting.remove(&at);
                    self.instances.remove(&at);
                }
                Record::Update(how, number) => {
                    let at = started(current, &self.instances)?;
                    let listing = self.listing(how, number, self.instances[&at].lists_free);
                    let listing = listing.map_err(|fault| format!("record {n}: {fault}"))?;
                    waiting.entry(at).or_default().push(Event::Listed(listing));
                }
                Record::Event(event) => {
                    let at = started(current, &self.instances)?;
                    waiting.entry(at).or_default().push(event);
                }
            }
        }
        let mut actions = Vec::new();
        for (at, events) in waiting {
            let Some(instance) = self.instances.get_mut(&at) else {
                continue;
            };
            let placer = &mut instance.placer;
            if let Err(text) = shielded(|| placer.step(clock, &events, &mut actions)) {
                let mut fault = Reply::default();
                fault.speaking(at);
                fault.fault(&text);
                return Ok(fault);
            }
            if !actions.is_empty() {
                reply.speaking(at);
                actions
                    .drain(..)
                    .for_each(|action: Action| reply.action(&action));
            }
        }
        Ok(reply)
    }

    fn listing(&self, how: How, number: u16, lists_free: bool) -> Result<Listing, String> {
        if how == How::Failed {
            return Ok(Listing::Failed);
        }
        let lines = self.lists.get(&number);
        let lines = lines.ok_or_else(|| format!("ref: list {number} was never sent"))?;
        let lines = lines.iter().map(|line| Machine {
            free_cores: line.free_cores.filter(|_| lists_free),
            free_memory: line.free_memory.filter(|_| lists_free),
            ..line.clone()
        });
        Ok(match how {
            How::Delta => Listing::Changes(lines.collect()),
            How::Full => Listing::Whole(lines.collect()),
            How::Cached | How::Failed => Listing::Cached(lines.collect()),
        })
    }
}

/// Runs the decisions; a panic comes back as its text.
fn shielded(step: impl FnOnce()) -> Result<(), String> {
    panic::catch_unwind(AssertUnwindSafe(step)).map_err(|panic| {
        let owned = panic.downcast_ref::<String>().cloned();
        let text = owned.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
        text.unwrap_or_else(|| "the decisions broke without a text".to_owned())
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_panic_becomes_a_fault_with_its_text() {
        let text = shielded(|| panic!("column {} is odd", 3)).unwrap_err();
        assert_eq!(text, "column 3 is odd");
        let mut reply = Reply::default();
        reply.fault(&text);
        let frame = reply.finish();
        assert_eq!(frame[8], 80);
        assert!(frame.ends_with(text.as_bytes()));
    }
}
