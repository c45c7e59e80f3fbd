//! A plan's text and its digest. What the text says is not for here: whoever acts by it checks it as a whole.

use std::sync::Arc;

use reedring_node_protocol::{ConfigDigest, ConfigVersion, MAX_PLAN};
use sha2::{Digest as _, Sha256};

/// A plan whose text fits its version.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ConfigDocument {
    version: ConfigVersion,
    text: Arc<str>,
}

/// Why a text is not that of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DocumentError {
    /// It is over the bound.
    #[error("plan {number}: a text of {bytes} bytes, at most {MAX_PLAN} fit")]
    Long {
        /// The plan's number.
        number: u64,
        /// Bytes of the text.
        bytes: usize,
    },
    /// It has another digest.
    #[error("plan {number}: the text has digest {found}, not {wanted}")]
    ConfigDigest {
        /// The plan's number.
        number: u64,
        /// That of the text.
        found: ConfigDigest,
        /// That of the version.
        wanted: ConfigDigest,
    },
    /// Plans are numbered from 1.
    #[error("plan 0: plans are numbered from 1")]
    Number,
}

/// The digest of a text.
fn digest(text: &str) -> ConfigDigest {
    let whole: [u8; 32] = Sha256::digest(text.as_bytes()).into();
    let mut half = [0; 16];
    half.copy_from_slice(&whole[..16]);
    ConfigDigest(half)
}

impl ConfigDocument {
    /// The plan of this number and text.
    ///
    /// # Errors
    /// Where the text is over its bound, or the number is 0.
    pub fn new(number: u64, text: &str) -> Result<Self, DocumentError> {
        Self::checked(
            ConfigVersion {
                number,
                digest: digest(text),
            },
            text,
        )
    }

    /// The plan of this version, if the text is its.
    ///
    /// # Errors
    /// See [`DocumentError`].
    pub fn checked(version: ConfigVersion, text: &str) -> Result<Self, DocumentError> {
        let (number, bytes) = (version.number, text.len());
        if number == 0 {
            return Err(DocumentError::Number);
        }
        if bytes > MAX_PLAN {
            return Err(DocumentError::Long { number, bytes });
        }
        let found = digest(text);
        if found != version.digest {
            return Err(DocumentError::ConfigDigest {
                number,
                found,
                wanted: version.digest,
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
