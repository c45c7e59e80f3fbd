//! Changes of rows, and the batches in which they become durable.

use std::fmt;

use crate::rows::{
    ActiveConfigRow, Job, JobNumber, JobTemplate, Session, SessionNumber, StoredResponse,
};

/// The number of a batch within one run of a placer: the first is 1, and 0 stands before every batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BatchSequence(pub u64);

impl fmt::Display for BatchSequence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One change of the rows. A later change of the same row replaces an earlier one.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// A placer started under this incarnation number.
    IncarnationStarted(u64),
    /// A session is open, or is deleted.
    Session(SessionNumber, Option<Session>),
    /// A call of a session was answered.
    Call(SessionNumber, u64, StoredResponse),
    /// The responses to all calls of a session below this one are deleted.
    CallsDeletedBelow(SessionNumber, u64),
    /// The template of the jobs of a call, or that no job of it is left.
    Template(SessionNumber, u64, Option<JobTemplate>),
    /// A job, or that it is deleted.
    Job(JobNumber, Option<Box<Job>>),
    /// An operator started or ended the drain of a node.
    Drain {
        /// The node's name.
        node: String,
        /// Whether it drains from now on.
        draining: bool,
    },
    /// An offer went to this node while it was warming up.
    WarmUpOffer(String),
    /// The placer decides by another configuration from now on.
    ActiveConfig(ActiveConfigRow),
}

/// Changes that become durable together or not at all.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Its number: one more than that of the batch before.
    pub sequence: BatchSequence,
    /// Microseconds since 1970 at which it was made.
    pub at: u64,
    /// The changes, in order.
    pub changes: Vec<Change>,
}
