use super::*;
use std::collections::BTreeSet;

#[test]
fn nodes_have_names_and_addresses_of_their_own_and_fill_every_zone_evenly() {
    let nodes = nodes(5_200, 3, 0, 9_000);
    let names: BTreeSet<_> = nodes.iter().map(|node| &node.name).collect();
    let addresses: BTreeSet<_> = nodes.iter().map(|node| node.address).collect();
    assert_eq!((names.len(), addresses.len()), (5_200, 5_200));
    assert!(nodes.iter().all(|node| node.address.ip().is_loopback()));
    let in_zone = |zone| nodes.iter().filter(|node| node.zone == zone).count();
    assert!((0..ZONES).all(|zone| (167..=168).contains(&in_zone(zone))));
    let regions: BTreeSet<_> = nodes.iter().map(|node| (node.zone, node.region)).collect();
    assert_eq!(regions.len(), ZONES, "a zone lies in one region");
    assert_eq!(nodes.iter().filter(|node| node.real).count(), 3);
}

#[test]
fn control_machines_come_beside_the_nodes_and_vote_alone() {
    let nodes = nodes(100, 3, 5, 9_000);
    assert_eq!(nodes.len(), 105);
    assert!(
        nodes
            .iter()
            .all(|node| node.votes == node.control && !(node.control && node.real))
    );
    assert_eq!(
        nodes
            .iter()
            .filter(|node| node.name.starts_with("control-"))
            .count(),
        5
    );
}
