//! The acceptor: what a voting node persists, how it answers each request, and which offers it admits.
//!
//! A state is a value: [`AcceptorState::apply`] returns the successor, and the caller makes that durable before it
//! answers.

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
pub use placers::{MAX_PLACERS, PlacerSighting};
pub use storage::CorruptState;

/// The configuration for which an acceptor has voted, or that it knows to be chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AcceptedConfig {
    /// The ballot with which it was accepted.
    pub ballot: Ballot,
    /// The configuration.
    pub document: ConfigDocument,
    /// It is chosen, and the joint phase has begun: offers by the configuration before it alone are rejected.
    pub joint: bool,
}

/// What an acceptor persists.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct AcceptorState {
    /// The committed configuration.
    pub committed: Option<ConfigDocument>,
    /// The configuration that is to follow it.
    pub accepted: Option<AcceptedConfig>,
    /// The greatest ballot promised, for the successor of the committed configuration.
    pub promised: Ballot,
    /// The greatest revision of the node list that a request named.
    pub list_revision: u64,
    /// How many configurations were committed here before this one.
    pub replaced_configs: u32,
    /// The first configuration was committed already when this node learned of it. What the node voted for before it
    /// lost its state, if anything, is unknown.
    pub installed_by_catch_up: bool,
    /// The placers that connect to this node, by the hash of their name.
    pub placers: BTreeMap<u64, PlacerSighting>,
}

impl AcceptorState {
    /// The committed version; number 0 where there is none.
    pub fn committed_version(&self) -> ConfigVersion {
        let version = self.committed.as_ref().map(ConfigDocument::version);
        version.unwrap_or_default()
    }

    /// The next configuration, where it is chosen and the joint phase has begun.
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

    /// The report of this state to placers. The caller adds for how long the floor is unchanged, and who is connected.
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

    /// The text of a configuration, if this state holds it.
    pub fn text(&self, version: ConfigVersion) -> Option<&str> {
        let document = self.committed_document(version);
        document
            .or_else(|| self.accepted_document(version))
            .map(ConfigDocument::text)
    }

    /// The delta from the committed configuration to the accepted one, if these are the versions and it is shorter
    /// than the text.
    pub fn delta(&self, base: ConfigVersion, target: ConfigVersion) -> Option<Delta> {
        let base = self.committed_document(base)?;
        let target = self.accepted_document(target)?;
        delta::shorter_than_text(base, target)
    }
}
