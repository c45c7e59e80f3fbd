//! Placement constraints of jobs: which machines are open to each queued request, and whether the constraints of
//! placed jobs are still satisfied. Both are updated as copies, the node list and the nodes' health change.
//!
//! A *copy* is a task of a job at a node that is being placed, runs, or may still run. A *topic* is what copies are
//! counted by: the service within a class, the service across classes, or a label with its value.

mod constrained_job;
mod placed;
mod queued;
mod site;
mod topic_index;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::{MachineId, Micros, RequestId};
use reedring_constraint::{Explanation, Fleet, Topic};
use reedring_node_protocol as wire;

use crate::ids::{JobNumber, NodeNumber};
use crate::nodes::NodeRegistry;
pub(crate) use constrained_job::{ConstrainedJob, JobConstraint};
pub(crate) use placed::ClauseChange;
use placed::PlacedJobs;
pub(crate) use queued::OpenMachines;
use queued::QueuedRequests;
use site::{SiteChange, SiteView};

/// Maximum number of requests opened in turn during one flush. The others wait for the next flush, which follows
/// immediately. The limit keeps flushes short, because finished answers are sent only at the end of a flush.
pub(crate) const TURNS_PER_FLUSH: usize = 8;

/// An attempt that was closed before its node reported the outcome, so its copy may still run.
#[derive(Debug)]
struct UnresolvedAttempt {
    node: NodeNumber,
    topics: Arc<Vec<Topic>>,
}

/// Evaluates the placement constraints of all queued and placed jobs.
#[derive(Debug, Default)]
pub(crate) struct ConstraintTracker {
    site: SiteView,
    queued: QueuedRequests,
    placed: PlacedJobs,
    /// Closed attempts whose copies still count, until their nodes report the outcome.
    unresolved: BTreeMap<wire::AttemptId, UnresolvedAttempt>,
}

impl ConstraintTracker {
    // ---- Nodes ----

    /// Call when the node list or a node's health has changed; marks the affected jobs for evaluation.
    pub fn nodes_changed(&mut self, nodes: &NodeRegistry) {
        match self.site.update(nodes) {
            SiteChange::None => return,
            SiteChange::Health => self.queued.health_changed(),
            SiteChange::Nodes => self.queued.all_changed(),
        }
        self.placed.site_changed();
    }

    /// Replaces the set of machines that receive no new tasks.
    pub fn set_excluded(&mut self, machines: &BTreeSet<MachineId>) {
        self.site.set_excluded(machines);
        self.queued.all_changed();
    }

    /// The nodes in the form that constraints are evaluated against.
    pub const fn fleet(&self) -> &Fleet {
        self.site.fleet()
    }

    /// Whether any node has ever been listed or restored since this placer started.
    pub fn has_nodes(&self) -> bool {
        !self.site.fleet().nodes().is_empty()
    }

    /// Explains why no listed machine can ever satisfy the job's constraint; `None` if some machine can, or if no node
    /// is listed.
    pub fn explain_impossible(&mut self, job: &ConstrainedJob) -> Option<Explanation> {
        self.site.explain_impossible(job)
    }

    /// Explains the current evaluation of a job's constraint, clause by clause.
    pub fn explain(&mut self, job: &ConstrainedJob) -> Explanation {
        self.site.explain(job)
    }

    // ---- Queued requests ----

    /// Adds a queued request and returns its open machines, which the caller must announce to the decision module.
    pub fn request_queued(&mut self, request: RequestId, job: ConstrainedJob) -> OpenMachines {
        self.queued.add(request, job, &mut self.site)
    }

    /// Whether a request is queued and has a constraint.
    pub fn is_queued(&self, request: RequestId) -> bool {
        self.queued.contains(request)
    }

    /// Removes a request that was answered or withdrawn.
    pub fn request_closed(&mut self, request: RequestId) {
        self.queued.remove(request);
    }

    /// Records that an offer for a request was sent. Returns the announcement that closes the request, if it takes
    /// turns.
    pub fn request_offered(&mut self, request: RequestId) -> Option<OpenMachines> {
        self.queued.offered(request)
    }

    /// Records that the offer for a request ended without a placement; the request is evaluated again.
    pub fn offer_ended(&mut self, request: RequestId) {
        self.queued.offer_ended(request);
    }

    /// Gives another turn to the next request that was opened before without being placed. Called when
    /// a timer of the decision module comes due.
    pub fn rotate(&mut self) {
        self.queued.rotate();
    }

    /// Ends the current turn and starts the next one. Returns the changes to announce to the decision module; empty if
    /// nothing changed.
    pub fn next_turn(&mut self) -> Vec<OpenMachines> {
        self.queued.next_turn(&mut self.site)
    }

    /// Ends the current turn. Returns the announcement that closes the request whose turn it was.
    pub fn close_turn(&mut self) -> Option<OpenMachines> {
        self.queued.close_turn()
    }

    /// Records that nodes have reported the tasks they hold, or that the time for it is over. Requests that take
    /// turns are opened only from then on.
    pub fn reconciled(&mut self) {
        self.queued.reconciled();
    }

    /// Explains how its constraint keeps a queued request unplaced; `None` if the request is not tracked here.
    pub fn why_unplaced(&mut self, request: RequestId) -> Option<String> {
        self.queued.why_unplaced(request, &mut self.site)
    }

    /// Whether no evaluation is pending.
    pub fn is_idle(&self) -> bool {
        self.queued.is_idle() && self.placed.is_idle()
    }

    // ---- Copies ----

    /// Counts a copy that is placed or being placed at a node.
    pub fn copy_added(&mut self, topics: &[Topic], node: NodeNumber) {
        self.site.add_copy(topics, node);
        self.copies_changed(topics);
    }

    /// Stops counting a copy that no longer exists.
    pub fn copy_removed(&mut self, topics: &[Topic], node: NodeNumber) {
        self.site.remove_copy(topics, node);
        self.copies_changed(topics);
    }

    fn copies_changed(&mut self, topics: &[Topic]) {
        self.queued.copies_changed(topics);
        self.placed.copies_changed(topics);
    }

    /// Records that an attempt was closed while its copy may still run. The copy counts until its node reports.
    pub fn attempt_unresolved(
        &mut self,
        attempt: wire::AttemptId,
        topics: Arc<Vec<Topic>>,
        node: NodeNumber,
    ) {
        self.unresolved
            .insert(attempt, UnresolvedAttempt { node, topics });
    }

    /// Stops counting the copy of an unresolved attempt whose outcome is now known. Returns its node; `None` if the
    /// attempt was not unresolved.
    pub fn attempt_resolved(&mut self, attempt: wire::AttemptId) -> Option<NodeNumber> {
        let UnresolvedAttempt { node, topics } = self.unresolved.remove(&attempt)?;
        self.copy_removed(&topics, node);
        Some(node)
    }

    /// Whether any attempt at this node is unresolved.
    pub fn has_unresolved(&self, node: NodeNumber) -> bool {
        self.unresolved
            .values()
            .any(|unresolved| unresolved.node == node)
    }

    /// Resolves every unresolved attempt at a node that is not among the attempts it reported holding.
    pub fn resolve_except(&mut self, node: NodeNumber, held: &BTreeSet<wire::AttemptId>) {
        let is_gone = |(attempt, unresolved): &(&wire::AttemptId, &UnresolvedAttempt)| {
            unresolved.node == node && !held.contains(attempt)
        };
        let gone: Vec<wire::AttemptId> = self
            .unresolved
            .iter()
            .filter(is_gone)
            .map(|(attempt, _)| *attempt)
            .collect();
        gone.into_iter()
            .for_each(|attempt| _ = self.attempt_resolved(attempt));
    }

    /// Resolves every unresolved attempt at a node, because it restarted and no earlier copy runs there.
    pub fn resolve_all(&mut self, node: NodeNumber) {
        self.resolve_except(node, &BTreeSet::new());
    }

    // ---- Placed jobs ----

    /// Starts tracking the constraint of a job that was placed at a node.
    pub fn job_placed(&mut self, number: JobNumber, job: ConstrainedJob, node: NodeNumber) {
        self.placed.add(number, job, node);
    }

    /// Stops tracking the constraint of a job that is no longer placed.
    pub fn job_unplaced(&mut self, number: JobNumber) {
        self.placed.remove(number);
    }

    /// The text of each currently violated clause of a job, with the time at which it was last found violated.
    pub fn violated(&self, number: JobNumber) -> Vec<(String, Micros)> {
        self.placed.violated(number)
    }

    /// Evaluates the placed jobs that are marked for evaluation. Returns each change of a clause once.
    pub fn evaluate_placed(&mut self, now: Micros) -> Vec<ClauseChange> {
        self.placed.evaluate(now, &mut self.site)
    }
}
