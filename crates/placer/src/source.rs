//! Where the node list comes from.

use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;
use std::time::Duration;

use reedring_settings::{NodeList, Problems, Settings};
use tokio::sync::{mpsc, watch};

/// How often the file is looked at: well under any grace for drains.
const LOOK: Duration = Duration::from_millis(50);

/// News of the node list.
#[derive(Debug)]
pub enum Update {
    /// The whole list, and its text for the trace.
    List(NodeList, String),
    /// It can't be read or is wrong; the old one holds.
    Failed(String),
}

/// A source of the node list. It runs until its receiver is gone.
pub trait NodeSource: Send + 'static {
    /// Sends the list as soon as it is known, and again each time it changes.
    fn run(self: Box<Self>, out: mpsc::Sender<Update>) -> Pin<Box<dyn Future<Output = ()> + Send>>;

    /// Where to tell it of other settings, if it reads the list by them: the list is read again then.
    fn settings(&self) -> Option<watch::Sender<Settings>> {
        None
    }
}

/// The node list of a TOML file, read again when it changes.
#[derive(Debug)]
pub struct FileSource {
    path: PathBuf,
    settings: watch::Sender<Settings>,
}

impl FileSource {
    /// The list in this file, checked against the kinds of the settings.
    pub fn new(path: PathBuf, settings: Settings) -> Self {
        Self {
            path,
            settings: watch::Sender::new(settings),
        }
    }

    fn parse(&self, text: &str) -> Result<NodeList, Problems> {
        NodeList::parse(
            text,
            &self.path.display().to_string(),
            &self.settings.borrow(),
        )
    }

    async fn watch(self, out: mpsc::Sender<Update>) {
        let mut known: Option<Result<String, String>> = None;
        let mut retold = self.settings.subscribe();
        loop {
            // The file is small, and its text is surer to tell a change than its times.
            let read = tokio::fs::read_to_string(&self.path).await;
            let read = read.map_err(|error| format!("{}: {error}", self.path.display()));
            if known.as_ref() != Some(&read) {
                let update = match &read {
                    Ok(text) => match self.parse(text) {
                        Ok(list) => Update::List(list, text.clone()),
                        Err(problems) => Update::Failed(problems.to_string()),
                    },
                    Err(error) => Update::Failed(error.clone()),
                };
                if out.send(update).await.is_err() {
                    return;
                }
                known = Some(read);
            }
            tokio::select! {
                () = tokio::time::sleep(LOOK) => {}
                _ = retold.changed() => known = None,
                () = out.closed() => return,
            }
        }
    }
}

impl NodeSource for FileSource {
    fn run(self: Box<Self>, out: mpsc::Sender<Update>) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(self.watch(out))
    }

    fn settings(&self) -> Option<watch::Sender<Settings>> {
        Some(self.settings.clone())
    }
}
