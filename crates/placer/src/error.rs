//! Errors that prevent the start of a placer.

use std::io;

use crate::ledger::StateError;

/// Why a placer did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The runtime or thread of the placer could not be created, or the thread ended before the listener was bound.
    #[error("placer {name}: can't start its runtime or thread: {error}")]
    Runtime {
        /// Name of the placer.
        name: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The placer can't listen on its address.
    #[error("placer {name}: can't listen on {address}: {error}")]
    Listen {
        /// Name of the placer.
        name: String,
        /// Address of the settings: a TCP address or the path of a Unix socket.
        address: String,
        /// Error of the operating system.
        error: io::Error,
    },
    /// The placer's state folder can't be used.
    #[error("placer {name}: {error}")]
    State {
        /// Name of the placer.
        name: String,
        /// The reason, and what an operator can do.
        error: StateError,
    },
}
