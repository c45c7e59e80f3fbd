use super::*;

const LIMITS: Limits = Limits {
    memory: 100,
    descriptors: 100,
    processes: 100,
    links_per_node: 100,
    addresses: 100,
};

fn needs(values: [u64; 5]) -> Needs {
    let [memory, descriptors, processes, links_per_node, addresses] = values;
    Needs {
        memory,
        descriptors,
        processes,
        links_per_node,
        addresses,
    }
}

#[test]
fn every_combination_of_resources_at_and_over_their_limits_is_judged_by_the_table() {
    let order = [
        Resource::Memory,
        Resource::Descriptors,
        Resource::Processes,
        Resource::LinksPerNode,
        Resource::Addresses,
    ];
    for over in 0..1_u32 << order.len() {
        let values = std::array::from_fn(|n| {
            if over >> n & 1 == 1 {
                101 + n as u64
            } else {
                100
            }
        });
        let first = (0..order.len()).find(|n| over >> n & 1 == 1);
        let expected = first.map_or(Ok(()), |n| {
            Err(DoesNotFit {
                resource: order[n],
                needed: 101 + n as u64,
                limit: 100,
            })
        });
        assert_eq!(fits(&needs(values), &LIMITS), expected, "{over:05b}");
    }
}

#[test]
fn the_error_tells_what_is_needed_and_what_there_is() {
    let error = fits(&needs([0, 25_000, 0, 0, 0]), &LIMITS).unwrap_err();
    let text =
        "the run does not fit: it needs 25000 descriptors in one process, at most 100 can be had";
    assert_eq!(error.to_string(), text);
}
