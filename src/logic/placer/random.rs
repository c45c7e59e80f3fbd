//! Random numbers for all draws, from one seed.

use rand_core::Rng;
use rand_pcg::Pcg32;

/// A generator whose numbers depend on its seed alone.
pub(super) struct RandomSource {
    generator: Pcg32,
}

impl RandomSource {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            generator: Pcg32::new(seed, 0),
        }
    }

    /// The next number, uniformly distributed from 0.0 up to but not including 1.0.
    pub fn uniform(&mut self) -> f64 {
        f64::from(self.generator.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }
}
