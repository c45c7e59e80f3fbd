//! A queue of timers in the order of their due times, for the programs that drive a
//! [`Placer`](crate::Placer).

use std::collections::BTreeMap;

use crate::api::Micros;

/// Identifies a timer that was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimerId {
    due: Micros,
    number: u64,
}

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
    /// Sets a timer that is due at `at`, in microseconds on the caller's clock. The result cancels it.
    pub fn set(&mut self, at: Micros, timer: T) -> TimerId {
        self.set_count += 1;
        let id = TimerId {
            due: at,
            number: self.set_count,
        };
        self.due.insert((id.due, id.number), timer);
        id
    }

    /// Cancels a timer; does nothing if it was returned or cancelled before.
    pub fn cancel(&mut self, id: TimerId) {
        self.due.remove(&(id.due, id.number));
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
