//! Records of a placer in its trace: each frame on its sockets, changes of its node list, and its start, stalls and
//! end.

use std::sync::Arc;
use std::time::Duration;

use reedring_audit::{Event, Recorder};
use reedring_core::ConnectionId;

use crate::link_number::LinkNumber;

/// Writes the trace records of one placer; does nothing without a recorder.
#[derive(Clone)]
pub(crate) struct PlacerTrace {
    placer: String,
    recorder: Option<Arc<Recorder>>,
}

impl PlacerTrace {
    /// Creates the trace of the placer with this name. `None` as recorder disables it.
    pub fn new(placer: &str, recorder: Option<Arc<Recorder>>) -> Self {
        Self {
            placer: placer.to_owned(),
            recorder,
        }
    }

    fn record(&self, event: Event, peer: &str, number: u64, bytes: &[u8]) {
        if let Some(recorder) = &self.recorder {
            recorder.record(event, &self.placer, peer, number, bytes);
        }
    }

    /// Records that the placer starts, with the text of its settings.
    pub fn placer_started(&self, incarnation: u64, settings_text: &str) {
        self.record(
            Event::PlacerStarted,
            "",
            incarnation,
            settings_text.as_bytes(),
        );
    }

    /// Records that the placer has ended.
    pub fn placer_ended(&self, incarnation: u64) {
        self.record(Event::PlacerEnded, "", incarnation, b"");
    }

    /// Records that the placer handles no events for this time.
    pub fn placer_stalled(&self, duration: Duration) {
        self.record(Event::PlacerStalled, "", duration.as_micros() as u64, b"");
    }

    /// Records the text of a new node list, which the placer uses from now on.
    pub fn node_list_changed(&self, text: &str) {
        self.record(Event::Listed, "", 0, text.as_bytes());
    }

    /// Records a frame that was read from a client. `frame` is called only if a trace is written.
    pub fn client_frame_read(&self, conn: ConnectionId, frame: impl FnOnce() -> Vec<u8>) {
        self.client_frame(Event::FromClient, conn, frame);
    }

    /// Records a frame that is about to be written to a client. `frame` is called only if a trace is written.
    pub fn client_frame_written(&self, conn: ConnectionId, frame: impl FnOnce() -> Vec<u8>) {
        self.client_frame(Event::ToClient, conn, frame);
    }

    fn client_frame(&self, event: Event, conn: ConnectionId, frame: impl FnOnce() -> Vec<u8>) {
        if self.recorder.is_some() {
            self.record(event, "", conn, &frame());
        }
    }

    /// Records that a client's connection has ended.
    pub fn client_disconnected(&self, conn: ConnectionId) {
        self.record(Event::ClientGone, "", conn, b"");
    }

    /// Records a frame that was read from a node.
    pub fn node_frame_read(&self, node: &str, link: LinkNumber, frame: &[u8]) {
        self.record(Event::FromNode, node, link.get(), frame);
    }

    /// Records a frame that is about to be written to a node.
    pub fn node_frame_written(&self, node: &str, link: LinkNumber, frame: &[u8]) {
        self.record(Event::ToNode, node, link.get(), frame);
    }

    /// Records that a link to a node has ended or could not be established.
    pub fn link_down(&self, node: &str, link: LinkNumber, reason: &str) {
        self.record(Event::LinkDown, node, link.get(), reason.as_bytes());
    }
}
