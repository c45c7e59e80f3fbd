//! Placed jobs with a constraint: whether it is still satisfied.

use std::collections::{BTreeMap, BTreeSet};

use reedring::Micros;
use reedring_constraint::{Breach, Topic, broken};

use super::site::SiteView;
use super::subject::ConstrainedJob;
use super::topic_index::TopicIndex;
use crate::ids::{JobNumber, NodeNumber};

/// A clause of a placed job's constraint that is violated, or satisfied again.
#[derive(Debug)]
pub(crate) struct ClauseChange {
    pub job: JobNumber,
    pub breach: Breach,
    /// Since when it was violated, where it is satisfied now.
    pub violated_since: Option<Micros>,
}

#[derive(Debug)]
struct PlacedJob {
    job: ConstrainedJob,
    node: NodeNumber,
    reached: BTreeMap<usize, u32>,
    /// Violated clauses, and since when.
    violated: BTreeMap<usize, Micros>,
}

/// Placed jobs with a constraint.
#[derive(Debug, Default)]
pub(super) struct PlacedJobs {
    jobs: BTreeMap<JobNumber, PlacedJob>,
    by_topic: TopicIndex<JobNumber>,
    /// Jobs to evaluate again.
    stale: BTreeSet<JobNumber>,
}

impl PlacedJobs {
    pub fn add(&mut self, number: JobNumber, job: ConstrainedJob, node: NodeNumber) {
        self.by_topic.add(&job.constraint.depends, number);
        let placed = PlacedJob {
            job,
            node,
            reached: BTreeMap::new(),
            violated: BTreeMap::new(),
        };
        self.jobs.insert(number, placed);
        self.stale.insert(number);
    }

    pub fn remove(&mut self, number: JobNumber) {
        let Some(placed) = self.jobs.remove(&number) else {
            return;
        };
        self.by_topic.remove(&placed.job.constraint.depends, number);
        self.stale.remove(&number);
    }

    pub fn copies_changed(&mut self, topics: &[Topic]) {
        self.stale.extend(self.by_topic.of(topics));
    }

    pub fn site_changed(&mut self) {
        self.stale.extend(self.jobs.keys());
    }

    pub fn is_idle(&self) -> bool {
        self.stale.is_empty()
    }

    /// Clauses of a job that are violated now, with since when.
    pub fn violated(&self, number: JobNumber) -> Vec<(String, Micros)> {
        let Some(placed) = self.jobs.get(&number) else {
            return Vec::new();
        };
        let clauses = &placed.job.constraint.constraint.clauses;
        placed
            .violated
            .iter()
            .map(|(n, since)| (clauses[*n].to_string(), *since))
            .collect()
    }

    /// Evaluates the jobs that something relevant happened to. Each change is returned once.
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
        let breaches = broken(
            constraint,
            &compiled,
            site.fleet(),
            site.census(),
            &self.job.own,
            &self.job.topics,
            self.node.index(),
            &mut self.reached,
        );
        let node = site.fleet().lines().get(self.node.index());
        // Of a copy on a node that is gone nobody knows whether it runs.
        let is_gone = node.is_none_or(|line| line.dark);
        if !is_gone {
            let violated = breaches.iter().map(|breach| breach.clause).collect();
            self.note_restored(job, &violated, changes);
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

    /// Notes the clauses that are no longer violated.
    fn note_restored(
        &mut self,
        job: JobNumber,
        violated: &BTreeSet<usize>,
        changes: &mut Vec<ClauseChange>,
    ) {
        let clauses = &self.job.constraint.constraint.clauses;
        let restored = self.violated.iter().filter(|(n, _)| !violated.contains(n));
        for (n, since) in restored {
            let text = clauses[*n].to_string();
            let breach = Breach {
                clause: *n,
                text,
                mends: String::new(),
            };
            changes.push(ClauseChange {
                job,
                breach,
                violated_since: Some(*since),
            });
        }
        self.violated.retain(|n, _| violated.contains(n));
    }
}
