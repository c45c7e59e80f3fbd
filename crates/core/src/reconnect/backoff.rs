//! The backoff of a node, and the hash that its jitter and the order of a sweep come from.

use reedring::Micros;

use super::{INITIAL_BACKOFF, LinkId, MAX_BACKOFF};

/// The time in microseconds before the next attempt. It doubles with each earlier wait, up to [`MAX_BACKOFF`]; a jitter from
/// the seed shortens it by up to a quarter.
pub(super) fn backoff(seed: u64, id: LinkId, earlier_waits: u32) -> Micros {
    let whole = INITIAL_BACKOFF
        .saturating_mul(1 << earlier_waits.min(16))
        .min(MAX_BACKOFF);
    let jitter = mix(seed ^ mix(id.0) ^ u64::from(earlier_waits)) % (whole / 4);
    whole - jitter
}

/// Hashes a number (the finalizer of SplitMix64).
pub(super) fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
