//! The configuration of the settings file, and later ones from its changes that are queued until the previous one is
//! committed.

use std::collections::VecDeque;
use std::fmt;

use reedring::Micros;
use reedring_plan::{ConfigDocument, LocalConfig};
use reedring_settings::{Problems, Settings};

/// The most configurations of the settings file that are queued.
const MAX_QUEUED: usize = 64;

/// Why a change of the settings file is not applied.
#[derive(Debug)]
pub(super) enum FileChangeError {
    /// The file's text is not valid.
    Invalid(Problems),
    /// The `[plan]` table is missing.
    MissingPlanTable,
    /// The queue is full; holds the number of the configuration that was not queued.
    QueueFull(u64),
}

impl fmt::Display for FileChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(problems) => write!(f, "{problems}"),
            Self::MissingPlanTable => f.write_str(
                "plan: the settings file has no [plan] table; removing the table needs a restart",
            ),
            Self::QueueFull(number) => {
                write!(
                    f,
                    "plan.number: {MAX_QUEUED} plans of the settings file are queued, the most \
                     allowed; plan {number} is dropped"
                )
            }
        }
    }
}

/// A configuration of the settings file, and the settings of the file with it.
pub(super) struct FileConfiguration {
    pub document: ConfigDocument,
    pub settings: Settings,
}

/// The configurations of the settings file that this placer proposes, one after the other.
pub(super) struct SettingsFile {
    /// The configuration that is proposed now, or is committed.
    current: FileConfiguration,
    /// Whether the placer may act by no other configuration (`plan.pinned`), as read when the placer started.
    is_pinned: bool,
    /// How long a majority's answer allows dispatching (`plan.lease`), as read when the placer started.
    lease_us: Micros,
    /// Later configurations of the file that are not proposed yet, in the order of their numbers.
    queued: VecDeque<FileConfiguration>,
}

impl SettingsFile {
    /// The file of a placer that starts with these settings; `None` if it has no `[plan]` table.
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

    /// The configuration that is proposed now, or is committed.
    pub const fn document(&self) -> &ConfigDocument {
        &self.current.document
    }

    pub const fn settings(&self) -> &Settings {
        &self.current.settings
    }

    /// For how many microseconds after a majority of the voters answered this placer may dispatch.
    pub const fn lease_us(&self) -> Micros {
        self.lease_us
    }

    /// The version of the file's configuration and whether it is pinned, as `lease_state` takes them.
    pub fn local_config(&self) -> LocalConfig {
        LocalConfig {
            version: self.document().version(),
            pinned: self.is_pinned,
        }
    }

    /// Makes this configuration the one that is proposed.
    pub fn replace(&mut self, configuration: FileConfiguration) {
        self.current = configuration;
    }

    /// Takes the configuration of the changed file. Returns it if it is to be proposed at once.
    ///
    /// Queued configurations of the same or a higher number are dropped. The new one is then compared with the last of
    /// the queue, or with the current one if the queue is empty:
    ///
    /// | new configuration | result |
    /// | --- | --- |
    /// | is the same | ignored: nothing changed |
    /// | has the next number, and the last one is not committed yet | queued, so that neither is lost |
    /// | any other | returned, and the whole queue is dropped |
    ///
    /// # Errors
    /// Why the change can't be applied.
    pub fn apply_change(
        &mut self,
        settings: &Settings,
        committed: u64,
    ) -> Result<Option<FileConfiguration>, FileChangeError> {
        let document = settings
            .plan()
            .map_err(FileChangeError::Invalid)?
            .ok_or(FileChangeError::MissingPlanTable)?;
        // The placer's own tables stay as they were when the placer started.
        let settings = self
            .settings()
            .with_plan(document.text(), "the settings file");
        let settings = settings.map_err(FileChangeError::Invalid)?;
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
            (true, MAX_QUEUED) => Err(FileChangeError::QueueFull(number)),
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

    /// Takes the next configuration from the queue once one with the current number or a higher one is committed.
    pub fn take_next_queued(&mut self, committed: u64) -> Option<FileConfiguration> {
        let is_settled = self.document().version().number <= committed;
        if is_settled {
            self.queued.pop_front()
        } else {
            None
        }
    }
}
