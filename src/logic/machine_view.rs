//! How one machine looks to all draws of a step: derived values, and whether a request fits.

use crate::api::Machine;
use crate::load::Load;

/// A machine as all draws of one step see it; within the step only an own offer to it changes the
/// view.
pub struct MachineView {
    /// Its entry in the machine list.
    pub machine: Machine,
    /// Its place in the order of machines that all schedulers share.
    pub rank: usize,
    /// Its capacity, in tasks of mean size.
    pub capacity_in_tasks: f64,
    /// Up to which sum of requests it accepts tasks.
    pub accept_limit: Load,
    /// Up to which memory in use it gets more tasks; not positive where its size is unknown.
    pub memory_limit: f64,
    /// What is requested there, by tasks of all schedulers.
    pub requested: Load,
    /// What is used there, by tasks of all schedulers; `None` where no report told.
    pub used: Option<Load>,
    /// The last load that it rejected for lack of capacity, while that still counts.
    pub rejected: Option<Load>,
    /// The fullest of its resources, as a fraction of what it accepts or may use.
    pub utilization: f64,
    /// Whether the list or a report told of its load.
    pub is_observed: bool,
    /// Warming up, back from failures or without any report: it may look emptier than it is.
    pub is_doubtful: bool,
    /// Whether the slow start leaves room for one more offer.
    pub has_slow_start_budget: bool,
    /// Whether it gets no offers after failures.
    pub is_backing_off: bool,
    /// Whether it rejects the tasks of some tenant and class.
    pub is_rejecting: bool,
}

impl MachineView {
    /// Whether a request fits what the machine accepts and, by reports of use, its memory.
    /// `use_ratio` is the expected ratio of use to request.
    pub fn fits(&self, request: Load, use_ratio: Load) -> bool {
        let expected_memory = request.memory * use_ratio.memory;
        !self
            .rejected
            .is_some_and(|rejected| request.reaches(rejected))
            && self
                .requested
                .plus(request)
                .dominant_fraction(self.accept_limit)
                <= 1.0
            && self.used.is_none_or(|used| {
                self.memory_limit <= 0.0 || used.memory + expected_memory <= self.memory_limit
            })
    }
}
