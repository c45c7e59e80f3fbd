//! What a placer is started with beside its settings.

use std::sync::Arc;

use reedring_audit::Recorder;
use reedring_node_protocol::PeerTraffic;

use crate::node_source::NodeListSource;
use crate::settings_file::SettingsFile;

/// What a placer is started with beside its settings.
pub struct PlacerOptions {
    /// Where its node list comes from.
    pub source: Box<dyn NodeListSource>,
    /// Records what crosses its sockets.
    pub recorder: Option<Arc<Recorder>>,
    /// Counts the messages of its links by node.
    pub traffic: Option<Arc<PeerTraffic>>,
    /// The settings file, if changes of its configuration are followed while the placer runs.
    pub settings_file: Option<SettingsFile>,
    /// The settings' text, for the trace.
    pub settings_text: String,
    /// Threads of its runtime; 1 runs the sockets on the core's thread.
    pub threads: usize,
}
