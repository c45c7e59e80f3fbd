use super::super::needs::{Resource, fits};
use super::*;

const MACHINE: Limits = Limits {
    memory: MOST_MEMORY,
    descriptors: 20_000,
    processes: MOST_PROCESSES,
    links_per_node: MOST_LINKS_PER_NODE,
    addresses: MOST_ADDRESSES,
};

fn judged(nodes: usize, placers: usize, descriptors: u64) -> Result<(), Resource> {
    let layout = Layout::new(nodes, placers, 0, nodes * 17, descriptors);
    fits(
        &layout.needs(),
        &Limits {
            descriptors,
            ..MACHINE
        },
    )
    .map_err(|error| error.resource)
}

#[test]
fn runs_are_spread_over_processes_until_nothing_helps() {
    assert_eq!(judged(24, 5, 20_000), Ok(()));
    assert_eq!(judged(2_600, 8, 20_000), Ok(()));
    assert_eq!(judged(5_200, 8, 20_000), Ok(()));
    assert_eq!(judged(1_300, 32, 20_000), Ok(()));
    assert_eq!(judged(30_000, 8, 20_000), Err(Resource::Memory));
    assert_eq!(
        judged(5_200, 8, 5_000),
        Err(Resource::Descriptors),
        "each placer has a link to every node"
    );
    assert_eq!(judged(1, 1_025, 20_000), Err(Resource::LinksPerNode));
}

#[test]
fn processes_have_no_more_than_their_share_of_descriptors_where_that_can_be() {
    for (nodes, placers) in [(325, 8), (2_600, 8), (2_600, 32), (5_200, 16)] {
        let needs = Layout::new(nodes, placers, 0, 0, 20_000).needs();
        assert!(
            needs.descriptors <= 15_000,
            "{nodes} nodes, {placers} placers: {needs:?}"
        );
    }
}

#[test]
fn available_memory_is_read_in_bytes() {
    assert_eq!(
        available("MemTotal: 9 kB\nMemAvailable:   3 kB\n"),
        Some(3_072)
    );
    assert_eq!(available(""), None);
}

#[test]
fn control_machines_need_a_process_each_and_links() {
    let (none, some) = (
        Layout::new(325, 8, 0, 0, 20_000).needs(),
        Layout::new(325, 8, 5, 0, 20_000).needs(),
    );
    assert_eq!(
        (some.processes, some.addresses),
        (none.processes + 5, none.addresses + 5)
    );
    assert!(some.memory > none.memory);
    let many = Layout::new(325, 8, 300, 0, 20_000).needs();
    assert_eq!(
        fits(&many, &MACHINE).map_err(|error| error.resource),
        Err(Resource::Processes)
    );
}
