//! The acceptor: what a voting node persists, how it answers each request, and which offers it admits.
//!
//! A state is an immutable value: [`AcceptorState::apply`] returns the state after a request, and the caller makes that
//! durable before it answers.

mod admission;
mod error;
mod placers;
mod requests;
mod storage;
#[cfg(test)]
mod tests;

use std::collections::BTreeMap;

use reedring_node_protocol::{
    AcceptedVersion, AcceptorReport, Ballot, ConfigVersion, Delta, version_level,
};

use crate::delta;
use crate::document::ConfigDocument;

pub use error::{OfferRejection, RequestRejection};
pub use placers::{MAX_PLACERS, PlacerRecord};
pub use storage::CorruptState;

/// The configuration for which an acceptor has voted, or which a placer has reported to it as chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedConfig {
    /// The ballot with which the configuration was accepted.
    pub ballot: Ballot,
    /// The text and version of the configuration.
    pub document: ConfigDocument,
    /// Whether the configuration is chosen and its joint phase has begun: from then on, offers by a placer that applies
    /// the predecessor alone are rejected.
    pub joint: bool,
}

/// What an acceptor persists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// The committed configuration; `None` before the first one.
    pub committed: Option<ConfigDocument>,
    /// The accepted successor of the committed configuration, if there is one.
    pub accepted: Option<AcceptedConfig>,
    /// The greatest ballot that was promised for the successor of the committed configuration.
    pub promised: Ballot,
    /// The greatest node list revision of any request that was applied.
    pub list_revision: u64,
    /// How many committed configurations this acceptor has replaced by a later one.
    pub replaced_configs: u32,
    /// Whether the committed configuration is the first one of this state and had not been accepted here before. The
    /// node may have lost an earlier state, so what it voted for before that commit is unknown.
    pub installed_by_catch_up: bool,
    /// The placers that connected to this node, by the hash of their name.
    pub placers: BTreeMap<u64, PlacerRecord>,
}

impl AcceptorState {
    /// The committed version; number 0 where there is none.
    pub fn committed_version(&self) -> ConfigVersion {
        let version = self.committed.as_ref().map(ConfigDocument::version);
        version.unwrap_or_default()
    }

    /// The accepted configuration, if it is chosen and its joint phase has begun.
    fn joint(&self) -> Option<&AcceptedConfig> {
        self.accepted.as_ref().filter(|accepted| accepted.joint)
    }

    /// The lowest version level of the offers that are admitted.
    pub fn floor(&self) -> u64 {
        match self.joint() {
            Some(joint) => version_level(joint.document.version(), true),
            None => version_level(self.committed_version(), false),
        }
    }

    /// The report of this state to placers. The caller adds the age of the floor and the number of connected placers.
    pub fn report(&self) -> AcceptorReport {
        let accepted = |accepted: &AcceptedConfig| AcceptedVersion {
            ballot: accepted.ballot,
            version: accepted.document.version(),
            joint: accepted.joint,
        };
        AcceptorReport {
            committed: self.committed_version(),
            accepted: self.accepted.as_ref().map(accepted),
            promised: self.promised,
            list_revision: self.list_revision,
            ..AcceptorReport::default()
        }
    }

    /// The accepted configuration, if it has this version.
    fn accepted_document(&self, version: ConfigVersion) -> Option<&ConfigDocument> {
        let accepted = self.accepted.as_ref().map(|accepted| &accepted.document);
        accepted.filter(|document| document.version() == version)
    }

    /// The committed configuration, if it has this version.
    fn committed_document(&self, version: ConfigVersion) -> Option<&ConfigDocument> {
        let committed = self.committed.as_ref();
        committed.filter(|document| document.version() == version)
    }

    /// The text of a configuration, if it is the committed or the accepted one.
    pub fn text(&self, version: ConfigVersion) -> Option<&str> {
        let document = self.committed_document(version);
        document
            .or_else(|| self.accepted_document(version))
            .map(ConfigDocument::text)
    }

    /// The delta from `base` to `target`, if `base` is committed here, `target` is accepted here, and the delta is
    /// shorter than the text of `target`.
    pub fn delta(&self, base: ConfigVersion, target: ConfigVersion) -> Option<Delta> {
        let base = self.committed_document(base)?;
        let target = self.accepted_document(target)?;
        delta::shorter_than_text(base, target)
    }
}
