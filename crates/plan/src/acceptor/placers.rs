//! The placers that have connected to an acceptor, so that operators can see which of them lag behind.

use super::AcceptorState;

/// The number of placers that an acceptor records at most. Beyond it, the placer seen longest ago is removed.
pub const MAX_PLACERS: usize = 1_024;

/// When a placer was last seen, with which version level and build.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct PlacerRecord {
    /// The version level of the placer's last stamp; 0 if it sent none.
    pub level: u64,
    /// When the placer was last seen: seconds since 1970, by the node's clock.
    pub last_seen_s: u64,
    /// The CRC-32C of the name of the placer's build.
    pub build: u32,
}

impl AcceptorState {
    /// Records that a placer connected, or sent another stamp than before. Returns whether the record must be
    /// persisted: for a new placer, level or build. A new time alone is not persisted.
    pub fn record_placer(&mut self, placer: u64, record: PlacerRecord) -> bool {
        let before = self.placers.insert(placer, record);
        if self.placers.len() > MAX_PLACERS {
            self.drop_oldest_placer();
        }
        before.is_none_or(|before| (before.level, before.build) != (record.level, record.build))
    }

    fn drop_oldest_placer(&mut self) {
        let oldest = self
            .placers
            .iter()
            .min_by_key(|(_, record)| record.last_seen_s)
            .map(|(placer, _)| *placer);
        if let Some(placer) = oldest {
            self.placers.remove(&placer);
        }
    }
}
