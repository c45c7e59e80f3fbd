//! Exponential backoff between retries.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Exponential backoff: the delay between retries starts at an initial value and doubles up to a limit.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    /// A backoff whose first delay is `initial` and whose longest is `max`.
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            next: initial,
        }
    }

    /// Returns the delay before the next retry, and doubles the one after it, up to the limit.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay
    }

    /// Returns to the initial delay, after a successful try.
    pub fn reset(&mut self) {
        self.next = self.initial;
    }
}
