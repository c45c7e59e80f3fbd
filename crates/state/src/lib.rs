//! The state of a placer that outlives a restart.
//!
//! There are two kinds of state:
//!
//! - **Commitments** of the placer: sessions, responses, jobs and attempts. They are rows of the *ledger*, an embedded
//!   database. [`LedgerWriter`] commits [`Batch`]es of changes, several in one transaction if more than one is waiting;
//!   [`LedgerSnapshot`] holds all rows as they were read at the start.
//! - **Measurements**: the beliefs of the decision module about nodes. [`BeliefSnapshot`] is saved in a small file that is
//!   replaced as a whole, and loses weight as it ages ([`BeliefSnapshot::aged`]).
//!
//! This crate uses no sockets, clocks or threads. It accesses files through [`Folder`]: [`Disk`] is the implementation on
//! a disk, [`SimFolder`] one in memory that can lose power between any two operations. `docs/state.md` describes the
//! formats.
//!
//! # The run loop
//!
//! While the state folder can be written, a response that commits the placer to something is sent only once the
//! commitment is durable. Without a state folder, or after a write error, the core sends the response with a warning or
//! rejects the call (`crates/core/src/persistence`). The core numbers its batches and passes each output through a
//! [`DurabilityBarrier`] together with the batch on which it depends. A thread owns the writer and reports which batch is
//! the last durable one. Both sides, without the channel between them:
//!
//! ```
//! use reedring_state::{
//!     Batch, BatchSequence, Change, Disk, DurabilityBarrier, LedgerWriter, Released,
//! };
//!
//! # let dir = tempfile::tempdir()?;
//! // At the start the folder is locked and its rows are read.
//! let opened = LedgerWriter::open(Disk::lock(dir.path())?, "placer-1")?;
//! assert!(opened.snapshot.jobs.is_empty());
//! let mut writer = opened.writer;
//! let mut barrier = DurabilityBarrier::default();
//!
//! // The core handled a call. The changes become a batch, and the response depends on that batch.
//! let batch = Batch {
//!     sequence: BatchSequence(1),
//!     at: 1_000,
//!     changes: vec![Change::IncarnationStarted(7)],
//! };
//! assert_eq!(barrier.admit("client", batch.sequence, "submitted"), None);
//! // An output that depends on no batch is sent at once, unless an earlier one to the same destination is queued.
//! assert_eq!(barrier.admit("node", BatchSequence(0), "query"), Some("query"));
//!
//! // The thread commits all batches that it received, and reports the last.
//! let durable_through = writer.write([batch])?;
//!
//! // The core sends the outputs that were queued for that batch.
//! for Released { destination, output } in barrier.advance(durable_through) {
//!     assert_eq!((destination, output), ("client", "submitted"));
//! }
//! writer.close();
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! After a [`LedgerWriteError`] no batch becomes durable until the ledger is replaced. The thread calls
//! [`LedgerWriter::prepare_replacement`] at intervals. Once that succeeds, the core creates one batch with every row, which
//! the thread passes to [`LedgerWriter::write_replacement`].
//!
//! # Why each crash point is safe
//!
//! | moment of the power cut | state at the next start |
//! | --- | --- |
//! | while a ledger is created, before its rename is synced | no ledger, or a complete empty one. There are no commitments yet |
//! | during a commit | the tree before or after the commit, as a commit changes one pointer in a page with a checksum. No output that depends on the batch was sent |
//! | after a commit, before the barrier advances | the batch, although no output that depends on it was sent. A repeated call gets the stored response |
//! | during a migration | the complete ledger in the older format, as a migration is one transaction. It is migrated again |
//! | after a failed sync | a marker that rows may be missing. The failed file is not written any more, as a later sync may report success for pages that were dropped |
//! | while the failed ledger is replaced, before the rename is synced | the failed ledger with its marker, or the replacement with all rows. The marker is cleared only after the rename is durable. If the marker could not be written, the core offers only idempotent tasks until the ledger is replaced |
//! | while the belief file is replaced | the old or the new file, complete. The new file is synced before any rename, and the old one is renamed, not removed |
//!
//! `tests/disk_faults.rs` cuts the power after every single operation of creating a ledger, committing, migrating and
//! replacing the belief file, and also after a failed sync and after a replacement.
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
