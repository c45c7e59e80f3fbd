//! A limit on how often something is done.

use reedring::Micros;

use super::SECOND;

/// A token bucket, as the time at which it will be full again.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Microseconds a token.
    each: Micros,
    full_at: Micros,
}

impl TokenBucket {
    pub const fn per_second(rate: u64) -> Self {
        Self {
            each: SECOND / rate,
            full_at: 0,
        }
    }

    /// When a bucket of this size has a token.
    pub fn ready_at(&self, size: u64) -> Micros {
        self.full_at
            .saturating_sub(size.saturating_sub(1) * self.each)
    }

    pub fn take(&mut self, now: Micros) {
        self.full_at = self.full_at.max(now) + self.each;
    }

    pub fn return_token(&mut self) {
        self.full_at = self.full_at.saturating_sub(self.each);
    }
}
