//! Encoding of a belief file: magic number, version, name of the placer, body, and a checksum over all of these.

use super::error::{BeliefError, BeliefProblem};
use super::snapshot::BeliefSnapshot;

/// Magic number at the start of a belief file.
const MAGIC: &[u8; 8] = b"RRLEARN\0";
/// Version of the belief file that this program writes.
pub(super) const VERSION: u16 = 1;
/// Size in bytes of the CRC-32C checksum at the end of the file.
const CHECKSUM_BYTES: usize = 4;

/// Reads fields of known length from the start of a slice.
struct Reader<'a> {
    rest: &'a [u8],
}

impl<'a> Reader<'a> {
    fn bytes(&mut self, count: usize) -> Result<&'a [u8], BeliefProblem> {
        let (head, rest) = self
            .rest
            .split_at_checked(count)
            .ok_or(BeliefProblem::Truncated)?;
        self.rest = rest;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], BeliefProblem> {
        let bytes = self.bytes(N)?;
        bytes.try_into().map_err(|_| BeliefProblem::Truncated)
    }

    fn u16(&mut self) -> Result<u16, BeliefProblem> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, BeliefProblem> {
        Ok(u32::from_le_bytes(self.array()?))
    }
}

/// Verifies the checksum, and returns the bytes before it.
fn verify_checksum(bytes: &[u8]) -> Result<&[u8], BeliefProblem> {
    let (content, checksum) = bytes
        .split_last_chunk::<CHECKSUM_BYTES>()
        .ok_or(BeliefProblem::Truncated)?;
    if crc32c::crc32c(content) != u32::from_le_bytes(*checksum) {
        return Err(BeliefProblem::Damaged);
    }
    Ok(content)
}

impl BeliefSnapshot {
    /// Encodes the snapshot as the belief file of the placer of this name.
    pub fn encode(&self, placer: &str) -> Vec<u8> {
        // A snapshot is plain data, which postcard can always encode; only memory can run out.
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&VERSION.to_le_bytes());
        bytes.extend_from_slice(&(placer.len() as u16).to_le_bytes());
        bytes.extend_from_slice(placer.as_bytes());
        bytes.extend_from_slice(&(body.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&body);
        let checksum = crc32c::crc32c(&bytes);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes the belief file of the placer of this name. `file` is its path for errors.
    ///
    /// # Errors
    /// The file is damaged, was written by a newer program, or belongs to another placer.
    pub fn decode(bytes: &[u8], file: &str, placer: &str) -> Result<Self, BeliefError> {
        decode_content(bytes, placer).map_err(|problem| BeliefError {
            file: file.to_owned(),
            problem,
        })
    }
}

fn decode_content(bytes: &[u8], placer: &str) -> Result<BeliefSnapshot, BeliefProblem> {
    let mut reader = Reader {
        rest: verify_checksum(bytes)?,
    };
    if reader.bytes(MAGIC.len()) != Ok(MAGIC.as_slice()) {
        return Err(BeliefProblem::Damaged);
    }
    let version = reader.u16()?;
    if version > VERSION {
        return Err(BeliefProblem::NewerVersion { found: version });
    }
    let name_length = usize::from(reader.u16()?);
    let found = String::from_utf8_lossy(reader.bytes(name_length)?).into_owned();
    if found != placer {
        let expected = placer.to_owned();
        return Err(BeliefProblem::OtherPlacer { found, expected });
    }
    let body_length = reader.u32()? as usize;
    let body = reader.bytes(body_length)?;
    postcard::from_bytes(body).map_err(|error| BeliefProblem::InvalidBody {
        reason: error.to_string(),
    })
}
