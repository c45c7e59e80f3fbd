//! Parses and checks the settings file and the node list, both written in TOML.
//!
//! This crate opens no files. It takes a text and the file name that its errors name. Unknown keys, unknown names and
//! contradictions are errors, each with its line, its key and a fix. A text that can't be deserialized yields the first
//! error; of a text that can be, all errors are reported at once.
#![forbid(unsafe_code)]

mod nodes;
mod problem;
mod settings;

pub use nodes::{Health, NodeEntry, NodeList};
pub use problem::{Problem, Problems};
pub use settings::{
    Address, Category, Class, ComesAgain, DISK_WAIT_US, Kind, Limits, Links, PLACER_TABLES,
    PLAN_TABLES, PlanSettings, Reports, Settings, Site, Spread, State, WhenLost, table_owners,
};
