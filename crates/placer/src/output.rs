//! Executes the core's outputs.

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

/// Executes the core's outputs, and owns what they act on.
pub(crate) struct OutputDispatcher {
    /// Client connections, to which responses are sent.
    pub clients: ClientRegistry,
    /// Links to nodes, on which messages are sent.
    pub links: LinkSupervisor,
    /// Thread that writes the state folder; `None` if the settings name no folder.
    pub ledger: Option<LedgerThread>,
    /// Passes the active settings to the source of the node list; `None` if the source doesn't use them.
    pub active_settings: Option<watch::Sender<Settings>>,
    /// Set while the placer is fenced; read by its owner.
    pub is_fenced: Arc<AtomicBool>,
    /// Context that the placer's tasks read.
    pub context: Arc<PlacerContext>,
}

impl OutputDispatcher {
    /// Executes one output.
    pub fn dispatch(&mut self, output: Output) {
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
            Output::Persist { batch, is_rewrite } => {
                if let Some(ledger) = &self.ledger {
                    if is_rewrite {
                        ledger.rewrite(batch)
                    } else {
                        ledger.append(batch)
                    }
                }
            }
            Output::PersistBeliefs(beliefs) => {
                if let Some(ledger) = &self.ledger {
                    ledger.save_beliefs(beliefs);
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
