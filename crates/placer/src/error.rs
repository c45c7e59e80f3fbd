//! Why a placer could not be started.

use std::io;

use crate::ledger::StateError;

/// Why a placer did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// Its runtime or thread could not be made.
    #[error("placer {name}: can't start its runtime: {error}")]
    Runtime {
        /// The placer.
        name: String,
        /// What the system answered.
        error: io::Error,
    },
    /// Its address can't be listened on.
    #[error("placer {name}: can't listen on {address}: {error}")]
    Listen {
        /// The placer.
        name: String,
        /// The address.
        address: String,
        /// What the system answered.
        error: io::Error,
    },
    /// Its state folder can't be used.
    #[error("placer {name}: {error}")]
    State {
        /// The placer.
        name: String,
        /// Why, and what to do.
        error: StateError,
    },
}
