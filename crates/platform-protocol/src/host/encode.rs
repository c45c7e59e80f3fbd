//! Encodes messages to hosts.

use std::collections::BTreeMap;

use serde::Serialize;

use super::ToHost;

#[derive(Serialize)]
struct Line<'a> {
    r#type: &'a str,
    id: String,
    fields: BTreeMap<&'a str, String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    cause: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    sdp: Option<&'a str>,
}

impl<'a> Line<'a> {
    fn new(r#type: &'a str, id: u64) -> Self {
        Self {
            r#type,
            id: format!("{id:016x}"),
            fields: BTreeMap::new(),
            cause: None,
            sdp: None,
        }
    }
}

impl ToHost {
    /// The message as a line of JSON, with its line feed.
    pub fn encode(&self) -> Vec<u8> {
        let mut line = serde_json::to_vec(&self.line()).unwrap_or_default();
        line.push(b'\n');
        line
    }

    fn line(&self) -> Line<'_> {
        match self {
            Self::PlacementRequest {
                id,
                class,
                key,
                idempotency_key,
                left_ms,
                description,
            } => {
                let mut line = Line::new("setup", *id);
                line.fields.insert("class", class.clone());
                line.fields.insert("key", format!("{key:016x}"));
                line.fields.insert("left", left_ms.to_string());
                if let Some(key) = idempotency_key {
                    line.fields.insert("idem", key.clone());
                }
                line.sdp = Some(description);
                line
            }
            Self::Release { id, cause } => {
                let mut line = Line::new("release", *id);
                line.cause = Some(*cause);
                line
            }
            Self::HealthCheck { id, wants_report } => {
                let mut line = Line::new("ping", *id);
                line.cause = Some(u8::from(*wants_report));
                line
            }
        }
    }
}
