//! A snapshot of one machine for the draws of a step: derived values, and whether a request fits.

use crate::api::Machine;
use crate::load::Load;

/// The values that all draws of one step use for a machine. It is computed once per step, and again
/// after each own offer to the machine.
pub struct MachineView {
    /// Its entry in the machine list.
    pub machine: Machine,
    /// Its position, from 0, in the order of machines that is the same at all schedulers.
    pub rank: usize,
    /// Its capacity, in tasks of mean size.
    pub capacity_in_tasks: f64,
    /// The sum of requests up to which it accepts tasks.
    pub accept_limit: Load,
    /// The memory in use up to which it gets more tasks; not positive where its size is unknown.
    pub memory_limit: f64,
    /// What tasks of all schedulers request there.
    pub requested: Load,
    /// What tasks of all schedulers use there; `None` where no report has stated it.
    pub used: Option<Load>,
    /// The least load that its last rejection for lack of capacity rules out; `None` if there is no
    /// valid rejection.
    pub rejected: Option<Load>,
    /// How full its fullest resource is, as a fraction of what it accepts or may use; at least 1
    /// after a rejection that rules out every load.
    pub utilization: f64,
    /// Whether the list or a report has stated its load.
    pub is_observed: bool,
    /// Whether it may look emptier than it is: it is warming up, has recent failures, or its load
    /// was never stated.
    pub is_doubtful: bool,
    /// Whether its slow start budget has room for one more offer; true for a machine that is not
    /// warming up.
    pub has_slow_start_budget: bool,
    /// Whether it gets no offers for now because of failures.
    pub is_backing_off: bool,
    /// Whether it rejects the tasks of at least one tenant and class.
    pub is_rejecting: bool,
}

impl MachineView {
    /// Whether a request fits: no valid rejection rules it out, the machine accepts it on top of
    /// what is requested, and, where use is reported, its expected memory is free. `use_ratio` is
    /// the expected ratio of use to request.
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
