//! The watch on the machine list: when it is requested, and when it is requested again.

use super::random::RandomSource;
use crate::api::{Action, Micros, Rules};
use crate::logic::machine_state::{MAX_BACKOFF_DOUBLINGS, initial_backoff_us};

/// Token of the timer for the next request of the watch.
pub(super) const LIST_WATCH_TIMER: u64 = 2;

/// The state of the watch.
#[derive(Default)]
pub(super) struct ListWatch {
    /// When the watch is to be requested again; `None` before the first request.
    next_request_at: Option<Micros>,
    consecutive_failures: u32,
}

impl ListWatch {
    /// Whether the watch was requested before.
    pub fn is_started(&self) -> bool {
        self.next_request_at.is_some()
    }

    /// Requests changes of the list, and sets the timer that requests them again if the watch gives
    /// no answer for `must_ask_us`.
    pub fn request(&mut self, now: Micros, rules: &Rules, actions: &mut Vec<Action>) {
        actions.push(Action::Watch(true));
        self.next_request_at = Some(rules.must_ask_us.map_or(Micros::MAX, |most| now + most));
        actions.extend(rules.must_ask_us.map(|after_us| Action::Timer {
            token: LIST_WATCH_TIMER,
            after_us,
        }));
    }

    /// Handles the timer of the watch: requests the watch again, unless it has answered since the
    /// timer was set.
    pub fn handle_timer(&mut self, now: Micros, rules: &Rules, actions: &mut Vec<Action>) {
        match self.next_request_at {
            Some(due) if now < due => actions.push(Action::Timer {
                token: LIST_WATCH_TIMER,
                after_us: due - now,
            }),
            _ => self.request(now, rules, actions),
        }
    }

    /// Records an answer of the list, which postpones the next request.
    pub fn record_answer(&mut self, now: Micros, rules: &Rules) {
        self.consecutive_failures = 0;
        self.next_request_at = self
            .next_request_at
            .max(rules.must_ask_us.map(|most| now + most));
    }

    /// Records a failure of the watch, and sets the timer for the next request. The backoff doubles
    /// with each failure; jitter keeps schedulers from sending their requests at the same time.
    pub fn record_failure(
        &mut self,
        now: Micros,
        rules: &Rules,
        random: &mut RandomSource,
        actions: &mut Vec<Action>,
    ) {
        let longest = rules.must_ask_us.map_or(Micros::MAX, |most| most / 4);
        let doublings = self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (initial_backoff_us(rules) << doublings).min(longest);
        let after_us = (backoff as f64 * (0.5 + random.uniform())) as Micros;
        self.consecutive_failures += 1;
        self.next_request_at = Some(now + after_us);
        actions.push(Action::Timer {
            token: LIST_WATCH_TIMER,
            after_us,
        });
    }
}
