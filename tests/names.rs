//! The ids of names are the same in every version.

use reedring::names::machine_id;

#[test]
fn the_id_of_a_machine_is_the_same_in_every_version() {
    // Placers of different versions must agree on the order of machines.
    assert_eq!(machine_id("node-1").0, 1_411_048_690_986_509_909);
    assert_ne!(machine_id("node-1"), machine_id("node-2"));
}
