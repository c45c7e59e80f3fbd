//! The placers that an acceptor has seen: operators are told who is behind.

use super::AcceptorState;

/// Placers that an acceptor remembers; the one seen longest ago is dropped first.
pub const MAX_PLACERS: usize = 1_024;

/// When a placer was last seen, and with what.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlacerSighting {
    /// The version level of its last stamp; 0 where it sent none.
    pub level: u64,
    /// Seconds since 1970, by the node's clock.
    pub at_s: u64,
    /// CRC-32C of its build.
    pub build: u32,
}

impl AcceptorState {
    /// Records that a placer connected, or sent another stamp than before. Returns whether that is worth persisting:
    /// its time alone is not.
    pub fn record_placer(&mut self, placer: u64, sighting: PlacerSighting) -> bool {
        let before = self.placers.insert(placer, sighting);
        if self.placers.len() > MAX_PLACERS {
            self.drop_oldest_placer();
        }
        before.is_none_or(|before| (before.level, before.build) != (sighting.level, sighting.build))
    }

    fn drop_oldest_placer(&mut self) {
        let oldest = self
            .placers
            .iter()
            .min_by_key(|(_, sighting)| sighting.at_s)
            .map(|(placer, _)| *placer);
        if let Some(placer) = oldest {
            self.placers.remove(&placer);
        }
    }
}
