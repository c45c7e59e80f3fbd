//! Sources of the node list.

use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;

use reedring_settings::{NodeList, Problems, Settings};
use tokio::sync::{mpsc, watch};

use crate::watched_file::{self, FileReadError, FileSnapshot, POLL_INTERVAL};

/// An update of the node list.
#[derive(Debug)]
pub enum NodeListUpdate {
    /// The whole new list.
    List {
        /// The parsed list.
        list: NodeList,
        /// Text of the list, which is recorded in the trace.
        text: String,
    },
    /// The list can't be read or is not valid; the previous list stays active.
    Rejected(NodeListError),
}

/// Why a node list can't be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeListError {
    /// The file of the list can't be read.
    #[error(transparent)]
    Read(#[from] FileReadError),
    /// The text of the list is not valid.
    #[error(transparent)]
    Invalid(#[from] Problems),
}

/// A source of the node list.
pub trait NodeListSource: Send + 'static {
    /// Sends the list as soon as it is known, and again whenever it changes. The future ends when the receiver is
    /// dropped; the placer may drop the future at any await point before that.
    fn run(
        self: Box<Self>,
        updates: mpsc::Sender<NodeListUpdate>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;

    /// Returns the sender through which the placer passes its active settings, if the source checks the list against
    /// them. The source reads the list again whenever they change.
    fn settings(&self) -> Option<watch::Sender<Settings>> {
        None
    }
}

/// Reads the node list from a TOML file, and watches the file for changes.
#[derive(Debug)]
pub struct FileNodeSource {
    path: PathBuf,
    settings: watch::Sender<Settings>,
}

impl FileNodeSource {
    /// Creates a source that reads this file and checks the list against the machine kinds of the settings.
    pub fn new(path: PathBuf, settings: Settings) -> Self {
        Self {
            path,
            settings: watch::Sender::new(settings),
        }
    }

    fn parse(&self, snapshot: FileSnapshot) -> Result<NodeListUpdate, NodeListError> {
        let text = snapshot?;
        let list = NodeList::parse(
            &text,
            &self.path.display().to_string(),
            &self.settings.borrow(),
        )?;
        Ok(NodeListUpdate::List { list, text })
    }

    async fn watch(self, updates: mpsc::Sender<NodeListUpdate>) {
        let mut last_reported: Option<FileSnapshot> = None;
        let mut settings = self.settings.subscribe();
        loop {
            let snapshot = watched_file::read(&self.path).await;
            if last_reported.as_ref() != Some(&snapshot) {
                let update = self
                    .parse(snapshot.clone())
                    .unwrap_or_else(NodeListUpdate::Rejected);
                if updates.send(update).await.is_err() {
                    return;
                }
                last_reported = Some(snapshot);
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                _ = settings.changed() => last_reported = None,
                () = updates.closed() => return,
            }
        }
    }
}

impl NodeListSource for FileNodeSource {
    fn run(
        self: Box<Self>,
        updates: mpsc::Sender<NodeListUpdate>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>> {
        Box::pin(self.watch(updates))
    }

    fn settings(&self) -> Option<watch::Sender<Settings>> {
        Some(self.settings.clone())
    }
}
