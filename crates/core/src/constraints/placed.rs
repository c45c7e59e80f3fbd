//! Placed jobs with a constraint, and which clauses of it are currently violated.

use std::collections::{BTreeMap, BTreeSet};

use reedring::Micros;
use reedring_constraint::{Topic, Violation, violations};

use super::constrained_job::ConstrainedJob;
use super::site::SiteView;
use super::topic_index::TopicIndex;
use crate::ids::{JobNumber, NodeNumber};

/// A clause of a placed job's constraint that became violated, or became satisfied again.
#[derive(Debug)]
pub(crate) struct ClauseChange {
    pub job: JobNumber,
    pub breach: Violation,
    /// If the clause is satisfied again, the time at which it was last found violated; `None` if it became violated.
    pub violated_since: Option<Micros>,
}

#[derive(Debug)]
struct PlacedJob {
    job: ConstrainedJob,
    node: NodeNumber,
    /// For each clause `spread ... at least`, by its index: the greatest number of places that the copies have occupied
    /// so far, at most the number required. The clause is violated when they occupy fewer places than that.
    spread_reached: BTreeMap<usize, u32>,
    /// Indexes of the violated clauses, with the time at which each was last found violated.
    violated: BTreeMap<usize, Micros>,
}

/// All placed jobs that have a constraint.
#[derive(Debug, Default)]
pub(super) struct PlacedJobs {
    jobs: BTreeMap<JobNumber, PlacedJob>,
    by_topic: TopicIndex<JobNumber>,
    /// Jobs whose constraints have to be evaluated again.
    stale: BTreeSet<JobNumber>,
}

impl PlacedJobs {
    pub fn add(&mut self, number: JobNumber, job: ConstrainedJob, node: NodeNumber) {
        self.by_topic.add(&job.constraint.referenced_topics, number);
        let placed = PlacedJob {
            job,
            node,
            spread_reached: BTreeMap::new(),
            violated: BTreeMap::new(),
        };
        self.jobs.insert(number, placed);
        self.stale.insert(number);
    }

    pub fn remove(&mut self, number: JobNumber) {
        let Some(placed) = self.jobs.remove(&number) else {
            return;
        };
        self.by_topic
            .remove(&placed.job.constraint.referenced_topics, number);
        self.stale.remove(&number);
    }

    /// Marks the jobs whose constraints refer to copies of these topics.
    pub fn copies_changed(&mut self, topics: &[Topic]) {
        self.stale.extend(self.by_topic.referring_to(topics));
    }

    /// Marks all jobs, because the node list or a node's health changed.
    pub fn site_changed(&mut self) {
        self.stale.extend(self.jobs.keys());
    }

    pub fn is_idle(&self) -> bool {
        self.stale.is_empty()
    }

    /// The text of each currently violated clause of a job, with the time at which it was last found violated.
    pub fn violated(&self, number: JobNumber) -> Vec<(String, Micros)> {
        let Some(placed) = self.jobs.get(&number) else {
            return Vec::new();
        };
        let clauses = &placed.job.constraint.constraint.clauses;
        placed
            .violated
            .iter()
            .map(|(clause, since)| (clauses[*clause].to_string(), *since))
            .collect()
    }

    /// Evaluates the jobs that are marked as stale. Returns each change of a clause once.
    pub fn evaluate(&mut self, now: Micros, site: &mut SiteView) -> Vec<ClauseChange> {
        let mut changes = Vec::new();
        for number in std::mem::take(&mut self.stale) {
            if let Some(placed) = self.jobs.get_mut(&number) {
                placed.evaluate(now, number, site, &mut changes);
            }
        }
        changes
    }
}

impl PlacedJob {
    fn evaluate(
        &mut self,
        now: Micros,
        job: JobNumber,
        site: &mut SiteView,
        changes: &mut Vec<ClauseChange>,
    ) {
        let compiled = site.compiled(&self.job.constraint);
        let constraint = &self.job.constraint.constraint;
        let breaches = violations(
            constraint,
            &compiled,
            site.fleet(),
            site.census(),
            &self.job.own,
            &self.job.topics,
            self.node.index(),
            &mut self.spread_reached,
        );
        let node = site.fleet().nodes().get(self.node.index());
        // While a node is gone, it is unknown whether its copy runs: clauses are not reported as satisfied again.
        let is_node_gone = node.is_none_or(|line| line.gone);
        if !is_node_gone {
            let violated = breaches.iter().map(|breach| breach.clause).collect();
            self.record_restored(job, &violated, changes);
        }
        for breach in breaches {
            if self.violated.insert(breach.clause, now).is_none() {
                changes.push(ClauseChange {
                    job,
                    breach,
                    violated_since: None,
                });
            }
        }
    }

    /// Adds a change for each clause that was violated before and is not among `violated` any more.
    fn record_restored(
        &mut self,
        job: JobNumber,
        violated: &BTreeSet<usize>,
        changes: &mut Vec<ClauseChange>,
    ) {
        let clauses = &self.job.constraint.constraint.clauses;
        let restored = self
            .violated
            .iter()
            .filter(|(clause, _)| !violated.contains(clause));
        for (clause, since) in restored {
            let text = clauses[*clause].to_string();
            let breach = Violation {
                clause: *clause,
                text,
                remedy: String::new(),
            };
            changes.push(ClauseChange {
                job,
                breach,
                violated_since: Some(*since),
            });
        }
        self.violated.retain(|clause, _| violated.contains(clause));
    }
}
