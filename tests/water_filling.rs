//! Water filling: Algorithm 1 and equation 14 of the paper "Distributed Dispatching in the Parallel
//! Server Model". As there, `q` are the heights of the columns and `a` is the amount that arrives.

use proptest::collection::vec;
use proptest::test_runner::{Config, TestRunner};
use reedring::logic::{water_filling_probabilities, water_level};

/// Runs 512 cases from a fixed seed.
fn test_runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        cases: 512,
        ..Config::default()
    };
    let rng = proptest::test_runner::RngAlgorithm::ChaCha;
    TestRunner::new_with_rng(
        config,
        proptest::test_runner::TestRng::deterministic_rng(rng),
    )
}

#[test]
fn the_examples_of_the_paper_have_their_level_and_probabilities() {
    assert_eq!(water_level(&[1.0, 0.0], 2.0), 1.5);
    assert_eq!(water_filling_probabilities(&[1.0, 0.0], 2.0), [0.0, 1.0]);
    assert_eq!(water_filling_probabilities(&[1.0, 0.0], 3.0), [0.25, 0.75]);
}

#[test]
fn for_an_amount_of_at_most_one_the_lowest_columns_share_equally() {
    for a in [f64::NAN, -1.0, 0.0, 0.5, 1.0] {
        assert_eq!(
            water_filling_probabilities(&[2.0, 0.0, 0.0, 1.0], a),
            [0.0, 0.5, 0.5, 0.0]
        );
    }
}

#[test]
fn a_single_column_has_probability_one_and_no_columns_give_none() {
    assert_eq!(water_filling_probabilities(&[7.0], 5.0), [1.0]);
    assert!(water_filling_probabilities(&[], 5.0).is_empty());
    assert_eq!(water_level(&[], 0.0), 0.0);
}

#[test]
fn the_depths_below_the_level_sum_to_the_amount() {
    let run = test_runner().run(&(vec(0.0..50.0f64, 1..20), 0.0..200.0f64), |(q, a)| {
        let level = water_level(&q, a);
        let poured: f64 = q.iter().map(|q| (level - q).max(0.0)).sum();
        assert!(
            (poured - a).abs() < 1e-6,
            "the depths sum to {poured} instead of {a}"
        );
        Ok(())
    });
    run.unwrap();
}

#[test]
fn probabilities_are_a_distribution_and_equal_columns_share_equally() {
    let run = test_runner().run(&(vec(0u8..6, 1..20), 0.0..200.0f64), |(q, a)| {
        let q: Vec<f64> = q.into_iter().map(f64::from).collect();
        let p = water_filling_probabilities(&q, a);
        assert!(p.iter().all(|p| p.is_finite() && *p >= 0.0));
        assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        for (x, px) in q.iter().zip(&p) {
            for (y, py) in q.iter().zip(&p) {
                assert!(x != y || (px - py).abs() < 1e-12);
                assert!(
                    x <= y || px <= py,
                    "the higher column is drawn more often: {x} with {px}, {y} with {py}"
                );
            }
        }
        Ok(())
    });
    run.unwrap();
}
