//! The configurations whose texts are known: their documents, and the settings that each makes.

use std::collections::BTreeMap;

use reedring_node_protocol::ConfigVersion;
use reedring_plan::{
    ActiveConfig, ConfigDocument, DocumentCache, JointConflicts, Usability, joint_bounds,
};
use reedring_settings::{Problems, Settings};

/// Known configurations.
#[derive(Default)]
pub(super) struct Catalog {
    pub texts: DocumentCache,
    /// The settings of each configuration, or why it can't be used.
    settings: BTreeMap<ConfigVersion, Result<Settings, Problems>>,
}

impl Catalog {
    /// Adds the configuration of the settings file.
    pub fn add_own(&mut self, document: &ConfigDocument, settings: &Settings) {
        self.texts.insert(document);
        self.settings
            .insert(document.version(), Ok(settings.clone()));
    }

    /// Reads a configuration's text as settings of this file, once.
    pub fn read(&mut self, version: ConfigVersion, file: &Settings) {
        let unread = self
            .texts
            .text(version)
            .filter(|_| !self.settings.contains_key(&version));
        if let Some(text) = unread {
            let read = file.with_plan(text, &format!("plan {version}"));
            self.settings.insert(version, read);
        }
    }

    /// Forgets what is older than the committed configuration, but for the file's own.
    pub fn forget_before(
        &mut self,
        committed: ConfigVersion,
        base: ConfigVersion,
        own: ConfigVersion,
    ) {
        self.texts.remove_before(committed.number.min(base.number));
        self.settings
            .retain(|version, _| version.number >= committed.number || *version == own);
    }

    /// Why a configuration can't be used.
    pub fn problems(&self, version: ConfigVersion) -> Option<&Problems> {
        self.settings.get(&version)?.as_ref().err()
    }

    fn usable(&self, version: ConfigVersion) -> Option<&Settings> {
        self.settings.get(&version)?.as_ref().ok()
    }

    /// What can be done with a configuration, after the committed one or by itself.
    pub fn usability(&self, version: ConfigVersion, committed: ConfigVersion) -> Usability {
        match self.settings.get(&version) {
            None => Usability::Missing,
            Some(Err(_)) => Usability::Unusable,
            Some(Ok(new)) if version != committed && committed.number > 0 => {
                match self.has_joint_form(committed, new) {
                    Ok(()) => Usability::Usable,
                    Err(_) => Usability::Unusable,
                }
            }
            Some(Ok(_)) => Usability::Usable,
        }
    }

    /// Whether settings may follow a configuration, as far as that is known.
    ///
    /// # Errors
    /// What has no joint form.
    pub fn has_joint_form(&self, old: ConfigVersion, new: &Settings) -> Result<(), JointConflicts> {
        match self.usable(old) {
            Some(old) => joint_bounds(&old.bounds(), &new.bounds()).map(drop),
            None => Ok(()),
        }
    }

    /// The settings by which to act, in the numbers of those in use.
    pub fn settings_for(
        &self,
        acts: &ActiveConfig,
        linked: u32,
        used: &Settings,
    ) -> Option<Settings> {
        let base = self.usable(acts.next.unwrap_or(acts.committed))?;
        let mut bounds = base.bounds();
        if let Some(old) = acts.next.and_then(|_| self.usable(acts.committed)) {
            bounds = joint_bounds(&old.bounds(), &bounds).ok()?;
        }
        let ahead = acts.local_ahead.and_then(|version| self.usable(version));
        if let Some(stricter) = ahead.and_then(|own| joint_bounds(&bounds, &own.bounds()).ok()) {
            // Classes that only the own file has are not open yet, and none is closed for its sake.
            let open: BTreeMap<String, bool> = bounds
                .classes
                .iter()
                .map(|(name, class)| (name.clone(), class.accepts_new_tasks))
                .collect();
            bounds = stricter;
            bounds.classes.retain(|name, _| open.contains_key(name));
            bounds
                .classes
                .iter_mut()
                .for_each(|(name, class)| class.accepts_new_tasks = open[name]);
        }
        // A configuration that names fewer placers than nodes hear is no leave to act for fewer.
        bounds.placers = bounds.placers.max(linked);
        Some(base.bound_by(&bounds).in_numbers_of(used))
    }
}
