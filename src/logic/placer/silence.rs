//! Machines that say nothing: probed, then their offers stopped. It never sends a task elsewhere itself.

use super::*;

/// Multiple of the slowest remembered answer after which a machine counts as silent.
const SILENCE_FACTOR: u64 = 2;
/// Aims without an answer that make a machine silent where it can't be probed: a set-up is through by then.
const UNPROBED: u64 = 4;

impl Placer {
    /// After how long without an answer a machine counts as silent.
    fn silence_limit(&self, aim: Micros) -> Micros {
        let slowest = SILENCE_FACTOR * self.answers.iter().max().copied().unwrap_or(0);
        let aim = aim.max(TICK_US);
        if self.settings.rules.may_probe {
            slowest.clamp(aim, aim * 2)
        } else {
            slowest.max(aim * UNPROBED)
        }
    }

    /// Stops attempts on silent machines, which are probed first, and awaits their outcomes.
    pub(super) fn stop_silent(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let aim = self.settings.classes.iter().map(|class| class.aim_us).min();
        let limit = self.silence_limit(aim.unwrap_or(0));
        let since =
            |state: &MachineState| Some((state.line.id, state.silent_since(self.awake_since)?));
        let since: BTreeMap<MachineId, Micros> = self.machines.values().filter_map(since).collect();
        for (id, since) in since.iter().filter(|_| self.settings.rules.may_probe) {
            let state = self.machines.entry(*id).or_default();
            let old = state.probed_at.is_none_or(|at| at + limit / 4 < now);
            if old && since + limit / 4 < now {
                state.probed_at = Some(now);
                actions.push(Action::Probe(*id));
            }
        }
        let limits = self
            .settings
            .classes
            .iter()
            .map(|class| self.silence_limit(class.aim_us));
        let (limits, mut stopped): (Vec<Micros>, u32) = (limits.collect(), 0);
        for (request, entry) in self
            .entries
            .iter_mut()
            .filter(|_| self.settings.rules.may_stop)
        {
            let limit = limits
                .get(usize::from(entry.task.class))
                .copied()
                .unwrap_or(limit);
            for (attempt, number) in entry.attempts.iter_mut().zip(0..) {
                let state = self.machines.get(&attempt.machine);
                let early = attempt.sent.max(self.awake_since) + limit / 2 >= now;
                let silent = since
                    .get(&attempt.machine)
                    .is_some_and(|since| since + limit < now)
                    || !early
                        && state
                            .is_some_and(|state| state.passed_over(attempt.sent, &self.settings));
                if attempt.state == AttemptState::InFlight && silent {
                    attempt.state = AttemptState::Stopping;
                    stopped += 1;
                    actions.push(Action::Stop(AttemptId {
                        request: *request,
                        number,
                    }));
                }
            }
        }
        if stopped > 0 {
            self.log(
                now,
                format!("stopped {stopped} offers on silent machines"),
                actions,
            );
        }
    }
}
