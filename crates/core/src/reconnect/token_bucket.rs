//! A token bucket, which limits a rate.

use reedring::Micros;

use super::SECOND;

/// A token bucket. Its level is stored as the time at which it will be full again; its size is passed to [`ready_at`].
///
/// [`ready_at`]: Self::ready_at
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenBucket {
    /// Microseconds in which one token is added.
    refill_us: Micros,
    /// When the bucket will be full again.
    full_at: Micros,
}

impl TokenBucket {
    /// A full bucket to which this many tokens are added per second.
    pub const fn per_second(rate: u64) -> Self {
        Self {
            refill_us: SECOND / rate,
            full_at: 0,
        }
    }

    /// When a bucket of this size has at least one token.
    pub fn ready_at(&self, size: u64) -> Micros {
        self.full_at
            .saturating_sub(size.saturating_sub(1) * self.refill_us)
    }

    /// Takes a token.
    pub fn take(&mut self, now: Micros) {
        self.full_at = self.full_at.max(now) + self.refill_us;
    }

    /// Puts a token back that was taken.
    pub fn return_token(&mut self) {
        self.full_at = self.full_at.saturating_sub(self.refill_us);
    }
}
