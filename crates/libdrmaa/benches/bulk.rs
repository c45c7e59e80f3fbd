//! Ten thousand bulk submissions by a C program from sixteen threads, every frame traced and judged:
//! `cargo bench -p reedring-libdrmaa`.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Instant;

fn main() {
    let began = Instant::now();
    let report = support::c_program(16, 625);
    println!(
        "{} jobs by the C library: {} placed, {} refused, {} failed in {:.1} s; {} broken rules",
        report.taken,
        report.placed,
        report.refused,
        report.failed,
        began.elapsed().as_secs_f64(),
        report.breaches.len()
    );
    report
        .breaches
        .iter()
        .for_each(|breach| println!("  {}", breach.text));
    assert!(report.breaches.is_empty() && report.taken == 10_001);
}
