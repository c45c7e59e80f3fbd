//! This placer's part in the agreement on the configuration, which determines the configuration it acts by.
//!
//! The reports of the nodes are passed to `reedring_plan`, which decides. The result is applied here: as settings for the
//! decision module, as blocked nodes, as requests to nodes, and as events for operators.
//!
//! | state | module |
//! | --- | --- |
//! | the last report of each node, and when it arrived | `peers` |
//! | the configuration of the settings file, and later ones that are queued | `file` |
//! | the known configurations: their texts and the settings parsed from them | `catalog` |
//! | the ballot and the lease | `agreement` |
//!
//! `agreement::step` evaluates this state, and `status` describes the result for operators.

mod agreement;
mod catalog;
mod file;
mod peers;
mod proposal_error;
mod status;

use reedring::Micros;
use reedring_node_protocol::{AcceptorReport, ConfigVersion, Delta, VersionStamp};
use reedring_settings::Settings;

use crate::context::Context;
use crate::dispatch_blocks::DispatchBlocks;
use crate::event::Event;
use crate::ids::NodeNumber;
use crate::nodes::NodeRegistry;
use crate::persistence::WriteAheadQueue;
use agreement::Agreement;

/// The other parts of the core that a step of the agreement may change.
pub(crate) struct AgreementEffects<'a> {
    pub cx: &'a mut Context,
    pub nodes: &'a mut NodeRegistry,
    pub blocks: &'a mut DispatchBlocks,
    pub queue: &'a mut WriteAheadQueue,
}

/// This placer's part in the agreement on the configuration, if its settings file has a `[plan]` table.
pub(crate) struct Configuration {
    /// `None` if the settings file had no `[plan]` table when the placer started.
    agreement: Option<Agreement>,
    /// The changed tables of the settings file that apply only after a restart, as last reported to operators.
    reported_restart_tables: Vec<&'static str>,
}

impl Configuration {
    /// Creates the state of a placer that starts with these settings.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        Self {
            agreement: Agreement::new(settings, incarnation),
            reported_restart_tables: Vec::new(),
        }
    }

    // ---- Queries ----

    /// Why the placer is fenced: it accepts no jobs until an operator acts. `None` if it is not fenced.
    pub fn fence_reason(&self) -> Option<&'static str> {
        self.agreement.as_ref().and_then(Agreement::fence_reason)
    }

    /// The version stamp for offers to this node. `None` if the node can't read stamps or configurations are not in use.
    pub fn stamp_for(&self, node: NodeNumber, list_revision: u64) -> Option<VersionStamp> {
        self.agreement.as_ref()?.stamp_for(node, list_revision)
    }

    /// Describes for operators the configuration that a node stores. `None` if the node has not reported yet.
    pub fn describe_node(&self, node: NodeNumber, nodes: &NodeRegistry) -> Option<String> {
        self.agreement.as_ref()?.describe_node(node, nodes)
    }

    // ---- Inputs ----

    /// Handles a completed handshake with a node. `report` is `None` if the node speaks version 1 of the protocol, in which
    /// nodes store no configurations.
    pub fn node_connected(
        &mut self,
        now: Micros,
        node: NodeNumber,
        report: Option<AcceptorReport>,
        cx: &mut Context,
    ) {
        if let Some(agreement) = &mut self.agreement {
            agreement.node_connected(now, node, report, cx);
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
        if let Some(agreement) = &mut self.agreement {
            agreement.report_received(now, node, report, cx);
        }
    }

    /// Handles the text of a configuration that a node sent. A text that does not match its version is logged and dropped.
    pub fn text_received(
        &mut self,
        node: NodeNumber,
        version: ConfigVersion,
        text: &str,
        nodes: &NodeRegistry,
        cx: &mut Context,
    ) {
        let Some(agreement) = &mut self.agreement else {
            return;
        };
        if let Err(error) = agreement.add_text(version, text) {
            let (node, reason) = (nodes.name(node), error.to_string());
            cx.log(Event::ConfigurationTextInvalid { node, reason });
        }
    }

    /// Handles a delta that a node sent in place of a requested text. A delta that can't be applied is logged, and the
    /// text is then fetched in full.
    pub fn delta_received(
        &mut self,
        node: NodeNumber,
        delta: &Delta,
        nodes: &NodeRegistry,
        cx: &mut Context,
    ) {
        let Some(agreement) = &mut self.agreement else {
            return;
        };
        if let Err(error) = agreement.add_delta(delta) {
            let (node, reason) = (nodes.name(node), error.to_string());
            cx.log(Event::ConfigurationDeltaInvalid { node, reason });
        }
    }

    /// Handles a change of the settings file.
    pub fn file_changed(&mut self, settings: &Settings, cx: &mut Context) {
        let mut tables = cx.settings().changed_placer_tables(settings);
        if tables != self.reported_restart_tables {
            self.reported_restart_tables.clone_from(&tables);
            if self.agreement.is_none() {
                tables.retain(|name| *name != "plan");
            }
            if !tables.is_empty() {
                cx.log(Event::SettingsRestartRequired { tables });
            }
        }
        let Some(agreement) = &mut self.agreement else {
            return cx.log(Event::SettingsChangeIgnored);
        };
        if let Err(error) = agreement.file_changed(settings) {
            let reason = error.to_string().replace('\n', "; ");
            cx.log(Event::SettingsChangeRejected { reason });
        }
    }

    /// Handles a change of the node list: the agreement is evaluated again in this flush.
    pub fn nodes_changed(&mut self) {
        self.agreement.iter_mut().for_each(Agreement::mark_changed);
    }

    /// Runs a step of the agreement if one is due or an input has changed.
    pub fn advance_if_due(&mut self, now: Micros, effects: &mut AgreementEffects<'_>) {
        if let Some(agreement) = self
            .agreement
            .as_mut()
            .filter(|agreement| agreement.is_due(now))
        {
            agreement.advance(now, effects);
        }
    }
}
