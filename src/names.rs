//! Hashes names to the ids of machines, services and tasks in the decision module, which are equal at
//! every placer.

use crate::api::{MachineId, ServiceId, TaskKey};

/// Hashes a name with FNV-1a and the finalizer of SplitMix64. The hash must never change, because
/// placers of different versions must agree on the orders that the module derives from it.
fn stable_hash(name: &str) -> u64 {
    let fold = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
    mix64(name.as_bytes().iter().fold(0xcbf2_9ce4_8422_2325, fold))
}

/// A one-to-one hash of a number (the finalizer of SplitMix64), equal at every placer.
pub(crate) fn mix64(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The identifier of the machine with this name.
pub fn machine_id(node: &str) -> MachineId {
    MachineId(stable_hash(node))
}

/// The identifier of a service, whose name is unique within its class.
pub fn service_id(class: &str, service: &str) -> ServiceId {
    ServiceId(stable_hash(&format!("{class}\n{service}")))
}

/// The identifier of a keyed task, equal for every submission with that key.
pub fn task_key(class: &str, key: &str) -> TaskKey {
    TaskKey(stable_hash(&format!("{class}\n{key}")))
}
