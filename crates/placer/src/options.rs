//! Options of a placer that are not part of its settings.

use std::sync::Arc;

use reedring_audit::Recorder;
use reedring_node_protocol::PeerTraffic;

use crate::node_source::NodeListSource;
use crate::settings_file::SettingsFile;

/// Options with which a placer is started, in addition to its settings.
pub struct PlacerOptions {
    /// Source of the node list.
    pub source: Box<dyn NodeListSource>,
    /// Records the frames on the placer's sockets, its start and its end; `None` writes no trace.
    pub recorder: Option<Arc<Recorder>>,
    /// Counts the messages on links by node; `None` counts nothing.
    pub traffic: Option<Arc<PeerTraffic>>,
    /// Settings file that is watched for changes while the placer runs; `None` if it isn't watched.
    pub settings_file: Option<SettingsFile>,
    /// Text of the settings, which is recorded in the trace.
    pub settings_text: String,
    /// Worker threads of the placer's runtime; with 0 or 1 the sockets are served on the core's thread.
    pub threads: usize,
}
