//! Rules between rows, and what breaks them.

use std::collections::BTreeSet;

use crate::rows::{Attempt, AttemptState, Job, JobNumber, LedgerSnapshot, Phase, SessionNumber};

/// A rule between rows that does not hold. A ledger that a placer wrote has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotViolation {
    /// The job's session is not there.
    #[error("job {job}: its session {session} is missing")]
    MissingSession {
        /// The job.
        job: JobNumber,
        /// The session that it names.
        session: SessionNumber,
    },
    /// The template of the job's call is not there.
    #[error("job {job}: the template of call {call} is missing")]
    MissingTemplate {
        /// The job.
        job: JobNumber,
        /// The call that it names.
        call: u64,
    },
    /// Two jobs have the same session, call and index.
    #[error("job {job}: another job has the same session, call and index")]
    DuplicateName {
        /// The second of them.
        job: JobNumber,
    },
    /// More than one attempt is accepted, or none although a node is said to hold the job.
    #[error("job {job}: {accepted} accepted attempts in phase `{phase}`")]
    AcceptedAttempts {
        /// The job.
        job: JobNumber,
        /// How many are accepted.
        accepted: usize,
        /// The job's phase.
        phase: &'static str,
    },
    /// Two jobs have the same attempt.
    #[error("job {job}: another job has the same attempt")]
    DuplicateAttempt {
        /// The second of them.
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

/// Whether an attempt of the job must be accepted by a node.
const fn needs_accepted_attempt(phase: &Phase) -> bool {
    matches!(phase, Phase::Placed | Phase::Running | Phase::Suspended)
}

/// What has to differ from job to job, as far as jobs were visited.
#[derive(Default)]
struct Seen {
    names: BTreeSet<(SessionNumber, u64, u64)>,
    attempts: BTreeSet<(u64, u64, u16)>,
}

impl Seen {
    fn insert_name(&mut self, job: &Job) -> bool {
        self.names.insert((job.session, job.call, job.index))
    }

    fn insert_attempt(&mut self, attempt: &Attempt) -> bool {
        self.attempts
            .insert((attempt.incarnation, attempt.request, attempt.number))
    }
}

impl LedgerSnapshot {
    /// The rules between rows that do not hold.
    pub fn violations(&self) -> Vec<SnapshotViolation> {
        let mut found = Vec::new();
        let mut seen = Seen::default();
        for (number, job) in &self.jobs {
            self.check_references(*number, job, &mut found);
            if !seen.insert_name(job) {
                found.push(SnapshotViolation::DuplicateName { job: *number });
            }
            check_accepted_attempts(*number, job, &mut found);
            for attempt in &job.open_attempts {
                if !seen.insert_attempt(attempt) {
                    found.push(SnapshotViolation::DuplicateAttempt { job: *number });
                }
            }
        }
        found
    }

    fn check_references(&self, number: JobNumber, job: &Job, found: &mut Vec<SnapshotViolation>) {
        if !self.sessions.contains_key(&job.session) {
            found.push(SnapshotViolation::MissingSession {
                job: number,
                session: job.session,
            });
        }
        let templates = self.templates.get(&job.session);
        if !templates.is_some_and(|templates| templates.contains_key(&job.call)) {
            found.push(SnapshotViolation::MissingTemplate {
                job: number,
                call: job.call,
            });
        }
    }
}

fn check_accepted_attempts(number: JobNumber, job: &Job, found: &mut Vec<SnapshotViolation>) {
    let accepted = job
        .open_attempts
        .iter()
        .filter(|attempt| attempt.state == AttemptState::Accepted)
        .count();
    if accepted > 1 || accepted == 0 && needs_accepted_attempt(&job.phase) {
        found.push(SnapshotViolation::AcceptedAttempts {
            job: number,
            accepted,
            phase: phase_name(&job.phase),
        });
    }
}
