//! The values that placers and nodes exchange to agree on a configuration. `crates/plan` implements the agreement
//! protocol itself.

mod delta;
mod report;
mod request;
mod version;

pub use delta::{Delta, Edit, SectionKey, Table};
pub use report::{AcceptedVersion, AcceptorReport};
pub use request::{ConfigRequest, DeltaStep};
pub use version::{Ballot, ConfigDigest, ConfigVersion, VersionStamp, version_level};
