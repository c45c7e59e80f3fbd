//! Programs as processes of a test or trial. Each is started, waited for by what it says - a line, never a sleep -
//! and ended by its own handle.
#![forbid(unsafe_code)]

mod address;
mod program;

pub use address::free_address;
pub use program::{ProcessError, Program, Signal};
