//! Stand-in nodes: a small model of a host that takes tasks, for tests, trials and measurements.
//!
//! [`Node`] is the model, sans-I/O: links, messages and time in, messages out. [`serve`] runs one on a
//! TCP socket. A stand-in runs nothing: jobs are timed by their life, or by their command where that is
//! `sleep N`, `exit N`, `true` or `false`.
#![forbid(unsafe_code)]

mod config;
mod groups;
mod model;
mod serve;
mod slots;

pub use config::{Config, ConfigError, DrainStyle, Fleet, Reports};
pub use groups::Groups;
pub use model::{Effect, Fault, Keep, LinkId, Node};
pub use serve::{Handle, ServeError, serve, serve_counted};
pub use slots::{Opened, Slots};
