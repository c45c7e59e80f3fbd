//! Carries out what the core answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use reedring_core::Output;
use reedring_settings::Settings;
use tokio::sync::watch;

use crate::clients::ClientRegistry;
use crate::context::PlacerContext;
use crate::ledger::LedgerThread;
use crate::links::{LinkSupervisor, NodeLocation};
use crate::log_events;

/// Owns what the core's outputs act on.
pub(crate) struct OutputDispatcher {
    /// The clients, for responses.
    pub clients: ClientRegistry,
    /// The links, for messages to nodes.
    pub links: LinkSupervisor,
    /// The state folder, where the settings name one.
    pub ledger: Option<LedgerThread>,
    /// Where the node list's source learns which settings are active, if it needs them.
    pub active_settings: Option<watch::Sender<Settings>>,
    /// Whether the placer is fenced, for its owner.
    pub is_fenced: Arc<AtomicBool>,
    /// What the tasks read.
    pub context: Arc<PlacerContext>,
}

impl OutputDispatcher {
    /// Carries out one output.
    pub fn carry_out(&mut self, output: Output) {
        match output {
            Output::Reply { conn, response } => self.clients.respond(conn, response),
            Output::Connect {
                node,
                address,
                zone,
            } => self.links.connect(node, NodeLocation { address, zone }),
            Output::ChangeZone { node, zone } => self.links.change_zone(&node, zone),
            Output::Disconnect { node } => self.links.disconnect(&node),
            Output::Send { node, message } => self.links.send(&node, message),
            Output::Persist {
                batch,
                is_rewrite: whole,
            } => {
                if let Some(ledger) = &self.ledger {
                    if whole {
                        ledger.rewrite(batch)
                    } else {
                        ledger.append(batch)
                    }
                }
            }
            Output::PersistBeliefs(learned) => {
                if let Some(ledger) = &self.ledger {
                    ledger.save_beliefs(learned);
                }
            }
            Output::ActiveConfiguration(stamp) => self.context.set_active_config(stamp),
            Output::Settings(settings) => {
                if let Some(active_settings) = &self.active_settings {
                    active_settings.send_replace(*settings);
                }
            }
            Output::Fenced(is_fenced) => self.is_fenced.store(is_fenced, Ordering::Relaxed),
            Output::Event(event) => log_events::record(&self.context.name, &event),
        }
    }
}
