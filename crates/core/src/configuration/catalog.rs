//! The configurations whose texts are known: their documents, and the settings parsed from each.

use std::collections::BTreeMap;

use reedring_node_protocol::ConfigVersion;
use reedring_plan::{
    ActiveConfig, ConfigDocument, DocumentCache, JointConflicts, Usability, joint_bounds,
};
use reedring_settings::{Problems, Settings};

/// The known configurations.
#[derive(Default)]
pub(super) struct Catalog {
    /// The texts of the known configurations.
    pub documents: DocumentCache,
    /// The settings parsed from each configuration, or why this placer can't use it.
    settings: BTreeMap<ConfigVersion, Result<Settings, Problems>>,
}

impl Catalog {
    /// Adds the configuration of the settings file, with the settings of that file.
    pub fn add_own(&mut self, document: &ConfigDocument, settings: &Settings) {
        self.documents.insert(document);
        self.settings
            .insert(document.version(), Ok(settings.clone()));
    }

    /// Parses the text of a configuration into settings, unless the text is missing or was parsed before. The tables that
    /// are the placer's own come from `file`.
    pub fn parse_settings(&mut self, version: ConfigVersion, file: &Settings) {
        let unparsed = self
            .documents
            .text(version)
            .filter(|_| !self.settings.contains_key(&version));
        if let Some(text) = unparsed {
            let parsed = file.with_plan(text, &format!("plan {version}"));
            self.settings.insert(version, parsed);
        }
    }

    /// Removes the settings of configurations older than the committed one, except those of the settings file (`own`), and
    /// the texts of those older than both the committed one and `base`, which deltas refer to.
    pub fn remove_obsolete(
        &mut self,
        committed: ConfigVersion,
        base: ConfigVersion,
        own: ConfigVersion,
    ) {
        self.documents
            .remove_before(committed.number.min(base.number));
        self.settings
            .retain(|version, _| version.number >= committed.number || *version == own);
    }

    /// Why a configuration can't be used; `None` if it can be used or is not known.
    pub fn problems(&self, version: ConfigVersion) -> Option<&Problems> {
        self.settings.get(&version)?.as_ref().err()
    }

    fn usable_settings(&self, version: ConfigVersion) -> Option<&Settings> {
        self.settings.get(&version)?.as_ref().ok()
    }

    /// Whether this placer can act by a configuration. One that is not the committed one must also have a joint form with
    /// it, as the placer acts by both until the new one is committed.
    pub fn usability(&self, version: ConfigVersion, committed: ConfigVersion) -> Usability {
        match self.settings.get(&version) {
            None => Usability::Missing,
            Some(Err(_)) => Usability::Unusable,
            Some(Ok(new)) if version != committed && committed.number > 0 => {
                match self.check_joint_form(committed, new) {
                    Ok(()) => Usability::Usable,
                    Err(_) => Usability::Unusable,
                }
            }
            Some(Ok(_)) => Usability::Usable,
        }
    }

    /// Checks that new settings have a joint form with an old configuration: bounds that satisfy both. The check passes if
    /// the old configuration is not known or not usable.
    ///
    /// # Errors
    /// The keys on which the two conflict.
    pub fn check_joint_form(
        &self,
        old: ConfigVersion,
        new: &Settings,
    ) -> Result<(), JointConflicts> {
        match self.usable_settings(old) {
            Some(old) => joint_bounds(&old.bounds(), &new.bounds()).map(drop),
            None => Ok(()),
        }
    }

    /// The settings by which to act. Entries that `current` has keep the index numbers that they have there. `None` if the
    /// active configuration is not usable or has no joint form.
    pub fn settings_for(
        &self,
        active: &ActiveConfig,
        connected_placers: u32,
        current: &Settings,
    ) -> Option<Settings> {
        let base = self.usable_settings(active.next.unwrap_or(active.committed))?;
        let mut bounds = base.bounds();
        if let Some(old) = active
            .next
            .and_then(|_| self.usable_settings(active.committed))
        {
            bounds = joint_bounds(&old.bounds(), &bounds).ok()?;
        }
        let ahead = active
            .local_ahead
            .and_then(|version| self.usable_settings(version));
        if let Some(stricter) = ahead.and_then(|own| joint_bounds(&bounds, &own.bounds()).ok()) {
            // A later configuration of the settings file restricts the bounds before it is chosen. It neither adds classes nor
            // changes which classes accept new tasks.
            let accepts_new_tasks_by_class: BTreeMap<String, bool> = bounds
                .classes
                .iter()
                .map(|(name, class)| (name.clone(), class.accepts_new_tasks))
                .collect();
            bounds = stricter;
            bounds
                .classes
                .retain(|name, _| accepts_new_tasks_by_class.contains_key(name));
            bounds.classes.iter_mut().for_each(|(name, class)| {
                class.accepts_new_tasks = accepts_new_tasks_by_class[name]
            });
        }
        // If more placers are connected than the configuration allows for, the decision module accounts for the connected
        // number.
        bounds.placers = bounds.placers.max(connected_placers);
        Some(base.with_bounds(&bounds).with_numbers_of(current))
    }
}
