//! Jobs that were being placed when a former incarnation ended: each waits for the nodes that were asked, and is then
//! decided on by [`decide::recovery_action`].

use reedring::{Micros, Outcome as AttemptOutcome};
use reedring_state::{Ending, Outcome};

use super::{AttemptEnd, JobLifecycle};
use crate::decide::{self, ANSWER_MARGIN_US, RecoveringJob, RecoveryAction};
use crate::ids::JobNumber;

impl JobLifecycle<'_> {
    /// Decides on a job that was being placed when the former incarnation ended; `last` if it may not wait any longer.
    pub fn recover(&mut self, now: Micros, number: JobNumber, last: bool) {
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
            is_last_call: last,
        });
        match action {
            RecoveryAction::Wait => {}
            RecoveryAction::Abandon => {
                for id in attempts {
                    let end = AttemptEnd::new(AttemptOutcome::Reset, "no word after a restart");
                    self.attempt_unplaced(now, id, end);
                }
                // The end of the last attempt may have decided it.
                self.recover(now, number, true);
            }
            RecoveryAction::Request => {
                self.set_recovered(number);
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

    fn end_recovered(&mut self, now: Micros, number: JobNumber, outcome: Outcome, reason: &str) {
        self.set_recovered(number);
        self.record_outcome(number, outcome);
        self.end_job(now, number, Ending::aborted(reason));
    }

    /// What became of a job of a former incarnation is known.
    pub(super) fn set_recovered(&mut self, number: JobNumber) {
        if let Some(job) = self.ledger.job_mut(number) {
            job.recovering = false;
        }
    }

    /// Nodes have reported: what waited for that goes on.
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
