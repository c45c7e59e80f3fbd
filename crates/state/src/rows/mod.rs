//! The rows of the ledger, the changes that make them, and all of them together.
//!
//! The order of fields and of enum variants is the stored format (postcard), and the serde names are the keys of
//! `reedring state export`: neither changes with the names of the code. `docs/state.md` lists both.

mod batch;
mod config;
mod incarnation;
mod job;
mod session;
mod snapshot;
mod violation;

pub use self::batch::{Batch, BatchSequence, Change};
pub use self::config::ActiveConfigRow;
pub use self::incarnation::IncarnationRecord;
pub use self::job::{Attempt, AttemptState, Ending, Job, JobNumber, JobTemplate, Outcome, Phase};
pub use self::session::{Session, SessionNumber, StoredResponse};
pub use self::snapshot::LedgerSnapshot;
pub use self::violation::SnapshotViolation;
