//! Algorithm 1 and eq. 14 of the paper.

use proptest::collection::vec;
use proptest::test_runner::{Config, TestRunner};
use reedring::logic::{water_filling_probabilities, water_level};

fn cases() -> TestRunner {
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
fn the_papers_examples() {
    assert_eq!(water_level(&[1.0, 0.0], 2.0), 1.5);
    assert_eq!(water_filling_probabilities(&[1.0, 0.0], 2.0), [0.0, 1.0]);
    assert_eq!(water_filling_probabilities(&[1.0, 0.0], 3.0), [0.25, 0.75]);
}

#[test]
fn little_water_is_drawn_evenly_among_the_lowest() {
    for a in [f64::NAN, -1.0, 0.0, 0.5, 1.0] {
        assert_eq!(
            water_filling_probabilities(&[2.0, 0.0, 0.0, 1.0], a),
            [0.0, 0.5, 0.5, 0.0]
        );
    }
}

#[test]
fn one_machine_and_none() {
    assert_eq!(water_filling_probabilities(&[7.0], 5.0), [1.0]);
    assert!(water_filling_probabilities(&[], 5.0).is_empty());
    assert_eq!(water_level(&[], 0.0), 0.0);
}

#[test]
fn the_poured_water_adds_up() {
    let run = cases().run(&(vec(0.0..50.0f64, 1..20), 0.0..200.0f64), |(q, a)| {
        let level = water_level(&q, a);
        let poured: f64 = q.iter().map(|q| (level - q).max(0.0)).sum();
        assert!((poured - a).abs() < 1e-6, "{poured} of {a}");
        Ok(())
    });
    run.unwrap();
}

#[test]
fn probabilities_are_a_distribution_and_equal_columns_share_equally() {
    let run = cases().run(&(vec(0u8..6, 1..20), 0.0..200.0f64), |(q, a)| {
        let q: Vec<f64> = q.into_iter().map(f64::from).collect();
        let p = water_filling_probabilities(&q, a);
        assert!(p.iter().all(|p| p.is_finite() && *p >= 0.0));
        assert!((p.iter().sum::<f64>() - 1.0).abs() < 1e-9);
        for (x, px) in q.iter().zip(&p) {
            for (y, py) in q.iter().zip(&p) {
                assert!(x != y || (px - py).abs() < 1e-12);
                assert!(x <= y || px <= py, "a fuller column is drawn more often");
            }
        }
        Ok(())
    });
    run.unwrap();
}
