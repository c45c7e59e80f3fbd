//! Encodes messages to clients.

use super::{LENGTH_BYTES, ToClient, code, kind};

impl ToClient {
    /// The message as bytes, from its length field on.
    pub fn encode(&self) -> Vec<u8> {
        let (kind, id) = match self {
            Self::Answer { id, .. } => (kind::ANSWER, id),
            Self::Release { id, .. } => (kind::RELEASE, id),
            Self::Moved(id) => (kind::MOVED, id),
            Self::HealthCheckResult { id, .. } => (kind::HEALTH_CHECK_RESULT, id),
        };
        // The first two bytes are the length, which is filled in at the end.
        let mut bytes = vec![0, 0, kind];
        bytes.extend(id.to_be_bytes());
        match self {
            Self::Answer { description, .. } => {
                push_parameter(&mut bytes, code::DESCRIPTION, description.as_bytes());
            }
            Self::Release {
                cause,
                retry_after_ms,
                ..
            } => {
                if let Some(milliseconds) = retry_after_ms {
                    push_parameter(
                        &mut bytes,
                        code::RETRY_AFTER,
                        milliseconds.to_string().as_bytes(),
                    );
                }
                push_parameter(&mut bytes, code::CAUSE, &[*cause]);
            }
            Self::Moved(_) => {}
            Self::HealthCheckResult { passed, .. } => {
                push_parameter(&mut bytes, code::CAUSE, &[u8::from(*passed)]);
            }
        }
        let length = (bytes.len() - LENGTH_BYTES) as u16;
        bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        bytes
    }
}

fn push_parameter(bytes: &mut Vec<u8>, code: u8, value: &[u8]) {
    bytes.push(code);
    bytes.extend((value.len() as u16).to_be_bytes());
    bytes.extend_from_slice(value);
}
