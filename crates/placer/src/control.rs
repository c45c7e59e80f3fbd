//! Commands and the shutdown request from the owner of a running placer to its event loop.

use std::time::Duration;

use tokio::sync::{mpsc, oneshot};

/// A command to a running placer.
#[derive(Debug)]
pub(crate) enum PlacerCommand {
    /// Handle no event for this time, like a placer on an overloaded host.
    Stall(Duration),
}

/// How a placer is shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ShutdownMode {
    /// At once, as if its process were killed: what is not yet written to its ledger is lost.
    Kill,
    /// Orderly: its ledger and beliefs are written first.
    Stop,
}

/// The owner's end of a [`ControlChannel`].
pub(crate) struct ControlSender {
    commands: mpsc::UnboundedSender<PlacerCommand>,
    /// `None` once a shutdown was requested.
    shutdown: Option<oneshot::Sender<ShutdownMode>>,
}

/// The event loop's end of a [`ControlChannel`].
pub(crate) struct ControlReceiver {
    /// Receives commands in the order in which they were sent.
    pub commands: mpsc::UnboundedReceiver<PlacerCommand>,
    /// Resolves when a shutdown is requested. An error means that the owner dropped the channel, and counts as
    /// [`ShutdownMode::Kill`].
    pub shutdown: oneshot::Receiver<ShutdownMode>,
}

/// A channel from the owner of a placer to its event loop.
pub(crate) struct ControlChannel {
    /// The owner's end.
    pub sender: ControlSender,
    /// The event loop's end.
    pub receiver: ControlReceiver,
}

impl ControlChannel {
    /// Creates the channel of one placer.
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
    /// Sends a command; has no effect if the placer has ended.
    pub fn send(&self, command: PlacerCommand) {
        let _ = self.commands.send(command);
    }

    /// Requests a shutdown. Requests after the first have no effect.
    pub fn shut_down(&mut self, mode: ShutdownMode) {
        if let Some(shutdown) = self.shutdown.take() {
            let _ = shutdown.send(mode);
        }
    }
}
