//! The ramp of a cold machine: what each scheduler may send it, so that the sum of all holds (rule 4).

use super::*;

/// Microseconds by which two offers may come nearer to each other on their way: as late as a look may be.
const LATE_US: Micros = 100_000;

/// This scheduler: its number among all, a random one where the settings have none, and when it started.
#[derive(Clone, Copy, Default)]
pub struct Scheduler {
    pub number: u64,
    pub started: Micros,
}

impl MachineState {
    /// Whether one more offer may leave. A cold machine bears N offers in a window W of all M schedulers, and
    /// by chance 2 sqrt(N) + 2. Each sends floor(N / M) in any window. What that leaves, r, goes round in
    /// turns: one begins each W / r, and may be used for V = W min(1, 2 sqrt(N) / r). Any window meets at
    /// most r (1 + V / W) + 1 turns, so the sum stays within N + 2 sqrt(N) + 1, however busy or in step.
    /// With no numbers given turns fall by chance, three deviations in hand. A former life may have spent the
    /// window and the turn in which this one started, unless the machine started after it.
    pub fn may_send(&self, now: Micros, settings: &Settings, scheduler: Scheduler) -> bool {
        let (rules, schedulers) = (&settings.rules, u64::from(settings.schedulers.max(1)));
        let cold = rules
            .cold_offers
            .zip(rules.overload_us)
            .zip(self.line.ready_at);
        let Some(((offers, window), born)) = cold.filter(|_| self.is_cold(now, rules)) else {
            return true;
        };
        let (offers, window) = (offers.clamp(0.0, 1e9), window.saturating_add(LATE_US));
        let span = window as f64;
        let steady = (offers / schedulers as f64).floor();
        let root = ((9.0 + 4.0 * offers).sqrt() - 3.0) / 2.0;
        let by_chance = if steady > 0.0 { 0.0 } else { root * root };
        let left = settings
            .position
            .map_or(by_chance, |_| offers - steady * schedulers as f64);
        let (started, newborn) = (scheduler.started, born >= scheduler.started);
        let before = if newborn || now >= started.saturating_add(window) {
            0.0
        } else {
            steady
        };
        let sent = before
            + self
                .cold_offers
                .iter()
                .filter(|at| at.saturating_add(window) > now)
                .count() as f64;
        let (space, valid) = (span / left, span.min(2.0 * span * offers.sqrt() / left));
        let age = now.saturating_sub(born) as f64;
        let first = mix(self.line.id.0 ^ mix(born)).wrapping_add(scheduler.number) % schedulers;
        let turn = (age / space) as u64;
        let own = turn
            .checked_sub((turn + schedulers - first) % schedulers)
            .map(|own| own as f64 * space);
        let open = |at: f64| age < at + valid && (newborn || born as f64 + at >= started as f64);
        sent < steady || left > 0.0 && sent < steady + 1.0 && own.is_some_and(open)
    }
}
