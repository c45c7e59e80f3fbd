//! Consistency rules between rows, and the check for violations of them.

use std::collections::BTreeSet;

use crate::rows::{Attempt, AttemptState, Job, JobNumber, LedgerSnapshot, Phase, SessionNumber};

/// A violated consistency rule between rows. A ledger that a placer wrote has no violations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotViolation {
    /// The ledger has no row for the job's session.
    #[error("job {job}: its session {session} is missing")]
    MissingSession {
        /// The job.
        job: JobNumber,
        /// Number of the missing session.
        session: SessionNumber,
    },
    /// The ledger has no template for the call that submitted the job.
    #[error("job {job}: the template of call {call} is missing")]
    MissingTemplate {
        /// The job.
        job: JobNumber,
        /// Number of the call whose template is missing.
        call: u64,
    },
    /// Two jobs have the same session, call and index.
    #[error("job {job}: another job has the same session, call and index")]
    DuplicateName {
        /// The second of the two jobs.
        job: JobNumber,
    },
    /// The job has more than one accepted attempt, or none although it is placed, running or suspended.
    #[error(
        "job {job}: {accepted} accepted attempts in phase `{phase}`; a job has at most one, and exactly one while it \
         is placed, running or suspended"
    )]
    AcceptedAttempts {
        /// The job.
        job: JobNumber,
        /// Number of accepted attempts.
        accepted: usize,
        /// Name of the job's phase.
        phase: &'static str,
    },
    /// Two open attempts, of one job or of two, have the same identifier.
    #[error("job {job}: another open attempt has the same identifier")]
    DuplicateAttempt {
        /// The job of the second attempt.
        job: JobNumber,
    },
}

const fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Held => "held",
        Phase::Delayed { .. } => "delayed",
        Phase::Pending { .. } => "pending",
        Phase::Placed => "placed",
        Phase::Running => "running",
        Phase::Suspended => "suspended",
        Phase::Ending(_) => "ending",
        Phase::Ended(_) => "ended",
    }
}

/// Whether a job in this phase must have an accepted attempt.
const fn needs_accepted_attempt(phase: &Phase) -> bool {
    matches!(phase, Phase::Placed | Phase::Running | Phase::Suspended)
}

/// Keys that must be unique over the whole ledger, collected from the jobs that were checked so far.
#[derive(Default)]
struct UniqueKeys {
    /// Session, call and index of each job.
    names: BTreeSet<(SessionNumber, u64, u64)>,
    /// Incarnation, request and number of each open attempt.
    attempts: BTreeSet<(u64, u64, u16)>,
}

impl UniqueKeys {
    /// Returns whether the name was not in use.
    fn insert_name(&mut self, job: &Job) -> bool {
        self.names.insert((job.session, job.call, job.index))
    }

    /// Returns whether the identifier was not in use.
    fn insert_attempt(&mut self, attempt: &Attempt) -> bool {
        self.attempts
            .insert((attempt.incarnation, attempt.request, attempt.number))
    }
}

impl LedgerSnapshot {
    /// All violated consistency rules, in the order of job numbers.
    pub fn violations(&self) -> Vec<SnapshotViolation> {
        let mut violations = Vec::new();
        let mut unique_keys = UniqueKeys::default();
        for (number, job) in &self.jobs {
            self.check_references(*number, job, &mut violations);
            if !unique_keys.insert_name(job) {
                violations.push(SnapshotViolation::DuplicateName { job: *number });
            }
            check_accepted_attempts(*number, job, &mut violations);
            for attempt in &job.open_attempts {
                if !unique_keys.insert_attempt(attempt) {
                    violations.push(SnapshotViolation::DuplicateAttempt { job: *number });
                }
            }
        }
        violations
    }

    fn check_references(
        &self,
        number: JobNumber,
        job: &Job,
        violations: &mut Vec<SnapshotViolation>,
    ) {
        if !self.sessions.contains_key(&job.session) {
            violations.push(SnapshotViolation::MissingSession {
                job: number,
                session: job.session,
            });
        }
        let templates = self.templates.get(&job.session);
        if !templates.is_some_and(|templates| templates.contains_key(&job.call)) {
            violations.push(SnapshotViolation::MissingTemplate {
                job: number,
                call: job.call,
            });
        }
    }
}

fn check_accepted_attempts(number: JobNumber, job: &Job, violations: &mut Vec<SnapshotViolation>) {
    let accepted = job
        .open_attempts
        .iter()
        .filter(|attempt| attempt.state == AttemptState::Accepted)
        .count();
    if accepted > 1 || accepted == 0 && needs_accepted_attempt(&job.phase) {
        violations.push(SnapshotViolation::AcceptedAttempts {
            job: number,
            accepted,
            phase: phase_name(&job.phase),
        });
    }
}
