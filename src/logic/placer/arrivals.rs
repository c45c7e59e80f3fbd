//! Own arrivals, and the estimate of the load that arrives at all schedulers: the paper's `a`.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};
use crate::load::Load;

/// Microseconds of arrivals that one water filling covers: about as long as a view of a machine
/// stays unconfirmed.
pub(super) const ARRIVAL_WINDOW_US: Micros = 1_000_000;
/// Microseconds, at most, over which a quiet scheduler counts its arrivals: half a usual task's
/// duration.
const MAX_COUNTED_SPAN_US: Micros = 10 * ARRIVAL_WINDOW_US;
/// Own arrivals that are enough to count over a shorter span: by then chance is a third of the
/// count.
const ENOUGH_ARRIVALS: usize = 8;

/// A task that arrived at this scheduler.
#[derive(Clone, Copy)]
pub(super) struct Arrival {
    pub at: Micros,
    /// In tasks of mean size.
    pub size: f64,
}

/// Recent own arrivals.
#[derive(Default)]
pub(super) struct ArrivalHistory {
    /// The oldest first.
    arrivals: VecDeque<Arrival>,
}

impl ArrivalHistory {
    /// Adds a task that arrives now.
    pub fn record(&mut self, arrival: Arrival) {
        self.arrivals.push_back(arrival);
    }

    /// The arrivals, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter()
    }

    /// Puts earlier arrivals before those known.
    pub fn prepend(&mut self, earlier: impl Iterator<Item = Arrival>) {
        self.arrivals = earlier.chain(self.arrivals.iter().copied()).collect();
        self.arrivals
            .make_contiguous()
            .sort_by_key(|arrival| arrival.at);
    }

    /// The load that arrives at all schedulers within the arrival window, in tasks of mean size:
    /// the number of schedulers times the own arrivals before `now`, counted over a longer span
    /// where they are few. Time before `awake_since` is not counted.
    pub fn estimate_load(&mut self, now: Micros, awake_since: Micros, schedulers: u32) -> f64 {
        let expired = self
            .arrivals
            .partition_point(|arrival| arrival.at + MAX_COUNTED_SPAN_US < now);
        self.arrivals.drain(..expired);
        let before_now = self
            .arrivals
            .iter()
            .rev()
            .skip_while(|arrival| arrival.at >= now);
        let enough_since = before_now
            .clone()
            .nth(ENOUGH_ARRIVALS - 1)
            .map_or(0, |arrival| arrival.at);
        let span = (now - enough_since)
            .min(MAX_COUNTED_SPAN_US)
            .min(now - awake_since)
            .max(ARRIVAL_WINDOW_US);
        let own: f64 = before_now
            .take_while(|arrival| now <= arrival.at + span)
            .map(|arrival| arrival.size)
            .sum();
        own * ARRIVAL_WINDOW_US as f64 / span as f64 * f64::from(schedulers.max(1))
    }
}

/// A load in tasks of mean size, by the mean of cores and memory where both have a known mean; 1
/// where neither has.
pub(super) fn size_in_mean_tasks(load: Load, settings: &Settings) -> f64 {
    let relative = |x: f64, mean: Option<f64>| mean.filter(|mean| *mean > 0.0).map(|mean| x / mean);
    let by_cores = relative(load.cores, settings.mean_cores);
    let by_memory = relative(load.memory, settings.mean_memory);
    let by_both = by_cores
        .zip(by_memory)
        .map(|(cores, memory)| (cores + memory) / 2.0);
    by_both.or(by_cores).or(by_memory).unwrap_or(1.0)
}
