//! Feedback: what reports, notes and ends of attempts teach. It sends nothing; requests become due again.

use super::*;

/// Weight of a new note in the learnt ratio of use to ask: the mean of about fifty notes.
const USE_GAIN: f64 = 0.02;

impl Placer {
    pub(super) fn report(&mut self, now: Micros, machine: MachineId, report: &[f64]) {
        let find = |field: ReportField| {
            let at = self
                .settings
                .report_fields
                .iter()
                .position(|f| *f == field)?;
            report.get(at).copied().filter(|value| value.is_finite())
        };
        let left = find(ReportField::Cores).zip(find(ReportField::Memory));
        if let (Some((cores, memory)), Some(state)) = (left, self.machines.get_mut(&machine)) {
            state.report(
                now,
                Load { cores, memory },
                self.settings.report_counts_asks,
            );
        }
    }

    pub(super) fn noted(&mut self, now: Micros, attempt: AttemptId, note: Note) {
        let Some(live) = self.live.get(&attempt) else {
            return;
        };
        let learn = |ratio: &mut f64, amount: f64, asked: f64| {
            let valid = amount.is_finite() && asked > 0.0;
            *ratio += if valid {
                USE_GAIN * (amount / asked - *ratio)
            } else {
                0.0
            };
        };
        let state = self.machines.get_mut(&live.machine);
        match (note, state) {
            (Note::Cores(amount), _) => learn(&mut self.ratio.cores, amount, live.load.cores),
            (Note::Memory(amount), _) => learn(&mut self.ratio.memory, amount, live.load.memory),
            (Note::Runs, Some(state)) => _ = state.starting.remove(&attempt),
            (Note::Pressure(part), Some(state)) if part.is_finite() => {
                let used = state
                    .used(self.ratio)
                    .unwrap_or(state.asked().times(self.ratio));
                state.used = Some((
                    now,
                    Load {
                        memory: part * state.size.memory,
                        ..used
                    },
                ));
            }
            _ => {}
        }
    }

    /// An own attempt is live there. No change of what is asked: reports of the machine hold an adopted task.
    pub(super) fn add_live(&mut self, attempt: AttemptId, live: LiveAttempt) {
        if let Some(state) = self.machines.get_mut(&live.machine) {
            state.own_load = state.own_load.plus(live.load);
            *state.services.entry(live.service).or_default() += 1;
        }
        self.live.insert(attempt, live);
    }

    pub(super) fn ended(&mut self, now: Micros, end: &Ended) {
        let Some(live) = self.live.remove(&end.attempt) else {
            return;
        };
        let entry = self.entries.get(&end.attempt.request);
        let classes = &self.settings.classes;
        let effect = |entry: &Entry| {
            classes
                .get(usize::from(entry.task.class))
                .map_or(Effect::Unsafe, |c| c.effect)
        };
        if let Some(state) = self.machines.get_mut(&live.machine) {
            let less = live.load.times(Load::both(-1.0));
            state.own_load = state.own_load.plus(less);
            state.change(now, less);
            state.starting.remove(&end.attempt);
            let held = state.services.entry(live.service).or_default();
            *held = held.saturating_sub(1);
            state.services.retain(|_, held| *held > 0);
            let sent = state.waiting.get(&end.attempt);
            let passed = sent.is_some_and(|at| state.passed_over(*at, &self.settings));
            // With no shortage named a task tells of its tenant or class; an error may be its own fault.
            let shut = match end.outcome {
                Outcome::TimedOut | Outcome::Stopped => passed,
                Outcome::Refused => end.reason.is_none(),
                Outcome::Error => entry.is_some_and(|entry| effect(entry) == Effect::Unsafe),
                _ => false,
            };
            if let Some(entry) = entry.filter(|_| shut) {
                // One answer that is missing may be lost on its way; a second one in a row is not.
                let owner = entry.tenant_class();
                let doubt = passed && !state.shut.contains_key(&owner);
                state
                    .shut
                    .insert(owner, if doubt { now } else { now + SHUT_US });
            }
            match end.outcome {
                Outcome::TimedOut | Outcome::Unconnected | Outcome::Stopped if !shut => {
                    state.waiting.remove(&end.attempt);
                    if !end.closed {
                        state.strike(now, &self.settings);
                    }
                }
                Outcome::Unsent => drop(state.waiting.remove(&end.attempt)),
                _ => state.answer(now, end.attempt),
            }
            if end.outcome == Outcome::Refused && !shut {
                // Where the reason names what is short, smaller asks may still fit.
                let ask = match end.reason {
                    Some(Reason::NoCores) => Load {
                        memory: f64::INFINITY,
                        ..live.load
                    },
                    Some(Reason::NoMemory) => Load {
                        cores: f64::INFINITY,
                        ..live.load
                    },
                    _ => Load::default(),
                };
                state.refused = Some((now, ask));
            }
        }
        let never = matches!(
            end.outcome,
            Outcome::Refused | Outcome::Unconnected | Outcome::Unsent
        );
        let request = end.attempt.request;
        if end.closed {
            self.entries.remove(&request);
        } else if let Some(entry) = self.entries.get_mut(&request) {
            if let Some(attempt) = entry.attempts.get_mut(usize::from(end.attempt.number)) {
                attempt.state = if never {
                    AttemptState::NeverRan
                } else {
                    AttemptState::MayHaveRun
                };
                attempt.erred = end.outcome == Outcome::Error;
            }
            self.due.push(request);
        }
    }
}
