//! Arithmetic on pairs of cores and memory.

use crate::api::Task;

/// Cores and memory, asked or used.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    pub cores: f64,
    pub memory: f64,
}

pub(crate) const ONCE: Load = Load::both(1.0);

impl Load {
    pub const fn both(x: f64) -> Self {
        Self {
            cores: x,
            memory: x,
        }
    }
    /// A load from outside: what is no positive number counts as nothing.
    pub fn sanitized(cores: f64, memory: f64) -> Self {
        let sane = |x: f64| if x.is_finite() { x.max(0.0) } else { 0.0 };
        let (cores, memory) = (sane(cores), sane(memory));
        Self { cores, memory }
    }
    /// What a task asks for.
    pub fn of(task: &Task) -> Self {
        Self::sanitized(task.cores, task.memory)
    }
    pub fn times(self, by: Self) -> Self {
        let (cores, memory) = (self.cores * by.cores, self.memory * by.memory);
        Self { cores, memory }
    }
    pub fn plus(self, other: Self) -> Self {
        let (cores, memory) = (self.cores + other.cores, self.memory + other.memory);
        Self { cores, memory }
    }
    /// Whether it is no smaller than `other` in one of the two.
    pub fn reaches(self, other: Self) -> bool {
        self.cores >= other.cores || self.memory >= other.memory
    }
    /// The fuller share of `whole`; a size that is not told counts for nothing.
    pub fn share(self, whole: Self) -> f64 {
        let part = |x: f64, of: f64| if of > 0.0 { x / of } else { 0.0 };
        part(self.cores, whole.cores).max(part(self.memory, whole.memory))
    }
}
