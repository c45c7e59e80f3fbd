//! A trace that was written at commit 073fcce, with each kind of record, decoded and encoded again.
//!
//! `golden/every-kind.trace` is the file, `golden/every-kind.txt` its records: number, time, kind, link, place, peer
//! and what crossed, in hexadecimal. Nothing here writes these files anew. A trace's own beginning and end, cuts and
//! flipped bits are tested beside its source.

use std::fmt::Write as _;

use reedring_audit::{Frame, Recorder, read};

const TRACE: &[u8] = include_bytes!("golden/every-kind.trace");
const RECORDS: &str = include_str!("golden/every-kind.txt");
const MAGIC: &[u8] = b"reedring trace 1\n";
/// Where a record's time stands, from the record's beginning: after its length and its kind.
const TIME: std::ops::Range<usize> = 5..13;

fn described(frames: &[Frame]) -> String {
    let mut out = String::new();
    for frame in frames {
        let hex: String = frame
            .bytes
            .iter()
            .map(|byte| format!("{byte:02x}"))
            .collect();
        writeln!(
            out,
            "{} {} {} {} {:?} {:?} {hex}",
            frame.number, frame.time_us, frame.event as u8, frame.link, frame.place, frame.peer
        )
        .unwrap();
    }
    out
}

/// The records of a trace, as they lie in the file.
fn split(trace: &[u8]) -> Vec<&[u8]> {
    let mut rest = trace.strip_prefix(MAGIC).unwrap();
    let mut records = Vec::new();
    while let Some((length, _)) = rest.split_first_chunk() {
        let (record, tail) = rest.split_at(u32::from_be_bytes(*length) as usize + 8);
        records.push(record);
        rest = tail;
    }
    records
}

/// A record under another time, with the checksum that it then has.
fn at_time_of(record: &[u8], other: &[u8]) -> Vec<u8> {
    let mut record = record.to_vec();
    record[TIME].copy_from_slice(&other[TIME]);
    let end = record.len() - 4;
    let sum = crc32c::crc32c(&record[4..end]).to_be_bytes();
    record[end..].copy_from_slice(&sum);
    record
}

#[test]
fn every_kind_of_record_is_decoded_to_the_same_values() {
    let frames = read(TRACE).unwrap();
    assert_eq!(described(&frames), RECORDS);
    let mut kinds: Vec<u8> = frames.iter().map(|frame| frame.event as u8).collect();
    kinds.sort_unstable();
    kinds.dedup();
    assert_eq!(kinds, (1..=16).collect::<Vec<u8>>());
}

/// A recorder takes each record's time from its clock: only the time is put in by the test.
#[test]
fn every_kind_of_record_is_encoded_to_the_same_bytes() {
    let recorder = Recorder::in_memory();
    for frame in read(TRACE).unwrap() {
        recorder.record(
            frame.event,
            &frame.place,
            &frame.peer,
            frame.link,
            &frame.bytes,
        );
    }
    let written = recorder.finish().unwrap();
    let (written, golden) = (split(&written), split(TRACE));
    assert_eq!(written.len(), golden.len());
    for (number, (written, golden)) in written.into_iter().zip(golden).enumerate() {
        assert_eq!(at_time_of(written, golden), golden, "record {number}");
    }
}
