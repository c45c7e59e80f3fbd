//! Reads the fields of a stored acceptor state in order.

use reedring_node_protocol::{Ballot, ConfigDigest, ConfigVersion};

use super::CorruptState;
use crate::document::ConfigDocument;

/// A cursor over the body of a stored state.
pub(super) struct FieldReader<'a> {
    /// The bytes that are not read yet.
    rest: &'a [u8],
    /// Offset in the stored bytes at which the body ends.
    end: usize,
}

impl<'a> FieldReader<'a> {
    pub(super) fn new(body: &'a [u8], end: usize) -> Self {
        Self { rest: body, end }
    }

    fn error(&self, field: &'static str) -> CorruptState {
        CorruptState::Field {
            offset: self.end - self.rest.len(),
            field,
        }
    }

    fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], CorruptState> {
        let split = self.rest.split_at_checked(count);
        let (head, rest) = split.ok_or_else(|| self.error(field))?;
        self.rest = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], CorruptState> {
        let bytes = self.bytes(N, field)?;
        bytes.try_into().map_err(|_| self.error(field))
    }

    pub(super) fn u64(&mut self, field: &'static str) -> Result<u64, CorruptState> {
        self.array(field).map(u64::from_be_bytes)
    }

    pub(super) fn u32(&mut self, field: &'static str) -> Result<u32, CorruptState> {
        self.array(field).map(u32::from_be_bytes)
    }

    pub(super) fn u16(&mut self, field: &'static str) -> Result<u16, CorruptState> {
        self.array(field).map(u16::from_be_bytes)
    }

    pub(super) fn flag(&mut self, field: &'static str) -> Result<bool, CorruptState> {
        match self.array::<1>(field)? {
            [0] => Ok(false),
            [1] => Ok(true),
            _ => Err(self.error(field)),
        }
    }

    pub(super) fn ballot(&mut self) -> Result<Ballot, CorruptState> {
        Ok(Ballot {
            round: self.u64("a ballot")?,
            proposer: self.u64("a ballot")?,
        })
    }

    pub(super) fn document(&mut self) -> Result<ConfigDocument, CorruptState> {
        let version = ConfigVersion {
            number: self.u64("a configuration's number")?,
            digest: ConfigDigest(self.array("a configuration's digest")?),
        };
        let length = self.u16("a configuration's text")?;
        let text = self.bytes(usize::from(length), "a configuration's text")?;
        let text = std::str::from_utf8(text).map_err(|_| self.error("a configuration's text"))?;
        ConfigDocument::verify(version, text)
            .map_err(|_| self.error("a configuration whose text does not match its digest"))
    }

    /// Checks that all bytes of the body have been read.
    pub(super) fn finish(self) -> Result<(), CorruptState> {
        if self.rest.is_empty() {
            Ok(())
        } else {
            Err(self.error("the end of the state: more bytes follow"))
        }
    }
}
