//! Slow start: how many offers this scheduler may send to a machine that is warming up, so that the
//! sum over all schedulers stays within what the machine survives (rule 4).
//!
//! A machine that is warming up survives N offers in a window W from all M schedulers, plus a chance
//! excess of 2 sqrt(N) + 2. Each scheduler may send floor(N / M) offers in any window. The
//! remainder r = N - M floor(N / M) is handed out in turns. A turn allows one scheduler one offer:
//! the schedulers have it in rotation, a new turn begins every W / r, and it may be used for
//! V = W min(1, 2 sqrt(N) / r). A window overlaps at most r (1 + V / W) + 1 turns, so the sum stays
//! within N + 2 sqrt(N) + 1, however busy the schedulers are and however their offers coincide.
//! `docs/design.md` has the derivation.

use super::machine_state::MachineState;
use crate::api::{Micros, Settings};
use crate::names::mix64;

/// Microseconds by which the delivery may shorten the time between two offers: as late as a poll may
/// be. The window is longer by this much.
const DELIVERY_JITTER_US: Micros = 100_000;

/// Upper bound of the offers in a window from the settings: more than any machine survives, and
/// still exact as a float.
const MAX_OFFERS: f64 = 1e9;

/// Which of the schedulers this one is, and since when.
#[derive(Clone, Copy)]
pub struct SchedulerIdentity {
    /// Its position among the schedulers, from 0; a random number where the settings have none.
    pub number: u64,
    /// When this process started, on the caller's clock.
    pub started_at: Micros,
}

/// What one scheduler may send to one machine that is warming up.
struct SlowStartBudget {
    /// Offers in a window that the machine survives from all schedulers, N.
    offers: f64,
    /// The window W in microseconds, lengthened by [`DELIVERY_JITTER_US`].
    window: Micros,
    /// How many schedulers there are, M.
    schedulers: u64,
    /// Offers in any window that each scheduler may send, floor(N / M).
    equal_share: f64,
    /// Offers in a window, by all schedulers, that are handed out in turns, r.
    remainder: f64,
    /// When the machine started, on the caller's clock.
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
        let equal_share = (offers / schedulers as f64).floor();
        // Schedulers without a position take random numbers, so several may share a turn. The
        // expected number of turns m satisfies m + 3 sqrt(m) = N, a margin of three standard
        // deviations.
        let root = ((9.0 + 4.0 * offers).sqrt() - 3.0) / 2.0;
        let random_turns = if equal_share > 0.0 { 0.0 } else { root * root };
        let remainder = settings
            .position
            .map_or(random_turns, |_| offers - equal_share * schedulers as f64);
        Some(Self {
            offers,
            window: window.saturating_add(DELIVERY_JITTER_US),
            schedulers,
            equal_share,
            remainder,
            machine_started_at,
        })
    }

    /// Whether the machine started after this scheduler did, so that no previous process of this
    /// scheduler can have spent any of the budget.
    fn is_unspent_by_previous_process(&self, scheduler: SchedulerIdentity) -> bool {
        self.machine_started_at >= scheduler.started_at
    }

    /// The number of offers sent in the last window, including those that a previous process of this
    /// scheduler may have sent.
    fn spent(&self, state: &MachineState, now: Micros, scheduler: SchedulerIdentity) -> f64 {
        let by_previous_process = if self.is_unspent_by_previous_process(scheduler)
            || now >= scheduler.started_at.saturating_add(self.window)
        {
            0.0
        } else {
            self.equal_share
        };
        by_previous_process
            + state
                .slow_start_offers
                .iter()
                .filter(|at| at.saturating_add(self.window) > now)
                .count() as f64
    }

    /// Whether the latest turn of this scheduler may still be used. A turn that began before this
    /// process started may have been used by a previous process, and is not used again.
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
    /// Whether the slow start budget has room for one more offer now; true where no budget applies.
    /// This spends nothing.
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
        spent < budget.equal_share
            || budget.remainder > 0.0
                && spent < budget.equal_share + 1.0
                && budget.has_open_turn(self, now, scheduler)
    }
}
