//! What the engine decides itself: matters of connections, never where a task goes. Each function has a table
//! over all its cases.

mod attempts;
mod clients;
mod hosts;
mod links;
#[cfg(test)]
mod tests;

pub use attempts::{Down, Execution, did_it_run};
pub use clients::{Leaving, Parting, Route, Stage, parting, which_route};
pub use hosts::{Lost, Seen, lost_all};
pub use links::{Candidate, Choice, Spent, may_add, wants_spare, which_link, which_makes_room};
