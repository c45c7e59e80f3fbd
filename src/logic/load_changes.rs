//! The changes of a machine's load by own offers and ends, which its reports may not include yet.

use std::collections::VecDeque;

use crate::api::Micros;
use crate::load::Load;

/// Maximum number of changes in memory for one machine: far more than its tasks that start and end
/// while the changes are of use.
const MAX_CHANGES: usize = 1_024;

/// A load, and when it was learned or changed, on the caller's clock.
#[derive(Clone, Copy)]
pub struct DatedLoad {
    pub at: Micros,
    pub load: Load,
}

/// Own offers, and ended attempts as negative loads, the oldest first.
#[derive(Default)]
pub struct LoadChanges(VecDeque<DatedLoad>);

impl LoadChanges {
    /// Records a change, and drops those that are `valid_us` old. At the limit the change is added
    /// to the latest one.
    pub fn record(&mut self, now: Micros, load: Load, valid_us: Micros) {
        while let Some(oldest) = self.0.front()
            && oldest.at + valid_us <= now
        {
            self.0.pop_front();
        }
        let is_full = self.0.len() >= MAX_CHANGES;
        match self.0.back_mut().filter(|_| is_full) {
            Some(latest) => (latest.at, latest.load) = (now, latest.load.plus(load)),
            None => self.0.push_back(DatedLoad { at: now, load }),
        }
    }

    /// The load of a report that lags by `lag`, plus the changes that it may not include yet, each
    /// times `factors`.
    pub fn added_to(&self, report: DatedLoad, lag: Micros, factors: Load) -> Load {
        let not_included = self.0.iter().filter(|change| change.at + lag > report.at);
        not_included.fold(report.load, |sum, change| {
            sum.plus(change.load.times(factors))
        })
    }

    /// The number of changes in memory.
    pub fn len(&self) -> usize {
        self.0.len()
    }
}
