//! Settings, categories and node lists of placers, as the audit reads them for itself.

use std::collections::BTreeMap;

use reedring_constraint::Attr;
use reedring_drmaa::native::{Native, duration_us};
use reedring_node_protocol::{DeduplicationScope, Idempotency};
use serde::Deserialize;
use serde_json::Value;

use super::text_at;
use crate::constraint::Location;

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct PlacerSettings {
    #[serde(default)]
    pub(super) site: Site,
    #[serde(default)]
    pub(super) links: Links,
    #[serde(default)]
    pub(super) class: Vec<Class>,
    #[serde(default)]
    pub(super) category: Vec<Category>,
    #[serde(default)]
    pub(super) constraint: Vec<NamedConstraint>,
    /// Set where it stores its promises over restarts.
    pub(super) state: Option<toml::Value>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct NamedConstraint {
    pub(super) name: String,
    pub(super) text: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Site {
    pub(super) drain_grace: Option<String>,
    pub(super) warm_after: Option<String>,
    #[serde(rename = "cold_window")]
    pub(super) slow_start_window: Option<String>,
    #[serde(rename = "cold_offers")]
    pub(super) slow_start_offers: Option<f64>,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Links {
    pub(super) lost_after: Option<String>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Class {
    pub(super) name: String,
    pub(super) repeat: String,
    pub(super) give_up: String,
    #[serde(rename = "comes_again")]
    pub(super) retry_policy: Option<String>,
    pub(super) spread: Option<Spread>,
    pub(super) group: Option<String>,
    pub(super) window: Option<String>,
}

impl Class {
    /// What the settings say of duplicates: what an offer says of itself is not trusted.
    pub(super) fn repeat(&self) -> Idempotency {
        match self.repeat.as_str() {
            "safe" => Idempotency::Idempotent,
            "keyed" => Idempotency::IdempotentByKey,
            _ => Idempotency::NonIdempotent,
        }
    }

    pub(super) fn group(&self) -> DeduplicationScope {
        match self.group.as_deref() {
            Some("all") => DeduplicationScope::All,
            Some("hall") => DeduplicationScope::Zone,
            _ => DeduplicationScope::Rack,
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Spread {
    pub(super) over: String,
    pub(super) most: usize,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Category {
    pub(super) name: String,
    pub(super) native: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct NodeFile {
    #[serde(default)]
    pub(super) node: Vec<NodeLine>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct NodeLine {
    pub(super) name: String,
    #[serde(default)]
    pub(super) rack: String,
    #[serde(default, rename = "hall")]
    pub(super) zone: String,
    #[serde(default)]
    pub(super) health: String,
    #[serde(default)]
    pub(super) kind: String,
    #[serde(default)]
    pub(super) attrs: BTreeMap<String, toml::Value>,
    #[serde(default)]
    pub(super) control: bool,
}

impl NodeLine {
    pub(super) fn is_ready(&self) -> bool {
        self.health.is_empty() || self.health == "ready"
    }

    pub(super) fn location(&self) -> Location {
        let attr = |(name, value): (&String, &toml::Value)| Some((name.clone(), attr(value)?));
        Location {
            name: self.name.clone(),
            kind: self.kind.clone(),
            rack: self.rack.clone(),
            zone: self.zone.clone(),
            attrs: self.attrs.iter().filter_map(attr).collect(),
            ready: self.is_ready(),
        }
    }
}

fn attr(value: &toml::Value) -> Option<Attr> {
    match value {
        toml::Value::String(text) => Some(Attr::text(text)),
        toml::Value::Integer(number) => Some(Attr::Number(*number as f64)),
        toml::Value::Float(number) => Some(Attr::Number(*number)),
        toml::Value::Boolean(yes) => Some(Attr::Text(yes.to_string())),
        toml::Value::Array(all) => {
            let texts = all.iter().filter_map(|one| one.as_str().map(str::to_owned));
            Some(Attr::Set(texts.collect()))
        }
        _ => None,
    }
}

/// A length of time in microseconds.
pub(super) fn duration(text: Option<&String>) -> Option<u64> {
    duration_us(text?)
}

/// The budget of offers of a node that is warming up.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartWindow {
    /// How long after its start a node is warm.
    pub(super) warm_after_us: u64,
    pub(super) length_us: u64,
    /// Offers in one window, by all placers.
    pub(super) offers: f64,
}

impl Site {
    /// The budget, where the settings name all of it.
    pub(super) fn slow_start_window(&self) -> Option<SlowStartWindow> {
        Some(SlowStartWindow {
            warm_after_us: duration(self.warm_after.as_ref())?,
            length_us: duration(self.slow_start_window.as_ref())?,
            offers: self.slow_start_offers?,
        })
    }
}

/// When a lost task of a class may be placed again.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RetryPolicy {
    /// After its end is known.
    pub(super) after_end: bool,
    /// Where its end is not known.
    pub(super) after_unknown: bool,
}

impl PlacerSettings {
    pub(super) fn class(&self, name: &str) -> Option<&Class> {
        self.class.iter().find(|class| class.name == name)
    }

    /// When a lost task of the class may be placed again.
    pub(super) fn retry_policy(&self, class: &str) -> RetryPolicy {
        let Some(class) = self.class(class) else {
            return RetryPolicy::default();
        };
        match (class.retry_policy.as_deref(), class.repeat.as_str()) {
            (Some("always"), _) | (None, "safe") => RetryPolicy {
                after_end: true,
                after_unknown: true,
            },
            (Some("ended"), _) | (None, "keyed") => RetryPolicy {
                after_end: true,
                after_unknown: false,
            },
            _ => RetryPolicy::default(),
        }
    }

    fn category_of(&self, spec: &Value) -> Option<Native> {
        let name = text_at(spec, "category");
        let category = self
            .category
            .iter()
            .find(|category| category.name == name)?;
        Native::parse(&category.native).ok()
    }

    /// What an offered spec says of labels and constraint, itself or by its category.
    pub(super) fn native(&self, payload: &[u8]) -> Native {
        let spec: Value = serde_json::from_slice(payload).unwrap_or_default();
        let own = Native::parse(text_at(&spec, "native")).unwrap_or_default();
        match self.category_of(&spec) {
            Some(category) => own.or(&category),
            None => own,
        }
    }

    /// The class that a submitted spec names, itself or by its category.
    pub(super) fn class_of(&self, spec: &Value) -> Option<&Class> {
        let own = Native::parse(text_at(spec, "native")).ok()?.class;
        match own.or_else(|| self.category_of(spec)?.class) {
            Some(name) => self.class(&name),
            None => self.class.first(),
        }
    }
}
