//! Reads a trace.

use super::record::{Event, Frame};
use super::{MAGIC, MAX_RECORD_BYTES};

/// Why bytes are no trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TraceError {
    /// The first line is another.
    #[error("the file is no reedring trace of version 1")]
    Magic,
    /// A record can't be read.
    #[error("record {number}, byte {at}: {problem}")]
    Record {
        /// Its number.
        number: usize,
        /// The byte at which it begins.
        at: usize,
        /// What is wrong with it.
        problem: RecordProblem,
    },
}

/// What is wrong with a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordProblem {
    /// It is longer than any record.
    #[error("its length is over the limit")]
    Length,
    /// Its bytes are damaged.
    #[error("its checksum does not fit")]
    Checksum,
    /// A field has no such value, or is cut short.
    #[error("a field can't be read")]
    Field,
}

/// Reads fields from the front of a slice.
struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (head, rest) = self.rest.split_at_checked(count)?;
        self.rest = rest;
        Some(head)
    }

    fn array<const N: usize>(&mut self) -> Option<[u8; N]> {
        self.bytes(N)?.try_into().ok()
    }

    fn u32(&mut self) -> Option<u32> {
        self.array().map(u32::from_be_bytes)
    }

    fn u64(&mut self) -> Option<u64> {
        self.array().map(u64::from_be_bytes)
    }

    fn text(&mut self) -> Option<String> {
        let length = u16::from_be_bytes(self.array()?);
        String::from_utf8(self.bytes(usize::from(length))?.to_vec()).ok()
    }
}

fn decode_body(body: &[u8], number: usize) -> Option<Frame> {
    let mut reader = Reader { rest: body };
    let [kind] = reader.array()?;
    let event = Event::ALL.into_iter().find(|event| *event as u8 == kind)?;
    Some(Frame {
        number,
        time_us: reader.u64()?,
        event,
        link: reader.u64()?,
        place: reader.text()?,
        peer: reader.text()?,
        bytes: reader.rest.to_vec(),
    })
}

/// Reads the next record; `None` where it is cut short.
fn read_record(reader: &mut Reader<'_>, number: usize) -> Result<Option<Frame>, RecordProblem> {
    let Some(length) = reader.u32() else {
        return Ok(None);
    };
    if length as usize > MAX_RECORD_BYTES {
        return Err(RecordProblem::Length);
    }
    let Some(body) = reader.bytes(length as usize) else {
        return Ok(None);
    };
    let Some(checksum) = reader.u32() else {
        return Ok(None);
    };
    if crc32c::crc32c(body) != checksum {
        return Err(RecordProblem::Checksum);
    }
    decode_body(body, number)
        .map(Some)
        .ok_or(RecordProblem::Field)
}

/// Reads a whole trace. A last record that was cut short, as by a kill, is left out.
///
/// # Errors
/// See [`TraceError`].
pub fn read(bytes: &[u8]) -> Result<Vec<Frame>, TraceError> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(TraceError::Magic)?;
    let mut reader = Reader { rest };
    let mut frames = Vec::new();
    while !reader.rest.is_empty() {
        let (number, at) = (frames.len(), bytes.len() - reader.rest.len());
        let record = read_record(&mut reader, number);
        match record.map_err(|problem| TraceError::Record {
            number,
            at,
            problem,
        })? {
            Some(frame) => frames.push(frame),
            None => break,
        }
    }
    Ok(frames)
}
