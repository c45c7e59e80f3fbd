//! An acceptor's state as bytes: what a node writes before it answers, and reads when it starts.
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

use super::{AcceptedConfig, AcceptorState, PlacerSighting};
use crate::document::ConfigDocument;
use reader::FieldReader;

/// The first bytes of each state, with the number of the format.
const MAGIC: &[u8; 8] = b"rrplan 1";
/// Bytes of the checksum at the end.
const CHECKSUM_BYTES: usize = 4;

/// Why bytes are no state of an acceptor.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CorruptState {
    /// They are of another format, or of none.
    #[error("these are no bytes of an acceptor state, format 1")]
    Magic,
    /// They end too early, or something follows them.
    #[error("the length of the acceptor state does not fit")]
    Length,
    /// A byte changed.
    #[error("the checksum of the acceptor state does not fit")]
    Checksum,
    /// A field has an impossible value.
    #[error("byte {offset}: {field}")]
    Field {
        /// Offset of the byte after which the field was to be read.
        offset: usize,
        /// The field.
        field: &'static str,
    },
}

impl AcceptorState {
    /// The bytes of this state.
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
        for (placer, sighting) in &self.placers {
            body.extend(placer.to_be_bytes());
            body.extend((sighting.level as u32).to_be_bytes());
            body.extend((sighting.at_s as u32).to_be_bytes());
            body.extend(sighting.build.to_be_bytes());
        }
        body
    }

    /// Reads the bytes of a state.
    ///
    /// # Errors
    /// See [`CorruptState`]; bytes that were cut or changed are never read as another state.
    pub fn decode(bytes: &[u8]) -> Result<Self, CorruptState> {
        let body = checked_body(bytes)?;
        let mut fields = FieldReader::new(body, bytes.len() - CHECKSUM_BYTES);
        // The fields are read in the order in which they are written here.
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

/// The body, once magic, length and checksum fit.
fn checked_body(bytes: &[u8]) -> Result<&[u8], CorruptState> {
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

fn read_placers(
    fields: &mut FieldReader<'_>,
) -> Result<BTreeMap<u64, PlacerSighting>, CorruptState> {
    let count = fields.u16("the number of placers")?;
    let mut placers = BTreeMap::new();
    for _ in 0..count {
        let placer = fields.u64("a placer")?;
        let sighting = PlacerSighting {
            level: u64::from(fields.u32("a placer")?),
            at_s: u64::from(fields.u32("a placer")?),
            build: fields.u32("a placer")?,
        };
        placers.insert(placer, sighting);
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
