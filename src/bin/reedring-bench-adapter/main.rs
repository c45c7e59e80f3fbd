//! Connects the decision module to the simulator: reads batches of events from standard input and
//! writes replies with actions to standard output. Each simulated scheduler has its own
//! [`Placer`](reedring::Placer).
#![forbid(unsafe_code)]

mod error;
mod instances;
mod panics;
#[cfg(test)]
mod tests;
mod wire;

use std::io::{self, Read, Write};
use std::panic;
use std::process::ExitCode;

use crate::error::AdapterError;
use crate::instances::Instances;
use crate::wire::{BatchHeader, HEADER_BYTES};

fn main() -> ExitCode {
    // A panic is reported in the reply, and an error as one line on standard error; the default hook
    // would print the panic there, too.
    panic::set_hook(Box::new(|_| {}));
    match run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("reedring-bench-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Processes batches until the end of the input.
fn run(mut input: impl Read, mut output: impl Write) -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    while let Some(header) = read_header(&mut input)? {
        let body = read_body(&mut input, header.body_bytes)?;
        let records = wire::decode_records(&body, header.records)?;
        let reply = instances.process_batch(header.clock, records)?.finish();
        output
            .write_all(&reply)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// Reads the header of the next batch; `None` at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, AdapterError> {
    let mut header = [0; HEADER_BYTES];
    let mut read = 0;
    while read < header.len() {
        match input.read(&mut header[read..]) {
            Ok(0) => break,
            Ok(count) => read += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(source) => {
                return Err(AdapterError::Read {
                    part: "header",
                    source,
                });
            }
        }
    }
    match read {
        0 => Ok(None),
        HEADER_BYTES => Ok(Some(BatchHeader::decode(&header))),
        _ => Err(AdapterError::Truncated {
            part: "header",
            read,
            expected: HEADER_BYTES,
        }),
    }
}

/// Reads the `expected` bytes that follow the header of a batch.
fn read_body(input: &mut impl Read, expected: usize) -> Result<Vec<u8>, AdapterError> {
    const PART: &str = "records";
    let mut body = Vec::new();
    input
        .take(expected as u64)
        .read_to_end(&mut body)
        .map_err(|source| AdapterError::Read { part: PART, source })?;
    if body.len() < expected {
        return Err(AdapterError::Truncated {
            part: PART,
            read: body.len(),
            expected,
        });
    }
    Ok(body)
}
