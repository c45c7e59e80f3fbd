//! A configuration's text and its digest. What the text says is checked by whoever acts by it.

mod cache;

use std::sync::Arc;

use reedring_node_protocol::{ConfigDigest, ConfigVersion, MAX_PLAN};
use sha2::{Digest as _, Sha256};

pub use cache::DocumentCache;

/// The text of a configuration, known to have the digest of its version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigDocument {
    version: ConfigVersion,
    text: Arc<str>,
}

/// Why a text is not that of a configuration. Operators know configurations by the `[plan]` table of their settings,
/// so messages to them say "plan".
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// The text is over the size bound.
    #[error("plan {number}: a text of {bytes} bytes, at most {MAX_PLAN} fit")]
    TooLong {
        /// The configuration's number.
        number: u64,
        /// Bytes of the text.
        bytes: usize,
    },
    /// The text has another digest than the version.
    #[error("plan {number}: the text has digest {found}, not {expected}")]
    DigestMismatch {
        /// The configuration's number.
        number: u64,
        /// The digest of the text.
        found: ConfigDigest,
        /// The digest of the version.
        expected: ConfigDigest,
    },
    /// Numbers begin at 1.
    #[error("plan 0: plans are numbered from 1")]
    NumberZero,
}

/// The first half of the SHA-256 of a text.
fn digest(text: &str) -> ConfigDigest {
    let full: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut half = [0; 16];
    half.copy_from_slice(&full[..16]);
    ConfigDigest(half)
}

impl ConfigDocument {
    /// The configuration of this number and text.
    ///
    /// # Errors
    /// Where the text is over its bound, or the number is 0.
    pub fn new(number: u64, text: &str) -> Result<Self, DocumentError> {
        let digest = digest(text);
        Self::verify(ConfigVersion { number, digest }, text)
    }

    /// The configuration of this version, if the text has its digest.
    ///
    /// # Errors
    /// See [`DocumentError`].
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

    /// Its version.
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Its text.
    pub fn text(&self) -> &str {
        &self.text
    }
}
