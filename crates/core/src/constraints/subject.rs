//! A job with a placement constraint, as far as constraints need to know it.

use std::sync::Arc;

use reedring_constraint::{Constraint, Own, Strength, Topic};

/// The constraint of a submission, prepared once for all its jobs.
#[derive(Debug, PartialEq)]
pub(crate) struct JobConstraint {
    pub constraint: Constraint,
    /// Its text as printed: jobs with the same text share the compiled form.
    pub text: String,
    /// Whose copies it speaks of.
    pub depends: Vec<Topic>,
}

impl JobConstraint {
    pub fn new(constraint: Constraint, own: &Own) -> Self {
        let depends = constraint
            .whose()
            .iter()
            .map(|who| own.topic(who))
            .collect();
        Self {
            text: constraint.to_string(),
            depends,
            constraint,
        }
    }

    /// Its machines change with every copy placed: requests with such a constraint are open one at a time.
    pub fn takes_turns(&self) -> bool {
        self.constraint.is_about_copies()
            || self
                .constraint
                .clauses
                .iter()
                .any(|clause| clause.strength == Strength::Prefer)
    }
}

/// A job with a constraint.
#[derive(Clone, Debug)]
pub(crate) struct ConstrainedJob {
    pub constraint: Arc<JobConstraint>,
    pub own: Own,
    /// What its copies count as for others' constraints.
    pub topics: Arc<Vec<Topic>>,
}
