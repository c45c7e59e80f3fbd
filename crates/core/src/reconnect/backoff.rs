//! The wait of a node before its next attempt, and the order of a sweep.

use reedring::Micros;

use super::{FIRST_WAIT, LAST_WAIT, LinkId};

/// The wait before the next attempt: doubled with each one, up to a quarter shorter, by the seed.
pub(super) fn backoff(seed: u64, id: LinkId, waits: u32) -> Micros {
    let whole = FIRST_WAIT.saturating_mul(1 << waits.min(16)).min(LAST_WAIT);
    let jitter = mix(seed ^ mix(id.0) ^ u64::from(waits)) % (whole / 4);
    whole - jitter
}

/// Spreads the bits of a number (the finalizer of SplitMix64).
pub(super) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
