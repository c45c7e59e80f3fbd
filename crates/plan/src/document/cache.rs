//! The configuration texts that one placer holds in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use reedring_node_protocol::ConfigVersion;

use super::ConfigDocument;

/// The texts of configurations, by version.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DocumentCache(BTreeMap<ConfigVersion, Arc<str>>);

impl DocumentCache {
    /// Adds the text of a configuration.
    pub fn insert(&mut self, document: &ConfigDocument) {
        self.0.insert(document.version(), document.text().into());
    }

    /// The text of a configuration, if it is cached.
    pub fn text(&self, version: ConfigVersion) -> Option<&str> {
        self.0.get(&version).map(AsRef::as_ref)
    }

    /// A configuration, if its text is cached.
    pub fn document(&self, version: ConfigVersion) -> Option<ConfigDocument> {
        ConfigDocument::verify(version, self.text(version)?).ok()
    }

    /// Removes all configurations with a smaller number than `number`.
    pub fn remove_before(&mut self, number: u64) {
        self.0.retain(|version, _| version.number >= number);
    }
}
