//! Traces of what crossed the sockets of placers and nodes, and the audit that judges the five rules from
//! a trace alone.
//!
//! [`Recorder`] writes a trace, [`read`] reads one back, [`audit`] judges it. The audit shares no code with
//! the ledger or the decision module: it reads the frames as they crossed the sockets, and the settings
//! and node lists that the placers were given.
#![forbid(unsafe_code)]

mod constraint;
mod judge;
mod trace;

pub use judge::{Breach, Report, Rule, audit};
pub use trace::{Event, Frame, Recorder, TraceError, merge, read};
