//! What placers and nodes exchange to agree on a configuration. The protocol itself is in the package that decides
//! (`crates/plan`); here are its messages' values.

mod delta;
mod report;
mod request;
mod version;

pub use delta::{Delta, Edit, SectionKey, Table};
pub use report::{AcceptedVersion, AcceptorReport};
pub use request::{ConfigRequest, DeltaStep};
pub use version::{Ballot, ConfigDigest, ConfigVersion, VersionStamp, version_level};
