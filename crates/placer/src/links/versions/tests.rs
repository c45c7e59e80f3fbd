use super::*;

const INCARNATION: u64 = 7;

#[test]
fn version_1_is_used_after_two_rejected_hellos_in_a_row() {
    let mut versions = VersionNegotiation::default();
    versions.hello_rejected();
    assert!(!versions.uses_version_1());
    versions.link_ended();
    versions.hello_rejected();
    assert!(
        !versions.uses_version_1(),
        "an established link between two rejections resets their count"
    );
    versions.hello_rejected();
    assert!(versions.uses_version_1());
}

#[test]
fn each_incarnation_is_probed_once_and_the_result_sets_the_version_of_the_next_hello() {
    let mut versions = VersionNegotiation::default();
    assert!(versions.needs_probe(INCARNATION));
    versions.probed_version_1(INCARNATION);
    assert!(versions.uses_version_1() && !versions.needs_probe(INCARNATION));
    assert!(
        versions.needs_probe(INCARNATION + 1),
        "a new incarnation may run another program"
    );
    versions.probed_version_2();
    assert!(!versions.uses_version_1() && versions.needs_probe(INCARNATION));
}
