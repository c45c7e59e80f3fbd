//! What the tokio shells of the placer and of the platform share. It knows no protocol.
//!
//! | module | what it has |
//! | --- | --- |
//! | `accept` | the pause after a connection could not be accepted |
//! | `backoff` | [`Backoff`]: delays between retries that double up to a limit |
//! | `signals` | [`Signals`]: the signals that a program handles, and the [`SignalRequest`] in each |
#![forbid(unsafe_code)]

mod accept;
mod backoff;
mod signals;

pub use accept::pause_after_accept_error;
pub use backoff::Backoff;
pub use signals::{SignalRequest, Signals};
