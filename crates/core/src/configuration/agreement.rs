//! One placer's state in the agreement on the configuration: the ballot that it runs and the lease that it holds.

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
use super::file::{FileChangeError, FileConfiguration, SettingsFile};
use super::peers::Peers;
use crate::context::Context;
use crate::event::Event;
use crate::ids::NodeNumber;
use crate::timers::Timer;

/// Microseconds between two steps while a configuration change is in progress, while a node's block may end without a
/// message, or while the placer is suspended although a majority answers.
const BUSY_INTERVAL_US: Micros = 100_000;

/// One placer's state in the agreement on the configuration.
pub(super) struct Agreement {
    file: SettingsFile,
    catalog: Catalog,
    peers: Peers,
    /// The build number of this program, which is part of the version stamp.
    build: u32,
    proposer: Proposer,
    backoff: ProposalBackoff,
    compactor: RequestCompactor,
    /// The newest committed configuration whose text is known. Requests and answers may be deltas to it.
    delta_base: Option<ConfigDocument>,
    /// A configuration whose last delta could not be applied, so that its text is fetched in full.
    fetch_in_full: Option<ConfigVersion>,
    /// The newest committed configuration that this incarnation has seen, even if no node reports it any more.
    committed: ConfigVersion,
    lease_state: LeaseState,
    /// The last status that was reported to operators.
    last_status: Option<Event>,
    /// An input changed since the last step. The next flush runs one step for all changes.
    inputs_changed: bool,
    /// When the next step is due if no input changes.
    next_step_at: Micros,
    /// When the voters were last queried; 0 if they never were.
    last_heartbeat_at: Micros,
}

impl Agreement {
    /// Creates the state of a placer that starts with these settings; `None` if they have no `[plan]` table.
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
            delta_base: None,
            fetch_in_full: None,
            committed: ConfigVersion::default(),
            lease_state: LeaseState::Suspended(SuspendReason::NoQuorum),
            last_status: None,
            inputs_changed: false,
            next_step_at: 0,
            last_heartbeat_at: 0,
        })
    }

    // ---- Queries ----

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

    /// The version of the settings file's configuration.
    pub(super) fn own_version(&self) -> ConfigVersion {
        self.file.document().version()
    }

    /// Why the placer is fenced: it accepts no jobs until an operator acts. `None` if it is not fenced.
    pub fn fence_reason(&self) -> Option<&'static str> {
        match self.lease_state {
            LeaseState::Suspended(reason) if reason.is_fenced() => Some(reason.description()),
            _ => None,
        }
    }

    /// The version stamp of this placer's decisions now. While none is active, it names that of the settings file.
    fn stamp(&self, list_revision: u64) -> VersionStamp {
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
            list_revision,
            build: self.build,
        }
    }

    /// The version stamp for offers to this node. `None` if the node has not reported or speaks version 1 of the protocol,
    /// or if the placer acts by its settings file without agreement.
    pub fn stamp_for(&self, node: NodeNumber, list_revision: u64) -> Option<VersionStamp> {
        let is_legacy_or_unknown = self
            .peers
            .state(node)
            .is_none_or(|state| *state == PeerState::Legacy);
        (self.lease_state != LeaseState::Unmanaged && !is_legacy_or_unknown)
            .then(|| self.stamp(list_revision))
    }

    /// Whether a step is due by time or because an input changed.
    pub fn is_due(&self, now: Micros) -> bool {
        self.inputs_changed || self.next_step_at <= now
    }

    // ---- Inputs ----

    /// Records that an input changed, so that the next flush runs a step.
    pub fn mark_changed(&mut self) {
        self.inputs_changed = true;
    }

    /// Handles a completed handshake with a node. `report` is `None` if the node speaks version 1 of the protocol, in which
    /// nodes store no configurations.
    pub fn node_connected(
        &mut self,
        now: Micros,
        node: NodeNumber,
        report: Option<AcceptorReport>,
        cx: &mut Context,
    ) {
        self.backoff.reset_node(node.0);
        match report {
            Some(report) => self.report_received(now, node, report, cx),
            None => {
                self.peers.record_legacy_node(now, node);
                self.inputs_changed = true;
            }
        }
    }

    /// Handles a node's report of the configurations that it stores, sent after a change or in answer to a query.
    pub fn report_received(
        &mut self,
        now: Micros,
        node: NodeNumber,
        report: AcceptorReport,
        cx: &mut Context,
    ) {
        self.inputs_changed |= self.peers.record_report(now, node, report);
        // While the placer is suspended, the report may complete a majority, even if nothing in it changed. A step is run
        // soon, and evaluates all reports that arrive until then.
        let soon = now + BUSY_INTERVAL_US;
        if matches!(self.lease_state, LeaseState::Suspended(_)) && self.next_step_at > soon {
            self.next_step_at = soon;
            cx.set_timer(soon, Timer::Configuration);
        }
    }

    /// Adds the text of a configuration; an empty text is ignored.
    ///
    /// # Errors
    /// If the text does not match its version.
    pub fn add_text(&mut self, version: ConfigVersion, text: &str) -> Result<(), DocumentError> {
        if !text.is_empty() {
            self.catalog
                .documents
                .insert(&ConfigDocument::verify(version, text)?);
            self.inputs_changed = true;
        }
        Ok(())
    }

    /// Adds a configuration that a delta yields from its base. The delta is ignored if its result is known already or its
    /// base is not known.
    ///
    /// # Errors
    /// If the delta does not yield the configuration that it names, whose text is then fetched in full.
    pub fn add_delta(&mut self, delta: &Delta) -> Result<(), DeltaError> {
        if self.catalog.documents.text(delta.target).is_some() {
            return Ok(());
        }
        let Some(base) = self.catalog.documents.document(delta.base) else {
            return Ok(());
        };
        self.inputs_changed = true;
        match delta::apply(&base, delta) {
            Ok(document) => {
                self.catalog.documents.insert(&document);
                Ok(())
            }
            Err(error) => {
                self.fetch_in_full = Some(delta.target);
                Err(error)
            }
        }
    }

    /// Handles a change of the settings file: its configuration is proposed next, or queued.
    ///
    /// # Errors
    /// Why the change can't be applied.
    pub fn file_changed(&mut self, settings: &Settings) -> Result<(), FileChangeError> {
        if let Some(configuration) = self.file.apply_change(settings, self.committed.number)? {
            self.set_own_configuration(configuration);
        }
        Ok(())
    }

    /// Makes this configuration of the settings file the one that is proposed.
    fn set_own_configuration(&mut self, configuration: FileConfiguration) {
        self.catalog
            .add_own(&configuration.document, &configuration.settings);
        self.file.replace(configuration);
        self.inputs_changed = true;
    }
}
