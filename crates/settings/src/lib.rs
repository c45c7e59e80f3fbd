//! Settings and the node list of reedring as TOML, checked whole.
//!
//! What this crate is not: it opens no file. It takes a text and the name under which errors should
//! speak of it. Unknown keys, unknown names and contradictions are errors, each with its line, its key
//! and the fix; all are reported, not only the first.
#![forbid(unsafe_code)]

mod nodes;
mod problem;
mod settings;

pub use nodes::{Health, NodeEntry, NodeList};
pub use problem::{Problem, Problems};
pub use settings::{
    Address, Category, Class, ComesAgain, DISK_WAIT_US, Kind, Limits, Links, OWN_TABLES,
    PLAN_TABLES, PlanOwn, Reports, Settings, Site, Spread, State, WhenLost, whose_tables,
};
