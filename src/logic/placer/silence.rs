//! Handles machines that give no answer: sends them a health check first, then stops the offers that
//! wait there. No task is sent elsewhere here; the outcome of a stopped attempt makes its request
//! due.

use std::collections::BTreeMap;

use super::{POLL_INTERVAL_US, Placer};
use crate::api::{Action, AttemptId, MachineId, Micros};
use crate::logic::requests::{Attempt, AttemptState};

/// Multiple of the slowest recent answer time after which a machine counts as silent.
const SLOWEST_ANSWER_FACTOR: u64 = 2;
/// Upper bound of the silence limit, as a multiple of the latency objective, where health checks are
/// allowed.
const CHECKED_OBJECTIVE_FACTOR: u64 = 2;
/// Lower bound of the silence limit, as a multiple of the latency objective, where health checks are
/// not allowed: a connection is made by then.
const UNCHECKED_OBJECTIVE_FACTOR: u64 = 4;
/// A silent machine gets a health check after the silence limit divided by this, and another one
/// after each further such period.
const HEALTH_CHECK_DIVISOR: u64 = 4;
/// An offer that was passed over is stopped after the silence limit divided by this.
const PASSED_OVER_DIVISOR: u64 = 2;

impl Placer {
    /// Sends health checks to silent machines, then stops the attempts that have waited too long, as
    /// far as the rules allow either.
    pub(super) fn stop_silent_attempts(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let classes = &self.settings.classes;
        let shortest_objective = classes.iter().map(|class| class.aim_us).min().unwrap_or(0);
        let shortest_limit = self.silence_limit(shortest_objective);
        let limits_by_class: Vec<Micros> = classes
            .iter()
            .map(|class| self.silence_limit(class.aim_us))
            .collect();
        let silent_since = self.machines_silent_since();
        if self.settings.rules.may_probe {
            self.check_silent_machines(now, &silent_since, shortest_limit, actions);
        }
        if self.settings.rules.may_stop {
            let limit_of = |class: u16| {
                let limit = limits_by_class.get(usize::from(class));
                limit.copied().unwrap_or(shortest_limit)
            };
            self.stop_attempts(now, &silent_since, limit_of, actions);
        }
    }

    /// The silence limit in microseconds: how long a machine gives no answer until it counts as
    /// silent for a task with this latency objective, which is in microseconds too.
    fn silence_limit(&self, latency_objective: Micros) -> Micros {
        let by_answers = SLOWEST_ANSWER_FACTOR * self.answer_times.slowest();
        let objective = latency_objective.max(POLL_INTERVAL_US);
        if self.settings.rules.may_probe {
            by_answers.clamp(objective, objective * CHECKED_OBJECTIVE_FACTOR)
        } else {
            by_answers.max(objective * UNCHECKED_OBJECTIVE_FACTOR)
        }
    }

    /// The machines with unanswered offers, and since when each has given no answer.
    fn machines_silent_since(&self) -> BTreeMap<MachineId, Micros> {
        self.machines
            .values()
            .filter_map(|state| Some((state.machine.id, state.silent_since(self.running_since)?)))
            .collect()
    }

    fn check_silent_machines(
        &mut self,
        now: Micros,
        silent_since: &BTreeMap<MachineId, Micros>,
        limit: Micros,
        actions: &mut Vec<Action>,
    ) {
        let check_after = limit / HEALTH_CHECK_DIVISOR;
        for (machine, since) in silent_since {
            let Some(state) = self.machines.get_mut(machine) else {
                continue;
            };
            let last_check_is_old = state
                .last_health_check_at
                .is_none_or(|at| at + check_after < now);
            if last_check_is_old && since + check_after < now {
                state.last_health_check_at = Some(now);
                actions.push(Action::Probe(*machine));
            }
        }
    }

    /// Stops the attempts on machines that have been silent for longer than the limit of the task's
    /// class, and attempts that were passed over.
    fn stop_attempts(
        &mut self,
        now: Micros,
        silent_since: &BTreeMap<MachineId, Micros>,
        limit_of: impl Fn(u16) -> Micros,
        actions: &mut Vec<Action>,
    ) {
        let (machines, settings) = (&self.machines, &self.settings);
        let running_since = self.running_since;
        let is_overdue = |attempt: &Attempt, limit: Micros| {
            let waited_from = attempt.sent_at.max(running_since);
            let has_waited_briefly = waited_from + limit / PASSED_OVER_DIVISOR >= now;
            let machine_is_silent = silent_since
                .get(&attempt.machine)
                .is_some_and(|since| since + limit < now);
            let machine = machines.get(&attempt.machine);
            machine_is_silent
                || !has_waited_briefly
                    && machine.is_some_and(|state| state.was_passed_over(attempt.sent_at, settings))
        };
        let mut stopped: u32 = 0;
        for (id, request) in &mut self.requests {
            let limit = limit_of(request.task.class);
            for (attempt, number) in request.attempts.iter_mut().zip(0..) {
                if attempt.state == AttemptState::InFlight && is_overdue(attempt, limit) {
                    attempt.state = AttemptState::Stopping;
                    stopped += 1;
                    let request = *id;
                    actions.push(Action::Stop(AttemptId { request, number }));
                }
            }
        }
        if stopped > 0 {
            let line = format!("stopped {stopped} offers on silent machines");
            self.operator_log.write(now, line, actions);
        }
    }
}
