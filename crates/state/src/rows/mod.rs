//! The rows of the ledger, the changes to them, and the snapshot of all rows.
//!
//! The order of fields and of enum variants is the stored format (postcard), and the serde names are the keys of
//! `reedring state export`. Both must stay the same when code is renamed. `docs/state.md` lists both.

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
