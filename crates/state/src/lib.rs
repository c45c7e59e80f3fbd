//! What a placer keeps over restarts.
//!
//! Two kinds of state, kept differently. What it **promised** - sessions, calls, jobs, attempts - is the
//! [`Image`]: rows that the core changes and that a [`LedgerWriter`] makes durable in an embedded store, one
//! transaction for all that came while the last was written. What it **learned** - the beliefs of the
//! decision module - is [`BeliefSnapshot`]: a small file that is replaced whole, and counts for less the older it is.
//!
//! What this crate is not: it knows neither sockets nor clocks nor threads. Rows, the order in which answers
//! wait for them ([`DurabilityBarrier`]) and the ageing of beliefs are values; files are behind [`Folder`], of which
//! [`Disk`] is the real one and [`SimFolder`] one that loses power. `docs/state.md` has the formats.
//!
//! ```
//! use reedring_state::{Batch, Change, Disk, Keeper, Opened};
//!
//! let dir = tempfile::tempdir().unwrap();
//! let folder = Disk::lock(dir.path()).unwrap();
//! let Opened { mut keeper, image, .. } = Keeper::open(folder, "placer-1").unwrap();
//! assert!(image.jobs.is_empty());
//! keeper.write([Batch { seq: 1, at: 1_000, changes: vec![Change::Life(7)] }]).unwrap();
//! assert_eq!(keeper.durable(), 1);
//! ```
#![forbid(unsafe_code)]

mod folder;
mod gate;
mod keeper;
mod learned;
mod rows;
mod sim;
mod store;

pub use crate::folder::{Disk, Folder, LockError};
pub use crate::gate::DurabilityBarrier;
pub use crate::keeper::{Export, LedgerWriteError, LedgerWriter, OpenedLedger};
pub use crate::learned::{BeliefError, BeliefSnapshot, HalfLives, NodeBeliefs};
pub use crate::rows::{
    ActiveConfigRow, Answer, Ask, Attempt, Batch, Change, Ending, Image, Job, JobNo, Link, Outcome,
    Phase, Session, SessionNo, Trial,
};
pub use crate::sim::SimFolder;
pub use crate::store::{FORMAT, StoreError};
