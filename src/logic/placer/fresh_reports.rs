//! Health checks of a pool before the draw, for deployments where machines report their load only in
//! answers to health checks.

use super::arrivals::ARRIVAL_WINDOW_US;
use super::pool::PoolMember;
use super::{POLL_INTERVAL_US, Placer};
use crate::api::{Action, Micros, ReportStyle};

/// Microseconds after a health check was sent until its report is too old for a draw: the period
/// that one water filling covers.
const REPORT_FRESH_US: Micros = ARRIVAL_WINDOW_US;
/// Microseconds after a health check was sent for which a request waits for its report: health
/// checks take about as long as two polls.
const REPORT_WAIT_US: Micros = 2 * POLL_INTERVAL_US;

impl Placer {
    /// Sends a health check to each machine of the pool whose last one is older than
    /// [`REPORT_FRESH_US`]. Returns whether the request should wait for a report that is pending.
    pub(super) fn request_fresh_reports(
        &mut self,
        now: Micros,
        pool: &[PoolMember],
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.settings.report_style != ReportStyle::Probes || !self.settings.rules.may_probe {
            return false;
        }
        let mut should_wait = false;
        for member in pool {
            let Some(state) = self.machines.get_mut(&member.machine) else {
                continue;
            };
            let is_old = state
                .last_health_check_at
                .is_none_or(|at| at + REPORT_FRESH_US < now);
            if is_old {
                state.last_health_check_at = Some(now);
                state.health_check_pending = true;
                actions.push(Action::Probe(member.machine));
            }
            should_wait |= state.health_check_pending
                && state
                    .last_health_check_at
                    .is_some_and(|at| now < at + REPORT_WAIT_US);
        }
        if should_wait {
            self.reports_awaited_until = now + REPORT_WAIT_US;
        }
        should_wait
    }
}
