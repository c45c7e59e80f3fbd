//! Slow start: how many offers this scheduler may send to a machine that is warming up, so that the
//! sum over all schedulers stays within what the machine bears (rule 4).
//!
//! A machine that is warming up bears N offers in a window W from all M schedulers, and by chance 2
//! sqrt(N) + 2 more. Each scheduler sends floor(N / M) offers in any window. What that leaves, r,
//! goes round in turns: one turn begins each W / r, belongs to one scheduler, and may be used for V
//! = W min(1, 2 sqrt(N) / r). A window meets at most r (1 + V / W) + 1 turns, so the sum stays
//! within N + 2 sqrt(N) + 1, however busy the schedulers are or however they coincide.
//! `docs/design.md` has the derivation.

use super::machine_state::MachineState;
use crate::api::{Micros, Settings};
use crate::names::mix64;

/// Microseconds by which two offers may come nearer to each other on their way: as late as a poll
/// may be.
const DELIVERY_JITTER_US: Micros = 100_000;

/// Most offers in a window that are reckoned with: beyond any machine, and exact in a float.
const MAX_OFFERS: f64 = 1e9;

/// This scheduler among all.
#[derive(Clone, Copy)]
pub struct SchedulerIdentity {
    /// Its number; a random one where the settings have none.
    pub number: u64,
    /// When it started.
    pub started_at: Micros,
}

/// What one scheduler may send to one machine that is warming up.
struct SlowStartBudget {
    /// Offers in a window that the machine bears from all schedulers, N.
    offers: f64,
    /// The window W in microseconds.
    window: Micros,
    /// How many schedulers there are, M.
    schedulers: u64,
    /// Offers in any window that each scheduler may send, floor(N / M).
    steady: f64,
    /// Offers in a window that are left over for turns, r.
    remainder: f64,
    /// When the machine started.
    machine_started_at: Micros,
}

impl SlowStartBudget {
    /// The budget at this machine; `None` where it is warm or the settings set no limit.
    fn new(state: &MachineState, now: Micros, settings: &Settings) -> Option<Self> {
        let rules = &settings.rules;
        let offers = rules.slow_start_offers?;
        let window = rules.slow_start_window_us?;
        let machine_started_at = state.machine.ready_at?;
        if !state.is_warming_up(now, rules) {
            return None;
        }
        let offers = offers.clamp(0.0, MAX_OFFERS);
        let schedulers = u64::from(settings.schedulers.max(1));
        let steady = (offers / schedulers as f64).floor();
        // Without numbers, turns fall by chance: m turns in the mean with m + 3 sqrt(m) = N, which
        // keeps three standard deviations in hand.
        let root = ((9.0 + 4.0 * offers).sqrt() - 3.0) / 2.0;
        let by_chance = if steady > 0.0 { 0.0 } else { root * root };
        let remainder = settings
            .position
            .map_or(by_chance, |_| offers - steady * schedulers as f64);
        Some(Self {
            offers,
            window: window.saturating_add(DELIVERY_JITTER_US),
            schedulers,
            steady,
            remainder,
            machine_started_at,
        })
    }

    /// Whether the machine started after this scheduler, so that no previous process of it spent any
    /// budget.
    fn is_unspent_by_previous_process(&self, scheduler: SchedulerIdentity) -> bool {
        self.machine_started_at >= scheduler.started_at
    }

    /// Offers of the last window, with those that a previous process of this scheduler may have sent.
    fn spent(&self, state: &MachineState, now: Micros, scheduler: SchedulerIdentity) -> f64 {
        let by_previous_process = if self.is_unspent_by_previous_process(scheduler)
            || now >= scheduler.started_at.saturating_add(self.window)
        {
            0.0
        } else {
            self.steady
        };
        by_previous_process
            + state
                .slow_start_offers
                .iter()
                .filter(|at| at.saturating_add(self.window) > now)
                .count() as f64
    }

    /// Whether the latest turn of this scheduler may still be used. A turn that began before the
    /// scheduler started may have been used by its previous process.
    fn has_open_turn(
        &self,
        state: &MachineState,
        now: Micros,
        scheduler: SchedulerIdentity,
    ) -> bool {
        let window = self.window as f64;
        let interval = window / self.remainder;
        let valid_for = window.min(2.0 * window * self.offers.sqrt() / self.remainder);
        let age = now.saturating_sub(self.machine_started_at) as f64;
        let offset = mix64(state.machine.id.0 ^ mix64(self.machine_started_at));
        let first_own_turn = offset.wrapping_add(scheduler.number) % self.schedulers;
        let current_turn = (age / interval) as u64;
        let turns_since_own = (current_turn + self.schedulers - first_own_turn) % self.schedulers;
        let Some(own_turn) = current_turn.checked_sub(turns_since_own) else {
            return false;
        };
        let begins_at = own_turn as f64 * interval;
        age < begins_at + valid_for
            && (self.is_unspent_by_previous_process(scheduler)
                || self.machine_started_at as f64 + begins_at >= scheduler.started_at as f64)
    }
}

impl MachineState {
    /// Whether the slow start budget has room for one more offer now. It spends nothing.
    pub fn has_slow_start_budget(
        &self,
        now: Micros,
        settings: &Settings,
        scheduler: SchedulerIdentity,
    ) -> bool {
        let Some(budget) = SlowStartBudget::new(self, now, settings) else {
            return true;
        };
        let spent = budget.spent(self, now, scheduler);
        spent < budget.steady
            || budget.remainder > 0.0
                && spent < budget.steady + 1.0
                && budget.has_open_turn(self, now, scheduler)
    }
}
