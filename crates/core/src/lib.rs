//! The core of a placer: its jobs and attempts, its sessions, its connections to nodes and its timers, around the
//! decision module.
//!
//! What this crate is not: it opens no socket, reads no clock and draws no random number but the module's own, from the
//! seed. It is told what happened as [`Input`]s with the time, and answers with [`Output`]s; equal inputs give equal
//! outputs. Where a task goes is the module's decision alone. What the core decides itself - what a node's report means
//! for a job, whether a lost task is retried, what a repeated submission may do - stands in [`decide`] as pure functions.
//!
//! [`Core`] is the loop over its components, each of which owns its state:
//!
//! | component | module |
//! | --- | --- |
//! | nodes, their connections, and what the decision module knows of them | `nodes`, `node_links` |
//! | jobs, attempts and requests to the decision module | `ledger` |
//! | every transition of a job or an attempt | `lifecycle` |
//! | sessions, waiting calls, recorded answers | `sessions` |
//! | placement constraints | `constraints` |
//! | nodes to which nothing is dispatched for now | `dispatch_blocks` |
//! | agreement on the configuration, and the lease | `configuration` |
//! | batches that are not durable yet, and outputs that wait for them | `persistence` |
//! | the state of a former incarnation | `restore` |
//! | health checks | `health_checks` |
//! | clients' calls, by kind | `requests` |
//! | when a lost connection is tried again, for the shell | [`reconnect`] |
//! | what operators are told | [`event`] |
//!
//! What becomes of an attempt when its node's connection drops, restarts or returns: `node_links`, then
//! `lifecycle::reconciliation` by the table of [`decide::reconcile`]. A new message kind of nodes goes into
//! `crates/node-protocol` (its page has the steps), then into `core/dispatch.rs` and the component that it concerns, then
//! into `tests/world/network.rs` and the node simulator. Three things are called ledger: jobs and attempts in memory
//! (`ledger` here), their rows on disk (`reedring_state`), and the thread that writes these (`ledger` in the placer).
//!
//! A component changes its own state and nothing else; what else is to happen it pushes to the `context` as a typed
//! effect, in order.
//!
//! The whole run loop of a shell:
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
//! // Take in what came, in order, ...
//! core.handle(10, Input::Call { conn: 1, id: 1, call: Call::Version {} });
//! // ... let the module decide once for the batch, ...
//! core.flush(10);
//! // ... carry out what came of it, ...
//! while let Some(output) = core.poll() {
//!     if let Output::Reply { conn, response } = output {
//!         assert_eq!((conn, response.id), (1, Some(1)));
//!     }
//! }
//! // ... and come back with the next input, or when the next timer is due.
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

/// The build of this placer, as handshakes name it.
pub const BUILD: &str = concat!("reedring ", env!("CARGO_PKG_VERSION"));

/// The build as a number, as offers name it.
pub fn build() -> u32 {
    crc32c::crc32c(BUILD.as_bytes())
}

/// What the handshakes of a placer with these settings name before it knows what is committed: the configuration of its
/// own file. None where the file has no `[plan]` table.
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
