//! The placer's settings file, watched while it runs.

use std::path::PathBuf;
use std::time::Duration;

use reedring_settings::Settings;
use tokio::sync::mpsc;

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(50);

/// News of the settings file.
#[derive(Debug)]
pub(crate) enum FileUpdate {
    /// It says something else, and can be used.
    Changed(Box<Settings>),
    /// It can't be read or is wrong; what was told last holds.
    Failed(String),
}

/// The settings file of a placer that takes up changes of the plan while it runs.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// The text that the placer started with.
    text: String,
}

impl SettingsFile {
    /// The file at this path, whose text the placer starts with.
    pub fn new(path: PathBuf, text: String) -> Self {
        Self { path, text }
    }

    async fn read(&self) -> Result<String, String> {
        let read = tokio::fs::read_to_string(&self.path).await;
        read.map_err(|error| format!("{}: {error}", self.path.display()))
    }

    fn parse(&self, read: &Result<String, String>) -> FileUpdate {
        let parsed = read.clone().and_then(|text| {
            Settings::parse(&text, &self.path.display().to_string()).map_err(|problems| problems.to_string())
        });
        match parsed {
            Ok(settings) => FileUpdate::Changed(Box::new(settings)),
            Err(why) => FileUpdate::Failed(why),
        }
    }

    /// Tells each text once. A text counts from the second look that finds it: one that is being written may end early
    /// and be a plan all the same.
    pub(crate) async fn watch(self, out: mpsc::Sender<FileUpdate>) {
        let mut told = Ok(self.text.clone());
        let mut last = told.clone();
        loop {
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                () = out.closed() => return,
            }
            let read = self.read().await;
            if read == last && read != told {
                if out.send(self.parse(&read)).await.is_err() {
                    return;
                }
                told = read.clone();
            }
            last = read;
        }
    }
}
