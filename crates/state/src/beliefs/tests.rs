use reedring::{Belief, MachineId, Micros};

use super::*;

const SECOND: Micros = 1_000_000;
const HALF_LIVES: BeliefHalfLives = BeliefHalfLives {
    load: 8 * SECOND,
    refusal: SECOND,
    failures: 60 * SECOND,
    answer: 64 * SECOND,
    ratio: 3_600 * SECOND,
    default_ratio: (0.5, 0.5),
};

fn sample_belief(machine: u64, cores: f64) -> Belief {
    Belief {
        machine: MachineId(machine),
        requested: Some((SECOND, cores, 4.0)),
        rejected: Some((SECOND / 2, 1.0, f64::INFINITY)),
        rejecting: vec![(0, 1, 12 * SECOND)],
        consecutive_failures: 4,
        backoff_us: 2 * SECOND,
        slow_start_offers: vec![SECOND],
        ..Belief::default()
    }
}

fn sample_node(node: &str, machine: u64, cores: f64) -> NodeBeliefs {
    NodeBeliefs {
        node: node.to_owned(),
        incarnation: Some(9),
        belief: sample_belief(machine, cores),
    }
}

/// Two nodes with every kind of belief, and beliefs about the fleet.
fn sample_snapshot() -> BeliefSnapshot {
    BeliefSnapshot {
        saved_at: 1_000 * SECOND,
        nodes: vec![sample_node("a", 1, 2.0), sample_node("b", 2, 10.0)],
        answer_times: vec![1_000; 64],
        arrivals: vec![(SECOND, 1.0)],
        use_ratio: Some((0.1, 0.9)),
    }
}

/// The belief about node `a`, aged by this time in microseconds.
fn first_belief_after(age: Micros) -> Belief {
    let snapshot = sample_snapshot();
    let mut aged = snapshot.aged(snapshot.saved_at + age, &HALF_LIVES);
    aged.nodes.remove(0).belief
}

#[test]
fn beliefs_lose_weight_as_they_age() {
    let requested = |age| first_belief_after(age).requested;
    assert_eq!(requested(0), Some((SECOND, 2.0, 4.0)));
    assert_eq!(
        requested(8 * SECOND),
        Some((9 * SECOND, 4.0, 4.0)),
        "after one half-life the load is half way to the mean of the fleet"
    );
    assert_eq!(requested(40 * SECOND), None);
    let failures = |age| first_belief_after(age).consecutive_failures;
    assert_eq!(
        [failures(0), failures(60 * SECOND), failures(120 * SECOND)],
        [4, 2, 1]
    );
    let rejecting = |age| first_belief_after(age).rejecting;
    assert_eq!(rejecting(3 * SECOND), [(0, 1, 9 * SECOND)]);
    assert!(rejecting(5 * SECOND).is_empty());
}

#[test]
fn after_a_week_or_with_a_time_in_the_future_no_weighted_belief_is_left() {
    let snapshot = sample_snapshot();
    let week = 7 * 86_400 * SECOND;
    let old = snapshot.aged(snapshot.saved_at + week, &HALF_LIVES);
    assert_eq!(old.nodes, []);
    assert_eq!(
        (
            old.fleet.answers.len(),
            old.fleet.arrivals.len(),
            old.fleet.ratio
        ),
        (0, 0, Some((0.5, 0.5)))
    );
    let future = snapshot.aged(snapshot.saved_at - 1, &HALF_LIVES);
    assert_eq!(future.fleet, old.fleet);
    // Offers count as just made, so that a clock that was set back doesn't free the offer budget of a node that is
    // warming up.
    assert!(
        future
            .nodes
            .iter()
            .all(|node| node.belief.slow_start_offers == [0] && node.belief.requested.is_none())
    );
}

#[test]
fn every_flipped_bit_and_every_truncation_of_a_belief_file_is_detected() {
    let bytes = sample_snapshot().encode("p");
    assert_eq!(
        BeliefSnapshot::decode(&bytes, "f", "p"),
        Ok(sample_snapshot())
    );
    for at in 0..bytes.len() {
        for bit in 0..8 {
            let mut bytes = bytes.clone();
            bytes[at] ^= 1 << bit;
            assert!(
                BeliefSnapshot::decode(&bytes, "f", "p").is_err(),
                "byte {at}, bit {bit}"
            );
        }
        assert!(
            BeliefSnapshot::decode(&bytes[..at], "f", "p").is_err(),
            "truncated to {at} bytes"
        );
    }
}

#[test]
fn a_newer_version_and_another_placer_are_reported_as_such_and_not_as_damage() {
    let mut bytes = sample_snapshot().encode("p");
    let other = BeliefSnapshot::decode(&bytes, "f", "q").unwrap_err();
    assert!(
        other.to_string().contains("to placer `p`, not to `q`"),
        "{other}"
    );
    bytes[8] = 200;
    let end = bytes.len() - 4;
    let checksum = crc32c::crc32c(&bytes[..end]).to_le_bytes();
    bytes[end..].copy_from_slice(&checksum);
    let error = BeliefSnapshot::decode(&bytes, "f", "p").unwrap_err();
    assert!(error.is_newer(), "{error}");
}
