//! Timers by the time at which they are due, for those who speak for a [`Placer`](crate::Placer).

use std::collections::BTreeMap;

use crate::api::Micros;

/// Timers that are set; those of one moment come in the order in which they were set.
#[derive(Debug)]
pub struct Timers<T> {
    due: BTreeMap<(Micros, u64), T>,
    made: u64,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Self {
            due: BTreeMap::new(),
            made: 0,
        }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: Micros, timer: T) {
        self.made += 1;
        self.due.insert((at, self.made), timer);
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Micros> {
        self.due.first_key_value().map(|((at, _), _)| *at)
    }

    /// The next one that is due.
    pub fn pop(&mut self, now: Micros) -> Option<T> {
        let first = self
            .due
            .first_entry()
            .filter(|first| first.key().0 <= now)?;
        Some(first.remove())
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.due.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty()
    }
}
