//! The parts of a job that evaluating its placement constraint needs.

use std::sync::Arc;

use reedring_constraint::{Constraint, OwnService, Strength, Topic};

/// The constraint of a submission, shared by all its jobs.
#[derive(Debug, PartialEq)]
pub(crate) struct JobConstraint {
    pub constraint: Constraint,
    /// The constraint as printed. Constraints with the same text share one compiled form.
    pub text: String,
    /// The topics whose copies the constraint refers to.
    pub referenced_topics: Vec<Topic>,
}

impl JobConstraint {
    pub fn new(constraint: Constraint, own: &OwnService) -> Self {
        let referenced_topics = constraint
            .copy_selectors()
            .iter()
            .map(|who| own.topic(who))
            .collect();
        Self {
            text: constraint.to_string(),
            referenced_topics,
            constraint,
        }
    }

    /// Whether requests with this constraint are opened one at a time. True if the constraint refers to copies or has
    /// preferences, because then placing one request can change the open machines of the next.
    pub fn takes_turns(&self) -> bool {
        self.constraint.depends_on_copies()
            || self
                .constraint
                .clauses
                .iter()
                .any(|clause| clause.strength == Strength::Prefer)
    }
}

/// A job with a constraint, and what the constraint is evaluated for.
#[derive(Clone, Debug)]
pub(crate) struct ConstrainedJob {
    pub constraint: Arc<JobConstraint>,
    /// The class and service of the job.
    pub own: OwnService,
    /// The topics under which the job's copies are counted by the constraints of other jobs.
    pub topics: Arc<Vec<Topic>>,
}
