//! What reports, notes and ends of attempts teach. It sends nothing; what is to be drawn again becomes due.

use super::*;

/// Weight of a new note in the learnt ratio of use to ask: the mean of about fifty notes.
const USE_GAIN: f64 = 0.02;

impl Placer {
    pub(super) fn report(&mut self, now: Micros, machine: MachineId, report: &[f64]) {
        let find = |field: ReportField| {
            let at = self.settings.report_fields.iter().position(|f| *f == field)?;
            report.get(at).copied().filter(|value| value.is_finite())
        };
        let left = find(ReportField::Cores).zip(find(ReportField::Memory));
        if let (Some((cores, memory)), Some(seat)) = (left, self.seats.get_mut(&machine)) {
            seat.report(now, Load { cores, memory }, self.settings.report_counts_asks);
        }
    }

    pub(super) fn noted(&mut self, now: Micros, attempt: AttemptId, note: Note) {
        let Some(standing) = self.standing.get(&attempt) else { return };
        let learn = |ratio: &mut f64, amount: f64, asked: f64| {
            let told = amount.is_finite() && asked > 0.0;
            *ratio += if told { USE_GAIN * (amount / asked - *ratio) } else { 0.0 };
        };
        let seat = self.seats.get_mut(&standing.machine);
        match (note, seat) {
            (Note::Cores(amount), _) => learn(&mut self.ratio.cores, amount, standing.load.cores),
            (Note::Memory(amount), _) => learn(&mut self.ratio.memory, amount, standing.load.memory),
            (Note::Runs, Some(seat)) => _ = seat.starting.remove(&attempt),
            (Note::Pressure(part), Some(seat)) if part.is_finite() => {
                let used = seat.used(self.ratio).unwrap_or(seat.asked().times(self.ratio));
                seat.used = Some((now, Load { memory: part * seat.size.memory, ..used }));
            }
            _ => {}
        }
    }

    /// A task stands there. No change of the seat: what was told of it holds a task that was adopted.
    pub(super) fn stand(&mut self, attempt: AttemptId, standing: Standing) {
        if let Some(seat) = self.seats.get_mut(&standing.machine) {
            seat.own = seat.own.plus(standing.load);
            *seat.services.entry(standing.service).or_default() += 1;
        }
        self.standing.insert(attempt, standing);
    }

    pub(super) fn ended(&mut self, now: Micros, end: &Ended) {
        let Some(standing) = self.standing.remove(&end.attempt) else { return };
        let entry = self.entries.get(&end.attempt.request);
        let classes = &self.settings.classes;
        let effect =
            |entry: &Entry| classes.get(usize::from(entry.task.class)).map_or(Effect::Unsafe, |c| c.effect);
        if let Some(seat) = self.seats.get_mut(&standing.machine) {
            let less = standing.load.times(Load::both(-1.0));
            seat.own = seat.own.plus(less);
            seat.change(now, less);
            seat.starting.remove(&end.attempt);
            let held = seat.services.entry(standing.service).or_default();
            *held = held.saturating_sub(1);
            seat.services.retain(|_, held| *held > 0);
            let sent = seat.waiting.get(&end.attempt);
            let passed = sent.is_some_and(|at| seat.passed_over(*at, &self.settings));
            // With no shortage named a task tells of its tenant or class; an error may be its own fault.
            let shut = match end.outcome {
                Outcome::TimedOut | Outcome::Stopped => passed,
                Outcome::Refused => end.reason.is_none(),
                Outcome::Error => entry.is_some_and(|entry| effect(entry) == Effect::Unsafe),
                _ => false,
            };
            if let Some(entry) = entry.filter(|_| shut) {
                // One answer that is missing may be lost on its way; a second one in a row is not.
                let whose = entry.whose();
                let doubt = passed && !seat.shut.contains_key(&whose);
                seat.shut.insert(whose, if doubt { now } else { now + SHUT_US });
            }
            match end.outcome {
                Outcome::TimedOut | Outcome::Unconnected | Outcome::Stopped if !shut => {
                    seat.waiting.remove(&end.attempt);
                    if !end.closed {
                        seat.strike(now, &self.settings);
                    }
                }
                Outcome::Unsent => drop(seat.waiting.remove(&end.attempt)),
                _ => seat.answer(now, end.attempt),
            }
            if end.outcome == Outcome::Refused && !shut {
                // Where the reason names what is short, smaller asks may still fit.
                let ask = match end.reason {
                    Some(Reason::NoCores) => Load { memory: f64::INFINITY, ..standing.load },
                    Some(Reason::NoMemory) => Load { cores: f64::INFINITY, ..standing.load },
                    _ => Load::default(),
                };
                seat.refused = Some((now, ask));
            }
        }
        let never = matches!(end.outcome, Outcome::Refused | Outcome::Unconnected | Outcome::Unsent);
        let request = end.attempt.request;
        if end.closed {
            self.entries.remove(&request);
        } else if let Some(entry) = self.entries.get_mut(&request) {
            if let Some(attempt) = entry.attempts.get_mut(usize::from(end.attempt.number)) {
                attempt.run = if never { Run::Never } else { Run::Perhaps };
                attempt.erred = end.outcome == Outcome::Error;
            }
            self.due.push(request);
        }
    }
}
