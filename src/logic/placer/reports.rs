//! Applies load reports, signals of running tasks and results of health checks to the state of the
//! machines.

use super::Placer;
use crate::api::{AttemptId, MachineId, Micros, Note, ReportField};
use crate::load::Load;
use crate::logic::load_changes::DatedLoad;

/// Weight of one signal in the learned ratio of use to request: the ratio is a mean over about the
/// last fifty signals.
const USE_RATIO_GAIN: f64 = 0.02;

impl Placer {
    /// Applies a load report, whose values are in the order of `report_fields` in the settings. A
    /// report that lacks a finite value for cores or memory is ignored.
    pub(super) fn apply_load_report(&mut self, now: Micros, machine: MachineId, report: &[f64]) {
        let value_of = |field: ReportField| {
            let position = self
                .settings
                .report_fields
                .iter()
                .position(|other| *other == field)?;
            report
                .get(position)
                .copied()
                .filter(|value| value.is_finite())
        };
        let left = value_of(ReportField::Cores).zip(value_of(ReportField::Memory));
        if let (Some((cores, memory)), Some(state)) = (left, self.machines.get_mut(&machine)) {
            let left = Load { cores, memory };
            state.apply_report(now, left, self.settings.report_counts_requests);
        }
    }

    /// Applies a signal that a machine sent about an own task. The share of service that a task gets
    /// ([`Note::Served`]) is not used.
    pub(super) fn apply_task_signal(&mut self, now: Micros, id: AttemptId, signal: Note) {
        let Some(attempt) = self.active_attempts.get(&id) else {
            return;
        };
        let requested = attempt.load;
        let state = self.machines.get_mut(&attempt.machine);
        match (signal, state) {
            (Note::Cores(used), _) => {
                learn_use_ratio(&mut self.use_ratio.cores, used, requested.cores);
            }
            (Note::Memory(used), _) => {
                learn_use_ratio(&mut self.use_ratio.memory, used, requested.memory);
            }
            (Note::Runs, Some(state)) => {
                state.starting.remove(&id);
            }
            (Note::Pressure(fraction), Some(state)) if fraction.is_finite() => {
                let used = state
                    .used_now(self.use_ratio)
                    .unwrap_or(state.requested_now().times(self.use_ratio));
                let load = Load {
                    memory: fraction * state.size.memory,
                    ..used
                };
                state.used = Some(DatedLoad { at: now, load });
            }
            _ => {}
        }
    }

    /// Records the result of a health check: answered after `answer_time` microseconds, or failed
    /// (`None`). All queued requests become due, whatever they wait for.
    pub(super) fn health_check_ended(
        &mut self,
        now: Micros,
        machine: MachineId,
        answer_time: Option<Micros>,
    ) {
        self.due.append(&mut self.queued);
        let Some(state) = self.machines.get_mut(&machine) else {
            return;
        };
        state.health_check_pending = false;
        match answer_time {
            Some(took_us) => state.record_health_check_answer(now, took_us),
            None => state.record_failure(now, &self.settings.rules),
        }
    }
}

/// Moves a ratio of use to request towards that of one task, by [`USE_RATIO_GAIN`] of the difference.
fn learn_use_ratio(ratio: &mut f64, used: f64, requested: f64) {
    let is_valid = used.is_finite() && requested > 0.0;
    *ratio += if is_valid {
        USE_RATIO_GAIN * (used / requested - *ratio)
    } else {
        0.0
    };
}
