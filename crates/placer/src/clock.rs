//! The clocks that the core is given.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The core's time: microseconds that start at the time of day and never go back.
///
/// It starts at the time of day so that the core can name moments before its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoreClock {
    started: Instant,
    start_us: u64,
}

impl CoreClock {
    /// A clock that starts now, at this time since 1970.
    pub fn start(unix: Duration) -> Self {
        Self {
            started: Instant::now(),
            start_us: unix.as_micros() as u64,
        }
    }

    /// The time at which it started, in microseconds since 1970.
    pub fn start_us(&self) -> u64 {
        self.start_us
    }

    /// The time now, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.start_us + self.started.elapsed().as_micros() as u64
    }

    /// How long until this time; zero where it has passed.
    pub fn until(&self, time_us: u64) -> Duration {
        Duration::from_micros(time_us.saturating_sub(self.now_us()))
    }
}

/// Nanoseconds since the first call in this process, by which the core measures the decision module.
pub(crate) fn monotonic_ns() -> u64 {
    static FIRST_CALL: OnceLock<Instant> = OnceLock::new();
    FIRST_CALL.get_or_init(Instant::now).elapsed().as_nanos() as u64
}
