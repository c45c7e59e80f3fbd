//! One placer's part in the agreement: the ballot that it runs, the lease that it holds, and what follows.

mod step;

use reedring::Micros;
use reedring_node_protocol::{AcceptorReport, ConfigVersion, Delta, VersionStamp};
use reedring_plan::delta::DeltaError;
use reedring_plan::{
    ActiveVersion, ConfigDocument, DocumentError, Incarnation, LeaseState, PeerState,
    ProposalBackoff, Proposer, RequestCompactor, SuspendReason, delta,
};
use reedring_settings::Settings;

use super::catalog::Catalog;
use super::file::{FileConfiguration, FileError, SettingsFile};
use super::peers::Peers;
use crate::context::Context;
use crate::event::Event;
use crate::ids::NodeNumber;
use crate::timers::Timer;

/// Microseconds between two steps while a change is under way, or a node's floor settles.
const BUSY_INTERVAL_US: Micros = 100_000;
/// One placer's part in the agreement on the configuration.
pub(super) struct Agreement {
    file: SettingsFile,
    catalog: Catalog,
    peers: Peers,
    build: u32,
    proposer: Proposer,
    backoff: ProposalBackoff,
    compactor: RequestCompactor,
    /// The newest committed configuration whose text is here: what requests and answers may leave out.
    base: Option<ConfigDocument>,
    /// A configuration of which a wrong delta came: it is fetched whole.
    fetch_in_full: Option<ConfigVersion>,
    /// The newest committed configuration that this incarnation knows of, whatever nodes have forgotten.
    committed: ConfigVersion,
    lease_state: LeaseState,
    /// What operators were told last.
    last_status: Option<Event>,
    /// Something was reported since the last step: there is one step a flush.
    changed: bool,
    /// When the next step is due.
    due: Micros,
    last_heartbeat: Micros,
}

impl Agreement {
    /// Of a placer that starts with these settings; `None` where they have no `[plan]` table.
    pub fn new(settings: &Settings, incarnation: u64) -> Option<Self> {
        let file = SettingsFile::new(settings)?;
        let lease_us = file.lease_us();
        let mut catalog = Catalog::default();
        catalog.add_own(file.document(), settings);
        Some(Self {
            file,
            catalog,
            peers: Peers::new(lease_us),
            build: crate::build(),
            proposer: Proposer::new(Incarnation(incarnation)),
            backoff: ProposalBackoff::new(Incarnation(incarnation)),
            compactor: RequestCompactor::default(),
            base: None,
            fetch_in_full: None,
            committed: ConfigVersion::default(),
            lease_state: LeaseState::Suspended(SuspendReason::NoQuorum),
            last_status: None,
            changed: false,
            due: 0,
            last_heartbeat: 0,
        })
    }

    // ---- Reading ----

    pub(super) const fn lease_state(&self) -> &LeaseState {
        &self.lease_state
    }

    pub(super) const fn committed(&self) -> ConfigVersion {
        self.committed
    }

    pub(super) const fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    pub(super) const fn peers(&self) -> &Peers {
        &self.peers
    }

    /// The configuration of the settings file.
    pub(super) fn own_version(&self) -> ConfigVersion {
        self.file.document().version()
    }

    /// Why nothing is accepted, where that does not end by itself.
    pub fn fenced(&self) -> Option<&'static str> {
        match self.lease_state {
            LeaseState::Suspended(why) if why.is_fenced() => Some(why.description()),
            _ => None,
        }
    }

    /// By what it decides now, for a node that reads it.
    fn stamp(&self, list: u64) -> VersionStamp {
        let ActiveVersion { version, joint } = match &self.lease_state {
            LeaseState::Active(active) => active.version(),
            _ => ActiveVersion {
                version: self.own_version(),
                joint: false,
            },
        };
        VersionStamp {
            version,
            joint,
            list_revision: list,
            build: self.build,
        }
    }

    /// By what an offer to this node is decided, where the node can read it.
    pub fn stamp_for(&self, node: NodeNumber, list: u64) -> Option<VersionStamp> {
        let is_old = self
            .peers
            .state(node)
            .is_none_or(|state| *state == PeerState::Legacy);
        (self.lease_state != LeaseState::Unmanaged && !is_old).then(|| self.stamp(list))
    }

    /// Whether a step is due, or something was reported.
    pub fn is_due(&self, now: Micros) -> bool {
        self.changed || self.due <= now
    }

    // ---- What comes in ----

    pub fn mark_changed(&mut self) {
        self.changed = true;
    }

    /// The handshake with a node is done: what it stores, or none where it speaks version 1 of the protocol.
    pub fn node_connected(
        &mut self,
        now: Micros,
        node: NodeNumber,
        record: Option<AcceptorReport>,
        cx: &mut Context,
    ) {
        self.backoff.reset_node(node.0);
        match record {
            Some(record) => self.report_received(now, node, record, cx),
            None => {
                self.peers.stores_nothing(now, node);
                self.changed = true;
            }
        }
    }

    /// What a node stores has changed, or was asked for.
    pub fn report_received(
        &mut self,
        now: Micros,
        node: NodeNumber,
        record: AcceptorReport,
        cx: &mut Context,
    ) {
        self.changed |= self.peers.reported(now, node, record);
        // It may complete a majority again, which is evaluated soon, and once for all that are heard until then.
        let soon = now + BUSY_INTERVAL_US;
        if matches!(self.lease_state, LeaseState::Suspended(_)) && self.due > soon {
            self.due = soon;
            cx.set_timer(soon, Timer::Configuration);
        }
    }

    /// Adds the text of a configuration.
    ///
    /// # Errors
    /// Where it does not match its version.
    pub fn add_text(&mut self, version: ConfigVersion, text: &str) -> Result<(), DocumentError> {
        if !text.is_empty() {
            self.catalog
                .texts
                .insert(&ConfigDocument::verify(version, text)?);
            self.changed = true;
        }
        Ok(())
    }

    /// Adds a configuration by what changed to one that is known.
    ///
    /// # Errors
    /// Where it does not yield its version; the text is fetched whole then.
    pub fn add_delta(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        if self.catalog.texts.text(delta.target).is_some() {
            return Ok(());
        }
        let Some(base) = self.catalog.texts.document(delta.base) else {
            return Ok(());
        };
        self.changed = true;
        match delta::apply(&base, delta) {
            Ok(document) => {
                self.catalog.texts.insert(&document);
                Ok(())
            }
            Err(error) => {
                self.fetch_in_full = Some(delta.target);
                Err(error)
            }
        }
    }

    /// The settings file has changed.
    ///
    /// # Errors
    /// Why that can't be applied.
    pub fn file_changed(&mut self, settings: &Settings) -> Result<(), FileError> {
        if let Some(configuration) = self.file.changed(settings, self.committed.number)? {
            self.bring_in(configuration);
        }
        Ok(())
    }

    /// Brings a configuration of the settings file in, in place of the one before.
    fn bring_in(&mut self, configuration: FileConfiguration) {
        self.catalog
            .add_own(&configuration.document, &configuration.settings);
        self.file.replace(configuration);
        self.changed = true;
    }
}
