//! Delays between retries.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Delays between retries: an initial one, doubled each time up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// Delays from `initial` to `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            next: initial,
        }
    }

    /// The delay before the next retry; the one after it is twice as long, up to the limit.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// A try has succeeded: the next delay is the initial one.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
