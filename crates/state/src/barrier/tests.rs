use super::*;

fn empty_barrier() -> DurabilityBarrier<char, u64> {
    DurabilityBarrier::default()
}

fn admit(
    barrier: &mut DurabilityBarrier<char, u64>,
    destination: char,
    required: u64,
    output: u64,
) -> Option<u64> {
    barrier.admit(destination, BatchSequence(required), output)
}

/// The destinations and outputs of released items, in order.
fn as_pairs(all: Vec<Released<char, u64>>) -> Vec<(char, u64)> {
    let pair = |released: Released<char, u64>| (released.destination, released.output);
    all.into_iter().map(pair).collect()
}

#[test]
fn an_output_is_held_until_its_batch_is_durable_and_earlier_outputs_are_released() {
    let mut barrier = empty_barrier();
    assert_eq!(admit(&mut barrier, 'a', 0, 1), Some(1));
    assert_eq!(admit(&mut barrier, 'a', 2, 2), None);
    assert_eq!(
        admit(&mut barrier, 'a', 0, 3),
        None,
        "it must not overtake the queued output to the same destination"
    );
    assert_eq!(
        admit(&mut barrier, 'b', 0, 4),
        Some(4),
        "an output to another destination is not held back"
    );
    assert_eq!(admit(&mut barrier, 'b', 1, 5), None);
    assert_eq!(as_pairs(barrier.advance(BatchSequence(1))), [('b', 5)]);
    assert_eq!(
        as_pairs(barrier.advance(BatchSequence(2))),
        [('a', 2), ('a', 3)]
    );
    assert_eq!(admit(&mut barrier, 'a', 2, 6), Some(6));
}

#[test]
fn removing_an_output_keeps_the_others_in_order() {
    let mut barrier = empty_barrier();
    (1..=3).for_each(|n| assert_eq!(admit(&mut barrier, 'a', n, n), None));
    assert_eq!(barrier.remove_first(&'a', |n| *n == 2), Some(2));
    assert_eq!(as_pairs(barrier.remove_matching(|n| *n == 9)), []);
    assert_eq!(
        as_pairs(barrier.advance(BatchSequence(9))),
        [('a', 1), ('a', 3)]
    );
    assert_eq!(admit(&mut barrier, 'a', 10, 4), None);
    assert_eq!(barrier.remove_destination(&'a'), [4]);
    assert_eq!(admit(&mut barrier, 'a', 0, 5), Some(5));
}
