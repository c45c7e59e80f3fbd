//! Placement constraints of jobs: which machines are open to each queued request, and whether the constraints of
//! placed jobs are still satisfied, kept current as copies, the node list and nodes' health change.

mod placed;
mod queued;
mod site;
mod subject;
mod topic_index;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use reedring::{MachineId, Micros, RequestId};
use reedring_constraint::{Explanation, Fleet, Topic};
use reedring_node_protocol as wire;

use crate::ids::{JobNumber, NodeNumber};
use crate::nodes::NodeRegistry;
pub(crate) use placed::ClauseChange;
use placed::PlacedJobs;
pub(crate) use queued::OpenMachines;
use queued::QueuedRequests;
use site::{SiteChange, SiteView};
pub(crate) use subject::{ConstrainedJob, JobConstraint};

/// Requests that get their turn in one flush: the rest wait for the next, which comes at once. Answers that are ready
/// wait for a flush to end, so it is kept short.
pub(crate) const TURNS_PER_FLUSH: usize = 8;

/// An attempt that was closed without its node's answer: its copy may still run.
#[derive(Debug)]
struct UnresolvedAttempt {
    node: NodeNumber,
    topics: Arc<Vec<Topic>>,
}

/// Placement constraints of all jobs.
#[derive(Debug, Default)]
pub(crate) struct ConstraintTracker {
    site: SiteView,
    queued: QueuedRequests,
    placed: PlacedJobs,
    /// Closed attempts whose copies count until their nodes report.
    unresolved: BTreeMap<wire::AttemptId, UnresolvedAttempt>,
}

impl ConstraintTracker {
    // ---- The site ----

    /// The node list or a node's health changed.
    pub fn nodes_changed(&mut self, nodes: &NodeRegistry) {
        match self.site.update(nodes) {
            SiteChange::None => return,
            SiteChange::Health => self.queued.health_changed(),
            SiteChange::Nodes => self.queued.all_changed(),
        }
        self.placed.site_changed();
    }

    /// These machines get nothing new for now.
    pub fn exclude(&mut self, machines: &BTreeSet<MachineId>) {
        self.site.set_excluded(machines);
        self.queued.all_changed();
    }

    /// The node list as constraints see it.
    pub const fn fleet(&self) -> &Fleet {
        self.site.fleet()
    }

    /// Whether any node was ever listed.
    pub fn has_nodes(&self) -> bool {
        !self.site.fleet().lines().is_empty()
    }

    /// Why no listed machine can ever take a job, if that is so.
    pub fn impossible(&mut self, job: &ConstrainedJob) -> Option<Explanation> {
        self.site.impossible(job)
    }

    /// How a job's constraint is evaluated now.
    pub fn explain(&mut self, job: &ConstrainedJob) -> Explanation {
        self.site.explain(job)
    }

    // ---- Queued requests ----

    /// Queues a request; the machines that the decision module must be told at once.
    pub fn request_queued(&mut self, request: RequestId, job: ConstrainedJob) -> OpenMachines {
        self.queued.add(request, job, &mut self.site)
    }

    /// Whether a request is queued and has a constraint.
    pub fn is_queued(&self, request: RequestId) -> bool {
        self.queued.contains(request)
    }

    /// A request is answered, or withdrawn.
    pub fn request_closed(&mut self, request: RequestId) {
        self.queued.remove(request);
    }

    /// An offer of a request left.
    pub fn request_offered(&mut self, request: RequestId) -> Option<OpenMachines> {
        self.queued.offered(request)
    }

    /// The attempt of a request ended, and the request is still queued.
    pub fn offer_ended(&mut self, request: RequestId) {
        self.queued.offer_ended(request);
    }

    /// Some time passed: the next request that found no room gets another turn.
    pub fn rotate(&mut self) {
        self.queued.rotate();
    }

    /// What the decision module must be told next; empty where nothing changed.
    pub fn next_turn(&mut self) -> Vec<OpenMachines> {
        self.queued.next_turn(&mut self.site)
    }

    /// The request whose turn it was is open no more.
    pub fn close_turn(&mut self) -> Option<OpenMachines> {
        self.queued.close_turn()
    }

    /// The copies of a former incarnation are known now, as far as they will be.
    pub fn reconciled(&mut self) {
        self.queued.reconciled();
    }

    /// Why a queued request got no place, as far as its constraint goes.
    pub fn why_unplaced(&mut self, request: RequestId) -> Option<String> {
        self.queued.why_unplaced(request, &mut self.site)
    }

    /// Whether nothing is to be evaluated.
    pub fn is_idle(&self) -> bool {
        self.queued.is_idle() && self.placed.is_idle()
    }

    // ---- Copies ----

    /// A copy is placed or being placed.
    pub fn copy_added(&mut self, topics: &[Topic], node: NodeNumber) {
        self.site.add_copy(topics, node);
        self.copies_changed(topics);
    }

    /// A copy no longer exists.
    pub fn copy_removed(&mut self, topics: &[Topic], node: NodeNumber) {
        self.site.remove_copy(topics, node);
        self.copies_changed(topics);
    }

    fn copies_changed(&mut self, topics: &[Topic]) {
        self.queued.copies_changed(topics);
        self.placed.copies_changed(topics);
    }

    /// An attempt was closed and its copy may still run: it counts until its node reports.
    pub fn attempt_unresolved(
        &mut self,
        attempt: wire::AttemptId,
        topics: Arc<Vec<Topic>>,
        node: NodeNumber,
    ) {
        self.unresolved
            .insert(attempt, UnresolvedAttempt { node, topics });
    }

    /// A node reported what became of an unresolved attempt; which node, if it was one.
    pub fn attempt_resolved(&mut self, attempt: wire::AttemptId) -> Option<NodeNumber> {
        let UnresolvedAttempt { node, topics } = self.unresolved.remove(&attempt)?;
        self.copy_removed(&topics, node);
        Some(node)
    }

    /// Whether some attempt at this node is unresolved.
    pub fn has_unresolved(&self, node: NodeNumber) -> bool {
        self.unresolved
            .values()
            .any(|unresolved| unresolved.node == node)
    }

    /// A node reported all that it holds: what is not among it does not run.
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

    /// A node restarted: no copy of before runs there.
    pub fn resolve_all(&mut self, node: NodeNumber) {
        self.resolve_except(node, &BTreeSet::new());
    }

    // ---- Placed jobs ----

    /// A job was placed.
    pub fn job_placed(&mut self, number: JobNumber, job: ConstrainedJob, node: NodeNumber) {
        self.placed.add(number, job, node);
    }

    /// A job is no longer placed.
    pub fn job_unplaced(&mut self, number: JobNumber) {
        self.placed.remove(number);
    }

    /// Clauses of a job that are violated now, with since when.
    pub fn violated(&self, number: JobNumber) -> Vec<(String, Micros)> {
        self.placed.violated(number)
    }

    /// Evaluates the placed jobs that something relevant happened to. Each change is returned once.
    pub fn evaluate_placed(&mut self, now: Micros) -> Vec<ClauseChange> {
        self.placed.evaluate(now, &mut self.site)
    }
}
