//! The lifecycle of jobs and attempts: each state transition and the changes that it causes in other components.
//!
//! | transition | module |
//! | --- | --- |
//! | a placement request is sent to the decision module and answered | `requests` |
//! | an attempt is offered to a node, retracted, stopped, or never accepted | `offers` |
//! | a node accepts, rejects, runs or ends an attempt, or an accepted copy is lost | `reports` |
//! | a job ends, calls that wait for it are answered, and the job is deleted | `jobs` |
//! | a node reports all of its tasks, or can't be reached | `reconciliation` |
//! | a running copy that is not in the ledger is adopted or stopped | `adoption` |
//! | a job that was being placed by a former incarnation is placed or ended | `recovery` |
//! | a node that is warming up answers late and is blocked | `slow_start` |
//! | outputs that waited for a durable batch are released or dropped | `durability` |
//! | a message to a node is sent, and what must be durable before | `sending` |
//!
//! [`JobLifecycle`] owns no state: it borrows the components that a transition may change for one call. Each component
//! is changed only through its own methods.

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

/// Mutable references to the components that a transition of a job or an attempt may change.
pub(crate) struct JobLifecycle<'a> {
    pub cx: &'a mut Context,
    pub ledger: &'a mut Ledger,
    pub nodes: &'a mut NodeRegistry,
    pub sessions: &'a mut Sessions,
    pub constraints: &'a mut ConstraintTracker,
    pub blocks: &'a mut DispatchBlocks,
    pub queue: &'a mut WriteAheadQueue,
}

/// How an attempt ended, as it is reported to the decision module and recorded in the job's history.
pub(crate) struct AttemptEnd {
    outcome: AttemptOutcome,
    reason: Option<Reason>,
    report: Vec<f64>,
    /// The attempt's result in the job's history, in answers to operators and in end reasons. Scripts compare these
    /// texts.
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

    /// Adds the reason that the node gave, if any.
    pub fn with_reason(self, reason: Option<Reason>) -> Self {
        Self { reason, ..self }
    }

    /// Adds the load report that the node sent with the answer.
    pub fn with_report(self, report: Vec<f64>) -> Self {
        Self { report, ..self }
    }
}

impl JobLifecycle<'_> {
    /// Whether every listed node has reported its tasks since this placer started, or the time allowed for that is
    /// over.
    pub fn all_reconciled(&self, now: Micros) -> bool {
        now >= self.nodes.reconcile_until()
            || self.constraints.has_nodes() && self.nodes.all_reconciled()
    }

    /// Whether a second start of the job is harmless, by its class.
    pub fn effect(&self, job: &Job) -> Effect {
        self.cx.class(job.requirements.class).effect
    }

    /// Sends a response to a client once the changes of the current flush are durable.
    pub fn reply(&mut self, conn: ConnectionId, response: Response) {
        self.queue.reply(conn, Output::Reply { conn, response });
    }

    /// Sends the response of a call that waited, if there is one.
    pub fn reply_completed(&mut self, completed: Option<CompletedCall>) {
        if let Some(CompletedCall { conn, response }) = completed {
            self.reply(conn, response);
        }
    }
}
