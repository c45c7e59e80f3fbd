//! Watches the placer's settings file while the placer runs.

use std::path::PathBuf;

use reedring_settings::{Problems, Settings};
use tokio::sync::mpsc;

use crate::watched_file::{self, FileReadError, FileSnapshot, POLL_INTERVAL};

#[cfg(test)]
mod tests;

/// A change of the settings file.
#[derive(Debug)]
pub(crate) enum SettingsUpdate {
    /// The file has other settings, which are valid.
    Changed(Box<Settings>),
    /// The file can't be used; the settings before stay active.
    Rejected(SettingsFileError),
}

/// Why the settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsFileError {
    /// It can't be read.
    #[error(transparent)]
    Read(#[from] FileReadError),
    /// Its text is not valid.
    #[error(transparent)]
    Invalid(#[from] Problems),
}

/// Detects changes of a file that is polled. A text counts once two polls in a row have found it: a file that is being
/// written may end early and be valid all the same.
#[derive(Debug)]
struct FileChangeDetector {
    reported: FileSnapshot,
    previous: FileSnapshot,
}

impl FileChangeDetector {
    /// Of a file whose text is known.
    fn new(text: String) -> Self {
        Self {
            reported: Ok(text.clone()),
            previous: Ok(text),
        }
    }

    /// Takes in what a poll found; returns what is to be reported, once for each change.
    fn observe(&mut self, snapshot: FileSnapshot) -> Option<FileSnapshot> {
        let is_settled = snapshot == self.previous;
        self.previous = snapshot;
        if !is_settled || self.previous == self.reported {
            return None;
        }
        self.reported = self.previous.clone();
        Some(self.previous.clone())
    }
}

/// The settings file of a placer that follows changes of its configuration while it runs.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// The text that the placer started with.
    text: String,
}

impl SettingsFile {
    /// The file at this path, with the text that the placer starts with.
    pub fn new(path: PathBuf, text: String) -> Self {
        Self { path, text }
    }

    fn parse(&self, snapshot: FileSnapshot) -> Result<Settings, SettingsFileError> {
        Ok(Settings::parse(
            &snapshot?,
            &self.path.display().to_string(),
        )?)
    }

    /// Sends each change of the file once, until the receiver is dropped.
    pub(crate) async fn watch(self, updates: mpsc::Sender<SettingsUpdate>) {
        let mut detector = FileChangeDetector::new(self.text.clone());
        loop {
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                () = updates.closed() => return,
            }
            let Some(snapshot) = detector.observe(watched_file::read(&self.path).await) else {
                continue;
            };
            let update = match self.parse(snapshot) {
                Ok(settings) => SettingsUpdate::Changed(Box::new(settings)),
                Err(error) => SettingsUpdate::Rejected(error),
            };
            if updates.send(update).await.is_err() {
                return;
            }
        }
    }
}
