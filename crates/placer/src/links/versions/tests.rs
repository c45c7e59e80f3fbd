use super::*;

const INCARNATION: u64 = 7;

#[test]
fn version_1_is_used_once_two_hellos_in_a_row_were_rejected() {
    let mut versions = VersionNegotiation::default();
    versions.hello_rejected();
    assert!(!versions.uses_version_1());
    versions.link_ended();
    versions.hello_rejected();
    assert!(!versions.uses_version_1(), "a link between them counts");
    versions.hello_rejected();
    assert!(versions.uses_version_1());
}

#[test]
fn an_incarnation_is_probed_once_and_its_answer_holds_for_the_next_hello() {
    let mut versions = VersionNegotiation::default();
    assert!(versions.needs_probe(INCARNATION));
    versions.probed_version_1(INCARNATION);
    assert!(versions.uses_version_1() && !versions.needs_probe(INCARNATION));
    assert!(
        versions.needs_probe(INCARNATION + 1),
        "it may run another program"
    );
    versions.probed_version_2();
    assert!(!versions.uses_version_1() && versions.needs_probe(INCARNATION));
}
