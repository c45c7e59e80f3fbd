//! How machines look to the draws of one step: derived values; it decides only whether an ask fits.

use super::*;

/// A machine as all draws of one step see it, in one piece of memory: only an own offer changes it.
pub struct MachineView {
    pub line: Machine,
    pub rank: usize, // Its place in the order that all schedulers share.
    pub tasks: f64,
    pub limit: Load,
    pub memory_roof: f64,
    pub asked: Load,
    pub used: Option<Load>,
    pub refused: Option<Load>,
    pub share: f64,
    pub heard: bool,
    pub floored: bool, // Back cold or from a failure, or no report yet: it only looks empty.
    pub budget: bool,
    pub barred: bool,
    pub shut: bool,
}

impl MachineView {
    /// Whether the ask fits what the machine accepts and, by reports, its memory.
    pub fn has_room(&self, ask: Load, ratio: Load) -> bool {
        let (roof, grown) = (self.memory_roof, ask.memory * ratio.memory);
        !self.refused.is_some_and(|refused| ask.reaches(refused))
            && self.asked.plus(ask).share(self.limit) <= 1.0
            && self
                .used
                .is_none_or(|used| roof <= 0.0 || used.memory + grown <= roof)
    }
}
