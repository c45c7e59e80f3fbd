//! A configuration's text and its digest. The text is not parsed here: the placers that apply it check its contents.

mod cache;

use std::sync::Arc;

use reedring_node_protocol::{ConfigDigest, ConfigVersion, MAX_PLAN};
use sha2::{Digest as _, Sha256};

pub use cache::DocumentCache;

/// A version and the text of that configuration. The text is verified to have the version's digest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigDocument {
    version: ConfigVersion,
    text: Arc<str>,
}

/// Why a text is rejected as that of a configuration. Operators know configurations by the `[plan]` table of their
/// settings, so messages to them say "plan".
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is longer than [`MAX_PLAN`] bytes.
    #[error("plan {number}: the text has {bytes} bytes, at most {MAX_PLAN} are allowed")]
    TooLong {
        /// The configuration's number.
        number: u64,
        /// The length of the text in bytes.
        bytes: usize,
    },
    /// The digest of the text differs from that of the version.
    #[error("plan {number}: the text has digest {found}, not {expected}")]
    DigestMismatch {
        /// The configuration's number.
        number: u64,
        /// The digest of the text.
        found: ConfigDigest,
        /// The digest of the version.
        expected: ConfigDigest,
    },
    /// The number is 0, which means "no configuration"; numbers begin at 1.
    #[error("plan 0: plans are numbered from 1")]
    NumberZero,
}

/// The first 16 bytes of the SHA-256 of a text.
fn digest(text: &str) -> ConfigDigest {
    let full: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut half = [0; 16];
    half.copy_from_slice(&full[..16]);
    ConfigDigest(half)
}

impl ConfigDocument {
    /// The configuration of this number and text. Computes the digest.
    ///
    /// # Errors
    /// If the text is longer than [`MAX_PLAN`] bytes, or the number is 0.
    pub fn new(number: u64, text: &str) -> Result<Self, DocumentError> {
        let digest = digest(text);
        Self::verify(ConfigVersion { number, digest }, text)
    }

    /// The configuration of this version, if the text has the version's digest.
    ///
    /// # Errors
    /// If the text has another digest or is longer than [`MAX_PLAN`] bytes, or the number is 0.
    pub fn verify(version: ConfigVersion, text: &str) -> Result<Self, DocumentError> {
        let (number, bytes) = (version.number, text.len());
        if number == 0 {
            return Err(DocumentError::NumberZero);
        }
        if bytes > MAX_PLAN {
            return Err(DocumentError::TooLong { number, bytes });
        }
        let found = digest(text);
        if found != version.digest {
            return Err(DocumentError::DigestMismatch {
                number,
                found,
                expected: version.digest,
            });
        }
        Ok(Self {
            version,
            text: text.into(),
        })
    }

    /// The number, and the digest of the text.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// The whole text, at most [`MAX_PLAN`] bytes.
    pub fn text(&self) -> &str {
        &self.text
    }
}
