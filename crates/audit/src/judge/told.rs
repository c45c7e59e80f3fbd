//! What placers were told: settings, categories and node lists, as the audit reads them for itself.

use std::collections::BTreeMap;

use reedring_constraint::Attr;
use reedring_drmaa::native::{Native, duration_us};
use reedring_node_protocol::{Group, Repeat};
use serde::Deserialize;
use serde_json::Value;

use crate::constraint::Spot;

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Told {
    #[serde(default)]
    pub(super) site: Site,
    #[serde(default)]
    pub(super) links: Links,
    #[serde(default)]
    pub(super) class: Vec<Class>,
    #[serde(default)]
    pub(super) category: Vec<Category>,
    #[serde(default)]
    pub(super) constraint: Vec<Named>,
    /// It keeps what it promised over restarts.
    pub(super) state: Option<toml::Value>,
}

#[derive(Clone, Debug, Deserialize)]
pub(super) struct Named {
    pub(super) name: String,
    pub(super) text: String,
}

#[derive(Clone, Debug, Default, Deserialize)]
pub(super) struct Site {
    pub(super) drain_grace: Option<String>,
    pub(super) warm_after: Option<String>,
    pub(super) cold_window: Option<String>,
    pub(super) cold_offers: Option<f64>,
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
    pub(super) comes_again: Option<String>,
    pub(super) spread: Option<Spread>,
    pub(super) group: Option<String>,
    pub(super) window: Option<String>,
}

impl Class {
    /// What the settings say of repeats: what an offer says of itself is not taken at its word.
    pub(super) fn repeat(&self) -> Repeat {
        match self.repeat.as_str() {
            "safe" => Repeat::Safe,
            "keyed" => Repeat::Keyed,
            _ => Repeat::Unsafe,
        }
    }

    pub(super) fn group(&self) -> Group {
        match self.group.as_deref() {
            Some("all") => Group::All,
            Some("hall") => Group::Hall,
            _ => Group::Rack,
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
    #[serde(default)]
    pub(super) hall: String,
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
    pub(super) fn spot(&self) -> Spot {
        let attr = |value: &toml::Value| match value {
            toml::Value::String(text) => Some(Attr::text(text)),
            toml::Value::Integer(number) => Some(Attr::Number(*number as f64)),
            toml::Value::Float(number) => Some(Attr::Number(*number)),
            toml::Value::Boolean(yes) => Some(Attr::Text(yes.to_string())),
            toml::Value::Array(all) => Some(Attr::Set(
                all.iter()
                    .filter_map(|one| one.as_str().map(str::to_owned))
                    .collect(),
            )),
            _ => None,
        };
        Spot {
            name: self.name.clone(),
            kind: self.kind.clone(),
            rack: self.rack.clone(),
            hall: self.hall.clone(),
            attrs: self
                .attrs
                .iter()
                .filter_map(|(name, value)| Some((name.clone(), attr(value)?)))
                .collect(),
            ready: self.health.is_empty() || self.health == "ready",
        }
    }
}

pub(super) fn time(text: Option<&String>) -> Option<u64> {
    duration_us(text?)
}

impl Told {
    pub(super) fn class(&self, name: &str) -> Option<&Class> {
        self.class.iter().find(|class| class.name == name)
    }

    /// Whether a lost task of the class may come again: after its end, and where its end is not known.
    pub(super) fn comes_again(&self, class: &str) -> (bool, bool) {
        let Some(class) = self.class(class) else {
            return (false, false);
        };
        match (class.comes_again.as_deref(), class.repeat.as_str()) {
            (Some("always"), _) | (None, "safe") => (true, true),
            (Some("ended"), _) | (None, "keyed") => (true, false),
            _ => (false, false),
        }
    }

    /// What an offered spec says of labels and constraint, itself or by its category.
    pub(super) fn native(&self, payload: &[u8]) -> Native {
        let spec: Value = serde_json::from_slice(payload).unwrap_or_default();
        let word = |key: &str| spec.get(key).and_then(Value::as_str).unwrap_or_default();
        let own = Native::parse(word("native")).unwrap_or_default();
        let category = self
            .category
            .iter()
            .find(|category| category.name == word("category"));
        match category.and_then(|category| Native::parse(&category.native).ok()) {
            Some(category) => own.or(&category),
            None => own,
        }
    }

    /// The class that a submitted spec names, itself or by its category.
    pub(super) fn class_of(&self, spec: &Value) -> Option<&Class> {
        let word = |key: &str| spec.get(key).and_then(Value::as_str).unwrap_or_default();
        let own = Native::parse(word("native")).ok()?.class;
        let category = || {
            let category = self
                .category
                .iter()
                .find(|category| category.name == word("category"))?;
            Native::parse(&category.native).ok()?.class
        };
        match own.or_else(category) {
            Some(name) => self.class(&name),
            None => self.class.first(),
        }
    }
}
