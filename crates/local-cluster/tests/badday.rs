//! The bad day, several seeds, judged from what crossed the sockets.

use std::sync::{Mutex, PoisonError};

use reedring_local_cluster::badday::{DEFAULT, Script};

/// Days are played one after another: each is a site of its own that keeps several cores busy.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn clean(seed: u64) {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let script = Script::parse(DEFAULT, "badday.toml").unwrap();
    let day = script.play(Some(seed), None).unwrap();
    eprintln!(
        "seed {seed}: {:?}\n{:?} in {:?}, {} frames",
        day.report, day.tally, day.took, day.frames
    );
    assert_eq!(day.report.breaches, []);
    assert_eq!(day.tally.unfinished, 0, "{:?}", day.tally);
    // The audit had something to judge.
    assert!(
        day.report.placed > 500 && day.report.cold_offers > 0,
        "{:?}",
        day.report
    );
}

#[test]
fn the_bad_day_is_clean_with_seed_1() {
    clean(1);
}

#[test]
fn the_bad_day_is_clean_with_seed_2() {
    clean(2);
}

#[test]
fn the_bad_day_is_clean_with_seed_3() {
    clean(3);
}
