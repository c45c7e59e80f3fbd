//! Encoding of requests to a node's acceptor.

use super::Wire;
use super::reader::{BodyReader, Field, FieldError};
use super::tags::since;
use super::writer::BodyWriter;
use crate::MAX_PLAN;
use crate::configuration::{ConfigRequest, DeltaStep};

/// Codes of [`ConfigRequest`]. A fetch has a code of its own if the sender has a configuration already.
mod kind {
    pub(super) const QUERY: u8 = 0;
    pub(super) const FETCH: u8 = 1;
    pub(super) const PREPARE: u8 = 2;
    pub(super) const ACCEPT: u8 = 3;
    pub(super) const ENTER_JOINT: u8 = 4;
    pub(super) const COMMIT: u8 = 5;
    pub(super) const RAISE_FLOOR: u8 = 6;
    pub(super) const FETCH_DELTA: u8 = 7;
    pub(super) const BY_DELTA: u8 = 8;
}

/// Codes of [`DeltaStep`].
mod step {
    pub(super) const ACCEPT: u8 = 0;
    pub(super) const ENTER_JOINT: u8 = 1;
    pub(super) const COMMIT: u8 = 2;
}

impl Wire for DeltaStep {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        match self {
            Self::Accept { ballot } => {
                writer.u8(step::ACCEPT);
                ballot.encode(writer);
            }
            Self::EnterJoint => writer.u8(step::ENTER_JOINT),
            Self::Commit => writer.u8(step::COMMIT),
        }
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(Field::RequestKind);
        match reader.u8(Field::RequestKind)? {
            step::ACCEPT => Ok(Self::Accept {
                ballot: Wire::decode(reader)?,
            }),
            step::ENTER_JOINT => Ok(Self::EnterJoint),
            step::COMMIT => Ok(Self::Commit),
            _ => Err(error),
        }
    }
}

fn kind_of(request: &ConfigRequest) -> u8 {
    match request {
        ConfigRequest::Query { .. } => kind::QUERY,
        ConfigRequest::Fetch { have: None, .. } => kind::FETCH,
        ConfigRequest::Fetch { have: Some(_), .. } => kind::FETCH_DELTA,
        ConfigRequest::Prepare { .. } => kind::PREPARE,
        ConfigRequest::Accept { .. } => kind::ACCEPT,
        ConfigRequest::ByDelta { .. } => kind::BY_DELTA,
        ConfigRequest::EnterJoint { .. } => kind::ENTER_JOINT,
        ConfigRequest::Commit { .. } => kind::COMMIT,
        ConfigRequest::RaiseFloor { .. } => kind::RAISE_FLOOR,
    }
}

impl Wire for ConfigRequest {
    fn encode(&self, writer: &mut BodyWriter<'_>) {
        writer.u8(kind_of(self));
        match self {
            Self::Query { stamp } | Self::RaiseFloor { stamp } => stamp.encode(writer),
            Self::Fetch { version, have } => {
                version.encode(writer);
                if let Some(have) = have {
                    have.encode(writer);
                }
            }
            Self::Prepare {
                follows,
                ballot,
                list,
            } => {
                follows.encode(writer);
                ballot.encode(writer);
                writer.u64(*list);
            }
            Self::Accept {
                follows,
                ballot,
                version,
                text,
                list,
            } => {
                follows.encode(writer);
                ballot.encode(writer);
                version.encode(writer);
                writer.text(text, MAX_PLAN);
                writer.u64(*list);
            }
            Self::ByDelta { step, delta, list } => {
                step.encode(writer);
                delta.encode(writer);
                writer.u64(*list);
            }
            Self::EnterJoint {
                follows,
                version,
                text,
                list,
            } => {
                follows.encode(writer);
                version.encode(writer);
                writer.text(text, MAX_PLAN);
                writer.u64(*list);
            }
            Self::Commit {
                version,
                text,
                list,
            } => {
                version.encode(writer);
                writer.text(text, MAX_PLAN);
                writer.u64(*list);
            }
        }
    }

    fn decode(reader: &mut BodyReader<'_>) -> Result<Self, FieldError> {
        let error = reader.error(Field::RequestKind);
        let code = reader.u8(Field::RequestKind)?;
        let reads_deltas = reader.header().version >= since::DELTAS;
        match code {
            kind::QUERY => Ok(Self::Query {
                stamp: Wire::decode(reader)?,
            }),
            kind::FETCH => Ok(Self::Fetch {
                version: Wire::decode(reader)?,
                have: None,
            }),
            kind::PREPARE => Ok(Self::Prepare {
                follows: Wire::decode(reader)?,
                ballot: Wire::decode(reader)?,
                list: reader.u64(Field::ListRevision)?,
            }),
            kind::ACCEPT => Ok(Self::Accept {
                follows: Wire::decode(reader)?,
                ballot: Wire::decode(reader)?,
                version: Wire::decode(reader)?,
                text: reader.text(MAX_PLAN, Field::ConfigText)?,
                list: reader.u64(Field::ListRevision)?,
            }),
            kind::ENTER_JOINT => Ok(Self::EnterJoint {
                follows: Wire::decode(reader)?,
                version: Wire::decode(reader)?,
                text: reader.text(MAX_PLAN, Field::ConfigText)?,
                list: reader.u64(Field::ListRevision)?,
            }),
            kind::COMMIT => Ok(Self::Commit {
                version: Wire::decode(reader)?,
                text: reader.text(MAX_PLAN, Field::ConfigText)?,
                list: reader.u64(Field::ListRevision)?,
            }),
            kind::RAISE_FLOOR => Ok(Self::RaiseFloor {
                stamp: Wire::decode(reader)?,
            }),
            kind::FETCH_DELTA if reads_deltas => {
                let version = Wire::decode(reader)?;
                let have = Some(Wire::decode(reader)?);
                Ok(Self::Fetch { version, have })
            }
            kind::BY_DELTA if reads_deltas => Ok(Self::ByDelta {
                step: Wire::decode(reader)?,
                delta: Wire::decode(reader)?,
                list: reader.u64(Field::ListRevision)?,
            }),
            _ => Err(error),
        }
    }
}
