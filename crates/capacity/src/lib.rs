//! Capacity: what scale runs measured, the straight lines fitted through those measurements, and what the lines
//! predict at the target size.
//!
//! The crate has no I/O and no clock. A scale run fills the types of [`measurement`] and writes them as JSON;
//! [`series`] sorts them into series along one axis each, [`fit`] puts a straight line through a series,
//! [`target`] has the size and the budgets that the lines are compared with, and [`page`] renders the table of
//! `docs/CAPACITY.md` and checks that the page says what the data say.

pub mod axis;
pub mod fit;
pub mod measurement;
mod names;
pub mod page;
pub mod series;
pub mod target;
