//! Clocks that the shell passes to the core.

use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The core's clock: starts at the time of day, in microseconds since 1970, and never goes back.
///
/// It starts at the time of day rather than at zero so that times before the placer's start can be represented.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CoreClock {
    started: Instant,
    start_us: u64,
}

impl CoreClock {
    /// Starts a clock at this time since 1970.
    pub fn start(unix_time: Duration) -> Self {
        Self {
            started: Instant::now(),
            start_us: unix_time.as_micros() as u64,
        }
    }

    /// Time at which the clock started, in microseconds since 1970.
    pub fn start_us(&self) -> u64 {
        self.start_us
    }

    /// Current time of this clock, in microseconds since 1970.
    pub fn now_us(&self) -> u64 {
        self.start_us + self.started.elapsed().as_micros() as u64
    }

    /// Duration from now until this time of the clock; zero if it has passed.
    pub fn until(&self, time_us: u64) -> Duration {
        Duration::from_micros(time_us.saturating_sub(self.now_us()))
    }
}

/// Nanoseconds since the first call in this process. The core measures the run time of the decision module with it.
pub(crate) fn monotonic_ns() -> u64 {
    static FIRST_CALL: OnceLock<Instant> = OnceLock::new();
    FIRST_CALL.get_or_init(Instant::now).elapsed().as_nanos() as u64
}
