//! How long machines took to accept recent offers.

use std::collections::VecDeque;

use crate::api::Micros;

/// Answer times that are remembered: enough to hold a slow one, few enough to forget a jam.
const REMEMBERED: usize = 64;

/// The latest answer times of all machines.
#[derive(Default)]
pub(super) struct AnswerTimes {
    /// In microseconds, the oldest first.
    times: VecDeque<Micros>,
}

impl AnswerTimes {
    /// Adds the time that an answer took.
    pub fn record(&mut self, took_us: Micros) {
        self.times.push_back(took_us);
        self.times
            .drain(..self.times.len().saturating_sub(REMEMBERED));
    }

    /// The slowest remembered answer; 0 where there is none.
    pub fn slowest(&self) -> Micros {
        self.times.iter().max().copied().unwrap_or(0)
    }

    /// All remembered times, the oldest first.
    pub fn to_vec(&self) -> Vec<Micros> {
        self.times.iter().copied().collect()
    }

    /// Puts earlier times before those known; the latest are remembered.
    pub fn prepend(&mut self, earlier: &[Micros]) {
        let all: VecDeque<Micros> = earlier.iter().chain(&self.times).copied().collect();
        self.times = all.into_iter().rev().take(REMEMBERED).rev().collect();
    }
}
