//! Trials of whole programs: placers and stand-in nodes as processes of their own, joined by loopback sockets, with
//! faults between and under them, judged from the traces that each process writes.
//!
//! Every process is the program `reedring` itself: [`Launch`] starts it, [`Program`] waits for its signals of readiness -
//! a line, never a sleep - and ends it by its own handle. [`Relays`] stand on each link and cut it, hold a direction back or
//! close half of it. [`Fleet`] puts both together, and its traces through the audit.
#![forbid(unsafe_code)]

pub mod control;
mod fleet;
mod load;
mod relay;
pub mod scale;
pub mod versions;

pub use fleet::{Fleet, NodeFile, Site, TrialError};
pub use load::{Load, Outcomes};
pub use reedring_test_processes::{Launch, Program, Signal};
pub use relay::{Mode, Relays};
