//! Tasks that arrived at this scheduler, and the estimate of the load that arrives at all
//! schedulers: `a` in the paper that `water_filling` names.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};
use crate::load::Load;

/// Microseconds of arrivals that one water filling distributes: about as long as it takes until the
/// known load of a machine is confirmed.
pub(super) const ARRIVAL_WINDOW_US: Micros = 1_000_000;
/// Maximum span in microseconds over which a scheduler with few arrivals counts them: half the
/// duration of a usual task.
const MAX_COUNTED_SPAN_US: Micros = 10 * ARRIVAL_WINDOW_US;
/// Number of own arrivals from which on the span may be shorter: the standard deviation of such a
/// count is about a third of it.
const ENOUGH_ARRIVALS: usize = 8;

/// A task that arrived at this scheduler.
#[derive(Clone, Copy)]
pub(super) struct Arrival {
    pub at: Micros,
    /// In tasks of mean size.
    pub size: f64,
}

/// Recent arrivals at this scheduler.
#[derive(Default)]
pub(super) struct ArrivalHistory {
    /// The oldest first.
    arrivals: VecDeque<Arrival>,
}

impl ArrivalHistory {
    /// Adds the latest arrival.
    pub fn record(&mut self, arrival: Arrival) {
        self.arrivals.push_back(arrival);
    }

    /// The arrivals, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Arrival> {
        self.arrivals.iter()
    }

    /// Inserts earlier arrivals, and sorts all by time.
    pub fn prepend(&mut self, earlier: impl Iterator<Item = Arrival>) {
        self.arrivals = earlier.chain(self.arrivals.iter().copied()).collect();
        self.arrivals
            .make_contiguous()
            .sort_by_key(|arrival| arrival.at);
    }

    /// The load that arrives at all schedulers within [`ARRIVAL_WINDOW_US`], in tasks of mean size:
    /// the number of schedulers times the own arrivals before `now`. If those are few, they are
    /// counted over a longer span and scaled to the window. The span does not reach back before
    /// `running_since`, except to be as long as the window.
    pub fn estimate_load(&mut self, now: Micros, running_since: Micros, schedulers: u32) -> f64 {
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
            .min(now - running_since)
            .max(ARRIVAL_WINDOW_US);
        let own: f64 = before_now
            .take_while(|arrival| now <= arrival.at + span)
            .map(|arrival| arrival.size)
            .sum();
        own * ARRIVAL_WINDOW_US as f64 / span as f64 * f64::from(schedulers.max(1))
    }
}

/// A load in tasks of mean size: the mean of its sizes by cores and by memory, or the one of them
/// whose mean the settings state; 1 if they state neither.
pub(super) fn size_in_mean_tasks(load: Load, settings: &Settings) -> f64 {
    let relative = |x: f64, mean: Option<f64>| mean.filter(|mean| *mean > 0.0).map(|mean| x / mean);
    let by_cores = relative(load.cores, settings.mean_cores);
    let by_memory = relative(load.memory, settings.mean_memory);
    let by_both = by_cores
        .zip(by_memory)
        .map(|(cores, memory)| (cores + memory) / 2.0);
    by_both.or(by_cores).or(by_memory).unwrap_or(1.0)
}
