//! The lifecycle of jobs and attempts: every transition of one, with what it means for the rest of the placer.
//!
//! | step | where |
//! | --- | --- |
//! | a job is handed to the decision module, and gets its answer | `requests` |
//! | an attempt is offered to a node, is taken back, or is never accepted | `offers` |
//! | a node accepts, rejects, runs or ends an attempt, or it is lost | `reports` |
//! | a job ends, its waiting clients are answered, and it is forgotten | `jobs` |
//! | a node reports all that it holds, or can't be reached | `reconciliation` |
//! | a copy that the ledger does not know becomes a job's own | `adoption` |
//! | a job of a former incarnation is decided on | `recovery` |
//! | a node that is warming up answers late | `slow_start` |
//! | what waited for the disk is released, or can't wait any longer | `durability` |
//!
//! [`JobLifecycle`] owns nothing: it is the set of components that a transition may change, borrowed for one call. Each
//! component is changed through its own methods alone.

mod adoption;
mod durability;
mod jobs;
mod offers;
mod reconciliation;
mod recovery;
mod reports;
mod requests;
mod sending;
mod slow_start;

use reedring::{Effect, Micros, Outcome as AttemptOutcome, Reason};
use reedring_drmaa::rpc::Response;

use crate::constraints::ConstraintTracker;
use crate::context::Context;
use crate::dispatch_blocks::DispatchBlocks;
use crate::io::{ConnectionId, Output};
use crate::ledger::{Job, Ledger};
use crate::nodes::NodeRegistry;
use crate::persistence::WriteAheadQueue;
use crate::sessions::{CompletedCall, Sessions};
pub(crate) use jobs::ended_answer;
pub(crate) use offers::OfferDecision;

/// The components that a transition of a job or an attempt may change.
pub(crate) struct JobLifecycle<'a> {
    pub cx: &'a mut Context,
    pub ledger: &'a mut Ledger,
    pub nodes: &'a mut NodeRegistry,
    pub sessions: &'a mut Sessions,
    pub constraints: &'a mut ConstraintTracker,
    pub blocks: &'a mut DispatchBlocks,
    pub queue: &'a mut WriteAheadQueue,
}

/// How an attempt ended, for the decision module and for the job's history.
pub(crate) struct AttemptEnd {
    outcome: AttemptOutcome,
    reason: Option<Reason>,
    report: Vec<f64>,
    /// What the job's history says of it.
    label: &'static str,
}

impl AttemptEnd {
    pub const fn new(outcome: AttemptOutcome, label: &'static str) -> Self {
        Self {
            outcome,
            reason: None,
            report: Vec::new(),
            label,
        }
    }

    /// The node gave a reason.
    pub fn because(self, reason: Option<Reason>) -> Self {
        Self { reason, ..self }
    }

    /// The node reported its load with it.
    pub fn with_report(self, report: Vec<f64>) -> Self {
        Self { report, ..self }
    }
}

impl JobLifecycle<'_> {
    /// Whether every node that could hold a task of a former incarnation has reported, or has had its time to.
    pub fn all_reconciled(&self, now: Micros) -> bool {
        now >= self.nodes.reconcile_until()
            || self.constraints.has_nodes() && self.nodes.all_reconciled()
    }

    /// What a second start of a job may do.
    pub fn effect(&self, job: &Job) -> Effect {
        self.cx.class(job.requirements.class).effect
    }

    /// Answers a client, once what it is told is durable.
    pub fn reply(&mut self, conn: ConnectionId, response: Response) {
        self.queue.reply(conn, Output::Reply { conn, response });
    }

    /// Answers a call that waited.
    pub fn reply_completed(&mut self, completed: Option<CompletedCall>) {
        if let Some(CompletedCall { conn, response }) = completed {
            self.reply(conn, response);
        }
    }
}
