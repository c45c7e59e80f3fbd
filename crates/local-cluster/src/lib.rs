//! A whole site in one process, on loopback: placers, stand-in nodes, and what a test, a trial or a
//! measurement does to them.
//!
//! [`Site`] starts and ends placers and nodes and keeps the node list; [`badday`] plays a script against
//! one; [`kills`] kills a placer process over and over; [`load`] submits jobs to one and measures;
//! [`restart`] measures what a state folder brings and costs.
#![forbid(unsafe_code)]

pub mod badday;
pub mod kills;
pub mod load;
mod owners;
pub mod restart;
mod site;

pub use owners::{Demand, Tally};
pub use site::{Plan, Sabotage, Site, SiteError};
