//! The signals that a program handles.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a placer handles: SIGTERM, SIGINT and SIGHUP.
///
/// A program makes it before its listener, so that no signal is missed by one who waits for that.
#[derive(Debug)]
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// To shut down: SIGTERM or SIGINT.
    Shutdown,
    /// To read the configuration again: SIGHUP.
    Reload,
}

impl Signals {
    /// Handles the signals from now on.
    ///
    /// # Errors
    /// Where the system does not let them be handled.
    pub fn new() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Shutdown,
            _ = self.interrupt.recv() => SignalRequest::Shutdown,
            _ = self.hang_up.recv() => SignalRequest::Reload,
        }
    }
}
