//! A queue of timers in the order of their due times, for the programs that drive a
//! [`Placer`](crate::Placer).

use std::collections::BTreeMap;

use crate::api::Micros;

/// Timers that are set. Timers with the same due time are returned in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    /// The timers by due time, then by number.
    due: BTreeMap<(Micros, u64), T>,
    /// How many timers were set so far; this is the number of the latest one.
    set_count: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self {
            due: BTreeMap::new(),
            set_count: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Sets a timer that is due at `at`, in microseconds on the caller's clock.
    pub fn set(&mut self, at: Micros, timer: T) {
        self.set_count += 1;
        self.due.insert((at, self.set_count), timer);
    }

    /// The due time of the next timer; `None` if none is set.
    pub fn next(&self) -> Option<Micros> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the next timer, if it is due by `now`.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        let first = self
            .due
            .first_entry()
            .filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// How many timers are set.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
