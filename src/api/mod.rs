//! The interface of the decision module: the settings and events that it is given, and the actions
//! that it returns.
//!
//! Times are microseconds on a monotonic clock of the caller. A setting or value that a deployment
//! does not state is `None`; the caller puts no default in its place. Cores and memory may each be
//! in any unit that is used throughout.

mod actions;
mod beliefs;
mod events;
mod ids;
mod machines;
mod outcomes;
mod settings;
mod tasks;

pub use self::actions::Action;
pub use self::beliefs::{Belief, Beliefs};
pub use self::events::Event;
pub use self::ids::{AttemptId, MachineId, Micros, RequestId, ServiceId, TaskKey};
pub use self::machines::{Health, Listing, Machine};
pub use self::outcomes::{Ended, Note, Outcome, Reason};
pub use self::settings::{Kind, Prices, ReportField, ReportStyle, Rules, Settings};
pub use self::tasks::{Class, Effect, Group, Place, Task};
