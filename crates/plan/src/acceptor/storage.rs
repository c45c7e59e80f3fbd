//! The stored form of an acceptor's state: a node writes it before it answers, and reads it when it starts.
//!
//! ```text
//! magic 8 | body length u32 | body | crc32c u32                    (big-endian)
//! body      = list revision u64, replaced configurations u32, installed by catch-up u8, promised ballot (u64, u64),
//!             committed?, accepted?, placers u16,
//!             each placer: name hash u64, level u32, seen at u32 (seconds since 1970), build u32
//! committed = 1, document       accepted = 1, ballot (u64, u64), joint u8, document       neither: 0
//! document  = number u64, digest 16, text length u16, text
//! ```

mod reader;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use reedring_node_protocol::Ballot;

use super::{AcceptedConfig, AcceptorState, PlacerRecord};
use crate::document::ConfigDocument;
use reader::FieldReader;

/// The first bytes of each stored state; they include the version of the format.
const MAGIC: &[u8; 8] = b"rrplan 1";
/// Length in bytes of the CRC-32C at the end.
const CHECKSUM_BYTES: usize = 4;

/// Why stored bytes can't be read as the state of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptState {
    /// The bytes do not begin with the magic of this format.
    #[error("the stored acceptor state does not begin with the magic of format 1")]
    Magic,
    /// The number of bytes differs from the stored length: bytes are missing, or follow the end.
    #[error("the number of bytes of the acceptor state differs from its stored length")]
    Length,
    /// The stored checksum differs from the computed one: a byte was changed.
    #[error("the stored checksum of the acceptor state differs from the computed one")]
    Checksum,
    /// A field is cut off or has an invalid value.
    #[error("acceptor state, byte {offset}: can't read {field}")]
    Field {
        /// Offset in the stored bytes at which reading stopped.
        offset: usize,
        /// What the field holds.
        field: &'static str,
    },
}

impl AcceptorState {
    /// The stored form of this state.
    pub fn encode(&self) -> Vec<u8> {
        let body = self.encode_body();
        let mut out = MAGIC.to_vec();
        out.extend((body.len() as u32).to_be_bytes());
        out.extend(body);
        let checksum = crc32c::crc32c(&out);
        out.extend(checksum.to_be_bytes());
        out
    }

    fn encode_body(&self) -> Vec<u8> {
        let mut body = Vec::with_capacity(128);
        body.extend(self.list_revision.to_be_bytes());
        body.extend(self.replaced_configs.to_be_bytes());
        body.push(u8::from(self.installed_by_catch_up));
        put_ballot(&mut body, self.promised);
        body.push(u8::from(self.committed.is_some()));
        if let Some(committed) = &self.committed {
            put_document(&mut body, committed);
        }
        body.push(u8::from(self.accepted.is_some()));
        if let Some(accepted) = &self.accepted {
            put_ballot(&mut body, accepted.ballot);
            body.push(u8::from(accepted.joint));
            put_document(&mut body, &accepted.document);
        }
        body.extend((self.placers.len() as u16).to_be_bytes());
        for (placer, record) in &self.placers {
            body.extend(placer.to_be_bytes());
            body.extend((record.level as u32).to_be_bytes());
            body.extend((record.last_seen_s as u32).to_be_bytes());
            body.extend(record.build.to_be_bytes());
        }
        body
    }

    /// Reads the stored form of a state.
    ///
    /// # Errors
    /// If the magic, the length, the checksum or a field is invalid, so that truncated or changed bytes are rejected.
    pub fn decode(bytes: &[u8]) -> Result<Self, CorruptState> {
        let body = verified_body(bytes)?;
        let mut fields = FieldReader::new(body, bytes.len() - CHECKSUM_BYTES);
        // The initializers run in the order in which they are written, which is the order of the stored fields.
        let state = Self {
            list_revision: fields.u64("the node list revision")?,
            replaced_configs: fields.u32("the number of replaced configurations")?,
            installed_by_catch_up: fields.flag("whether it was installed by catch-up")?,
            promised: fields.ballot()?,
            committed: read_committed(&mut fields)?,
            accepted: read_accepted(&mut fields)?,
            placers: read_placers(&mut fields)?,
        };
        fields.finish()?;
        Ok(state)
    }
}

/// The body of a stored state whose magic, length and checksum are valid.
fn verified_body(bytes: &[u8]) -> Result<&[u8], CorruptState> {
    let rest = bytes.strip_prefix(MAGIC).ok_or(CorruptState::Magic)?;
    let (length, rest) = rest.split_first_chunk().ok_or(CorruptState::Length)?;
    let length = u32::from_be_bytes(*length) as usize;
    if rest.len().checked_sub(CHECKSUM_BYTES) != Some(length) {
        return Err(CorruptState::Length);
    }
    let (checked, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
    if crc32c::crc32c(checked).to_be_bytes() != checksum {
        return Err(CorruptState::Checksum);
    }
    Ok(&rest[..length])
}

fn read_committed(fields: &mut FieldReader<'_>) -> Result<Option<ConfigDocument>, CorruptState> {
    if !fields.flag("the committed configuration")? {
        return Ok(None);
    }
    fields.document().map(Some)
}

fn read_accepted(fields: &mut FieldReader<'_>) -> Result<Option<AcceptedConfig>, CorruptState> {
    if !fields.flag("the accepted configuration")? {
        return Ok(None);
    }
    Ok(Some(AcceptedConfig {
        ballot: fields.ballot()?,
        joint: fields.flag("the accepted configuration")?,
        document: fields.document()?,
    }))
}

fn read_placers(fields: &mut FieldReader<'_>) -> Result<BTreeMap<u64, PlacerRecord>, CorruptState> {
    let count = fields.u16("the number of placers")?;
    let mut placers = BTreeMap::new();
    for _ in 0..count {
        let placer = fields.u64("a placer")?;
        let record = PlacerRecord {
            level: u64::from(fields.u32("a placer")?),
            last_seen_s: u64::from(fields.u32("a placer")?),
            build: fields.u32("a placer")?,
        };
        placers.insert(placer, record);
    }
    Ok(placers)
}

fn put_ballot(out: &mut Vec<u8>, ballot: Ballot) {
    out.extend(ballot.round.to_be_bytes());
    out.extend(ballot.proposer.to_be_bytes());
}

fn put_document(out: &mut Vec<u8>, document: &ConfigDocument) {
    out.extend(document.version().number.to_be_bytes());
    out.extend(document.version().digest.0);
    out.extend((document.text().len() as u16).to_be_bytes());
    out.extend(document.text().as_bytes());
}
