//! The trace's format: a line of magic, then records, each with its length and a CRC-32C.
//!
//! ```text
//! record  = length u32, body, crc32c(body) u32          (big-endian)
//! body    = kind u8, time u64 (microseconds since the trace began), link u64,
//!           place (u16 length, UTF-8), peer (u16 length, UTF-8), bytes (the rest)
//! ```

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MAGIC: &[u8] = b"reedring trace 1\n";
/// Bytes of one record at most: the largest answer to a client, and a little.
const MAX_RECORD: usize = 80 << 20;

/// What a record is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Event {
    /// A placer started: place its name, link its life, bytes its settings.
    PlacerStarted = 1,
    /// A placer was ended, by its user or a script.
    PlacerEnded = 2,
    /// A placer was told this node list: place its name, bytes the list as TOML.
    Listed = 3,
    /// A placer read a frame from a client: link the connection.
    FromClient = 4,
    /// A placer wrote a frame to a client.
    ToClient = 5,
    /// A client's connection ended.
    ClientGone = 6,
    /// A placer wrote a frame to a node: peer the node, link the link.
    ToNode = 7,
    /// A placer read a frame from a node.
    FromNode = 8,
    /// A placer's link to a node ended.
    LinkDown = 9,
    /// A node started: place its name, link its life.
    NodeStarted = 10,
    /// A node died.
    NodeEnded = 11,
    /// A node read a frame from a placer: place the node, peer the placer where it is known.
    NodeRead = 12,
    /// A node wrote a frame to a placer.
    NodeWrote = 13,
    /// A script did something to the site: bytes what, in words.
    Script = 14,
    /// A placer was made to stand still: link for how many microseconds.
    PlacerStalled = 15,
    /// The trace began: link the time of day in microseconds since 1970, by which traces of several processes are
    /// put together.
    Clock = 16,
}

impl Event {
    const ALL: [Self; 16] = [
        Self::PlacerStarted,
        Self::PlacerEnded,
        Self::Listed,
        Self::FromClient,
        Self::ToClient,
        Self::ClientGone,
        Self::ToNode,
        Self::FromNode,
        Self::LinkDown,
        Self::NodeStarted,
        Self::NodeEnded,
        Self::NodeRead,
        Self::NodeWrote,
        Self::Script,
        Self::PlacerStalled,
        Self::Clock,
    ];
}

/// One record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its position in the trace, from 0.
    pub number: usize,
    /// Microseconds since the trace began.
    pub time_us: u64,
    /// What it is about.
    pub event: Event,
    /// Whose socket: a placer's or a node's name.
    pub place: String,
    /// Who is at the other end.
    pub peer: String,
    /// Connection, link or life, by the event.
    pub link: u64,
    /// What crossed.
    pub bytes: Vec<u8>,
}

/// Writes a trace. Shared by all sockets of a process, so that their records are in one order.
#[derive(Debug)]
pub struct Recorder {
    began: Instant,
    out: Mutex<Sink>,
}

#[derive(Debug)]
enum Sink {
    /// Each record is written as it comes: a process that is killed leaves what it had recorded.
    File(File),
    Memory(Vec<u8>),
    /// The file could not be written; what follows is dropped.
    Broken(io::ErrorKind),
}

fn put(body: &mut Vec<u8>, text: &str) {
    let text = &text.as_bytes()[..text.len().min(usize::from(u16::MAX))];
    body.extend_from_slice(&(text.len() as u16).to_be_bytes());
    body.extend_from_slice(text);
}

impl Recorder {
    fn new(mut sink: Sink) -> io::Result<Self> {
        match &mut sink {
            Sink::File(file) => file.write_all(MAGIC)?,
            Sink::Memory(bytes) => bytes.extend_from_slice(MAGIC),
            Sink::Broken(_) => {}
        }
        Ok(Self {
            began: Instant::now(),
            out: Mutex::new(sink),
        })
    }

    /// A recorder that writes a file, in place of one that is there.
    ///
    /// # Errors
    /// Where the file can't be made.
    pub fn create(path: &Path) -> io::Result<Self> {
        let recorder = Self::new(Sink::File(File::create(path)?))?;
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let began = unix.saturating_sub(recorder.began.elapsed());
        recorder.record(Event::Clock, "", "", began.as_micros() as u64, b"");
        Ok(recorder)
    }

    /// A recorder that keeps its trace in memory.
    pub fn in_memory() -> Self {
        Self::new(Sink::Memory(Vec::new())).expect("memory takes what is written")
    }

    /// Records what just crossed.
    pub fn record(&self, event: Event, place: &str, peer: &str, link: u64, bytes: &[u8]) {
        let mut out = self
            .out
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        // The time is taken under the lock, so that it never goes back from record to record.
        let time_us = self.began.elapsed().as_micros() as u64;
        let mut body = Vec::with_capacity(32 + place.len() + peer.len() + bytes.len());
        body.push(event as u8);
        body.extend_from_slice(&time_us.to_be_bytes());
        body.extend_from_slice(&link.to_be_bytes());
        put(&mut body, place);
        put(&mut body, peer);
        body.extend_from_slice(bytes);
        let (length, sum) = (
            (body.len() as u32).to_be_bytes(),
            crc32c::crc32c(&body).to_be_bytes(),
        );
        match &mut *out {
            Sink::Memory(all) => [&length[..], &body, &sum]
                .iter()
                .for_each(|part| all.extend_from_slice(part)),
            Sink::File(file) => {
                let whole = [&length[..], &body, &sum].concat();
                if let Err(error) = file.write_all(&whole) {
                    *out = Sink::Broken(error.kind());
                }
            }
            Sink::Broken(_) => {}
        }
    }

    /// The trace so far: its bytes where it is kept in memory, and empty where it went to a file, which
    /// is whole on disk after this.
    ///
    /// # Errors
    /// Where a record could not be written.
    pub fn finish(&self) -> io::Result<Vec<u8>> {
        match &mut *self
            .out
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
        {
            Sink::File(file) => file.flush().map(|()| Vec::new()),
            Sink::Memory(bytes) => Ok(bytes.clone()),
            Sink::Broken(kind) => Err(io::Error::from(*kind)),
        }
    }
}

/// Why bytes are no trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TraceError {
    /// The first line is another.
    #[error("the file is no reedring trace of version 1")]
    Magic,
    /// A record can't be read.
    #[error("record {number}, byte {at}: {why}")]
    Record {
        /// Which.
        number: usize,
        /// Where it begins.
        at: usize,
        /// What is wrong.
        why: &'static str,
    },
}

/// Puts the traces of several processes together, in the order of their clocks. A single one stays as it is.
pub fn merge(traces: Vec<Vec<Frame>>) -> Vec<Frame> {
    if traces.len() < 2 {
        return traces.into_iter().flatten().collect();
    }
    let began = |trace: &[Frame]| {
        trace
            .iter()
            .find(|frame| frame.event == Event::Clock)
            .map_or(0, |frame| frame.link)
    };
    let first = traces.iter().map(|trace| began(trace)).min().unwrap_or(0);
    let mut all: Vec<Frame> = Vec::new();
    for trace in traces {
        let after = began(&trace) - first;
        all.extend(trace.into_iter().map(|frame| Frame {
            time_us: frame.time_us + after,
            ..frame
        }));
    }
    all.sort_by_key(|frame| frame.time_us);
    all.iter_mut()
        .zip(0..)
        .for_each(|(frame, number)| frame.number = number);
    all
}

fn take<'a>(bytes: &mut &'a [u8], count: usize) -> Option<&'a [u8]> {
    let (head, rest) = bytes.split_at_checked(count)?;
    *bytes = rest;
    Some(head)
}

fn number<const N: usize>(bytes: &mut &[u8]) -> Option<[u8; N]> {
    take(bytes, N)?.try_into().ok()
}

fn text(bytes: &mut &[u8]) -> Option<String> {
    let length = u16::from_be_bytes(number(bytes)?);
    String::from_utf8(take(bytes, usize::from(length))?.to_vec()).ok()
}

fn body(mut bytes: &[u8], number_of: usize) -> Option<Frame> {
    let [kind] = number(&mut bytes)?;
    let event = Event::ALL.into_iter().find(|event| *event as u8 == kind)?;
    let time_us = u64::from_be_bytes(number(&mut bytes)?);
    let link = u64::from_be_bytes(number(&mut bytes)?);
    let (place, peer) = (text(&mut bytes)?, text(&mut bytes)?);
    Some(Frame {
        number: number_of,
        time_us,
        event,
        place,
        peer,
        link,
        bytes: bytes.to_vec(),
    })
}

/// Reads a whole trace. A last record that was cut short, as by a kill, is left out.
///
/// # Errors
/// See [`TraceError`].
pub fn read(bytes: &[u8]) -> Result<Vec<Frame>, TraceError> {
    let mut rest = bytes.strip_prefix(MAGIC).ok_or(TraceError::Magic)?;
    let mut frames = Vec::new();
    while !rest.is_empty() {
        let (number_of, at) = (frames.len(), bytes.len() - rest.len());
        let wrong = |why| TraceError::Record {
            number: number_of,
            at,
            why,
        };
        let Some(length) = number(&mut rest).map(u32::from_be_bytes) else {
            break;
        };
        if length as usize > MAX_RECORD {
            return Err(wrong("its length is over the limit"));
        }
        let Some(bytes) = take(&mut rest, length as usize) else {
            break;
        };
        let Some(sum) = number(&mut rest).map(u32::from_be_bytes) else {
            break;
        };
        if crc32c::crc32c(bytes) != sum {
            return Err(wrong("its checksum does not fit"));
        }
        frames.push(body(bytes, number_of).ok_or_else(|| wrong("a field can't be read"))?);
    }
    Ok(frames)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_trace_reads_back_and_a_cut_end_is_left_out() {
        let recorder = Recorder::in_memory();
        recorder.record(Event::ToNode, "p", "n", 3, b"abc");
        recorder.record(Event::NodeEnded, "n", "", 9, b"");
        let bytes = recorder.finish().unwrap();
        let frames = read(&bytes).unwrap();
        assert_eq!(frames.len(), 2);
        assert_eq!(
            (frames[0].event, frames[0].link, &frames[0].bytes[..]),
            (Event::ToNode, 3, &b"abc"[..])
        );
        for cut in MAGIC.len()..bytes.len() {
            assert!(read(&bytes[..cut]).unwrap().len() < 2);
        }
    }

    #[test]
    fn a_flipped_bit_is_found() {
        let recorder = Recorder::in_memory();
        recorder.record(Event::ToNode, "p", "n", 3, b"abc");
        let whole = recorder.finish().unwrap();
        for at in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[at] ^= 1;
            // A longer length looks like a cut end; nothing else passes.
            assert!(
                read(&bytes).is_err() || read(&bytes).unwrap().is_empty(),
                "byte {at}"
            );
        }
    }
}
