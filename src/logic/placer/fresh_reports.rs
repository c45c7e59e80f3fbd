//! Health checks of a pool before the draw, where load reports come only with their answers.

use super::arrivals::ARRIVAL_WINDOW_US;
use super::pool::PoolMember;
use super::{POLL_INTERVAL_US, Placer};
use crate::api::{Action, Micros, ReportStyle};

/// Microseconds for which the report of a health check is fresh: as long as one water filling
/// covers.
const REPORT_FRESH_US: Micros = ARRIVAL_WINDOW_US;
/// Microseconds that a request waits for the reports of its pool: health checks take about as long
/// as two polls.
const REPORT_WAIT_US: Micros = 2 * POLL_INTERVAL_US;

impl Placer {
    /// Sends a health check to each machine of the pool whose report is old. Returns whether the
    /// request should wait for a report that is on its way.
    pub(super) fn await_fresh_reports(
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
