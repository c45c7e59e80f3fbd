//! Programs as child processes of a test or a measurement: their output lines, their signals, their exit.
//!
//! A test starts a [`Program`], waits for what it prints - a line, never a sleep - and ends it by its own handle. A
//! program whose handle is dropped is killed.
#![forbid(unsafe_code)]

mod address;
mod error;
mod launch;
mod output;
mod program;

pub use address::free_address;
pub use error::ProcessError;
pub use launch::Launch;
pub use program::{Program, Signal};
