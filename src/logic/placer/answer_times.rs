//! How long machines took to accept recent offers.

use std::collections::VecDeque;

use crate::api::Micros;

/// Number of answer times kept: enough to include a slow one, few enough to forget an overload soon.
const REMEMBERED: usize = 64;

/// The most recent answer times, over all machines together.
#[derive(Default)]
pub(super) struct AnswerTimes {
    /// In microseconds, the oldest first.
    times: VecDeque<Micros>,
}

impl AnswerTimes {
    /// Adds the time from an offer to its acceptance.
    pub fn record(&mut self, took_us: Micros) {
        self.times.push_back(took_us);
        self.times
            .drain(..self.times.len().saturating_sub(REMEMBERED));
    }

    /// The slowest of the times kept, in microseconds; 0 if there is none.
    pub fn slowest(&self) -> Micros {
        self.times.iter().max().copied().unwrap_or(0)
    }

    /// All times kept, the oldest first.
    pub fn to_vec(&self) -> Vec<Micros> {
        self.times.iter().copied().collect()
    }

    /// Inserts earlier times before the recorded ones; only the latest [`REMEMBERED`] are kept.
    pub fn prepend(&mut self, earlier: &[Micros]) {
        let all: VecDeque<Micros> = earlier.iter().chain(&self.times).copied().collect();
        self.times = all.into_iter().rev().take(REMEMBERED).rev().collect();
    }
}
