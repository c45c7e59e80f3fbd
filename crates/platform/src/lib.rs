//! A placer on the platform: clients' binary messages in, hosts' JSON lines out, discovery polled.
//!
//! [`Engine`] holds the ledger of requests and attempts, the connections to hosts and the ends that are owed,
//! around [`reedring::Placer`], which alone decides where a task goes. It does no I/O and reads no clock; the
//! loop around it is
//!
//! ```text
//! loop {
//!     wait for an input, or until engine.next_wake();
//!     for input in all that came { engine.handle(now, input); }
//!     engine.flush(now);                         // the module decides, once
//!     while let Some(output) = engine.poll() { carry it out }
//! }
//! ```
//!
//! [`run()`] is that loop on sockets, in one thread.
//!
//! Modules import one way, each only from those on the lines below it (`tests/layers.rs` holds them to it):
//!
//! ```text
//! run                              the loop around the engine
//! sockets, discovery, follow       tokio tasks, and log lines
//! outbox                           bytes that wait to be written
//! engine                           inputs to events, actions to outputs
//! clients, hosts, attempts         methods on `Engine`, one concern each
//! state                            the types that these share, `Engine` itself among them
//! bounds, io                       limits; inputs and outputs
//! decide                           pure decisions on connections
//! ```
//!
//! `clients`, `hosts` and `attempts` import nothing of each other: where one needs another, it calls a method of
//! [`Engine`].
#![forbid(unsafe_code)]

mod attempts;
mod bounds;
mod clients;
pub mod decide;
mod discovery;
mod engine;
mod follow;
mod hosts;
mod io;
mod outbox;
mod run;
mod sockets;
mod state;

pub use bounds::Bounds;
pub use engine::{Sizes, Start};
pub use io::{ConnId, Input, LinkId, Output};
pub use run::{RunError, run, serve};
pub use state::Engine;
