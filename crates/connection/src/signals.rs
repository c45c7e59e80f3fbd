//! Receives the termination and reload signals of a process.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM, SIGINT and SIGHUP.
///
/// Create it before the listening socket: another process that waits until the socket accepts connections may then send
/// a signal, and the handlers must be installed by that time.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Shut down: SIGTERM or SIGINT.
    Shutdown,
    /// Read the settings file again: SIGHUP.
    Reload,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// If a signal handler can't be installed.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal and returns the action that it requests.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hang_up.recv() => SignalRequest::Reload,
        }
    }
}
