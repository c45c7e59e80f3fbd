//! Agreement on the configuration: by which one this placer acts.
//!
//! What nodes report goes to `reedring_plan`, which decides; what follows becomes settings for the decision module,
//! blocked nodes, requests to nodes, and events for operators.
//!
//! | state | file |
//! | --- | --- |
//! | what nodes reported, and when | `peers` |
//! | the settings file, and its configurations that wait | `file` |
//! | the texts that are known, as settings | `catalog` |
//! | the ballot and the lease | `agreement` |
//!
//! `agreement::step` evaluates all of it, and `status` says it to operators.

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

/// What a step of the agreement may change beside its own state.
pub(crate) struct AgreementEffects<'a> {
    pub cx: &'a mut Context,
    pub nodes: &'a mut NodeRegistry,
    pub blocks: &'a mut DispatchBlocks,
    pub queue: &'a mut WriteAheadQueue,
}

/// The configuration of this placer, and its part in the agreement on it.
pub(crate) struct Configuration {
    /// None where the settings file has no `[plan]` table.
    agreement: Option<Agreement>,
    /// Tables of the settings file that need a restart to apply, as operators were told last.
    restart_tables: Vec<&'static str>,
}

impl Configuration {
    /// Of a placer that starts with these settings.
    pub fn new(settings: &Settings, incarnation: u64) -> Self {
        Self {
            agreement: Agreement::new(settings, incarnation),
            restart_tables: Vec::new(),
        }
    }

    // ---- Reading ----

    /// Why nothing is accepted, where that does not end by itself.
    pub fn fenced(&self) -> Option<&'static str> {
        self.agreement.as_ref().and_then(Agreement::fenced)
    }

    /// By what an offer to this node is decided, where the node can read it.
    pub fn stamp_for(&self, node: NodeNumber, list_revision: u64) -> Option<VersionStamp> {
        self.agreement.as_ref()?.stamp_for(node, list_revision)
    }

    /// What operators see of the configuration that a node stores.
    pub fn describe_node(&self, node: NodeNumber, nodes: &NodeRegistry) -> Option<String> {
        self.agreement.as_ref()?.describe_node(node, nodes)
    }

    // ---- What comes in ----

    /// The handshake with a node is done: what it stores, or none where it speaks version 1 of the protocol.
    pub fn node_connected(
        &mut self,
        now: Micros,
        node: NodeNumber,
        record: Option<AcceptorReport>,
        cx: &mut Context,
    ) {
        if let Some(agreement) = &mut self.agreement {
            agreement.node_connected(now, node, record, cx);
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
        if let Some(agreement) = &mut self.agreement {
            agreement.report_received(now, node, record, cx);
        }
    }

    /// A node sent the text of a configuration.
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

    /// A node sent what changed to a configuration that was asked for.
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

    /// The settings file has changed.
    pub fn file_changed(&mut self, settings: &Settings, cx: &mut Context) {
        let mut tables = cx.settings().own_changes(settings);
        if tables != self.restart_tables {
            self.restart_tables.clone_from(&tables);
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

    /// Something that the agreement goes by has changed: the node list.
    pub fn nodes_changed(&mut self) {
        self.agreement.iter_mut().for_each(Agreement::mark_changed);
    }

    /// Advances the agreement, where that is due or something was reported.
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
