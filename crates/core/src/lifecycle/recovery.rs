//! Recovery of jobs that were being placed when a former incarnation ended: each job waits for reports of the nodes
//! that it was offered to, and [`decide::recovery_action`] then decides whether it is placed again or ended.

use reedring::{Micros, Outcome as AttemptOutcome};
use reedring_state::{Ending, Outcome};

use super::{AttemptEnd, JobLifecycle};
use crate::decide::{self, ANSWER_MARGIN_US, RecoveringJob, RecoveryAction};
use crate::ids::JobNumber;

impl JobLifecycle<'_> {
    /// Takes the recovery action of a job that was being placed when a former incarnation ended; does nothing for any
    /// other job. `is_last_call` says that the job may not wait any longer.
    pub fn recover(&mut self, now: Micros, number: JobNumber, is_last_call: bool) {
        let Some(job) = self.ledger.job(number).filter(|job| job.recovering) else {
            return;
        };
        let until = job.until;
        let attempts = job.attempts.clone();
        let action = decide::recovery_action(RecoveringJob {
            effect: self.effect(job),
            has_open_attempts: !attempts.is_empty(),
            may_have_run: job.may_have_run,
            all_reconciled: self.all_reconciled(now),
            is_overdue: until <= now.saturating_add(ANSWER_MARGIN_US),
            is_last_call,
        });
        match action {
            RecoveryAction::Wait => {}
            RecoveryAction::Abandon => {
                for id in attempts {
                    let end = AttemptEnd::new(AttemptOutcome::Reset, "no word after a restart");
                    self.attempt_unplaced(now, id, end);
                }
                // Closing the last attempt may have ended the recovery already: then this call does nothing.
                self.recover(now, number, true);
            }
            RecoveryAction::Request => {
                self.mark_recovered(number);
                self.request_placement_until(now, number, Some(until));
            }
            RecoveryAction::Reject => {
                let reason =
                    "refused: its time was over when the placer was back, and it never ran";
                self.end_recovered(now, number, Outcome::Refused, reason);
            }
            RecoveryAction::Fail => {
                let reason =
                    "failed: the placer was started anew while it was placed, and it may have run";
                self.end_recovered(now, number, Outcome::Failed, reason);
            }
        }
    }

    /// Ends a job that is not placed again after the restart.
    fn end_recovered(&mut self, now: Micros, number: JobNumber, outcome: Outcome, reason: &str) {
        self.mark_recovered(number);
        self.record_outcome(number, outcome);
        self.end_job(now, number, Ending::aborted(reason));
    }

    /// Marks the recovery of a job as done: what became of its earlier attempts is known.
    pub(super) fn mark_recovered(&mut self, number: JobNumber) {
        if let Some(job) = self.ledger.job_mut(number) {
            job.recovering = false;
        }
    }

    /// Continues what waited for the nodes' reports: recovering jobs, constraints on copies, and the constraints of
    /// placed jobs that were restored.
    pub fn reconciliation_done(&mut self, now: Micros) {
        self.constraints.reconciled();
        let recovering = self.ledger.jobs().filter(|(_, job)| job.recovering);
        let recovering: Vec<JobNumber> = recovering.map(|(number, _)| number).collect();
        recovering
            .into_iter()
            .for_each(|number| self.recover(now, number, false));
        for (number, id) in self.ledger.take_restored_placements() {
            let job = self.ledger.job(number);
            if job.is_some_and(|job| job.placed_attempt() == Some(id)) {
                self.track_constraint(number, id);
            }
        }
    }
}
