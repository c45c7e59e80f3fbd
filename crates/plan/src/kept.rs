//! A node's memory as bytes: what a node writes before it answers, and reads when it starts.
//!
//! ```text
//! magic 8 | body length u32 | body | crc32c u32                    (big-endian)
//! body  = list u64, changes u32, taught u8, promised (u64, u64), force?, next?, placers u16, each: name u64, level u32,
//!         at u32 (seconds since 1970), build u32
//! force = 1, plan           next = 1, ballot (u64, u64), joint u8, plan           neither: 0
//! plan  = number u64, digest 16, text length u16, text
//! ```

use std::collections::BTreeMap;

use reedring_node_protocol::{Ballot, ConfigDigest, ConfigVersion};

use crate::memory::{AcceptedConfig, AcceptorState, PlacerSighting};
use crate::text::ConfigDocument;

/// Placers that a node remembers; the one that was seen longest ago goes first.
pub const MAX_PLACERS: usize = 1_024;
const MAGIC: &[u8; 8] = b"rrplan 1";

/// Why bytes are no memory.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptState {
    /// Another format, or none.
    #[error("these are no bytes of a node's memory of plans, format 1")]
    Magic,
    /// They end too early, or something follows them.
    #[error("the memory's length does not fit")]
    Length,
    /// A byte changed.
    #[error("the memory's checksum does not fit")]
    Checksum,
    /// A field can't be.
    #[error("byte {at}: {what}")]
    Field {
        /// Where.
        at: usize,
        /// What.
        what: &'static str,
    },
}

fn put_kept(out: &mut Vec<u8>, kept: &ConfigDocument) {
    out.extend(kept.version().number.to_be_bytes());
    out.extend(kept.version().digest.0);
    out.extend((kept.text().len() as u16).to_be_bytes());
    out.extend(kept.text().as_bytes());
}

fn put_ballot(out: &mut Vec<u8>, ballot: Ballot) {
    out.extend(ballot.round.to_be_bytes());
    out.extend(ballot.by.to_be_bytes());
}

/// The bytes of a memory.
pub fn write(memory: &AcceptorState) -> Vec<u8> {
    let mut body = Vec::with_capacity(128);
    body.extend(memory.list.to_be_bytes());
    body.extend(memory.changes.to_be_bytes());
    body.push(u8::from(memory.taught));
    put_ballot(&mut body, memory.promised);
    body.push(u8::from(memory.force.is_some()));
    memory
        .force
        .iter()
        .for_each(|kept| put_kept(&mut body, kept));
    body.push(u8::from(memory.next.is_some()));
    if let Some(next) = &memory.next {
        put_ballot(&mut body, next.ballot);
        body.push(u8::from(next.joint));
        put_kept(&mut body, &next.kept);
    }
    body.extend((memory.seen.len() as u16).to_be_bytes());
    for (placer, seen) in &memory.seen {
        body.extend(placer.to_be_bytes());
        body.extend((seen.level as u32).to_be_bytes());
        body.extend((seen.at_s as u32).to_be_bytes());
        body.extend(seen.build.to_be_bytes());
    }
    let mut out = MAGIC.to_vec();
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    let sum = crc32c::crc32c(&out);
    out.extend(sum.to_be_bytes());
    out
}

/// Reads fields one after another.
struct Fields<'a> {
    rest: &'a [u8],
    whole: usize,
}

impl<'a> Fields<'a> {
    fn wrong(&self, what: &'static str) -> CorruptState {
        CorruptState::Field {
            at: self.whole - self.rest.len(),
            what,
        }
    }

    fn take(&mut self, count: usize, what: &'static str) -> Result<&'a [u8], CorruptState> {
        let (head, rest) = self
            .rest
            .split_at_checked(count)
            .ok_or_else(|| self.wrong(what))?;
        self.rest = rest;
        Ok(head)
    }

    fn number<const N: usize>(&mut self, what: &'static str) -> Result<[u8; N], CorruptState> {
        let bytes = self.take(N, what)?;
        bytes.try_into().map_err(|_| self.wrong(what))
    }

    fn u64(&mut self, what: &'static str) -> Result<u64, CorruptState> {
        self.number(what).map(u64::from_be_bytes)
    }

    fn u32(&mut self, what: &'static str) -> Result<u32, CorruptState> {
        self.number(what).map(u32::from_be_bytes)
    }

    fn flag(&mut self, what: &'static str) -> Result<bool, CorruptState> {
        match self.number::<1>(what)? {
            [0] => Ok(false),
            [1] => Ok(true),
            _ => Err(self.wrong(what)),
        }
    }

    fn ballot(&mut self) -> Result<Ballot, CorruptState> {
        Ok(Ballot {
            round: self.u64("a ballot")?,
            by: self.u64("a ballot")?,
        })
    }

    fn kept(&mut self) -> Result<ConfigDocument, CorruptState> {
        let number = self.u64("a plan's number")?;
        let digest = ConfigDigest(self.number("a plan's digest")?);
        let length = u16::from_be_bytes(self.number("a plan's text")?);
        let text = self.take(usize::from(length), "a plan's text")?;
        let text = std::str::from_utf8(text).map_err(|_| self.wrong("a plan's text"))?;
        ConfigDocument::checked(ConfigVersion { number, digest }, text)
            .map_err(|_| self.wrong("a plan that does not fit its digest"))
    }
}

/// Reads a memory's bytes.
///
/// # Errors
/// See [`CorruptState`]; nothing that was cut or changed is ever read as another memory.
pub fn read(bytes: &[u8]) -> Result<AcceptorState, CorruptState> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(CorruptState::Magic)?;
    let (length, rest) = rest.split_first_chunk().ok_or(CorruptState::Length)?;
    let length = u32::from_be_bytes(*length) as usize;
    if rest.len().checked_sub(4) != Some(length) {
        return Err(CorruptState::Length);
    }
    let (checked, sum) = bytes.split_at(bytes.len() - 4);
    if crc32c::crc32c(checked).to_be_bytes() != sum {
        return Err(CorruptState::Checksum);
    }
    let mut fields = Fields {
        rest: &rest[..length],
        whole: bytes.len() - 4,
    };
    let (list, changes) = (fields.u64("the list")?, fields.u32("the changes")?);
    let taught = fields.flag("whether it was taught")?;
    let promised = fields.ballot()?;
    let force = if fields.flag("the plan in force")? {
        Some(fields.kept()?)
    } else {
        None
    };
    let next = if fields.flag("the next plan")? {
        let (ballot, joint) = (fields.ballot()?, fields.flag("the next plan")?);
        Some(AcceptedConfig {
            ballot,
            joint,
            kept: fields.kept()?,
        })
    } else {
        None
    };
    let count = u16::from_be_bytes(fields.number("the placers")?);
    let mut seen = BTreeMap::new();
    for _ in 0..count {
        let placer = fields.u64("a placer")?;
        let level = u64::from(fields.u32("a placer")?);
        let (at_s, build) = (u64::from(fields.u32("a placer")?), fields.u32("a placer")?);
        seen.insert(placer, PlacerSighting { level, at_s, build });
    }
    if !fields.rest.is_empty() {
        return Err(fields.wrong("something follows"));
    }
    Ok(AcceptorState {
        force,
        next,
        promised,
        list,
        changes,
        taught,
        seen,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    fn full() -> AcceptorState {
        let kept = |number, text| ConfigDocument::new(number, text).unwrap();
        let next = AcceptedConfig {
            ballot: Ballot { round: 3, by: 9 },
            kept: kept(2, "two"),
            joint: true,
        };
        let seen = (0..5).map(|n| {
            (
                n,
                PlacerSighting {
                    level: 2 + n,
                    at_s: 1_700_000_000 + n,
                    build: 77,
                },
            )
        });
        AcceptorState {
            force: Some(kept(1, "one")),
            next: Some(next),
            promised: Ballot { round: 4, by: 8 },
            list: 12,
            changes: 3,
            taught: true,
            seen: seen.collect(),
        }
    }

    #[test]
    fn a_memory_reads_back_and_a_cut_or_changed_one_never_does() {
        for memory in [AcceptorState::default(), full()] {
            let bytes = write(&memory);
            assert_eq!(read(&bytes), Ok(memory.clone()));
            for cut in 0..bytes.len() {
                assert!(read(&bytes[..cut]).is_err(), "cut at {cut}");
            }
            for at in 0..bytes.len() {
                for bit in 0..8 {
                    let mut changed = bytes.clone();
                    changed[at] ^= 1 << bit;
                    assert!(read(&changed).is_err(), "bit {bit} of byte {at}");
                }
            }
        }
    }

    /// The bound that operators are told.
    #[test]
    fn a_placer_takes_under_64_bytes() {
        let mut memory = AcceptorState::default();
        let empty = write(&memory).len();
        for placer in 0..MAX_PLACERS as u64 {
            memory.seen.insert(
                placer,
                PlacerSighting {
                    level: 1 << 31,
                    at_s: 1 << 31,
                    build: u32::MAX,
                },
            );
        }
        assert!((write(&memory).len() - empty) / MAX_PLACERS < 64);
    }
}
