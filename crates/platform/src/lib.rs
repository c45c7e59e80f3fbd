//! A placer on the platform: it receives binary messages from clients, sends JSON lines to hosts and polls discovery.
//!
//! [`Engine`] holds the requests and their attempts, the links to hosts, and the task ends that clients are to be
//! notified of. It passes events to [`reedring::Placer`], the *decision module*, which alone decides where a task is
//! placed. The engine does no I/O and reads no clock; the *shell* is the loop around it:
//!
//! ```text
//! loop {
//!     wait for an input, or until engine.next_wake();
//!     for input in all received inputs { engine.handle(now, input); }
//!     engine.flush(now);                         // one step of the decision module
//!     while let Some(output) = engine.poll() { carry it out }
//! }
//! ```
//!
//! [`run()`] runs the shell on sockets, in one thread.
//!
//! A *link* is a connection to a host. An *attempt* is one message that asks a host to start a task; a request has at
//! most one in flight.
//!
//! Modules import only from modules on lower lines (`tests/layers.rs` checks this):
//!
//! ```text
//! run                                  the loop around the engine
//! sockets, discovery, message_log      tokio tasks; the log of all messages
//! write_buffer                         bytes that are not written yet
//! engine                               inputs to events, actions to outputs
//! clients, hosts, health_checks        methods of `Engine` for clients, hosts and health checks
//! attempts                             methods of `Engine` that send and end attempts
//! state                                tables and records, and `Engine` that holds them
//! bounds, io                           limits; inputs and outputs
//! log_event                            events for the operators' log
//! errors                               errors in input
//! decide, ids                          pure decisions on connections; numbers of connections
//! ```
//!
//! `clients`, `hosts` and `health_checks` do not import from each other: they call each other's methods of [`Engine`].
//! The tables of hosts and links, requests, health checks and task ends have private fields; their records and the
//! fields of [`Engine`] are visible in the whole crate.
//!
//! Files to read for each situation:
//!
//! | situation | files, in the order in which they handle it |
//! | --- | --- |
//! | a client departed | `sockets/client.rs`, `clients/connections.rs`, `decide/clients.rs` (the table), `clients/departures.rs`, `attempts.rs`; ends of its tasks: `clients/task_ends.rs` |
//! | a link is closed | `hosts/links.rs` (`close_link`), `run/shell.rs` (`close_link`), `sockets/host.rs`, `hosts/messages.rs` |
//! | a link ended | `sockets/host.rs`, `hosts/links.rs` (`link_down`), `decide/attempts.rs`, `attempts.rs`, `hosts/failure.rs` |
//! | a host is lost | `hosts/links.rs`, `hosts/sweep.rs` or `hosts/endpoints.rs`, `hosts/failure.rs`, `decide/hosts.rs`, `hosts/tasks.rs` (`task_ended`), `clients/task_ends.rs` |
//! | discovery answered or failed | `discovery.rs`, `run/event_loop.rs`, `hosts/endpoints.rs`, `hosts/failure.rs` |
//! | SIGTERM | `run/control.rs`, `engine/shutdown.rs` (the steps and their times), `run/event_loop.rs`, `run/shell.rs` |
#![forbid(unsafe_code)]

mod attempts;
mod bounds;
mod clients;
pub mod decide;
mod discovery;
mod engine;
mod errors;
mod health_checks;
mod hosts;
mod ids;
mod io;
mod log_event;
mod message_log;
mod run;
mod sockets;
mod state;
mod write_buffer;

pub use bounds::Bounds;
pub use engine::{EngineParameters, Sizes};
pub use errors::{ClientReadError, DiscoveryError, Rejection};
pub use ids::{ConnId, LinkId};
pub use io::{Input, Output};
pub use log_event::{LogEvent, Peer};
pub use run::{RunError, run, serve};
pub use state::Engine;
