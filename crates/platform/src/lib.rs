//! A placer on the platform: binary messages of clients in, JSON lines to hosts out, discovery polled.
//!
//! [`Engine`] keeps the requests and their attempts, the links to hosts and the task ends that clients are still to be
//! notified of, around [`reedring::Placer`], which alone decides where a task is placed. It does no I/O and reads no
//! clock; the loop around it is
//!
//! ```text
//! loop {
//!     wait for an input, or until engine.next_wake();
//!     for input in all that came { engine.handle(now, input); }
//!     engine.flush(now);                         // the decision module decides, once
//!     while let Some(output) = engine.poll() { carry it out }
//! }
//! ```
//!
//! [`run()`] is that loop on sockets, in one thread.
//!
//! A *link* is a connection to a host. An *attempt* is one message that asks a host to start a task; a request has one
//! in flight at most.
//!
//! Modules import one way, each only from those on the lines below it (`tests/layers.rs` checks it):
//!
//! ```text
//! run                                  the loop around the engine
//! sockets, discovery, message_log      tokio tasks; the log of all messages
//! write_buffer                         bytes that wait to be written
//! engine                               inputs to events, actions to outputs
//! clients, hosts, health_checks        methods of `Engine`, one concern each
//! attempts                             methods of `Engine` that send and end attempts
//! state                                tables with private fields, and `Engine` that holds them
//! bounds, io                           limits; inputs and outputs
//! log_event                            events for the operators' log
//! errors                               what can be wrong with input
//! decide, ids                          pure decisions on connections; their numbers
//! ```
//!
//! `clients`, `hosts` and `health_checks` import nothing of each other: where one needs another, it calls a method of
//! [`Engine`].
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
pub use engine::{Sizes, Start};
pub use errors::{ClientReadError, DiscoveryError, Rejection};
pub use ids::{ConnId, LinkId};
pub use io::{Input, Output};
pub use log_event::{LogEvent, Peer};
pub use run::{RunError, run, serve};
pub use state::Engine;
