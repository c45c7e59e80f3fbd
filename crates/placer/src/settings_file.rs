//! Watches the placer's settings file while the placer runs.

use std::path::PathBuf;

use reedring_settings::{Problems, Settings};
use tokio::sync::mpsc;

use crate::watched_file::{self, FileReadError, FileSnapshot, POLL_INTERVAL};

#[cfg(test)]
mod tests;

/// An update of the settings file.
#[derive(Debug)]
pub(crate) enum SettingsUpdate {
    /// The file holds new, valid settings.
    Changed(Box<Settings>),
    /// The file can't be read or is not valid; the previous settings stay active.
    Rejected(SettingsFileError),
}

/// Why the settings file can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SettingsFileError {
    /// The file can't be read.
    #[error(transparent)]
    Read(#[from] FileReadError),
    /// The text of the file is not valid.
    #[error(transparent)]
    Invalid(#[from] Problems),
}

/// Detects changes of a file that is polled. A change is reported only after two polls in a row found the same content,
/// because a file that is only partly written may be valid, too.
#[derive(Debug)]
struct FileChangeDetector {
    /// Content that was reported last, or known at the start.
    last_reported: FileSnapshot,
    /// Content that the previous poll found.
    previous: FileSnapshot,
}

impl FileChangeDetector {
    /// Creates a detector for a file whose current text is known.
    fn new(text: String) -> Self {
        Self {
            last_reported: Ok(text.clone()),
            previous: Ok(text),
        }
    }

    /// Takes the result of a poll, and returns it if it is a change that has to be reported. Each change is returned
    /// once.
    fn observe(&mut self, snapshot: FileSnapshot) -> Option<FileSnapshot> {
        let is_stable = snapshot == self.previous;
        self.previous = snapshot;
        if !is_stable || self.previous == self.last_reported {
            return None;
        }
        self.last_reported = self.previous.clone();
        Some(self.previous.clone())
    }
}

/// A settings file that is watched for changes while the placer runs.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Text of the file with which the placer was started.
    text: String,
}

impl SettingsFile {
    /// Creates a settings file; `text` is the content with which the placer is started.
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
