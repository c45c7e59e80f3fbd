//! Where the node list comes from.

use std::future::Future;
use std::path::PathBuf;
use std::pin::Pin;

use reedring_settings::{NodeList, Problems, Settings};
use tokio::sync::{mpsc, watch};

use crate::watched_file::{self, FileReadError, FileSnapshot, POLL_INTERVAL};

/// A change of the node list.
#[derive(Debug)]
pub enum NodeListUpdate {
    /// The whole list.
    List {
        /// The list.
        list: NodeList,
        /// Its text, for the trace.
        text: String,
    },
    /// The list can't be read or is not valid; the list before stays active.
    Rejected(NodeListError),
}

/// Why a node list can't be used.
#[derive(Debug, thiserror::Error)]
pub enum NodeListError {
    /// Its file can't be read.
    #[error(transparent)]
    Read(#[from] FileReadError),
    /// Its text is not valid.
    #[error(transparent)]
    Invalid(#[from] Problems),
}

/// A source of the node list.
pub trait NodeListSource: Send + 'static {
    /// Sends the list as soon as it is known, and again each time that it changes. The future ends when the receiver is
    /// dropped; the placer may drop it at any await point before.
    fn run(
        self: Box<Self>,
        updates: mpsc::Sender<NodeListUpdate>,
    ) -> Pin<Box<dyn Future<Output = ()> + Send>>;

    /// Where to send the settings that are active, if the source checks the list against them. The source reads the list
    /// again whenever they change.
    fn settings(&self) -> Option<watch::Sender<Settings>> {
        None
    }
}

/// The node list of a TOML file, which is read again when it changes.
#[derive(Debug)]
pub struct FileNodeSource {
    path: PathBuf,
    settings: watch::Sender<Settings>,
}

impl FileNodeSource {
    /// The list in this file, checked against the kinds of the settings.
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
        let mut reported: Option<FileSnapshot> = None;
        let mut settings = self.settings.subscribe();
        loop {
            let snapshot = watched_file::read(&self.path).await;
            if reported.as_ref() != Some(&snapshot) {
                let update = self
                    .parse(snapshot.clone())
                    .unwrap_or_else(NodeListUpdate::Rejected);
                if updates.send(update).await.is_err() {
                    return;
                }
                reported = Some(snapshot);
            }
            tokio::select! {
                () = tokio::time::sleep(POLL_INTERVAL) => {}
                _ = settings.changed() => reported = None,
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
