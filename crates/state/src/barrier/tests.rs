use super::*;

fn barrier() -> DurabilityBarrier<char, u64> {
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

fn released(all: Vec<Released<char, u64>>) -> Vec<(char, u64)> {
    let pair = |released: Released<char, u64>| (released.destination, released.output);
    all.into_iter().map(pair).collect()
}

#[test]
fn no_output_leaves_before_its_batch_or_before_an_earlier_output() {
    let mut barrier = barrier();
    assert_eq!(admit(&mut barrier, 'a', 0, 1), Some(1));
    assert_eq!(admit(&mut barrier, 'a', 2, 2), None);
    assert_eq!(
        admit(&mut barrier, 'a', 0, 3),
        None,
        "it would overtake the one before"
    );
    assert_eq!(
        admit(&mut barrier, 'b', 0, 4),
        Some(4),
        "another destination does not wait"
    );
    assert_eq!(admit(&mut barrier, 'b', 1, 5), None);
    assert_eq!(released(barrier.advance(BatchSequence(1))), [('b', 5)]);
    assert_eq!(
        released(barrier.advance(BatchSequence(2))),
        [('a', 2), ('a', 3)]
    );
    assert_eq!(admit(&mut barrier, 'a', 2, 6), Some(6));
}

#[test]
fn a_removed_output_leaves_the_rest_in_order() {
    let mut barrier = barrier();
    (1..=3).for_each(|n| assert_eq!(admit(&mut barrier, 'a', n, n), None));
    assert_eq!(barrier.remove_first(&'a', |n| *n == 2), Some(2));
    assert_eq!(released(barrier.remove_matching(|n| *n == 9)), []);
    assert_eq!(
        released(barrier.advance(BatchSequence(9))),
        [('a', 1), ('a', 3)]
    );
    assert_eq!(admit(&mut barrier, 'a', 10, 4), None);
    assert_eq!(barrier.remove_destination(&'a'), [4]);
    assert_eq!(admit(&mut barrier, 'a', 0, 5), Some(5));
}
