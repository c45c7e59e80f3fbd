//! The state that a placer keeps over restarts.
//!
//! There are two kinds of it:
//!
//! - what the placer **promised**: sessions, responses, jobs and attempts. They are rows of the *ledger*, an embedded
//!   database. [`LedgerWriter`] makes [`Batch`]es of changes durable, one transaction for all that came while the last
//!   was written; [`LedgerSnapshot`] is all rows as they were found at the start.
//! - what it **measured**: the beliefs of the decision module about nodes. [`BeliefSnapshot`] is a small file that is
//!   replaced whole, and counts for less the older it is ([`BeliefSnapshot::aged`]).
//!
//! This crate knows neither sockets nor clocks nor threads. Files are behind [`Folder`]: [`Disk`] is the real one,
//! [`SimFolder`] one in memory that loses power between any two operations. `docs/state.md` has the formats.
//!
//! # The run loop
//!
//! A response that tells a client of a promise must not leave before the promise is durable, where the placer has a state
//! folder that can be written; without one, or after a write error, the core sends it with a warning or rejects the call
//! (`crates/core/src/persistence`). The core numbers its
//! batches and passes each output through a [`DurabilityBarrier`] together with the batch on which it depends; a thread
//! owns the writer and reports how far the ledger is durable. Both sides, without the channel between them:
//!
//! ```
//! use reedring_state::{
//!     Batch, BatchSequence, Change, Disk, DurabilityBarrier, LedgerWriter, Released,
//! };
//!
//! # let dir = tempfile::tempdir()?;
//! // At the start: the folder is locked, and its rows are read.
//! let opened = LedgerWriter::open(Disk::lock(dir.path())?, "placer-1")?;
//! assert!(opened.snapshot.jobs.is_empty());
//! let mut writer = opened.writer;
//! let mut barrier = DurabilityBarrier::default();
//!
//! // The core took a call. Its changes are a batch, and the response depends on that batch.
//! let batch = Batch {
//!     sequence: BatchSequence(1),
//!     at: 1_000,
//!     changes: vec![Change::IncarnationStarted(7)],
//! };
//! assert_eq!(barrier.admit("client", batch.sequence, "submitted"), None);
//! // What depends on no batch leaves at once, unless it would overtake something for the same destination.
//! assert_eq!(barrier.admit("node", BatchSequence(0), "query"), Some("query"));
//!
//! // The thread writes every batch that came, and reports the last.
//! let durable_through = writer.write([batch])?;
//!
//! // The core releases what waited for it.
//! for Released { destination, output } in barrier.advance(durable_through) {
//!     assert_eq!((destination, output), ("client", "submitted"));
//! }
//! writer.close();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! After a [`LedgerWriteError`] nothing is durable. The thread calls [`LedgerWriter::prepare_replacement`] from time to
//! time; once it succeeds the core makes one batch of every row, which goes to [`LedgerWriter::write_replacement`].
//!
//! # Why each crash point is safe
//!
//! | the power is cut | found at the next start |
//! | --- | --- |
//! | while a ledger is made, before its rename is synced | no ledger, or an empty complete one: nothing was promised yet |
//! | during a commit | the tree before it or after it, as the commit is one pointer in a page with a checksum. No output that depends on it has left |
//! | after a commit, before the barrier advances | the batch, of which nobody was told: a repeated call finds its response |
//! | during a migration | the older format, complete, and it is migrated again: a migration is one transaction |
//! | after a failed sync | the marker says that rows may be missing. The failed file is not written any more, as a later sync may report success for pages that were dropped |
//! | while the failed ledger is replaced, before the rename is synced | the failed ledger with its marker, or the replacement with all rows. The marker is cleared only after the rename is durable. Where the marker itself could not be written, the core offers idempotent tasks alone meanwhile |
//! | while the belief file is replaced | one of the two files, complete: the new one is synced before any rename, and the one before is renamed, not removed |
//!
//! `tests/power.rs` cuts the power at every one of these operations.
#![forbid(unsafe_code)]

mod barrier;
mod beliefs;
mod folder;
mod ledger;
mod rows;

pub use crate::barrier::{DurabilityBarrier, Released};
pub use crate::beliefs::{
    AgedBeliefs, BeliefError, BeliefHalfLives, BeliefProblem, BeliefSnapshot, NodeBeliefs,
    NodeIdentity,
};
pub use crate::folder::{Disk, Folder, LockError, SimFile, SimFolder};
pub use crate::ledger::{
    FORMAT, FolderContents, LedgerWriteError, LedgerWriter, OpenedLedger, StateExport, StoreError,
};
pub use crate::rows::{
    ActiveConfigRow, Attempt, AttemptState, Batch, BatchSequence, Change, Ending,
    IncarnationRecord, Job, JobNumber, JobTemplate, LedgerSnapshot, Outcome, Phase, Session,
    SessionNumber, SnapshotViolation, StoredResponse,
};
