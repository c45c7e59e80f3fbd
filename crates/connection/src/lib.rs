//! Networking and signal utilities for the tokio programs of this workspace. They do not depend on any protocol.
//!
//! | module | contents |
//! | --- | --- |
//! | `accept` | the pause of an accept loop after an error |
//! | `backoff` | [`Backoff`]: exponential backoff between retries |
//! | `signals` | [`Signals`]: receives SIGTERM, SIGINT and SIGHUP as [`SignalRequest`]s |
#![forbid(unsafe_code)]

mod accept;
mod backoff;
mod signals;

pub use accept::pause_after_accept_error;
pub use backoff::Backoff;
pub use signals::{SignalRequest, Signals};
