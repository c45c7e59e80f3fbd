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

/// The text of a file, or why it can't be read.
type Read = Result<String, String>;

/// What was found at the last looks. A text counts from the second look in a row that finds it: one that is being
/// written may end early and be a plan all the same.
#[derive(Debug)]
struct Looks {
    told: Read,
    last: Read,
}

impl Looks {
    fn new(text: String) -> Self {
        Self {
            told: Ok(text.clone()),
            last: Ok(text),
        }
    }

    /// What is to be told after this look.
    fn look(&mut self, read: Read) -> Option<Read> {
        let settled = read == self.last;
        self.last = read;
        if !settled || self.last == self.told {
            return None;
        }
        self.told = self.last.clone();
        Some(self.last.clone())
    }
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

    async fn read(&self) -> Read {
        let read = tokio::fs::read_to_string(&self.path).await;
        read.map_err(|error| format!("{}: {error}", self.path.display()))
    }

    fn parse(&self, read: &Read) -> FileUpdate {
        let parsed = read.clone().and_then(|text| {
            Settings::parse(&text, &self.path.display().to_string())
                .map_err(|problems| problems.to_string())
        });
        match parsed {
            Ok(settings) => FileUpdate::Changed(Box::new(settings)),
            Err(why) => FileUpdate::Failed(why),
        }
    }

    /// Tells each text once, as soon as two looks in a row have found it.
    pub(crate) async fn watch(self, out: mpsc::Sender<FileUpdate>) {
        let mut looks = Looks::new(self.text.clone());
        loop {
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                () = out.closed() => return,
            }
            if let Some(read) = looks.look(self.read().await)
                && out.send(self.parse(&read)).await.is_err()
            {
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn text(text: &str) -> Read {
        Ok(text.to_owned())
    }

    #[test]
    fn a_text_counts_from_the_second_look_and_is_told_once() {
        let mut looks = Looks::new("one".to_owned());
        let missing: Read = Err("no such file".to_owned());
        for (read, told) in [
            (text("one"), false),
            (text("two, half writ"), false),
            (text("two, half written"), false),
            (text("two"), false),
            (text("two"), true),
            (text("two"), false),
            (missing.clone(), false),
            (text("two"), false),
            (text("two"), false),
            (missing.clone(), false),
            (missing.clone(), true),
            (missing.clone(), false),
            (text("two"), false),
            (text("two"), true),
        ] {
            assert_eq!(looks.look(read.clone()), told.then_some(read));
        }
    }
}
