//! Capacity: what scale runs measured, the straight lines fitted through those measurements, and what the lines
//! predict at the target size.
//!
//! The crate has no I/O and no clock. A scale run fills [`measurement`] types and writes them as JSON; everything
//! else here reads them.

pub mod measurement;
