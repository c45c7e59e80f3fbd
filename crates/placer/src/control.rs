//! What the owner of a running placer asks of its event loop.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

/// A command to a running placer.
#[derive(Debug)]
pub(crate) enum PlacerCommand {
    /// Handle no event for so long, as a placer does whose host is overloaded.
    Stall(Duration),
}

/// How a placer ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownMode {
    /// At once, as if its process were killed: what waits to be written to its ledger is lost.
    Kill,
    /// In order: its ledger and its beliefs are written first.
    Stop,
}

/// The owner's side.
pub(crate) struct ControlSender {
    commands: mpsc::UnboundedSender<PlacerCommand>,
    shutdown: Option<oneshot::Sender<ShutdownMode>>,
}

/// The event loop's side.
pub(crate) struct ControlReceiver {
    /// Commands, in order.
    pub commands: mpsc::UnboundedReceiver<PlacerCommand>,
    /// The end of the placer; an error counts as [`ShutdownMode::Kill`].
    pub shutdown: oneshot::Receiver<ShutdownMode>,
}

/// Both sides.
pub(crate) struct ControlChannel {
    /// For the placer's owner.
    pub sender: ControlSender,
    /// For its event loop.
    pub receiver: ControlReceiver,
}

impl ControlChannel {
    /// A channel of one placer.
    pub fn new() -> Self {
        let (commands, received) = mpsc::unbounded_channel();
        let (shutdown, requested) = oneshot::channel();
        Self {
            sender: ControlSender {
                commands,
                shutdown: Some(shutdown),
            },
            receiver: ControlReceiver {
                commands: received,
                shutdown: requested,
            },
        }
    }
}

impl ControlSender {
    /// Sends a command; a placer that has ended takes none.
    pub fn send(&self, command: PlacerCommand) {
        let _ = self.commands.send(command);
    }

    /// Requests the end of the placer. Only the first request counts.
    pub fn shut_down(&mut self, mode: ShutdownMode) {
        if let Some(shutdown) = self.shutdown.take() {
            let _ = shutdown.send(mode);
        }
    }
}
