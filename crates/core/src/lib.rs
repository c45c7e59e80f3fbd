//! The core of a placer: its jobs and attempts, its sessions, its connections to nodes and its timers, around the
//! decision module.
//!
//! The crate does no I/O: it opens no socket and reads no clock, and the only random numbers are those of the decision
//! module, which start from a given seed. The shell passes in what happened as [`Input`]s with the current time, and
//! carries out the [`Output`]s. Equal inputs give equal outputs.
//!
//! Only the decision module chooses the node for a task. The core's own decisions (what a node's report means for a
//! job, whether a lost task is retried, what a repeated submission may do) are the pure functions in [`decide`].
//!
//! [`Core`] is the loop over its components, each of which owns its state:
//!
//! | component | module |
//! | --- | --- |
//! | nodes, their connections, and their state as announced to the decision module | `nodes`, `node_links` |
//! | jobs, attempts and requests to the decision module | `ledger` |
//! | every transition of a job or an attempt | `lifecycle` |
//! | sessions, waiting calls, recorded responses | `sessions` |
//! | placement constraints | `constraints` |
//! | nodes to which nothing is dispatched for now | `dispatch_blocks` |
//! | agreement on the configuration, and the lease | `configuration` |
//! | batches that are not durable yet, and outputs that wait for them | `persistence` |
//! | restoring the state of a former incarnation | `restore` |
//! | health checks | `health_checks` |
//! | calls of clients, by kind | `requests` |
//! | when a lost connection is tried again, for the shell | [`reconnect`] |
//! | log events for operators | [`event`] |
//!
//! A component changes only its own state. It adds all other effects to the `context` as typed values, in order.
//!
//! Where to look:
//!
//! - What becomes of an attempt when its node disconnects, restarts or reconnects: `node_links`, then
//!   `lifecycle::reconciliation`, which follows the table of [`decide::reconcile`].
//! - To add a kind of message for nodes: change `crates/node-protocol` first (its crate documentation lists the steps),
//!   then `core/dispatch.rs` and the component concerned, then `tests/world/network.rs` and the node simulator.
//! - Three things are called ledger: the jobs and attempts in memory (`ledger` in this crate), their rows on disk
//!   (`reedring_state`), and the thread that writes these rows (`ledger` in the placer).
//!
//! The run loop of a shell:
//!
//! ```
//! use reedring_core::{Core, Input, Output, Start};
//! use reedring_drmaa::rpc::Call;
//! use reedring_settings::Settings;
//!
//! let text = r#"
//!     placer = { name = "p", listen = "127.0.0.1:0", nodes = "nodes.toml" }
//!     class = [{ name = "play", repeat = "safe", aim = "1s", give_up = "8s" }]
//! "#;
//! let settings = Settings::parse(text, "example").unwrap();
//! let mut core = Core::new(settings, Start { now: 0, unix_us: 0, incarnation: 1, seed: 7 });
//!
//! // Handle the inputs that have arrived, in order.
//! core.handle(10, Input::Call { conn: 1, id: 1, call: Call::Version {} });
//! // Run the decision module once for all of them.
//! core.flush(10);
//! // Carry out the outputs.
//! while let Some(output) = core.poll() {
//!     if let Output::Reply { conn, response } = output {
//!         assert_eq!((conn, response.id), (1, Some(1)));
//!     }
//! }
//! // Wait for the next input, at most until the next timer is due.
//! assert_eq!(core.next_wake(), Some(3_000_000));
//! ```
#![forbid(unsafe_code)]

mod configuration;
mod constraints;
mod context;
mod core;
pub mod decide;
mod dispatch_blocks;
pub mod event;
mod health_checks;
mod ids;
mod io;
mod ledger;
mod lifecycle;
mod module;
mod node_links;
mod nodes;
mod persistence;
pub mod reconnect;
mod requests;
mod requirements;
mod restore;
mod sessions;
#[cfg(test)]
mod test_support;
mod timers;

pub use crate::core::Core;
pub use crate::event::{Event, Level};
pub use crate::io::{ConnectionId, Input, Output, Start};
pub use crate::restore::Restored;
pub use reedring::names::{machine_id, service_id};

/// The name and version of this build, as sent in handshakes.
pub const BUILD: &str = concat!("reedring ", env!("CARGO_PKG_VERSION"));

/// The checksum (CRC-32C) of [`BUILD`], which identifies the build in offers and version stamps.
pub fn build() -> u32 {
    crc32c::crc32c(BUILD.as_bytes())
}

/// The configuration that a placer with these settings sends in handshakes until it knows the committed one: that of
/// its own settings file. `None` if the file has no valid `[plan]` table.
pub fn first_stamp(
    settings: &reedring_settings::Settings,
) -> Option<reedring_node_protocol::VersionStamp> {
    let version = settings.plan().ok().flatten()?.version();
    Some(reedring_node_protocol::VersionStamp {
        version,
        joint: false,
        list_revision: 0,
        build: build(),
    })
}
