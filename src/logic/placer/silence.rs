//! Machines that say nothing: probed, then their offers stopped. It never sends a task elsewhere itself.

use super::*;

/// Multiple of the slowest remembered answer after which a machine counts as silent.
const PATIENCE: u64 = 2;
/// Aims without an answer that make a machine silent where it can't be probed: a set-up is through by then.
const UNPROBED: u64 = 4;

impl Placer {
    /// After how long without an answer a machine counts as silent.
    fn patience(&self, aim: Micros) -> Micros {
        let slowest = PATIENCE * self.answers.iter().max().copied().unwrap_or(0);
        let aim = aim.max(TICK_US);
        if self.settings.rules.may_probe { slowest.clamp(aim, aim * 2) } else { slowest.max(aim * UNPROBED) }
    }

    /// Stops attempts on silent machines, which are probed first, and awaits their outcomes.
    pub(super) fn tend_silent(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let aim = self.settings.classes.iter().map(|class| class.aim_us).min();
        let patience = self.patience(aim.unwrap_or(0));
        let since = |seat: &Seat| Some((seat.line.id, seat.silent_since(self.awake_since)?));
        let since: BTreeMap<MachineId, Micros> = self.seats.values().filter_map(since).collect();
        for (id, since) in since.iter().filter(|_| self.settings.rules.may_probe) {
            let seat = self.seats.entry(*id).or_default();
            let old = seat.probed_at.is_none_or(|at| at + patience / 4 < now);
            if old && since + patience / 4 < now {
                seat.probed_at = Some(now);
                actions.push(Action::Probe(*id));
            }
        }
        let patiences = self.settings.classes.iter().map(|class| self.patience(class.aim_us));
        let (patiences, mut stopped): (Vec<Micros>, u32) = (patiences.collect(), 0);
        for (request, entry) in self.entries.iter_mut().filter(|_| self.settings.rules.may_stop) {
            let patience = patiences.get(usize::from(entry.task.class)).copied().unwrap_or(patience);
            for (attempt, number) in entry.attempts.iter_mut().zip(0..) {
                let seat = self.seats.get(&attempt.machine);
                let early = attempt.sent.max(self.awake_since) + patience / 2 >= now;
                let silent = since.get(&attempt.machine).is_some_and(|since| since + patience < now)
                    || !early && seat.is_some_and(|seat| seat.passed_over(attempt.sent, &self.settings));
                if attempt.run == Run::Out && silent {
                    attempt.run = Run::Stopping;
                    stopped += 1;
                    actions.push(Action::Stop(AttemptId { request: *request, number }));
                }
            }
        }
        if stopped > 0 {
            self.log(now, format!("stopped {stopped} offers on silent machines"), actions);
        }
    }
}
