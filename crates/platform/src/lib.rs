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
#![forbid(unsafe_code)]

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

pub use engine::{Bounds, Engine, Sizes, Start};
pub use io::{ConnId, Input, LinkId, Output};
pub use run::{RunError, run, serve};
