//! Writes a trace.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use super::MAGIC;
use super::record::Event;

/// Bytes of a record's body before its texts and what crossed, rounded up.
const BODY_HEADER_BYTES: usize = 32;

/// Writes a trace. Shared by all sockets of a process, so that their records are in one order.
#[derive(Debug)]
pub struct Recorder {
    began: Instant,
    output: Mutex<Output>,
}

#[derive(Debug)]
enum Output {
    /// Each record is written at once: a process that is killed leaves what it had recorded.
    File(File),
    Memory(Vec<u8>),
    /// The file could not be written; what follows is dropped.
    Failed(io::ErrorKind),
}

impl Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        match self {
            Self::File(file) => file.write_all(bytes),
            Self::Memory(all) => {
                all.extend_from_slice(bytes);
                Ok(())
            }
            Self::Failed(_) => Ok(()),
        }
    }
}

/// Appends a text with its length; a longer one than fits is cut.
fn push_text(body: &mut Vec<u8>, text: &str) {
    let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    body.extend_from_slice(&(text.len() as u16).to_be_bytes());
    body.extend_from_slice(text);
}

impl Recorder {
    fn new(mut output: Output) -> io::Result<Self> {
        output.write(MAGIC)?;
        Ok(Self {
            began: Instant::now(),
            output: Mutex::new(output),
        })
    }

    /// A recorder that writes a file, and replaces one that is there.
    ///
    /// # Errors
    /// Where the file can't be made.
    pub fn create(path: &Path) -> io::Result<Self> {
        let recorder = Self::new(Output::File(File::create(path)?))?;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let began = unix.saturating_sub(recorder.began.elapsed());
        recorder.record(Event::Clock, "", "", began.as_micros() as u64, b"");
        Ok(recorder)
    }

    /// A recorder whose trace stays in memory.
    pub fn in_memory() -> Self {
        Self {
            began: Instant::now(),
            output: Mutex::new(Output::Memory(MAGIC.to_vec())),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Output> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records what just crossed.
    pub fn record(&self, event: Event, place: &str, peer: &str, link: u64, bytes: &[u8]) {
        let mut output = self.lock();
        // The time is taken under the lock, so that it never decreases from record to record.
        let time_us = self.began.elapsed().as_micros() as u64;
        let texts = place.len() + peer.len();
        let mut body = Vec::with_capacity(BODY_HEADER_BYTES + texts + bytes.len());
        body.push(event as u8);
        body.extend_from_slice(&time_us.to_be_bytes());
        body.extend_from_slice(&link.to_be_bytes());
        push_text(&mut body, place);
        push_text(&mut body, peer);
        body.extend_from_slice(bytes);
        let length = (body.len() as u32).to_be_bytes();
        let checksum = crc32c::crc32c(&body).to_be_bytes();
        let record = [&length[..], &body, &checksum].concat();
        if let Err(error) = output.write(&record) {
            *output = Output::Failed(error.kind());
        }
    }

    /// The trace so far: its bytes where it is in memory, and empty where it went to a file, which is complete on disk
    /// after this.
    ///
    /// # Errors
    /// Where a record could not be written.
    pub fn finish(&self) -> io::Result<Vec<u8>> {
        match &mut *self.lock() {
            Output::File(file) => file.flush().map(|()| Vec::new()),
            Output::Memory(bytes) => Ok(bytes.clone()),
            Output::Failed(kind) => Err(io::Error::from(*kind)),
        }
    }
}
