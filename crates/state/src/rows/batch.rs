//! Changes to ledger rows, and the batches in which they are committed.

use std::fmt;

use crate::rows::{
    ActiveConfigRow, Job, JobNumber, JobTemplate, Session, SessionNumber, StoredResponse,
};

/// Sequence number of a batch within one incarnation of a placer, counted from 1. 0 means no batch: an output that
/// requires 0 depends on none, and a ledger that is durable through 0 has committed none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchSequence(pub u64);

impl fmt::Display for BatchSequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A change to one or more ledger rows. A later change to the same row overrides an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A placer started under this incarnation number.
    IncarnationStarted(u64),
    /// Inserts or updates a session; `None` deletes it together with its stored responses.
    Session(SessionNumber, Option<Session>),
    /// Stores the response to a call, by session and call number.
    Call(SessionNumber, u64, StoredResponse),
    /// Deletes the responses to all calls of a session whose call number is below this one.
    CallsDeletedBelow(SessionNumber, u64),
    /// Stores the template of the jobs of a call, by session and call number; `None` deletes it, once no job of the call
    /// is left.
    Template(SessionNumber, u64, Option<JobTemplate>),
    /// Inserts or updates a job; `None` deletes it.
    Job(JobNumber, Option<Box<Job>>),
    /// An operator started or ended the drain of a node.
    Drain {
        /// The node's name.
        node: String,
        /// `true` where the drain starts, `false` where it ends.
        draining: bool,
    },
    /// Counts one offer to the node of this name while the node was warming up. The time of the offer is that of the
    /// batch.
    WarmUpOffer(String),
    /// The placer decides by this configuration from the time of the batch on.
    ActiveConfig(ActiveConfigRow),
}

/// Changes that are committed together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Sequence number: one more than that of the preceding batch.
    pub sequence: BatchSequence,
    /// Time at which the batch was created, in microseconds since 1970.
    pub at: u64,
    /// The changes, in the order in which they are applied.
    pub changes: Vec<Change>,
}
