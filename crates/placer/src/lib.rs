//! The tokio shell of a placer: sockets, the clock and the node list around [`reedring_core::Core`].
//!
//! What this crate is not: it decides nothing. Bytes become the core's inputs, its outputs become bytes.
//! A placer runs in a runtime of its own ([`Placer::start`]), so that several in one process share
//! nothing, and one that is killed is gone at once with all its sockets.
#![forbid(unsafe_code)]

mod clients;
mod links;
mod log_events;
mod pacing;
mod run;
mod settings_file;
mod source;
mod state;

pub use run::{Options, Placer, StartError};
pub use settings_file::SettingsFile;
pub use source::{FileSource, NodeSource, Update};
pub use state::StateError;
