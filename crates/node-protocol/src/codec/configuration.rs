//! Encoding of configuration versions, ballots, version stamps and acceptor reports.

use super::Wire;
use super::reader::{BodyReader, Field, FieldError};
use super::tags::flag;
use super::writer::BodyWriter;
use crate::configuration::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigDigest, ConfigVersion, VersionStamp,
};

impl Wire for ConfigVersion {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        writer.u64(self.number);
        writer.raw(&self.digest.0);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            number: reader.u64(Field::ConfigVersion)?,
            digest: ConfigDigest(reader.array(Field::ConfigVersion)?),
        })
    }
}

impl Wire for Ballot {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        writer.u64(self.round);
        writer.u64(self.proposer);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            round: reader.u64(Field::Ballot)?,
            proposer: reader.u64(Field::Ballot)?,
        })
    }
}

impl Wire for VersionStamp {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        self.version.encode(writer);
        writer.bool(self.joint);
        writer.u64(self.list_revision);
        writer.u32(self.build);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            version: Wire::decode(reader)?,
            joint: reader.bool()?,
            list_revision: reader.u64(Field::ListRevision)?,
            build: reader.u32(Field::Name)?,
        })
    }
}

impl Wire for AcceptedVersion {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        self.ballot.encode(writer);
        self.version.encode(writer);
        writer.bool(self.joint);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        Ok(Self {
            ballot: Wire::decode(reader)?,
            version: Wire::decode(reader)?,
            joint: reader.bool()?,
        })
    }
}

/// `is_learner` and `reads_deltas` are encoded as flags in the frame's header instead of the body, so that peers of
/// version 2, which ignore unknown flags, can still decode the body.
impl Wire for AcceptorReport {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        self.committed.encode(writer);
        writer.optional(self.accepted.as_ref());
        self.promised.encode(writer);
        writer.u64(self.list_revision);
        writer.u64(self.floor_age_ms);
        writer.u16(self.connected_placers);
        writer.u16(self.lagging_placers);
        writer.bool(self.cannot_persist);
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let flags = reader.header().flags;
        Ok(Self {
            committed: Wire::decode(reader)?,
            accepted: reader.optional()?,
            promised: Wire::decode(reader)?,
            list_revision: reader.u64(Field::ListRevision)?,
            floor_age_ms: reader.u64(Field::ReportCounters)?,
            connected_placers: reader.u16(Field::ReportCounters)?,
            lagging_placers: reader.u16(Field::ReportCounters)?,
            cannot_persist: reader.bool()?,
            is_learner: flags & flag::LEARNER != 0,
            reads_deltas: flags & flag::READS_DELTAS != 0,
        })
    }
}
