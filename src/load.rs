//! Arithmetic on pairs of cores and memory.

use crate::api::Task;

/// An amount of cores and of memory, requested or used; also a pair of factors for the two.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub cores: f64,
    pub memory: f64,
}

/// Factors of 1, for requests that count in full instead of by their expected use.
pub(crate) const UNSCALED: Load = Load::uniform(1.0);

impl Load {
    /// The same value for cores and for memory.
    pub const fn uniform(value: f64) -> Self {
        Self {
            cores: value,
            memory: value,
        }
    }

    /// A load from values that may be invalid: one that is negative or not finite counts as 0.
    pub fn sanitized(cores: f64, memory: f64) -> Self {
        let non_negative = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        Self {
            cores: non_negative(cores),
            memory: non_negative(memory),
        }
    }

    /// The cores and memory that a task requests.
    pub fn requested_by(task: &Task) -> Self {
        Self::sanitized(task.cores, task.memory)
    }

    /// The product, by component.
    pub fn times(self, factors: Self) -> Self {
        Self {
            cores: self.cores * factors.cores,
            memory: self.memory * factors.memory,
        }
    }

    /// The sum, by component.
    pub fn plus(self, other: Self) -> Self {
        Self {
            cores: self.cores + other.cores,
            memory: self.memory + other.memory,
        }
    }

    /// Whether it is at least as large as `other` in cores or in memory.
    pub fn reaches(self, other: Self) -> bool {
        self.cores >= other.cores || self.memory >= other.memory
    }

    /// The fraction of `capacity` that it takes up, of cores or of memory, whichever is larger. A
    /// capacity that is not positive is unknown: its fraction counts as 0.
    pub fn dominant_fraction(self, capacity: Self) -> f64 {
        let fraction = |x: f64, of: f64| if of > 0.0 { x / of } else { 0.0 };
        fraction(self.cores, capacity.cores).max(fraction(self.memory, capacity.memory))
    }
}
