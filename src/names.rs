//! Names to the numbers of the decision module, the same at every placer.

use crate::api::{MachineId, ServiceId, TaskKey};

/// A value-stable hash of a name (FNV-1a, finished by SplitMix64): the same at every placer, as the
/// module's shared orders need it.
fn stable(name: &str) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    mix(name.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// A value-stable hash of a number (the finish of SplitMix64), equal at every placer.
pub(crate) fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The machine's number at every placer.
pub fn machine_id(node: &str) -> MachineId {
    MachineId(stable(node))
}

/// The number of a class's service at every placer.
pub fn service_id(class: &str, service: &str) -> ServiceId {
    ServiceId(stable(&format!("{class}\n{service}")))
}

/// The number of a keyed task's key, the same for every submission of that key.
pub fn task_key(class: &str, key: &str) -> TaskKey {
    TaskKey(stable(&format!("{class}\n{key}")))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn numbers_of_names_stay_what_they_are() {
        // Placers of different versions must agree on the order of machines.
        assert_eq!(machine_id("node-1").0, 1_411_048_690_986_509_909);
        assert_ne!(machine_id("node-1"), machine_id("node-2"));
    }
}
