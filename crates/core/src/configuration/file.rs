//! The configuration of the settings file, and those of its changes that wait for the one before to be committed.

use std::collections::VecDeque;
use std::fmt;

use reedring::Micros;
use reedring_plan::{ConfigDocument, LocalConfig};
use reedring_settings::{Problems, Settings};

/// Changes of the settings file that wait at most.
const MAX_QUEUED: usize = 64;

/// Why a change of the settings file is not applied.
#[derive(Debug)]
pub(super) enum FileError {
    Invalid(Problems),
    /// The `[plan]` table is missing.
    NoTable,
    /// Too many changes wait; the number of the configuration that does not fit.
    QueueFull(u64),
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(problems) => write!(f, "{problems}"),
            Self::NoTable => f.write_str("plan: the table is missing; remove it by a restart"),
            Self::QueueFull(number) => {
                write!(
                    f,
                    "plan.number: {MAX_QUEUED} plans of the file wait, plan {number} does not fit"
                )
            }
        }
    }
}

/// A configuration of the settings file, and the settings with it.
pub(super) struct FileConfiguration {
    pub document: ConfigDocument,
    pub settings: Settings,
}

/// The settings file.
pub(super) struct SettingsFile {
    current: FileConfiguration,
    /// As at the start: the `[plan]` table's own keys are read then alone.
    is_pinned: bool,
    lease_us: Micros,
    /// Later configurations of the file, in the order of their numbers.
    queued: VecDeque<FileConfiguration>,
}

impl SettingsFile {
    /// The file of a placer that starts with these settings; `None` where it has no `[plan]` table.
    pub fn new(settings: &Settings) -> Option<Self> {
        let plan = settings.plan.as_ref()?;
        let document = settings.plan().ok().flatten()?;
        Some(Self {
            current: FileConfiguration {
                document,
                settings: settings.clone(),
            },
            is_pinned: plan.pinned,
            lease_us: plan.lease_us,
            queued: VecDeque::new(),
        })
    }

    /// The configuration that the file is to bring in.
    pub const fn document(&self) -> &ConfigDocument {
        &self.current.document
    }

    pub const fn settings(&self) -> &Settings {
        &self.current.settings
    }

    /// For how long a majority of the voters counts as heard.
    pub const fn lease_us(&self) -> Micros {
        self.lease_us
    }

    /// As the rules of the agreement need it.
    pub fn own(&self) -> LocalConfig {
        LocalConfig {
            version: self.document().version(),
            pinned: self.is_pinned,
        }
    }

    /// Brings this configuration in from now on, in place of the one before.
    pub fn replace(&mut self, configuration: FileConfiguration) {
        self.current = configuration;
    }

    /// The file has changed; the configuration that is to be brought in at once, if it is another.
    ///
    /// | its configuration | is |
    /// | --- | --- |
    /// | the one that was taken in last | ignored: nothing changed |
    /// | the one after it, which is not committed yet | queued, so that neither is lost |
    /// | else | returned; those of its number and over it that wait are dropped |
    ///
    /// # Errors
    /// Why it can't be applied.
    pub fn changed(
        &mut self,
        settings: &Settings,
        committed: u64,
    ) -> Result<Option<FileConfiguration>, FileError> {
        let document = settings
            .plan()
            .map_err(FileError::Invalid)?
            .ok_or(FileError::NoTable)?;
        // Its own tables are those of the start.
        let settings = self
            .settings()
            .with_plan(document.text(), "the settings file");
        let settings = settings.map_err(FileError::Invalid)?;
        let version = document.version();
        let number = version.number;
        self.queued
            .retain(|queued| queued.document.version().number < number);
        let last = self
            .queued
            .back()
            .map_or(self.document(), |queued| &queued.document)
            .version();
        if version == last {
            return Ok(None);
        }
        let configuration = FileConfiguration { document, settings };
        let must_wait = last.number > committed && number == last.number + 1;
        match (must_wait, self.queued.len()) {
            (true, MAX_QUEUED) => Err(FileError::QueueFull(number)),
            (true, _) => {
                self.queued.push_back(configuration);
                Ok(None)
            }
            (false, _) => {
                self.queued.clear();
                Ok(Some(configuration))
            }
        }
    }

    /// The next configuration that waits, once the one before is committed or another one is.
    pub fn next_queued(&mut self, committed: u64) -> Option<FileConfiguration> {
        let is_settled = self.document().version().number <= committed;
        if is_settled {
            self.queued.pop_front()
        } else {
            None
        }
    }
}
